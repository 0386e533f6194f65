//! A transaction under way and its parts: segments of the log, checkpoints and final records.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use crate::cluster::JobNumber;
use crate::gang::Gang;
use crate::job::JobState;
use crate::records::{
    chunk_key, job_key, log_key, AllocationRecord, ChunkRecord, Entry, JobRecord, LogRecord, CHUNK,
    TERM_KEY,
};
use crate::scheduler::{Allocation, Precondition, Scheduler, Task, Write};
use crate::time::Micros;

/// What a transaction takes beside its parts.
const OVERHEAD_BYTES: usize = 100;
/// The largest segment.
const SEGMENT_BYTES: usize = 16 * 1024;

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactionOutcome {
    /// Carried out, at this revision.
    Committed(u64),
    /// These keys were not as expected.
    Conflict(Vec<String>),
    /// Not carried out: refused, or no connection.
    Unavailable,
    /// Not carried out: more changes than the store takes now.
    RateLimited,
    /// Never to be carried out as it stands: larger than the store takes.
    TooLarge,
    /// No answer: it may have been carried out, or may yet be.
    Unknown,
}

/// Machines of a block, and whether the return of each is intended.
pub(in crate::scheduler) type Members = Vec<(Arc<str>, bool)>;

/// The transaction under way.
#[derive(Default)]
pub(in crate::scheduler) struct TransactionContents {
    /// The segment's key and the tasks that it speaks of.
    pub segment: Option<u32>,
    pub tasks: BTreeSet<(JobNumber, u32)>,
    pub chunks: Vec<(JobNumber, u32)>,
    pub finished: Vec<JobNumber>,
    pub machine_blocks: Vec<(u32, Members)>,
    pub obsolete_keys: Vec<String>,
}

/// Collects a transaction's parts within its limits.
pub(in crate::scheduler) struct TransactionBuilder {
    pub preconditions: Vec<Precondition>,
    pub writes: Vec<Write>,
    bytes: usize,
    /// The most conditions, whatever the number of writes.
    max_preconditions: usize,
}

impl TransactionBuilder {
    /// A transaction on condition of the term, with at most so many conditions.
    pub fn new(term_revision: u64, max_preconditions: usize) -> TransactionBuilder {
        TransactionBuilder {
            preconditions: vec![Precondition::new(TERM_KEY, term_revision)],
            writes: Vec::new(),
            bytes: OVERHEAD_BYTES,
            max_preconditions,
        }
    }

    pub fn fits(&self, ops: usize, writes: usize, bytes: usize, max: usize) -> bool {
        self.writes.len() + writes <= ops
            && self.preconditions.len() + 2 * writes <= self.max_preconditions
            && self.bytes + bytes <= max
    }

    pub fn require(&mut self, key: String, revision: u64) {
        if !self.preconditions.iter().any(|known| known.key == key) {
            self.bytes += key.len() + 40;
            self.preconditions.push(Precondition { key, revision });
        }
    }

    pub fn write(&mut self, key: String, value: Option<String>) {
        self.bytes += key.len() + value.as_ref().map_or(0, String::len) + 40;
        self.writes.push(Write { key, value });
    }
}

pub(in crate::scheduler) fn json<T: Serialize>(v: &T) -> Option<String> {
    serde_json::to_string(v).ok()
}

impl Scheduler {
    /// Adds the final records of jobs that are over.
    pub(in crate::scheduler) fn add_finals(
        &mut self,
        batch: &mut TransactionBuilder,
        pending: &mut TransactionContents,
        ops: usize,
        max: usize,
    ) {
        while let Some(&number) = self.persistence.finished_jobs.first() {
            let Some(job) = self.job_table.jobs.get(&number) else {
                self.persistence.finished_jobs.remove(&number);
                continue;
            };
            if !batch.fits(ops, 1, 400, max) {
                return;
            }
            let state = match job.state {
                JobState::Cancelled => JobState::Cancelled,
                _ => JobState::Done,
            };
            let finished = job.done_at.map(|at| self.clock.wall(at));
            let finished = finished.filter(|_| state == JobState::Done);
            batch.require(job_key(&job.id), job.rev);
            batch.write(job_key(&job.id), json(&JobRecord::over(state, finished)));
            self.persistence.finished_jobs.remove(&number);
            for task in 0..job.spec.tasks {
                self.persistence.unsaved_tasks.remove(number, task);
            }
            pending.finished.push(number);
        }
    }

    /// Adds a segment with all that is dirty, what is due first, as far as it goes in one value.
    pub(in crate::scheduler) fn add_segment(
        &mut self,
        batch: &mut TransactionBuilder,
        pending: &mut TransactionContents,
        ops: usize,
        max: usize,
        now: Micros,
    ) {
        if self
            .persistence
            .unsaved_tasks
            .queue
            .first()
            .is_none_or(|d| d.0 > now)
        {
            return;
        }
        if !self.slot_is_free() {
            self.persistence.alerts.blocked_since.get_or_insert(now);
            return;
        }
        self.persistence.alerts.blocked_since = None;
        let limit = (self.config.max_value_bytes * 7 / 8)
            .min(SEGMENT_BYTES)
            .min(max / 2);
        let mut entries: BTreeMap<JobNumber, Vec<Entry>> = BTreeMap::new();
        let mut bytes = 60;
        // Placements are on condition of their job. The segment's own key and the other writes need
        // conditions as well.
        let spare = batch
            .max_preconditions
            .saturating_sub(batch.preconditions.len() + 2 * ops)
            .max(1);
        let mut placed: BTreeSet<JobNumber> = BTreeSet::new();
        while let Some(&(_, number, task)) = self.persistence.unsaved_tasks.queue.first() {
            let Some(job) = self.job_table.jobs.get_mut(&number) else {
                self.persistence.unsaved_tasks.remove(number, task);
                continue;
            };
            let head = if entries.contains_key(&number) {
                0
            } else {
                job.id.len() + 8
            };
            let allocations =
                job.tasks[task as usize].allocation.is_some() && !placed.contains(&number);
            let name = job.tasks[task as usize].allocation.as_ref();
            let size = name.map_or(0, |allocation| allocation.machine.len()) + 32;
            if bytes + head + size > limit || (allocations && placed.len() >= spare) {
                break;
            }
            if allocations {
                placed.insert(number);
            }
            self.persistence.unsaved_tasks.remove(number, task);
            let entry = entry_of(task, &mut job.tasks[task as usize], job.gang);
            bytes += head + size;
            entries.entry(number).or_default().push(entry);
            pending.tasks.insert((number, task));
        }
        if entries.is_empty() {
            return;
        }
        let mut rec = LogRecord {
            number: self.persistence.placement_log.next,
            entries: Vec::with_capacity(entries.len()),
        };
        for (number, list) in entries {
            if let Some(job) = self.job_table.jobs.get(&number) {
                // Nothing is placed for a job that was cancelled meanwhile.
                if list.iter().any(|e| !e.2.is_empty()) {
                    batch.require(job_key(&job.id), job.rev);
                }
                rec.entries.push((job.id.to_string(), list));
            }
        }
        let slot = self.persistence.placement_log.slot();
        let rev = self
            .persistence
            .placement_log
            .revs
            .get(&slot)
            .copied()
            .unwrap_or(0);
        batch.require(log_key(slot), rev);
        batch.write(log_key(slot), json(&rec));
        pending.segment = Some(slot);
    }

    /// Adds checkpoints of what the oldest segments speak of, before these are overwritten.
    pub(in crate::scheduler) fn add_checkpoints(
        &mut self,
        batch: &mut TransactionBuilder,
        pending: &mut TransactionContents,
        ops: usize,
        max: usize,
    ) {
        self.drop_obsolete_segments();
        let upto = self.persistence.placement_log.next - u64::from(pending.segment.is_none());
        // Some way ahead of the segment that is overwritten next: what is placed in a rush and stays,
        // as services do, would otherwise need hundreds of checkpoints at once.
        let ahead =
            self.persistence.placement_log.next + self.persistence.placement_log.ring / 4 + 1;
        let old: Vec<(JobNumber, u32)> = (self.persistence.placement_log.live.iter())
            .take_while(|(number, _)| **number + self.persistence.placement_log.ring < ahead)
            .take(64)
            .flat_map(|(number, chunks)| chunks.iter().map(move |c| (*number, *c)))
            .filter(|(number, (job, c))| self.dependencies(*number, *job, *c))
            .map(|(_, chunk)| chunk)
            .take(ops * 2)
            .collect();
        for (number, c) in old {
            if pending.chunks.contains(&(number, c))
                || self
                    .persistence
                    .placement_log
                    .rewritten
                    .contains_key(&(number, c))
            {
                continue;
            }
            let Some(job) = self.job_table.jobs.get_mut(&number) else {
                continue;
            };
            let lo = c * CHUNK;
            let hi = (lo + CHUNK).min(job.spec.tasks);
            let rec = chunk_record(&job.tasks[lo as usize..hi as usize], job.gang, upto);
            let Some(value) = json(&rec) else { continue };
            if value.len() > self.config.max_value_bytes {
                let from =
                    self.persistence.placement_log.next + u64::from(pending.segment.is_some());
                for (task, t) in (lo..hi).zip(&job.tasks[lo as usize..hi as usize]) {
                    if t.attempt > 0 || t.done {
                        self.persistence
                            .unsaved_tasks
                            .mark(number, task, self.clock.polled_at());
                    }
                }
                self.persistence
                    .placement_log
                    .rewritten
                    .insert((number, c), from);
                continue;
            }
            if !batch.fits(ops, 1, value.len() + 200, max) {
                return;
            }
            batch.require(job_key(&job.id), job.rev);
            let key = chunk_key(&job.id, c);
            batch.require(key.clone(), job.chunks[c as usize].0);
            batch.write(key, Some(value));
            for task in lo..hi {
                // The checkpoint says it as well.
                self.persistence.unsaved_tasks.remove(number, task);
                entry_of(task, &mut job.tasks[task as usize], job.gang);
            }
            pending.chunks.push((number, c));
        }
    }
}

/// A gang's members go on record at quorum, not before.
fn on_record(allocation: &Allocation, gang: Gang) -> bool {
    allocation.committed || !matches!(gang, Gang::Holding { .. })
}

/// What the log says of a task; its place is part of the transaction from now on.
fn entry_of(task: u32, t: &mut Task, gang: Gang) -> Entry {
    let mut entry = Entry(task, t.attempt, String::new(), 0, u8::from(t.done));
    if let Some(allocation) = t.allocation.as_mut().filter(|p| on_record(p, gang)) {
        allocation.in_transaction = true;
        entry.2 = allocation.machine.to_string();
        entry.3 = allocation.agent_epoch;
    }
    entry
}

fn chunk_record(tasks: &[Task], gang: Gang, upto: u64) -> ChunkRecord {
    let mut rec = ChunkRecord {
        upto,
        ..ChunkRecord::default()
    };
    for (i, t) in tasks.iter().enumerate() {
        rec.attempts.push(t.attempt);
        if t.done {
            rec.add_done(i as u32);
        }
        if let Some(p) = t.allocation.as_ref().filter(|p| on_record(p, gang)) {
            rec.allocations.push(AllocationRecord(
                i as u32,
                p.machine.to_string(),
                p.agent_epoch,
            ));
        }
    }
    rec
}
