//! A transaction under way and its parts: segments of the log, checkpoints and final records.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::Serialize;

use super::{Leader, Place, Task, Write};
use crate::cluster::JobNo;
use crate::gang::Gang;
use crate::job::JobState;
use crate::records::{
    chunk_key, job_key, log_key, ChunkRecord, Entry, JobRecord, LogRecord, PlaceRecord, CHUNK,
    TERM_KEY,
};
use crate::time::Micros;

/// What a transaction takes beside its parts.
const OVERHEAD_BYTES: usize = 100;
/// The largest segment.
const SEGMENT_BYTES: usize = 16 * 1024;

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Done(u64),
    /// These keys were not as expected.
    Failed(Vec<String>),
    /// Not carried out: refused, or no connection.
    Refused,
    /// Not carried out: more changes than the store takes now.
    Throttled,
    /// Never to be carried out as it stands: larger than the store takes.
    Rejected,
    /// No answer: it may have been carried out, or may yet be.
    Unknown,
}

/// Machines of a block, and whether the return of each is intended.
pub(super) type Members = Vec<(Arc<str>, bool)>;

/// The transaction under way.
#[derive(Default)]
pub(super) struct Pending {
    /// The segment's key and the tasks that it speaks of.
    pub segment: Option<u32>,
    pub tasks: BTreeSet<(JobNo, u32)>,
    pub chunks: Vec<(JobNo, u32)>,
    pub finals: Vec<JobNo>,
    pub blocks: Vec<(u32, Members)>,
    pub leftovers: Vec<String>,
}

/// Collects a transaction's parts within its limits.
pub(super) struct Batch {
    pub when: Vec<(String, u64)>,
    pub writes: Vec<Write>,
    bytes: usize,
    /// The most conditions, whatever the number of writes.
    max_when: usize,
}

impl Batch {
    /// A transaction on condition of the term, with at most so many conditions.
    pub fn new(term_revision: u64, max_when: usize) -> Batch {
        Batch {
            when: vec![(TERM_KEY.to_owned(), term_revision)],
            writes: Vec::new(),
            bytes: OVERHEAD_BYTES,
            max_when,
        }
    }

    pub fn fits(&self, ops: usize, writes: usize, bytes: usize, max: usize) -> bool {
        self.writes.len() + writes <= ops
            && self.when.len() + 2 * writes <= self.max_when
            && self.bytes + bytes <= max
    }

    pub fn when(&mut self, key: String, rev: u64) {
        if !self.when.iter().any(|w| w.0 == key) {
            self.bytes += key.len() + 40;
            self.when.push((key, rev));
        }
    }

    pub fn write(&mut self, key: String, value: Option<String>) {
        self.bytes += key.len() + value.as_ref().map_or(0, String::len) + 40;
        self.writes.push(Write { key, value });
    }
}

pub(super) fn json<T: Serialize>(v: &T) -> Option<String> {
    serde_json::to_string(v).ok()
}

impl Leader {
    /// Adds the final records of jobs that are over.
    pub(super) fn add_finals(
        &mut self,
        batch: &mut Batch,
        pending: &mut Pending,
        ops: usize,
        max: usize,
    ) {
        while let Some(&no) = self.final_jobs.first() {
            let Some(job) = self.jobs.get(&no) else {
                self.final_jobs.remove(&no);
                continue;
            };
            if !batch.fits(ops, 1, 400, max) {
                return;
            }
            let state = match job.state {
                JobState::Cancelled => JobState::Cancelled,
                _ => JobState::Done,
            };
            let finished = job.done_at.map(|at| self.wall_offset.plus(at));
            let finished = finished.filter(|_| state == JobState::Done);
            batch.when(job_key(&job.id), job.rev);
            batch.write(job_key(&job.id), json(&JobRecord::over(state, finished)));
            self.final_jobs.remove(&no);
            for task in 0..job.spec.tasks {
                self.dirty.remove(no, task);
            }
            pending.finals.push(no);
        }
    }

    /// Adds a segment with all that is dirty, what is due first, as far as it goes in one value.
    pub(super) fn add_segment(
        &mut self,
        batch: &mut Batch,
        pending: &mut Pending,
        ops: usize,
        max: usize,
        now: Micros,
    ) {
        if self.dirty.queue.first().is_none_or(|d| d.0 > now) {
            return;
        }
        if !self.slot_is_free() {
            self.log_state.blocked_since.get_or_insert(now);
            return;
        }
        self.log_state.blocked_since = None;
        let limit = (self.cfg.value_bytes * 7 / 8)
            .min(SEGMENT_BYTES)
            .min(max / 2);
        let mut entries: BTreeMap<JobNo, Vec<Entry>> = BTreeMap::new();
        let mut bytes = 60;
        // Placements are on condition of their job. The segment's own key and the other writes need
        // conditions as well.
        let spare = batch
            .max_when
            .saturating_sub(batch.when.len() + 2 * ops)
            .max(1);
        let mut placed: BTreeSet<JobNo> = BTreeSet::new();
        while let Some(&(_, no, task)) = self.dirty.queue.first() {
            let Some(job) = self.jobs.get_mut(&no) else {
                self.dirty.remove(no, task);
                continue;
            };
            let head = if entries.contains_key(&no) {
                0
            } else {
                job.id.len() + 8
            };
            let places = job.tasks[task as usize].place.is_some() && !placed.contains(&no);
            let name = job.tasks[task as usize].place.as_ref();
            let size = name.map_or(0, |place| place.machine.len()) + 32;
            if bytes + head + size > limit || (places && placed.len() >= spare) {
                break;
            }
            if places {
                placed.insert(no);
            }
            self.dirty.remove(no, task);
            let entry = entry_of(task, &mut job.tasks[task as usize], job.gang);
            bytes += head + size;
            entries.entry(no).or_default().push(entry);
            pending.tasks.insert((no, task));
        }
        if entries.is_empty() {
            return;
        }
        let mut rec = LogRecord {
            no: self.log.next,
            entries: Vec::with_capacity(entries.len()),
        };
        for (no, list) in entries {
            if let Some(job) = self.jobs.get(&no) {
                // Nothing is placed for a job that was cancelled meanwhile.
                if list.iter().any(|e| !e.2.is_empty()) {
                    batch.when(job_key(&job.id), job.rev);
                }
                rec.entries.push((job.id.to_string(), list));
            }
        }
        let slot = self.log.slot();
        let rev = self.log.revs.get(&slot).copied().unwrap_or(0);
        batch.when(log_key(slot), rev);
        batch.write(log_key(slot), json(&rec));
        pending.segment = Some(slot);
    }

    /// Adds checkpoints of what the oldest segments speak of, before these are overwritten.
    pub(super) fn add_checkpoints(
        &mut self,
        batch: &mut Batch,
        pending: &mut Pending,
        ops: usize,
        max: usize,
    ) {
        self.forget_segments();
        let upto = self.log.next - u64::from(pending.segment.is_none());
        // Some way ahead of the segment that is overwritten next: what is placed in a rush and stays,
        // as services do, would otherwise need hundreds of checkpoints at once.
        let ahead = self.log.next + self.log.ring / 4 + 1;
        let old: Vec<(JobNo, u32)> = (self.log.live.iter())
            .take_while(|(no, _)| **no + self.log.ring < ahead)
            .take(64)
            .flat_map(|(no, chunks)| chunks.iter().map(move |c| (*no, *c)))
            .filter(|(no, (job, c))| self.needs(*no, *job, *c))
            .map(|(_, chunk)| chunk)
            .take(ops * 2)
            .collect();
        for (no, c) in old {
            if pending.chunks.contains(&(no, c)) || self.log.again.contains_key(&(no, c)) {
                continue;
            }
            let Some(job) = self.jobs.get_mut(&no) else {
                continue;
            };
            let lo = c * CHUNK;
            let hi = (lo + CHUNK).min(job.spec.tasks);
            let rec = chunk_record(&job.tasks[lo as usize..hi as usize], job.gang, upto);
            let Some(value) = json(&rec) else { continue };
            if value.len() > self.cfg.value_bytes {
                let from = self.log.next + u64::from(pending.segment.is_some());
                for (task, t) in (lo..hi).zip(&job.tasks[lo as usize..hi as usize]) {
                    if t.attempt > 0 || t.done {
                        self.dirty.mark(no, task, self.polled_at);
                    }
                }
                self.log.again.insert((no, c), from);
                continue;
            }
            if !batch.fits(ops, 1, value.len() + 200, max) {
                return;
            }
            batch.when(job_key(&job.id), job.rev);
            let key = chunk_key(&job.id, c);
            batch.when(key.clone(), job.chunks[c as usize].0);
            batch.write(key, Some(value));
            for task in lo..hi {
                // The checkpoint says it as well.
                self.dirty.remove(no, task);
                entry_of(task, &mut job.tasks[task as usize], job.gang);
            }
            pending.chunks.push((no, c));
        }
    }
}

/// A gang's members go on record at quorum, not before.
fn on_record(place: &Place, gang: Gang) -> bool {
    place.committed || !matches!(gang, Gang::Holding { .. })
}

/// What the log says of a task; its place is part of the transaction from now on.
fn entry_of(task: u32, t: &mut Task, gang: Gang) -> Entry {
    let mut entry = Entry(task, t.attempt, String::new(), 0, u8::from(t.done));
    if let Some(place) = t.place.as_mut().filter(|p| on_record(p, gang)) {
        place.in_txn = true;
        entry.2 = place.machine.to_string();
        entry.3 = place.session;
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
        if let Some(p) = t.place.as_ref().filter(|p| on_record(p, gang)) {
            rec.places
                .push(PlaceRecord(i as u32, p.machine.to_string(), p.session));
        }
    }
    rec
}
