//! The serialized form of the records in the state service.
//!
//! The serde names of fields and variants and the order of tuples are a published format. A new field must be
//! optional and is left out if it is not used. A Rust name may change as long as its serde name stays the same.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::delegation::{read_delegation, Delegation, Guest};
use super::TASKS_PER_CHECKPOINT;
use crate::job::{JobSpec, JobState};
use crate::time::Micros;

/// The term. Its number is the highest of its fencing tokens ([`crate::leadership::TokenRange`]), and its revision is a
/// precondition of every write by the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The highest fencing token of the present leader; it is never lowered.
    pub term: u64,
    /// The name of the controller that started this term.
    pub node: String,
    /// The incarnation of that controller's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time of day from which no earlier leader can answer an agent. Each leader passes it on to the next one, so
    /// that the wait for a partitioned leader still applies after two further elections.
    #[serde(rename = "quiet", default)]
    pub earlier_leaders_fenced_at: Micros,
}

/// The present leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// The name of the leader's controller.
    pub node: String,
    /// The incarnation of the leader's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The term that the leader started.
    pub term: u64,
}

/// A controller's announcement, written by each process when it starts and by a leader when it resigns. A newer
/// incarnation proves that the older one no longer answers any request.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The newest incarnation of the controller's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Whether this process supports delegations to other cells. Left out if it does not.
    #[serde(rename = "cells", default, skip_serializing_if = "std::ops::Not::not")]
    pub knows_delegations: bool,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The state of the job.
    #[serde(rename = "s")]
    pub state: JobState,
    /// Time of day of the submission.
    #[serde(rename = "t", default)]
    pub submitted_at: Micros,
    /// The job's specification; `None` in the final record, which is written once the job is done or cancelled
    /// and none of its tasks is left.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Arc<JobSpec>>,
    /// Time of day at which the leader found the job to be done; the waiting times of its dependents are counted
    /// from then. Left out otherwise; earlier versions do not have this field.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub done_at: Option<Micros>,
    /// The job's last delegation to another cell. Both this field and `guest` are boxed, because few jobs have either.
    #[serde(
        rename = "x",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "read_delegation"
    )]
    pub delegation: Option<Box<Delegation>>,
    /// The cell that the job is run for, or `None` for this cell's own jobs.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub guest: Option<Box<Guest>>,
}

impl JobRecord {
    /// Creates the record of an accepted job.
    pub fn accepted(submitted_at: Micros, spec: Arc<JobSpec>) -> JobRecord {
        JobRecord {
            state: JobState::Active,
            submitted_at,
            spec: Some(spec),
            done_at: None,
            delegation: None,
            guest: None,
        }
    }

    /// Drops the parts of the specification that a cancelled job does not need: its machine types and its
    /// dependencies.
    pub fn drop_scheduling_fields(&mut self) {
        if let Some(spec) = &mut self.spec {
            let spec = Arc::make_mut(spec);
            spec.types = None;
            spec.dependencies = Vec::new();
        }
    }

    /// Returns whether the job has ended and has no tasks left, so that its record does not change any more.
    pub fn is_final(&self) -> bool {
        match self.state {
            JobState::Active => false,
            JobState::Done => true,
            JobState::Cancelled => self.spec.is_none(),
        }
    }

    /// Returns the ids of the jobs that this one depends on, as far as the record has them.
    pub fn dependencies(&self) -> &[String] {
        self.spec.as_ref().map_or(&[], |spec| &spec.dependencies)
    }

    /// Creates the final record of a job that is done or cancelled and has no tasks left.
    pub fn final_record(state: JobState, done_at: Option<Micros>) -> JobRecord {
        JobRecord {
            state,
            submitted_at: Micros::ZERO,
            spec: None,
            done_at,
            delegation: None,
            guest: None,
        }
    }
}

/// The allocation of one task: the task's index within the checkpoint, the machine's name and the epoch of the
/// machine's agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationRecord(pub u32, pub String, pub u64);

/// The states of up to [`TASKS_PER_CHECKPOINT`] tasks of a job, as of a segment of the placement log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CheckpointRecord {
    /// The last segment of the placement log that the checkpoint covers.
    #[serde(rename = "l", default)]
    pub up_to_segment: u64,
    /// The highest attempt of each task.
    #[serde(rename = "a")]
    pub attempts: Vec<u32>,
    /// Completed tasks as runs, each with the index of its first task and the number of tasks.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// The allocations of tasks.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub allocations: Vec<AllocationRecord>,
}

impl CheckpointRecord {
    /// Adds a completed task. Tasks must be added in the order of their indexes.
    pub fn add_done(&mut self, task: u32) {
        match self.done.last_mut() {
            Some((first, count)) if *first + *count == task => *count += 1,
            _ => self.done.push((task, 1)),
        }
    }

    /// Returns the indexes of the completed tasks within the checkpoint.
    pub fn done_tasks(&self) -> impl Iterator<Item = u32> + '_ {
        self.done.iter().flat_map(|(first, count)| {
            *first..first.saturating_add((*count).min(TASKS_PER_CHECKPOINT))
        })
    }
}

/// The state of one task: its index, its attempt, the machine's name and agent epoch (empty and 0 without an
/// allocation), and 1 if it has completed, otherwise 0.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SegmentEntry(pub u32, pub u32, pub String, pub u64, pub u8);

impl SegmentEntry {
    /// Returns whether the task has an allocation.
    pub fn is_allocated(&self) -> bool {
        !self.2.is_empty()
    }
}

/// A segment of the placement log. One value contains the task states of any number of jobs, because the store
/// limits the number of writes. Segments are written to a ring of keys; a segment is overwritten only once
/// checkpoints cover its entries of all jobs without a final record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentRecord {
    /// The segment's number; it increases with each segment.
    #[serde(rename = "n")]
    pub number: u64,
    /// The entries of each job, by the job's id.
    #[serde(rename = "e")]
    pub entries: Vec<(String, Vec<SegmentEntry>)>,
}

/// One machine of a block: its name, its address, whether it is to be returned to the cloud (no task is placed on
/// it any more), and the time of day at which it was rented or first seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord(pub String, pub String, pub bool, pub Micros);

/// A block of machines of one type in one zone; spot machines are in separate blocks. Many machines share a record
/// because the store limits the number of writes, and thousands of machines are rented and returned.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineBlockRecord {
    /// The name of the machines' type.
    #[serde(rename = "t")]
    pub type_name: String,
    /// The machines' zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether the machines are spot machines.
    #[serde(rename = "s", default)]
    pub spot: bool,
    /// The machines of the block.
    #[serde(rename = "m")]
    pub machines: Vec<MachineRecord>,
}
