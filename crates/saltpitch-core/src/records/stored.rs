//! The values in the state service, as they are serialised.
//!
//! Names of fields and variants and the order of tuples are a published format. A new field is optional
//! and left out while it is not used; a Rust name may change as long as its serde name stays.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::delegation::{read_delegation, Delegation, Guest};
use super::TASKS_PER_CHECKPOINT;
use crate::job::{JobSpec, JobState};
use crate::time::Micros;

/// The term. Its number is the leader's fencing token, and its revision a precondition of every write of
/// the leader.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TermRecord {
    /// The fencing token of the present leader; only ever raised.
    pub term: u64,
    /// The controller that took this term.
    pub node: String,
    /// The incarnation of that controller's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Time of day from which no leader before this one can answer an agent. Each leader passes it on,
    /// so that a leader that was partitioned is still waited for when two others came after it.
    #[serde(rename = "quiet", default)]
    pub earlier_leaders_fenced_at: Micros,
}

/// The present leader.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaderRecord {
    /// Its name.
    pub node: String,
    /// The incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// The term that it took.
    pub term: u64,
}

/// Written by each process when it starts, and by a leader that resigns: a newer incarnation proves that
/// the older one answers nobody.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct NodeRecord {
    /// The newest incarnation of the controller's process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Whether this process knows delegations to other cells. Left out where it does not.
    #[serde(rename = "cells", default, skip_serializing_if = "std::ops::Not::not")]
    pub knows_delegations: bool,
}

/// A job.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Where it stands.
    #[serde(rename = "s")]
    pub state: JobState,
    /// Time of day of the submission.
    #[serde(rename = "t", default)]
    pub submitted_at: Micros,
    /// The job's description; `None` once the job is over and none of its tasks is left.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub spec: Option<Arc<JobSpec>>,
    /// Time of day at which a job was found done, from which the waiting time of its dependents counts.
    /// Left out otherwise; earlier versions don't know the field.
    #[serde(rename = "f", default, skip_serializing_if = "Option::is_none")]
    pub done_at: Option<Micros>,
    /// The job's delegation to another cell, the last one if there were several. Boxed like the guest: records
    /// of jobs that are over stay in memory for ever, and few jobs have either.
    #[serde(
        rename = "x",
        default,
        skip_serializing_if = "Option::is_none",
        deserialize_with = "read_delegation"
    )]
    pub delegation: Option<Box<Delegation>>,
    /// The cell that the job is run for; `None` for this cell's own jobs.
    #[serde(rename = "g", default, skip_serializing_if = "Option::is_none")]
    pub guest: Option<Box<Guest>>,
}

impl JobRecord {
    /// An accepted job.
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

    /// Leaves out what is of no use any more once the job is cancelled: where it might have run, and
    /// what it depended on.
    pub fn drop_scheduling_fields(&mut self) {
        if let Some(spec) = &mut self.spec {
            let spec = Arc::make_mut(spec);
            spec.types = None;
            spec.dependencies = Vec::new();
        }
    }

    /// A job that is over, with none of its tasks left.
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

/// Where one task may be: its index within the checkpoint, the machine, and the agent's epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllocationRecord(pub u32, pub String, pub u64);

/// The state of up to [`TASKS_PER_CHECKPOINT`] tasks of a job, as the log shows them up to a segment.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CheckpointRecord {
    /// The last segment of the log that this covers.
    #[serde(rename = "l", default)]
    pub up_to_segment: u64,
    /// Highest attempt used, per task.
    #[serde(rename = "a")]
    pub attempts: Vec<u32>,
    /// Completed tasks, as runs: first task and how many.
    #[serde(rename = "r", default, skip_serializing_if = "Vec::is_empty")]
    pub done: Vec<(u32, u32)>,
    /// Where tasks may be.
    #[serde(rename = "p", default, skip_serializing_if = "Vec::is_empty")]
    pub allocations: Vec<AllocationRecord>,
}

impl CheckpointRecord {
    /// Adds a completed task; tasks come in order.
    pub fn add_done(&mut self, task: u32) {
        match self.done.last_mut() {
            Some((first, count)) if *first + *count == task => *count += 1,
            _ => self.done.push((task, 1)),
        }
    }

    /// The completed tasks, by their index within the checkpoint.
    pub fn done_tasks(&self) -> impl Iterator<Item = u32> + '_ {
        self.done.iter().flat_map(|(first, count)| {
            *first..first.saturating_add((*count).min(TASKS_PER_CHECKPOINT))
        })
    }
}

/// The state of one task: its index, attempt, machine and agent epoch (empty and 0 if it has none), and
/// whether it has completed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct SegmentEntry(pub u32, pub u32, pub String, pub u64, pub u8);

impl SegmentEntry {
    /// Whether the task has a machine.
    pub fn is_allocated(&self) -> bool {
        !self.2.is_empty()
    }
}

/// A segment of the placement log: task states of any number of jobs in one value, since writes are
/// scarce. Segments are written to a ring of keys; one is overwritten only when checkpoints cover
/// what it says of jobs that are not over.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SegmentRecord {
    /// Its number; numbers only grow.
    #[serde(rename = "n")]
    pub number: u64,
    /// Entries by job.
    #[serde(rename = "e")]
    pub entries: Vec<(String, Vec<SegmentEntry>)>,
}

/// One machine of a block: its name, its address, whether its return to the cloud is intended (nothing
/// is placed on it again), and the time of day at which it was rented or first seen.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineRecord(pub String, pub String, pub bool, pub Micros);

/// A block of machines of one type in one zone, spot machines apart. Thousands of machines come and go
/// while writes are scarce, so many share a record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MachineBlockRecord {
    /// The type of its machines.
    #[serde(rename = "t")]
    pub type_name: String,
    /// Their zone.
    #[serde(rename = "z")]
    pub zone: String,
    /// Whether they are spot machines.
    #[serde(rename = "s", default)]
    pub spot: bool,
    /// The machines.
    #[serde(rename = "m")]
    pub machines: Vec<MachineRecord>,
}
