//! The log of placements and outcomes: a ring of segments, of which those that checkpoints hold may be
//! overwritten.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use crate::cluster::JobNumber;
use crate::records::{RecordCache, CHUNK};
use crate::scheduler::{Scheduler, SchedulerConfig};

/// The log of placements and outcomes.
pub(in crate::scheduler) struct PlacementLog {
    /// Keys that the segments go round in.
    pub(in crate::scheduler) ring: u64,
    /// The next segment's number.
    pub(in crate::scheduler) next: u64,
    /// Revision of each key in use.
    pub(in crate::scheduler) revs: BTreeMap<u32, u64>,
    /// Chunks that each segment speaks of and that may still need it.
    pub(in crate::scheduler) live: BTreeMap<u64, Vec<(JobNumber, u32)>>,
    /// Chunks whose checkpoint is too large for one value: all of their tasks are written to the log
    /// anew instead, in segments from this one on.
    pub(in crate::scheduler) rewritten: BTreeMap<(JobNumber, u32), u64>,
}

impl PlacementLog {
    pub(in crate::scheduler) fn new(
        records: &RecordCache,
        config: &SchedulerConfig,
    ) -> PlacementLog {
        PlacementLog {
            ring: config.log_segments,
            next: records.last_segment + 1,
            revs: records
                .segments
                .iter()
                .map(|(slot, s)| (*slot, s.rev))
                .collect(),
            live: BTreeMap::new(),
            rewritten: BTreeMap::new(),
        }
    }

    /// What the segments on record speak of, once the jobs are known.
    pub(in crate::scheduler) fn restore(
        &mut self,
        records: &RecordCache,
        job_numbers: &HashMap<Arc<str>, JobNumber>,
    ) {
        for s in records.segments.values() {
            let known = s.chunks.iter();
            let known = known.filter_map(|(id, c)| Some((*job_numbers.get(id.as_str())?, *c)));
            self.live.insert(s.number, known.collect());
        }
    }

    pub(in crate::scheduler) fn next(&self) -> u64 {
        self.next
    }

    /// How many segments can be written before one that may still be needed is overwritten.
    pub(in crate::scheduler) fn room(&self) -> u64 {
        let first = self.live.keys().next();
        first.map_or(self.ring, |number| {
            (number + self.ring).saturating_sub(self.next)
        })
    }

    /// The key that the next segment goes to.
    pub(in crate::scheduler) fn slot(&self) -> u32 {
        (self.next % self.ring) as u32
    }
}

impl Scheduler {
    /// Whether nothing needs the segment any more that the next one overwrites.
    pub(in crate::scheduler) fn slot_is_free(&mut self) -> bool {
        self.drop_obsolete_segments();
        self.persistence.placement_log.room() > 0
    }

    /// Drops the oldest segments of which checkpoints hold all that still matters.
    pub(in crate::scheduler) fn drop_obsolete_segments(&mut self) {
        self.finish_rewrites();
        while let Some((number, chunks)) = self.persistence.placement_log.live.first_key_value() {
            let needed = chunks
                .iter()
                .any(|(job, c)| self.dependencies(*number, *job, *c));
            if needed {
                return;
            }
            self.persistence.placement_log.live.pop_first();
        }
    }

    /// Chunks that were written to the log anew don't need what it said of them before.
    pub(in crate::scheduler) fn finish_rewrites(&mut self) {
        if self.persistence.placement_log.rewritten.is_empty()
            || self.persistence.in_flight.is_some()
        {
            return;
        }
        let all = std::mem::take(&mut self.persistence.placement_log.rewritten);
        for ((number, c), from) in all {
            let Some(job) = self.job_table.jobs.get_mut(&number) else {
                continue;
            };
            let hi = (c * CHUNK + CHUNK).min(job.spec.tasks);
            if (c * CHUNK..hi).any(|t| self.persistence.unsaved_tasks.contains(number, t)) {
                self.persistence
                    .placement_log
                    .rewritten
                    .insert((number, c), from);
            } else if let Some(at) = job.chunks.get_mut(c as usize) {
                at.1 = at.1.max(from.saturating_sub(1));
            }
        }
    }

    pub(in crate::scheduler) fn dependencies(
        &self,
        segment: u64,
        job: JobNumber,
        chunk: u32,
    ) -> bool {
        let job = self.job_table.jobs.get(&job);
        job.and_then(|job| job.chunks.get(chunk as usize))
            .is_some_and(|at| at.1 < segment)
    }
}
