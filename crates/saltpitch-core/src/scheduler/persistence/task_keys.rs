//! Keys of tasks, and of the ranges of tasks that share a checkpoint.

use std::ops::Range;

use crate::job::JobNumber;
use crate::records::TASKS_PER_CHECKPOINT;

/// One task of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) struct TaskKey {
    /// The job.
    pub(super) job: JobNumber,
    /// The task's index within the job.
    pub(super) task: u32,
}

impl TaskKey {
    /// The key of one task.
    pub(super) fn new(job: JobNumber, task: u32) -> TaskKey {
        TaskKey { job, task }
    }

    /// The range whose checkpoint holds this task.
    pub(super) fn range(self) -> TaskRange {
        TaskRange {
            job: self.job,
            index: self.task / TASKS_PER_CHECKPOINT,
        }
    }
}

/// The tasks of a job that share a checkpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct TaskRange {
    /// The job.
    pub(super) job: JobNumber,
    /// The range's index within the job, which is also the checkpoint's number.
    pub(super) index: u32,
}

impl TaskRange {
    /// The tasks of this range if the job has `task_count` tasks.
    pub(super) fn tasks(self, task_count: u32) -> Range<u32> {
        let first = self.index * TASKS_PER_CHECKPOINT;
        first..(first + TASKS_PER_CHECKPOINT).min(task_count)
    }

    /// The keys of the tasks of this range if the job has `task_count` tasks.
    pub(super) fn keys(self, task_count: u32) -> impl Iterator<Item = TaskKey> {
        self.tasks(task_count)
            .map(move |task| TaskKey::new(self.job, task))
    }
}
