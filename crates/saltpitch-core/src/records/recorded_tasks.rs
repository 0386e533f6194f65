//! What the records say of tasks: of the log's segments and the checkpoints, the newest counts.

use crate::job::MAX_TASKS;

/// The machine of a task, as the records show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllocatedMachine {
    /// The machine.
    pub machine: String,
    /// The epoch of the machine's agent in which the task was placed.
    pub agent_epoch: u64,
}

/// A task as the newest record of it shows it.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// The segment that the state is from.
    pub(super) segment: u64,
    /// The newest attempt.
    pub attempt: u32,
    /// Whether it has completed.
    pub done: bool,
    /// Where it is placed.
    pub allocation: Option<Box<AllocatedMachine>>,
}

/// The tasks of a job, as far as anything is on record of them.
#[derive(Clone, Debug, Default)]
pub struct TaskStates {
    /// By the task's index.
    pub tasks: Vec<TaskState>,
    /// How many are placed.
    pub(super) running: u32,
    /// How many have completed.
    pub(super) done: u32,
}

impl TaskStates {
    /// Applies what a record says of a task. Records may come late or twice: the newest segment's
    /// entry stays. Returns where the task has just completed.
    pub(super) fn set(&mut self, task: u32, new: TaskState) -> Option<AllocatedMachine> {
        let index = task as usize;
        if index >= self.tasks.len() {
            if task >= MAX_TASKS {
                return None;
            }
            self.tasks.resize(index + 1, TaskState::default());
        }
        let known = &mut self.tasks[index];
        if new.segment < known.segment {
            return None;
        }
        self.running = self.running + u32::from(new.allocation.is_some())
            - u32::from(known.allocation.is_some());
        self.done = self.done + u32::from(new.done) - u32::from(known.done);
        let has_completed = new.done && !known.done;
        let old = std::mem::replace(known, new);
        let allocation = old.allocation.filter(|_| has_completed);
        allocation.map(|allocation| *allocation)
    }

    /// Where tasks are placed.
    pub(super) fn allocations(&self) -> impl Iterator<Item = &AllocatedMachine> {
        let tasks = self.tasks.iter();
        tasks.filter_map(|task| task.allocation.as_deref())
    }
}

/// A range of tasks that share a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRange {
    /// The job.
    pub job: String,
    /// The range's index within the job.
    pub index: u32,
}

/// What the cache keeps of a segment of the log.
#[derive(Clone, Debug)]
pub struct RecordedSegment {
    /// Its revision.
    pub revision: u64,
    /// Its number.
    pub number: u64,
    /// The ranges of tasks that it mentions.
    pub task_ranges: Vec<RecordedRange>,
}

/// What the cache keeps of the checkpoint of one range of tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Checkpoint {
    /// Its revision.
    pub revision: u64,
    /// The last segment of the log that it covers.
    pub up_to_segment: u64,
}
