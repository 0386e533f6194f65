//! A controller's copy of the records.
//!
//! Changes may be applied late, twice and in any order: for each key, the newest revision wins. The modules [`jobs`],
//! [`tasks`] and [`machines`] apply the changes of their kinds of records, and [`implicit_cancellations`] derives
//! which jobs are cancelled because a job that they depend on is. [`retention`] bounds what is kept of ended jobs.

mod carry_over;
mod delegation_index;
mod implicit_cancellations;
mod jobs;
mod machines;
mod retention;
mod tasks;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::keys::{parse_key, Key};
use super::recorded_tasks::{Checkpoint, RecordedSegment, TaskStates};
use super::stored::{JobRecord, LeaderRecord, MachineBlockRecord, NodeRecord, TermRecord};
use super::{Cancellations, EndedJob, EndedJobs, ReturnedMachines, Versioned};
use crate::catalog::Catalog;
use crate::images::ImageLocations;
use crate::job::JobState;

use delegation_index::DelegationIndex;
use implicit_cancellations::ImplicitCancellations;

/// A job's record as of one revision.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The revision at which the record was written.
    pub revision: u64,
    /// The job's record.
    pub record: JobRecord,
}

impl JobEntry {
    /// Returns the final record of a job that has ended.
    fn of_ended(job: &EndedJob) -> JobEntry {
        JobEntry {
            revision: job.revision,
            record: JobRecord::final_record(job.state, job.done_at),
        }
    }
}

/// What is known of a job.
#[derive(Clone, Copy, Debug)]
pub enum RecordedJob<'a> {
    /// The record of a job that has no final record yet.
    Live(&'a JobEntry),
    /// The outcome of a job that has ended.
    Ended(&'a EndedJob),
}

impl RecordedJob<'_> {
    /// Returns the revision of the job's record.
    pub fn revision(&self) -> u64 {
        match self {
            RecordedJob::Live(entry) => entry.revision,
            RecordedJob::Ended(job) => job.revision,
        }
    }

    /// Returns the recorded state of the job.
    pub fn state(&self) -> JobState {
        match self {
            RecordedJob::Live(entry) => entry.record.state,
            RecordedJob::Ended(job) => job.state,
        }
    }
}

/// What changed in the cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing that needs a reaction: the change or a newer one was already applied, this version does not use the
    /// key, or a checkpoint was deleted.
    None,
    /// The term's record.
    Term,
    /// The leader's record.
    Leader,
    /// The machine types.
    Catalog,
    /// The incarnation of the controller with this name.
    Node(String),
    /// The record of the job with this id.
    Job(String),
    /// The states of tasks, in a segment or a checkpoint.
    Tasks,
    /// A block of machines.
    Machines,
}

/// A controller's copy of the records, as of one revision.
#[derive(Clone, Debug, Default)]
pub struct RecordCache {
    /// The revision up to which the copy is complete.
    revision: u64,
    /// The jobs without a final record, by id.
    pub jobs: HashMap<String, JobEntry>,
    /// The outcomes of recently ended jobs, and of those on which an active job depends.
    ended_jobs: EndedJobs,
    /// Whether `jobs` has every job without a final record. Until then, a job that is not in memory may be one whose
    /// record has not been read yet.
    has_all_live_jobs: bool,
    /// The highest revision of a record that was put.
    last_put_revision: u64,
    /// The tasks of jobs without a final record, by the job's id.
    pub tasks: HashMap<String, TaskStates>,
    /// Checkpoints by the job's id and the index of the range of tasks.
    pub checkpoints: HashMap<String, BTreeMap<u32, Checkpoint>>,
    /// The segments of the placement log, by the slot that they are stored in.
    pub segments: BTreeMap<u32, RecordedSegment>,
    /// The highest segment number in any segment or checkpoint.
    pub last_segment: u64,
    /// Blocks of machines, by number.
    pub machine_blocks: BTreeMap<u32, Versioned<MachineBlockRecord>>,
    /// The announcements of controllers with their incarnations, by the controller's name.
    pub nodes: BTreeMap<String, Versioned<NodeRecord>>,
    /// The term's record.
    pub term: Versioned<TermRecord>,
    /// The leader's record, if there is a leader.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The machine types, if they are recorded.
    pub catalog: Option<Versioned<Arc<Catalog>>>,
    /// Machines that were returned to the cloud.
    pub returned_machines: ReturnedMachines,
    /// The images that machines are known to have cached.
    pub images: ImageLocations,
    implicit_cancellations: ImplicitCancellations,
    delegation_index: DelegationIndex,
    /// Cancellations in the order in which they were applied to this copy.
    pub cancellations: Cancellations,
    /// Whether a record in the layout of an earlier version was found. This version cannot read such records, and
    /// must not lead with only a part of the records.
    pub has_earlier_layout: bool,
}

/// The reason why a record was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// This version cannot read the record: it is damaged, or a later version wrote it.
    #[error("{0}")]
    Unreadable(String),
    /// The record has the layout of an earlier version.
    #[error("it has the layout of an earlier version; see CHANGELOG.md")]
    EarlierLayout,
}

fn parse<'a, T: Deserialize<'a>>(raw: &'a RawValue) -> Result<T, RecordError> {
    serde_json::from_str(raw.get()).map_err(|error| RecordError::Unreadable(error.to_string()))
}

impl RecordCache {
    /// Returns the revision up to which the copy is complete: all changes up to it are applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Raises the revision after all changes up to `revision` were applied. It never falls.
    pub fn advance_to(&mut self, revision: u64) {
        self.revision = self.revision.max(revision);
    }

    /// Applies a write of one key, unless a newer one has already been applied. A record that cannot be read is
    /// refused and leaves the cached record unchanged.
    pub fn put(&mut self, key: &str, raw: &RawValue, revision: u64) -> Result<Change, RecordError> {
        let change = self.put_record(key, raw, revision)?;
        self.last_put_revision = self.last_put_revision.max(revision);
        Ok(change)
    }

    fn put_record(
        &mut self,
        key: &str,
        raw: &RawValue,
        revision: u64,
    ) -> Result<Change, RecordError> {
        match parse_key(key) {
            Key::Term => self.put_term(raw, revision),
            Key::Leader => self.put_leader(raw, revision),
            Key::Catalog => self.put_catalog(raw, revision),
            Key::Node(name) => self.put_node(name, raw, revision),
            Key::Job(id) => self.put_job(id, raw, revision),
            Key::Checkpoint(id, index) => self.put_checkpoint(id, index, raw, revision),
            Key::MachineBlock(number) => self.put_machine_block(number, raw, revision),
            Key::Segment(slot) => self.put_segment(slot, raw, revision),
            Key::EarlierLayout => {
                self.has_earlier_layout = true;
                Err(RecordError::EarlierLayout)
            }
            Key::Other => Ok(Change::None),
        }
    }

    /// Applies the deletion of a key, unless a newer write of it has already been applied.
    pub fn delete(&mut self, key: &str, revision: u64) -> Change {
        match parse_key(key) {
            Key::Leader => self.delete_leader(revision),
            Key::Checkpoint(id, index) => self.delete_checkpoint(id, index, revision),
            Key::MachineBlock(number) => self.delete_machine_block(number, revision),
            _ => Change::None,
        }
    }

    fn put_term(&mut self, raw: &RawValue, revision: u64) -> Result<Change, RecordError> {
        if self.term.covers(revision) {
            return Ok(Change::None);
        }
        self.term = Versioned::new(revision, parse(raw)?);
        Ok(Change::Term)
    }

    fn put_leader(&mut self, raw: &RawValue, revision: u64) -> Result<Change, RecordError> {
        let known = self.leader.as_ref();
        if known.is_some_and(|known| known.covers(revision)) {
            return Ok(Change::None);
        }
        self.leader = Some(Versioned::new(revision, parse(raw)?));
        Ok(Change::Leader)
    }

    fn delete_leader(&mut self, revision: u64) -> Change {
        let known = self.leader.as_ref();
        if known.is_none_or(|known| known.covers(revision)) {
            return Change::None;
        }
        self.leader = None;
        Change::Leader
    }

    fn put_catalog(&mut self, raw: &RawValue, revision: u64) -> Result<Change, RecordError> {
        let known = self.catalog.as_ref();
        if known.is_some_and(|known| known.covers(revision)) {
            return Ok(Change::None);
        }
        self.catalog = Some(Versioned::new(revision, Arc::new(parse(raw)?)));
        Ok(Change::Catalog)
    }

    fn put_node(
        &mut self,
        name: &str,
        raw: &RawValue,
        revision: u64,
    ) -> Result<Change, RecordError> {
        let known = self.nodes.get(name);
        if known.is_some_and(|known| known.covers(revision)) {
            return Ok(Change::None);
        }
        let record = Versioned::new(revision, parse(raw)?);
        self.nodes.insert(name.to_owned(), record);
        Ok(Change::Node(name.to_owned()))
    }

    /// Returns a controller's newest known incarnation, or 0 if none is known.
    pub fn incarnation_of(&self, node: &str) -> u64 {
        let record = self.nodes.get(node);
        record.map_or(0, |record| record.value.incarnation)
    }
}
