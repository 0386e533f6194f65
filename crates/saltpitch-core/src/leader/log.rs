//! The log of placements and outcomes: a ring of segments, of which those that checkpoints hold may be
//! overwritten.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::{Config, Leader};
use crate::cluster::JobNo;
use crate::records::{View, CHUNK};

/// The log of placements and outcomes.
pub(super) struct Log {
    /// Keys that the segments go round in.
    pub(super) ring: u64,
    /// The next segment's number.
    pub(super) next: u64,
    /// Revision of each key in use.
    pub(super) revs: BTreeMap<u32, u64>,
    /// Chunks that each segment speaks of and that may still need it.
    pub(super) live: BTreeMap<u64, Vec<(JobNo, u32)>>,
    /// Chunks whose checkpoint is too large for one value: all of their tasks are written to the log
    /// anew instead, in segments from this one on.
    pub(super) again: BTreeMap<(JobNo, u32), u64>,
}

impl Log {
    pub(super) fn new(view: &View, cfg: &Config) -> Log {
        Log {
            ring: cfg.log_ring,
            next: view.last_segment + 1,
            revs: view.log.iter().map(|(slot, s)| (*slot, s.rev)).collect(),
            live: BTreeMap::new(),
            again: BTreeMap::new(),
        }
    }

    /// What the segments on record speak of, once the jobs are known.
    pub(super) fn recall(&mut self, view: &View, by_id: &HashMap<Arc<str>, JobNo>) {
        for s in view.log.values() {
            let known = s.chunks.iter();
            let known = known.filter_map(|(id, c)| Some((*by_id.get(id.as_str())?, *c)));
            self.live.insert(s.no, known.collect());
        }
    }

    pub(super) fn next(&self) -> u64 {
        self.next
    }

    /// How many segments can be written before one that may still be needed is overwritten.
    pub(super) fn room(&self) -> u64 {
        let first = self.live.keys().next();
        first.map_or(self.ring, |no| (no + self.ring).saturating_sub(self.next))
    }

    /// The key that the next segment goes to.
    pub(super) fn slot(&self) -> u32 {
        (self.next % self.ring) as u32
    }
}

impl Leader {
    /// Whether nothing needs the segment any more that the next one overwrites.
    pub(super) fn slot_is_free(&mut self) -> bool {
        self.forget_segments();
        self.log.room() > 0
    }

    /// Drops the oldest segments of which checkpoints hold all that still matters.
    pub(super) fn forget_segments(&mut self) {
        self.settle_written_again();
        while let Some((no, chunks)) = self.log.live.first_key_value() {
            let needed = chunks.iter().any(|(job, c)| self.needs(*no, *job, *c));
            if needed {
                return;
            }
            self.log.live.pop_first();
        }
    }

    /// Chunks that were written to the log anew don't need what it said of them before.
    pub(super) fn settle_written_again(&mut self) {
        if self.log.again.is_empty() || self.txn.is_some() {
            return;
        }
        let all = std::mem::take(&mut self.log.again);
        for ((no, c), from) in all {
            let Some(job) = self.jobs.get_mut(&no) else {
                continue;
            };
            let hi = (c * CHUNK + CHUNK).min(job.spec.tasks);
            if (c * CHUNK..hi).any(|t| self.dirty.contains(no, t)) {
                self.log.again.insert((no, c), from);
            } else if let Some(at) = job.chunks.get_mut(c as usize) {
                at.1 = at.1.max(from.saturating_sub(1));
            }
        }
    }

    pub(super) fn needs(&self, segment: u64, job: JobNo, chunk: u32) -> bool {
        let job = self.jobs.get(&job);
        job.and_then(|j| j.chunks.get(chunk as usize))
            .is_some_and(|at| at.1 < segment)
    }
}
