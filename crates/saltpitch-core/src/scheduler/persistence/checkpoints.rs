//! Checkpoints: the state of a range of tasks in one record, so that the oldest segments of the placement log
//! can be overwritten.

use super::segments::{is_recordable, prepare_task_entry};
use super::task_keys::{TaskKey, TaskRange};
use super::transaction::TransactionBuilder;
use super::{to_json, Persistence, RecordSources};
use crate::gang::GangState;
use crate::records::{checkpoint_key, job_key, AllocationRecord, CheckpointRecord};
use crate::scheduler::{Job, Task};

/// Bytes reserved for a checkpoint's preconditions and key.
const CHECKPOINT_OVERHEAD_BYTES: usize = 200;
/// Number of task ranges considered for each allowed write, since some of them are skipped.
const RANGES_CONSIDERED_PER_WRITE: usize = 2;

impl Persistence {
    /// Adds checkpoints of the tasks in the oldest segments, before these segments are overwritten.
    pub(super) fn add_checkpoints(
        &mut self,
        builder: &mut TransactionBuilder,
        write_limit: usize,
        sources: &mut RecordSources,
    ) {
        self.drop_obsolete_segments(sources.jobs);
        let limit = write_limit * RANGES_CONSIDERED_PER_WRITE;
        let ranges = self
            .placement_log
            .ranges_without_checkpoint(sources.jobs, limit);
        for range in ranges {
            if builder.contents.checkpoints.contains(&range)
                || self.placement_log.is_rewriting(range)
            {
                continue;
            }
            let Some(value) = self.checkpoint_value(range, builder, sources) else {
                continue;
            };
            if value.len() > sources.config.max_value_bytes {
                self.rewrite_in_log(range, builder, sources);
                continue;
            }
            if !builder.fits(write_limit, value.len() + CHECKPOINT_OVERHEAD_BYTES) {
                return;
            }
            if let Some(job) = sources.jobs.get_mut(range.job) {
                self.add_checkpoint(range, value, job, builder);
            }
        }
    }

    /// Returns the range's checkpoint as of the newest segment, including the one in this transaction.
    fn checkpoint_value(
        &self,
        range: TaskRange,
        builder: &TransactionBuilder,
        sources: &RecordSources,
    ) -> Option<String> {
        let job = sources.jobs.get(range.job)?;
        let writes_segment = builder.contents.segment_slot.is_some();
        let up_to_segment = self.placement_log.next_segment() - u64::from(!writes_segment);
        let tasks = range.tasks(job.spec.tasks);
        let tasks = job.tasks.range(tasks);
        to_json(&checkpoint_record(tasks, job.gang, up_to_segment))
    }

    /// Marks the range's tasks to be written to the log again, which replaces a checkpoint that is too large for
    /// one value.
    fn rewrite_in_log(
        &mut self,
        range: TaskRange,
        builder: &TransactionBuilder,
        sources: &RecordSources,
    ) {
        let Some(job) = sources.jobs.get(range.job) else {
            return;
        };
        for index in range.tasks(job.spec.tasks) {
            let Some(task) = job.tasks.get(index) else {
                break;
            };
            if task.attempt > 0 || task.done {
                let key = TaskKey::new(range.job, index);
                self.unsaved_tasks.mark(key, sources.clock.last_poll_at());
            }
        }
        let writes_segment = builder.contents.segment_slot.is_some();
        let first_segment = self.placement_log.next_segment() + u64::from(writes_segment);
        self.placement_log.begin_rewrite(range, first_segment);
    }

    /// Adds one checkpoint. Preconditions require the job's record and the checkpoint's key to be unchanged.
    fn add_checkpoint(
        &mut self,
        range: TaskRange,
        value: String,
        job: &mut Job,
        builder: &mut TransactionBuilder,
    ) {
        builder.require(job_key(&job.id), job.revision);
        let key = checkpoint_key(&job.id, range.index);
        let known_revision = job.checkpoints[range.index as usize].revision;
        builder.require(key.clone(), known_revision);
        builder.write(key, Some(value));
        for index in range.tasks(job.spec.tasks) {
            // The checkpoint contains everything that the task's entry in the log would.
            self.unsaved_tasks.remove(TaskKey::new(range.job, index));
            if let Some(task) = job.tasks.get_mut(index) {
                prepare_task_entry(index, task, job.gang);
            }
        }
        builder.contents.checkpoints.push(range);
    }
}

fn checkpoint_record(tasks: &[Task], gang: GangState, up_to_segment: u64) -> CheckpointRecord {
    let mut record = CheckpointRecord {
        up_to_segment,
        ..CheckpointRecord::default()
    };
    for (index, task) in (0..).zip(tasks) {
        record.attempts.push(task.attempt);
        if task.done {
            record.add_done(index);
        }
        let allocation = task.allocation.as_ref();
        if let Some(allocation) = allocation.filter(|allocation| is_recordable(allocation, gang)) {
            let machine = allocation.machine.to_string();
            let allocation = AllocationRecord(index, machine, allocation.agent_epoch);
            record.allocations.push(allocation);
        }
    }
    record
}
