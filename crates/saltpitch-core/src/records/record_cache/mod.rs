//! A controller's copy of the records.
//!
//! Changes may come late, twice and in any order: of each key, the newest revision counts. The parts are kept
//! up in modules of their own: [`jobs`], [`tasks`], [`machines`], and what follows from one job's end for
//! those that depend on it, [`implicit_cancellations`].

mod carry_over;
mod delegation_index;
mod implicit_cancellations;
mod jobs;
mod machines;
mod tasks;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::keys::{parse_key, Key};
use super::recorded_tasks::{Checkpoint, RecordedSegment, TaskStates};
use super::stored::{JobRecord, LeaderRecord, MachineBlockRecord, NodeRecord, TermRecord};
use super::{Cancellations, ReturnedMachines, Versioned};
use crate::catalog::Catalog;
use crate::images::ImageLocations;

use delegation_index::DelegationIndex;
use implicit_cancellations::ImplicitCancellations;

/// A job's record as of one revision.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The revision.
    pub revision: u64,
    /// The record.
    pub record: JobRecord,
}

/// What changed in the cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing: a newer record was there already.
    None,
    /// The term.
    Term,
    /// The leader.
    Leader,
    /// The machine types.
    Catalog,
    /// The incarnation of this controller.
    Node(String),
    /// This job.
    Job(String),
    /// Tasks: a segment or a checkpoint.
    Tasks,
    /// Machines.
    Machines,
}

/// A controller's copy of the records, as of one revision.
#[derive(Clone, Debug, Default)]
pub struct RecordCache {
    /// The revision up to which it is complete.
    pub revision: u64,
    /// All jobs ever accepted.
    pub jobs: HashMap<String, JobEntry>,
    /// The tasks of jobs that are not over.
    pub tasks: HashMap<String, TaskStates>,
    /// Checkpoints by job and range of tasks.
    pub checkpoints: HashMap<String, BTreeMap<u32, Checkpoint>>,
    /// The log's segments by the slot that they are written to.
    pub segments: BTreeMap<u32, RecordedSegment>,
    /// The highest number of a segment that any record mentions.
    pub last_segment: u64,
    /// Blocks of machines.
    pub machine_blocks: BTreeMap<u32, Versioned<MachineBlockRecord>>,
    /// Incarnations of controllers.
    pub nodes: BTreeMap<String, Versioned<NodeRecord>>,
    /// The term.
    pub term: Versioned<TermRecord>,
    /// The leader, if there is one.
    pub leader: Option<Versioned<LeaderRecord>>,
    /// The machine types, if they are on record.
    pub catalog: Option<Versioned<Arc<Catalog>>>,
    /// Machines that were returned.
    pub returned_machines: ReturnedMachines,
    /// Which machines hold which images.
    pub images: ImageLocations,
    implicit_cancellations: ImplicitCancellations,
    delegation_index: DelegationIndex,
    /// Cancellations in the order in which this copy learned of them.
    pub cancellations: Cancellations,
    /// A record of an earlier version's layout was seen: this version must not lead on half of the
    /// records.
    pub has_earlier_layout: bool,
}

/// Why a record was refused.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum RecordError {
    /// It is not what this version reads: damaged, or written by a later version.
    #[error("{0}")]
    Unreadable(String),
    /// It is laid out by an earlier version.
    #[error("it is laid out by an earlier version; see CHANGELOG.md")]
    EarlierLayout,
}

fn parse<'a, T: Deserialize<'a>>(raw: &'a RawValue) -> Result<T, RecordError> {
    serde_json::from_str(raw.get()).map_err(|error| RecordError::Unreadable(error.to_string()))
}

impl RecordCache {
    /// Applies one key's change, unless a newer one is already there. A record that cannot be read
    /// is refused and leaves the cache as it was.
    pub fn put(&mut self, key: &str, raw: &RawValue, revision: u64) -> Result<Change, RecordError> {
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

    /// Applies the deletion of a key, unless a newer write of it is already there.
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

    /// The newest incarnation known of a controller.
    pub fn incarnation_of(&self, node: &str) -> u64 {
        let record = self.nodes.get(node);
        record.map_or(0, |record| record.value.incarnation)
    }
}
