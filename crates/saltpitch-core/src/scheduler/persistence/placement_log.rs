//! The log of placements and outcomes: a ring of segments. A segment may be overwritten once checkpoints
//! hold everything that still matters of it.

use std::collections::BTreeMap;

use super::task_keys::{TaskKey, TaskRange};
use super::unsaved_tasks::UnsavedTasks;
use crate::records::{RecordCache, RecordedSegment};
use crate::scheduler::job_table::JobTable;
use crate::scheduler::SchedulerConfig;

/// Checkpoints take precedence over other writes when fewer than this part of the ring is free: a full
/// log would hold up every placement.
const SHORT_OF_SPACE_DIVISOR: u64 = 8;
/// Checkpoints are written for segments up to this part of the ring ahead of the one that is overwritten
/// next: what is placed in a rush and stays, as services do, would otherwise need hundreds of
/// checkpoints at once.
const CHECKPOINT_AHEAD_DIVISOR: u64 = 4;
/// The most segments that are searched for ranges in need of a checkpoint.
const MAX_SEARCHED_SEGMENTS: usize = 64;

/// The state of the log's ring.
pub(super) struct PlacementLog {
    /// How many keys the segments go round in.
    segment_count: u64,
    /// The next segment's number.
    next_segment: u64,
    /// The revision of each key in use.
    slot_revisions: BTreeMap<u32, u64>,
    /// Ranges that each segment mentions and that may still need it.
    live_segments: BTreeMap<u64, Vec<TaskRange>>,
    /// Ranges whose checkpoint is too large for one value: all of their tasks are written to the log
    /// anew instead, in segments from this one on.
    rewritten_from: BTreeMap<TaskRange, u64>,
}

impl PlacementLog {
    /// The log as the records show it. The ranges that need it are added by
    /// [`PlacementLog::restore`] once the jobs are known.
    pub(super) fn new(records: &RecordCache, config: &SchedulerConfig) -> PlacementLog {
        PlacementLog {
            segment_count: config.log_segments,
            next_segment: records.last_segment + 1,
            slot_revisions: slot_revisions(records),
            live_segments: BTreeMap::new(),
            rewritten_from: BTreeMap::new(),
        }
    }

    /// Takes in which ranges the segments on record mention.
    pub(super) fn restore(&mut self, records: &RecordCache, jobs: &JobTable) {
        for segment in records.segments.values() {
            let ranges = known_ranges(segment, jobs);
            self.live_segments.insert(segment.number, ranges);
        }
    }

    /// Takes in what a transaction without an answer did, if it was carried out.
    pub(super) fn reload(&mut self, records: &RecordCache, jobs: &JobTable) {
        self.slot_revisions = slot_revisions(records);
        for segment in records.segments.values() {
            if segment.number >= self.next_segment {
                let ranges = known_ranges(segment, jobs);
                self.live_segments.insert(segment.number, ranges);
            }
        }
        self.next_segment = self.next_segment.max(records.last_segment + 1);
    }

    /// The number of the segment that is written next.
    pub(super) fn next_segment(&self) -> u64 {
        self.next_segment
    }

    /// How many segments can be written before one that may still be needed is overwritten.
    pub(super) fn free_segments(&self) -> u64 {
        let oldest = self.live_segments.keys().next();
        oldest.map_or(self.segment_count, |number| {
            (number + self.segment_count).saturating_sub(self.next_segment)
        })
    }

    /// Whether checkpoints are to be written before anything else, to free segments.
    pub(super) fn is_short_of_space(&self) -> bool {
        self.free_segments() < self.segment_count / SHORT_OF_SPACE_DIVISOR
    }

    /// The key that the next segment goes to.
    pub(super) fn next_slot(&self) -> u32 {
        (self.next_segment % self.segment_count) as u32
    }

    /// The revision of a key, 0 if it was never written.
    pub(super) fn slot_revision(&self, slot: u32) -> u64 {
        self.slot_revisions.get(&slot).copied().unwrap_or(0)
    }

    /// The next segment was written, and mentions these ranges.
    pub(super) fn segment_written(&mut self, slot: u32, revision: u64, ranges: Vec<TaskRange>) {
        self.slot_revisions.insert(slot, revision);
        self.live_segments.insert(self.next_segment, ranges);
        self.next_segment += 1;
    }

    /// Drops the oldest segments as far as checkpoints hold everything that still matters of them.
    pub(super) fn drop_obsolete_segments(&mut self, jobs: &JobTable) {
        while let Some((number, ranges)) = self.live_segments.first_key_value() {
            if ranges.iter().any(|range| is_needed(*number, *range, jobs)) {
                return;
            }
            self.live_segments.pop_first();
        }
    }

    /// The ranges of the oldest segments that need a checkpoint, at most `limit`.
    pub(super) fn ranges_without_checkpoint(
        &self,
        jobs: &JobTable,
        limit: usize,
    ) -> Vec<TaskRange> {
        let horizon = self.next_segment + self.segment_count / CHECKPOINT_AHEAD_DIVISOR + 1;
        self.live_segments
            .iter()
            .take_while(|(number, _)| **number + self.segment_count < horizon)
            .take(MAX_SEARCHED_SEGMENTS)
            .flat_map(|(number, ranges)| ranges.iter().map(move |range| (*number, *range)))
            .filter(|(number, range)| is_needed(*number, *range, jobs))
            .map(|(_, range)| range)
            .take(limit)
            .collect()
    }

    /// All tasks of the range are written to the log anew, in segments from `first_segment` on.
    pub(super) fn begin_rewrite(&mut self, range: TaskRange, first_segment: u64) {
        self.rewritten_from.insert(range, first_segment);
    }

    /// Whether the range's tasks are being written to the log anew.
    pub(super) fn is_rewriting(&self, range: TaskRange) -> bool {
        self.rewritten_from.contains_key(&range)
    }

    /// Ranges that were written to the log anew need none of the earlier segments. Only to be called
    /// while no transaction is in flight.
    pub(super) fn finish_rewrites(&mut self, jobs: &mut JobTable, unsaved_tasks: &UnsavedTasks) {
        self.rewritten_from.retain(|range, first_segment| {
            let Some(job) = jobs.get_mut(range.job) else {
                return false;
            };
            let mut tasks = range.tasks(job.spec.tasks);
            if tasks.any(|task| unsaved_tasks.contains(TaskKey::new(range.job, task))) {
                return true;
            }
            if let Some(checkpoint) = job.checkpoints.get_mut(range.index as usize) {
                let rewritten_up_to = first_segment.saturating_sub(1);
                checkpoint.up_to_segment = checkpoint.up_to_segment.max(rewritten_up_to);
            }
            false
        });
    }
}

fn slot_revisions(records: &RecordCache) -> BTreeMap<u32, u64> {
    let segments = records.segments.iter();
    segments
        .map(|(slot, segment)| (*slot, segment.revision))
        .collect()
}

/// The ranges that a segment mentions, of jobs that are in memory.
fn known_ranges(segment: &RecordedSegment, jobs: &JobTable) -> Vec<TaskRange> {
    let ranges = segment.task_ranges.iter();
    ranges
        .filter_map(|range| {
            let job = jobs.number_of(&range.job)?;
            let index = range.index;
            Some(TaskRange { job, index })
        })
        .collect()
}

/// Whether the range's checkpoint is older than the segment.
fn is_needed(segment: u64, range: TaskRange, jobs: &JobTable) -> bool {
    let job = jobs.get(range.job);
    let checkpoint = job.and_then(|job| job.checkpoints.get(range.index as usize));
    checkpoint.is_some_and(|checkpoint| checkpoint.up_to_segment < segment)
}
