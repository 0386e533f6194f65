//! The tasks in the cache, from checkpoints and segments of the placement log.

use serde_json::value::RawValue;

use super::{parse, Change, RecordCache, RecordError};
use crate::records::recorded_tasks::{
    AllocatedMachine, Checkpoint, RecordedRange, RecordedSegment, TaskState,
};
use crate::records::stored::{AllocationRecord, CheckpointRecord, SegmentEntry, SegmentRecord};
use crate::records::TASKS_PER_CHECKPOINT;

impl RecordCache {
    /// Returns how many tasks of a job are running, that is, have an allocation, and how many have completed. For
    /// display only.
    pub fn task_counts(&self, id: &str) -> (u64, u64) {
        let tasks = self.tasks.get(id);
        tasks.map_or((0, 0), |tasks| {
            (u64::from(tasks.placed), u64::from(tasks.done))
        })
    }

    pub(super) fn put_checkpoint(
        &mut self,
        id: &str,
        index: u32,
        raw: &RawValue,
        revision: u64,
    ) -> Result<Change, RecordError> {
        let known = self.checkpoints.get(id);
        let known = known.and_then(|checkpoints| checkpoints.get(&index));
        if known.is_some_and(|known| revision <= known.revision) {
            return Ok(Change::None);
        }
        let record: CheckpointRecord = parse(raw)?;
        let checkpoint = Checkpoint {
            revision,
            up_to_segment: record.up_to_segment,
        };
        let checkpoints = self.checkpoints.entry(id.to_owned()).or_default();
        checkpoints.insert(index, checkpoint);
        self.last_segment = self.last_segment.max(record.up_to_segment);
        if !self.has_final_record(id) {
            self.apply_checkpoint(id, index, record);
        }
        Ok(Change::Tasks)
    }

    pub(super) fn delete_checkpoint(&mut self, id: &str, index: u32, revision: u64) -> Change {
        if let Some(checkpoints) = self.checkpoints.get_mut(id) {
            let known = checkpoints.get(&index);
            if known.is_some_and(|known| known.revision < revision) {
                checkpoints.remove(&index);
            }
            if checkpoints.is_empty() {
                self.checkpoints.remove(id);
            }
        }
        Change::None
    }

    pub(super) fn put_segment(
        &mut self,
        slot: u32,
        raw: &RawValue,
        revision: u64,
    ) -> Result<Change, RecordError> {
        let known = self.segments.get(&slot);
        if known.is_some_and(|known| revision <= known.revision) {
            return Ok(Change::None);
        }
        let record: SegmentRecord = parse(raw)?;
        let number = record.number;
        self.last_segment = self.last_segment.max(number);
        let segment = RecordedSegment {
            revision,
            number,
            task_ranges: task_ranges(&record),
        };
        self.apply_segment(record);
        self.segments.insert(slot, segment);
        Ok(Change::Tasks)
    }

    fn apply_checkpoint(&mut self, id: &str, index: u32, record: CheckpointRecord) {
        let first_task = index.saturating_mul(TASKS_PER_CHECKPOINT);
        let states = self.tasks.entry(id.to_owned()).or_default();
        for (offset, state) in (0..).zip(checkpoint_states(record)) {
            states.set(first_task.saturating_add(offset), state);
        }
    }

    fn apply_segment(&mut self, record: SegmentRecord) {
        for (id, entries) in record.entries {
            if self.has_final_record(&id) {
                continue;
            }
            let job = self.jobs.get(&id);
            let spec = job.and_then(|job| job.record.spec.as_deref());
            let states = self.tasks.entry(id).or_default();
            for entry in entries {
                let task = entry.0;
                let state = entry_state(entry, record.number);
                let completed_allocation = states.set(task, state);
                let returned = &self.returned_machines;
                let on_machine = completed_allocation
                    .filter(|allocation| !returned.contains(&allocation.machine));
                if let (Some(allocation), Some(spec)) = (on_machine, spec) {
                    self.images.record_use(
                        &allocation.machine,
                        allocation.agent_epoch,
                        &spec.image,
                        spec.image_mb,
                    );
                }
            }
        }
    }
}

/// Returns the ranges of tasks with an entry in a segment.
fn task_ranges(record: &SegmentRecord) -> Vec<RecordedRange> {
    let mut ranges = Vec::new();
    for (id, entries) in &record.entries {
        let tasks = entries.iter().map(|entry| entry.0);
        let mut indexes: Vec<u32> = tasks.map(|task| task / TASKS_PER_CHECKPOINT).collect();
        indexes.sort_unstable();
        indexes.dedup();
        ranges.extend(indexes.into_iter().map(|index| RecordedRange {
            job: id.clone(),
            index,
        }));
    }
    ranges
}

/// Returns the states of a checkpoint's tasks, in the order of their indexes.
fn checkpoint_states(record: CheckpointRecord) -> Vec<TaskState> {
    let attempts = record.attempts.iter().take(TASKS_PER_CHECKPOINT as usize);
    let mut states: Vec<TaskState> = attempts
        .map(|attempt| TaskState {
            segment: record.up_to_segment,
            attempt: *attempt,
            ..TaskState::default()
        })
        .collect();
    for offset in record.done_tasks() {
        if let Some(state) = states.get_mut(offset as usize) {
            state.done = true;
        }
    }
    for AllocationRecord(offset, machine, agent_epoch) in record.allocations {
        if let Some(state) = states.get_mut(offset as usize) {
            state.allocation = Some(Box::new(AllocatedMachine {
                machine,
                agent_epoch,
            }));
        }
    }
    states
}

/// Returns the state of a task from its entry in a segment.
fn entry_state(entry: SegmentEntry, segment: u64) -> TaskState {
    let is_allocated = entry.is_allocated();
    let SegmentEntry(_, attempt, machine, agent_epoch, done) = entry;
    let allocation = AllocatedMachine {
        machine,
        agent_epoch,
    };
    TaskState {
        segment,
        attempt,
        done: done > 0,
        allocation: is_allocated.then(|| Box::new(allocation)),
    }
}
