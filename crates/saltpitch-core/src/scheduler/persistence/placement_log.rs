//! The log of placements and task outcomes: a ring of segments. A segment may be overwritten once checkpoints
//! cover all of its entries that are still needed.

use std::collections::BTreeMap;

use super::task_keys::{TaskKey, TaskRange};
use super::unsaved_tasks::UnsavedTasks;
use crate::records::{RecordCache, RecordedSegment};
use crate::scheduler::job_table::JobTable;
use crate::scheduler::SchedulerConfig;

/// Checkpoints take precedence over other writes when less than `1 / SHORT_OF_SPACE_DIVISOR` of the ring is free:
/// a full log blocks every placement.
const SHORT_OF_SPACE_DIVISOR: u64 = 8;
/// Checkpoints are written for the segments that will be overwritten within the next
/// `1 / CHECKPOINT_AHEAD_DIVISOR` of the ring. Otherwise, many long-running tasks that were placed at the same
/// time, such as those of services, would need hundreds of checkpoints at once.
const CHECKPOINT_AHEAD_DIVISOR: u64 = 4;
/// Maximum number of segments that are searched for task ranges in need of a checkpoint.
const MAX_SEARCHED_SEGMENTS: usize = 64;

/// The state of the ring of segments.
pub(super) struct PlacementLog {
    /// Number of slots in the ring; each of them has its own key.
    segment_count: u64,
    /// The number of the segment that is written next.
    next_segment: u64,
    /// The revision of the key of each slot that has been written.
    slot_revisions: BTreeMap<u32, u64>,
    /// The task ranges with an entry in each segment that may still be needed, by the segment's number.
    live_segments: BTreeMap<u64, Vec<TaskRange>>,
    /// Ranges whose checkpoint is too large for one value, and the first segment that their tasks are written
    /// to again instead.
    rewrites: BTreeMap<TaskRange, u64>,
}

impl PlacementLog {
    /// Creates the log's state from the records. The task ranges in its segments are added by
    /// [`PlacementLog::restore`] once the jobs are known.
    pub(super) fn new(records: &RecordCache, config: &SchedulerConfig) -> PlacementLog {
        PlacementLog {
            segment_count: config.log_segments,
            next_segment: records.last_segment + 1,
            slot_revisions: slot_revisions(records),
            live_segments: BTreeMap::new(),
            rewrites: BTreeMap::new(),
        }
    }

    /// Adds the task ranges in the recorded segments.
    pub(super) fn restore(&mut self, records: &RecordCache, jobs: &JobTable) {
        for segment in records.segments.values() {
            let ranges = known_ranges(segment, jobs);
            self.live_segments.insert(segment.number, ranges);
        }
    }

    /// Applies reloaded records: the segment of a transaction with an unknown outcome, if it was committed.
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

    /// Returns the number of the segment that is written next.
    pub(super) fn next_segment(&self) -> u64 {
        self.next_segment
    }

    /// Returns how many segments can be written before one that may still be needed would be overwritten.
    pub(super) fn free_segments(&self) -> u64 {
        let oldest = self.live_segments.keys().next();
        oldest.map_or(self.segment_count, |number| {
            (number + self.segment_count).saturating_sub(self.next_segment)
        })
    }

    /// Returns whether so few segments are free that checkpoints take precedence over other writes.
    pub(super) fn is_short_of_space(&self) -> bool {
        self.free_segments() < self.segment_count / SHORT_OF_SPACE_DIVISOR
    }

    /// Returns the slot that the next segment is written to.
    pub(super) fn next_slot(&self) -> u32 {
        (self.next_segment % self.segment_count) as u32
    }

    /// Returns the revision of a slot's key, or 0 if it was never written.
    pub(super) fn slot_revision(&self, slot: u32) -> u64 {
        self.slot_revisions.get(&slot).copied().unwrap_or(0)
    }

    /// Records that the next segment has been committed, with entries of these task ranges.
    pub(super) fn segment_written(&mut self, slot: u32, revision: u64, ranges: Vec<TaskRange>) {
        self.slot_revisions.insert(slot, revision);
        self.live_segments.insert(self.next_segment, ranges);
        self.next_segment += 1;
    }

    /// Drops the oldest segments up to the first one that is still needed.
    pub(super) fn drop_obsolete_segments(&mut self, jobs: &JobTable) {
        while let Some((number, ranges)) = self.live_segments.first_key_value() {
            if ranges.iter().any(|range| is_needed(*number, *range, jobs)) {
                return;
            }
            self.live_segments.pop_first();
        }
    }

    /// Returns at most `limit` task ranges of the oldest segments that need a checkpoint.
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

    /// Registers that all tasks of the range are written to the log again, from `first_segment` on.
    pub(super) fn begin_rewrite(&mut self, range: TaskRange, first_segment: u64) {
        self.rewrites.insert(range, first_segment);
    }

    /// Returns whether the range's tasks are being written to the log again.
    pub(super) fn is_rewriting(&self, range: TaskRange) -> bool {
        self.rewrites.contains_key(&range)
    }

    /// Marks ranges whose tasks have all been written to the log again as independent of earlier segments. Must
    /// only be called while no transaction is in flight.
    pub(super) fn finish_rewrites(&mut self, jobs: &mut JobTable, unsaved_tasks: &UnsavedTasks) {
        self.rewrites.retain(|range, first_segment| {
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

/// Returns the task ranges with an entry in a segment, for jobs that are in memory.
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

/// Returns whether the range still needs the segment, because its checkpoint does not cover it.
fn is_needed(segment: u64, range: TaskRange, jobs: &JobTable) -> bool {
    let job = jobs.get(range.job);
    let checkpoint = job.and_then(|job| job.checkpoints.get(range.index as usize));
    checkpoint.is_some_and(|checkpoint| checkpoint.up_to_segment < segment)
}
