//! What the records say of tasks: the newest of the log's segments and the checkpoints counts.

use crate::job::MAX_TASKS;

/// A task as the newest record of it says.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// The segment that said so.
    pub(super) segment: u64,
    /// The newest attempt.
    pub attempt: u32,
    /// Whether it has completed.
    pub done: bool,
    /// Machine and epoch.
    pub allocation: Option<Box<(String, u64)>>,
}

/// The tasks of a job, as far as anything is on record of them.
#[derive(Clone, Debug, Default)]
pub struct TaskStates {
    /// By the task's number.
    pub tasks: Vec<TaskState>,
    pub(super) running: u32,
    pub(super) done: u32,
}

impl TaskStates {
    /// Whatever comes late or twice, the newest segment's entry stays. Returns the machine and
    /// the epoch in which the task has just completed.
    pub(super) fn set(&mut self, task: u32, new: TaskState) -> Option<(String, u64)> {
        let at = task as usize;
        if at >= self.tasks.len() {
            if task >= MAX_TASKS {
                return None;
            }
            self.tasks.resize(at + 1, TaskState::default());
        }
        let old = &mut self.tasks[at];
        if new.segment < old.segment {
            return None;
        }
        self.running = self.running + u32::from(new.allocation.is_some())
            - u32::from(old.allocation.is_some());
        self.done = self.done + u32::from(new.done) - u32::from(old.done);
        let completed = new.done && !old.done;
        let before = std::mem::replace(old, new);
        before
            .allocation
            .filter(|_| completed)
            .map(|allocation| *allocation)
    }

    /// The machines and epochs in which tasks are placed.
    pub(super) fn allocations(&self) -> impl Iterator<Item = &(String, u64)> {
        self.tasks.iter().filter_map(|t| t.allocation.as_deref())
    }
}

/// What the cache keeps of a segment of the log.
#[derive(Clone, Debug)]
pub struct RecordedSegment {
    /// Its revision.
    pub revision: u64,
    /// Its number.
    pub number: u64,
    /// The ranges of tasks that it mentions, by job and index.
    pub task_ranges: Vec<(String, u32)>,
}

/// What the cache keeps of the checkpoint of one range of tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Checkpoint {
    /// Its revision.
    pub revision: u64,
    /// The last segment of the log that it covers.
    pub up_to_segment: u64,
}
