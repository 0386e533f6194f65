//! Identifies tasks, and the ranges of tasks that share a checkpoint.

use std::ops::Range;

use crate::job::JobNumber;
use crate::records::TASKS_PER_CHECKPOINT;

/// Identifies one task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct TaskKey {
    /// The job's number.
    pub(super) job: JobNumber,
    /// The task's index within the job.
    pub(super) task: u32,
}

impl TaskKey {
    /// Returns the key of one task.
    pub(super) fn new(job: JobNumber, task: u32) -> TaskKey {
        TaskKey { job, task }
    }

    /// Returns the range whose checkpoint contains this task.
    pub(super) fn range(self) -> TaskRange {
        TaskRange {
            job: self.job,
            index: self.task / TASKS_PER_CHECKPOINT,
        }
    }
}

/// Identifies a range of tasks of a job that share a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskRange {
    /// The job's number.
    pub(super) job: JobNumber,
    /// The range's index within the job, which is also the index in the checkpoint's key.
    pub(super) index: u32,
}

impl TaskRange {
    /// Returns the indexes of the range's tasks, for a job with `task_count` tasks.
    pub(super) fn tasks(self, task_count: u32) -> Range<u32> {
        let first = self.index * TASKS_PER_CHECKPOINT;
        first..(first + TASKS_PER_CHECKPOINT).min(task_count)
    }

    /// Returns the keys of the range's tasks, for a job with `task_count` tasks.
    pub(super) fn keys(self, task_count: u32) -> impl Iterator<Item = TaskKey> {
        self.tasks(task_count)
            .map(move |task| TaskKey::new(self.job, task))
    }
}
