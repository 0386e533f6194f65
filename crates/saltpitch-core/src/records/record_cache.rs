//! A controller's copy of the records.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use serde::Deserialize;
use serde_json::value::RawValue;

use super::keys::{split, Key};
use super::recorded_tasks::{Checkpoint, RecordedSegment, TaskState, TaskStates};
use super::stored::{
    AllocationRecord, BlockRecord, ChunkRecord, Entry, JobRecord, LeaderRecord, LogRecord,
    NodeRecord, TermRecord,
};
use super::{Cancellations, ReturnedMachines, CHUNK};
use crate::catalog::Catalog;
use crate::images::ImageEvidence;
use crate::job::{JobKind, JobSpec, JobState};

/// A job's record as of one revision.
#[derive(Clone, Debug)]
pub struct JobEntry {
    /// The revision.
    pub rev: u64,
    /// The record.
    pub record: JobRecord,
}

/// What changed in a view.
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
    /// This controller's incarnation.
    Node(String),
    /// This job.
    Job(String),
    /// Tasks: a segment or a checkpoint.
    Chunk,
    /// Machines.
    Machine,
}

/// A node's copy of the records, as of revision `rev`.
#[derive(Clone, Debug, Default)]
pub struct RecordCache {
    /// The revision up to which it is complete.
    pub rev: u64,
    /// All jobs ever accepted.
    pub jobs: HashMap<String, JobEntry>,
    /// The tasks of jobs that are not over.
    pub tasks: HashMap<String, TaskStates>,
    /// Checkpoints by job and chunk.
    pub chunks: HashMap<String, BTreeMap<u32, Checkpoint>>,
    /// The log's segments by their key.
    pub segments: BTreeMap<u32, RecordedSegment>,
    /// The highest segment heard of.
    pub last_segment: u64,
    /// Blocks of machines, with their revisions.
    pub machine_blocks: BTreeMap<u32, (u64, BlockRecord)>,
    /// Incarnations of controllers, with their revisions.
    pub nodes: BTreeMap<String, (u64, NodeRecord)>,
    /// The term and its revision.
    pub term: (u64, TermRecord),
    /// The leader, if there is one, and the revision.
    pub leader: Option<(u64, LeaderRecord)>,
    /// The machine types, if they are on record, and the revision.
    pub catalog: Option<(u64, Arc<Catalog>)>,
    /// Machines that were returned.
    pub returned_machines: ReturnedMachines,
    /// Which machines hold which images.
    pub images: ImageEvidence,
    /// Jobs that wait for others, by those that they need.
    dependents: HashMap<String, Vec<String>>,
    /// Jobs not yet cancelled on record that need a cancelled one, directly or through others. None of
    /// them has ever started a task, since what it needs was never done; none of them ever will.
    withdrawn: HashSet<String>,
    /// Active jobs that another cell may own.
    delegated: BTreeSet<String>,
    /// Active jobs that are run for another cell.
    guests: BTreeSet<String>,
    /// Cancellations as this copy learnt of them.
    pub cancellations: Cancellations,
    /// A record of an earlier version's layout was seen: this one must not lead on half the truth.
    pub old_layout: bool,
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
    /// is refused and leaves the view as it was.
    pub fn put(&mut self, key: &str, raw: &RawValue, rev: u64) -> Result<Change, RecordError> {
        match split(key) {
            Key::Term => self.put_term(raw, rev),
            Key::Leader => self.put_leader(raw, rev),
            Key::Catalog => self.put_catalog(raw, rev),
            Key::Node(name) => self.put_node(name, raw, rev),
            Key::Job(id) => self.put_job(id, raw, rev),
            Key::Chunk(id, number) => self.put_checkpoint(id, number, raw, rev),
            Key::Block(number) => self.put_block(number, raw, rev),
            Key::Log(slot) => self.put_segment(slot, raw, rev),
            Key::Old => {
                self.old_layout = true;
                Err(RecordError::EarlierLayout)
            }
            Key::Other => Ok(Change::None),
        }
    }

    fn put_term(&mut self, raw: &RawValue, rev: u64) -> Result<Change, RecordError> {
        if rev <= self.term.0 {
            return Ok(Change::None);
        }
        self.term = (rev, parse(raw)?);
        Ok(Change::Term)
    }

    fn put_leader(&mut self, raw: &RawValue, rev: u64) -> Result<Change, RecordError> {
        if self.leader.as_ref().is_some_and(|l| rev <= l.0) {
            return Ok(Change::None);
        }
        self.leader = Some((rev, parse(raw)?));
        Ok(Change::Leader)
    }

    fn put_catalog(&mut self, raw: &RawValue, rev: u64) -> Result<Change, RecordError> {
        if self.catalog.as_ref().is_some_and(|c| rev <= c.0) {
            return Ok(Change::None);
        }
        self.catalog = Some((rev, Arc::new(parse(raw)?)));
        Ok(Change::Catalog)
    }

    fn put_node(&mut self, name: &str, raw: &RawValue, rev: u64) -> Result<Change, RecordError> {
        if self.nodes.get(name).is_some_and(|n| rev <= n.0) {
            return Ok(Change::None);
        }
        self.nodes.insert(name.to_owned(), (rev, parse(raw)?));
        Ok(Change::Node(name.to_owned()))
    }

    fn put_job(&mut self, id: &str, raw: &RawValue, rev: u64) -> Result<Change, RecordError> {
        if self.jobs.get(id).is_some_and(|job| rev <= job.rev) {
            return Ok(Change::None);
        }
        let record: JobRecord = parse(raw)?;
        if record.spec.is_none() {
            self.note_images_at_end(id, record.state);
            self.tasks.remove(id);
        }
        let was = self.jobs.get(id).map(|job| job.record.state);
        if record.state == JobState::Cancelled && was != Some(JobState::Cancelled) {
            self.cancellations.note(rev, id);
        }
        let dependencies = record.spec.clone().filter(|s| !s.dependencies.is_empty());
        let state = record.state;
        self.index_cells(id, &record);
        self.jobs.insert(id.to_owned(), JobEntry { rev, record });
        self.take_needs(id, state, dependencies);
        Ok(Change::Job(id.to_owned()))
    }

    /// Keeps up which jobs concern other cells.
    fn index_cells(&mut self, id: &str, record: &JobRecord) {
        let active = record.state == JobState::Active;
        if active && record.is_delegated() {
            self.delegated.insert(id.to_owned());
        } else {
            self.delegated.remove(id);
        }
        if active && record.guest.is_some() {
            self.guests.insert(id.to_owned());
        } else {
            self.guests.remove(id);
        }
    }

    /// The active jobs that another cell may own.
    pub fn delegated(&self) -> impl Iterator<Item = &str> {
        self.delegated.iter().map(String::as_str)
    }

    /// The active jobs that are run for another cell.
    pub fn guests(&self) -> impl Iterator<Item = &str> {
        self.guests.iter().map(String::as_str)
    }

    fn put_checkpoint(
        &mut self,
        id: &str,
        number: u32,
        raw: &RawValue,
        rev: u64,
    ) -> Result<Change, RecordError> {
        let known = self.chunks.get(id).and_then(|chunks| chunks.get(&number));
        if known.is_some_and(|known| rev <= known.revision) {
            return Ok(Change::None);
        }
        let record: ChunkRecord = parse(raw)?;
        let checkpoint = Checkpoint {
            revision: rev,
            up_to_segment: record.upto,
        };
        let chunks = self.chunks.entry(id.to_owned()).or_default();
        chunks.insert(number, checkpoint);
        self.last_segment = self.last_segment.max(record.upto);
        if !self.is_over(id) {
            self.take_checkpoint(id, number, record);
        }
        Ok(Change::Chunk)
    }

    fn put_block(&mut self, number: u32, raw: &RawValue, rev: u64) -> Result<Change, RecordError> {
        if self.machine_blocks.get(&number).is_some_and(|b| rev <= b.0) {
            return Ok(Change::None);
        }
        let record: BlockRecord = parse(raw)?;
        for machine in &record.machines {
            self.returned_machines.remove(&machine.0);
        }
        let stays: HashSet<String> = record.machines.iter().map(|m| m.0.clone()).collect();
        let old = self.machine_blocks.insert(number, (rev, record));
        let old_machines = old.iter().flat_map(|(_, block)| &block.machines);
        for machine in old_machines.filter(|m| !stays.contains(&m.0)) {
            // A block that was split leaves its machines to others.
            if !self.is_on_record(&machine.0) {
                self.machine_gone(&machine.0);
            }
        }
        Ok(Change::Machine)
    }

    /// Whether a block holds this machine.
    fn is_on_record(&self, name: &str) -> bool {
        let mut machines = self
            .machine_blocks
            .values()
            .flat_map(|(_, block)| &block.machines);
        machines.any(|machine| machine.0 == name)
    }

    fn put_segment(&mut self, slot: u32, raw: &RawValue, rev: u64) -> Result<Change, RecordError> {
        if self
            .segments
            .get(&slot)
            .is_some_and(|segment| rev <= segment.revision)
        {
            return Ok(Change::None);
        }
        let record: LogRecord = parse(raw)?;
        let number = record.number;
        self.last_segment = self.last_segment.max(number);
        let task_ranges = self.take_segment(record);
        self.segments.insert(
            slot,
            RecordedSegment {
                revision: rev,
                number,
                task_ranges,
            },
        );
        Ok(Change::Chunk)
    }

    /// Applies the deletion of a key, unless a newer write of it is already there.
    pub fn delete(&mut self, key: &str, rev: u64) -> Change {
        match split(key) {
            Key::Leader if self.leader.as_ref().is_some_and(|l| l.0 < rev) => {
                self.leader = None;
                return Change::Leader;
            }
            Key::Chunk(id, number) => {
                if let Some(chunks) = self.chunks.get_mut(id) {
                    if chunks.get(&number).is_some_and(|c| c.revision < rev) {
                        chunks.remove(&number);
                    }
                    if chunks.is_empty() {
                        self.chunks.remove(id);
                    }
                }
            }
            Key::Block(number) if self.machine_blocks.get(&number).is_some_and(|b| b.0 < rev) => {
                if let Some((_, old)) = self.machine_blocks.remove(&number) {
                    for m in &old.machines {
                        self.machine_gone(&m.0);
                    }
                }
                return Change::Machine;
            }
            _ => {}
        }
        Change::None
    }

    /// Running and completed tasks of a job, for display.
    pub fn counts(&self, id: &str) -> (u64, u64) {
        let all = self.tasks.get(id);
        all.map_or((0, 0), |t| (u64::from(t.running), u64::from(t.done)))
    }

    /// The final record was written: what is said of its tasks means nothing any more.
    fn is_over(&self, id: &str) -> bool {
        self.jobs.get(id).is_some_and(|j| j.record.spec.is_none())
    }

    fn take_checkpoint(&mut self, id: &str, chunk: u32, record: ChunkRecord) {
        let mut new: Vec<TaskState> = (record.attempts.iter())
            .take(CHUNK as usize)
            .map(|a| TaskState {
                segment: record.upto,
                attempt: *a,
                ..TaskState::default()
            })
            .collect();
        for i in record.done_tasks() {
            if let Some(t) = new.get_mut(i as usize) {
                t.done = true;
            }
        }
        for AllocationRecord(i, machine, agent_epoch) in record.allocations {
            if let Some(t) = new.get_mut(i as usize) {
                t.allocation = Some(Box::new((machine, agent_epoch)));
            }
        }
        let states = self.tasks.entry(id.to_owned()).or_default();
        for (i, t) in new.into_iter().enumerate() {
            states.set(chunk.saturating_mul(CHUNK).saturating_add(i as u32), t);
        }
    }

    /// Takes in a segment; says which chunks it speaks of.
    fn take_segment(&mut self, record: LogRecord) -> Vec<(String, u32)> {
        let mut chunks = Vec::new();
        for (id, entries) in record.entries {
            let mut of_job: Vec<u32> = entries.iter().map(|e| e.0 / CHUNK).collect();
            of_job.sort_unstable();
            of_job.dedup();
            chunks.extend(of_job.into_iter().map(|c| (id.clone(), c)));
            if self.is_over(&id) {
                continue;
            }
            let job = self.jobs.get(&id);
            let spec = job.and_then(|job| job.record.spec.as_deref());
            let states = self.tasks.entry(id).or_default();
            for Entry(task, attempt, machine, agent_epoch, done) in entries {
                let allocation = (!machine.is_empty()).then(|| Box::new((machine, agent_epoch)));
                let state = TaskState {
                    segment: record.number,
                    attempt,
                    done: done > 0,
                    allocation,
                };
                let completed_on = states.set(task, state);
                if let (Some((machine, agent_epoch)), Some(spec)) = (completed_on, spec) {
                    let images = &mut self.images;
                    images.used(&machine, agent_epoch, &spec.image, spec.image_mb);
                }
            }
        }
        chunks
    }

    /// A job's final record leaves out its tasks. Those of a job that is done completed where they were
    /// placed; the replicas of a cancelled service ran there.
    fn note_images_at_end(&mut self, id: &str, state: JobState) {
        let Some(spec) = self.jobs.get(id).and_then(|j| j.record.spec.as_deref()) else {
            return;
        };
        let used = state == JobState::Done || spec.kind == JobKind::Service;
        let tasks = self.tasks.get(id).filter(|_| used);
        for (machine, agent_epoch) in tasks.into_iter().flat_map(TaskStates::allocations) {
            let images = &mut self.images;
            images.used(machine, *agent_epoch, &spec.image, spec.image_mb);
        }
    }

    /// The machine was returned: late sightings of it mean nothing.
    fn machine_gone(&mut self, name: &str) {
        self.returned_machines.insert(name);
        self.images.forget(name);
    }

    /// Takes over the names of returned machines from an older copy: what that one knew and this one
    /// does not have is gone as well.
    pub fn succeed(&mut self, old: RecordCache) {
        self.returned_machines = old.returned_machines;
        self.images = old.images;
        // The list that leaders have been told from goes on: what the older copy had is in it.
        let new = std::mem::replace(&mut self.cancellations, old.cancellations);
        let mut new: Vec<(u64, String)> = new.list.into_iter().collect();
        // Read in the order of keys: of a long history the newest are kept.
        new.sort_unstable();
        for (rev, id) in new {
            let knew = old.jobs.get(&id).map(|j| j.record.state);
            if knew != Some(JobState::Cancelled) {
                self.cancellations.note(rev, &id);
            }
        }
        self.cancellations.trim();
        let here: HashSet<&str> = (self.machine_blocks.values())
            .flat_map(|b| b.1.machines.iter().map(|m| m.0.as_str()))
            .collect();
        for m in old.machine_blocks.values().flat_map(|b| &b.1.machines) {
            if !here.contains(m.0.as_str()) {
                self.returned_machines.insert(&m.0);
                self.images.forget(&m.0);
            }
        }
    }

    /// A job's state, as users are told: on record, or cancelled with one that it needs.
    pub fn state(&self, id: &str) -> Option<JobState> {
        let state = self.jobs.get(id)?.record.state;
        Some(if self.withdrawn.contains(id) {
            JobState::Cancelled
        } else {
            state
        })
    }

    /// Notes what a job needs, and what its cancellation does to those that need it. Whether a job
    /// comes before or after those that it needs, as in a list by keys, makes no difference.
    fn take_needs(&mut self, id: &str, state: JobState, dependencies: Option<Arc<JobSpec>>) {
        let mut off = state == JobState::Cancelled;
        for need in dependencies.iter().flat_map(|s| &s.dependencies) {
            if state != JobState::Active {
                break;
            }
            match self.state(need) {
                Some(JobState::Done) => continue,
                Some(JobState::Cancelled) => {
                    self.withdrawn.insert(id.to_owned());
                    off = true;
                }
                _ => {
                    let list = self.dependents.entry(need.clone()).or_default();
                    if !list.iter().any(|x| x == id) {
                        list.push(id.to_owned());
                    }
                }
            }
        }
        if state != JobState::Active {
            self.withdrawn.remove(id);
        }
        let mut next = if off { vec![id.to_owned()] } else { Vec::new() };
        while let Some(id) = next.pop() {
            for d in self.dependents.get(&id).into_iter().flatten() {
                let active = self.jobs.get(d).map(|j| j.record.state) == Some(JobState::Active);
                if active && self.withdrawn.insert(d.clone()) {
                    next.push(d.clone());
                }
            }
        }
        if state != JobState::Active {
            // Those that needed it have been told, or never ask again.
            self.dependents.remove(id);
        }
    }

    /// The jobs withdrawn with others that are not cancelled on record yet.
    pub fn withdrawn(&self) -> impl Iterator<Item = &str> {
        self.withdrawn.iter().map(String::as_str)
    }

    /// The newest incarnation known of a controller.
    pub fn incarnation_of(&self, node: &str) -> u64 {
        self.nodes.get(node).map_or(0, |n| n.1.incarnation)
    }
}
