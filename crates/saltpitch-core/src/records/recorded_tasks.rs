//! The recorded state of tasks: the newest of the placement log's segments and the checkpoints applies.

use crate::job::MAX_TASKS;

/// The recorded allocation of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllocatedMachine {
    /// The machine's name.
    pub machine: String,
    /// The epoch of the machine's agent at the time of the placement.
    pub agent_epoch: u64,
}

/// The state of a task according to its newest record.
#[derive(Clone, Debug, Default)]
pub struct TaskState {
    /// The segment that the state comes from, or the last segment that its checkpoint covers.
    pub(super) segment: u64,
    /// The newest attempt.
    pub attempt: u32,
    /// Whether the task has completed.
    pub done: bool,
    /// The task's allocation, if it has one.
    pub allocation: Option<Box<AllocatedMachine>>,
}

/// The recorded states of a job's tasks.
#[derive(Clone, Debug, Default)]
pub struct TaskStates {
    /// The states by the task's index.
    pub tasks: Vec<TaskState>,
    /// Number of tasks with an allocation.
    pub(super) placed: u32,
    /// Number of tasks that have completed.
    pub(super) done: u32,
}

impl TaskStates {
    /// Applies the state of a task from a record, unless the known state is from a newer segment: records may be
    /// applied late or twice. Returns the task's previous allocation if the record shows that the task has completed
    /// since.
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
        self.placed = self.placed + u32::from(new.allocation.is_some())
            - u32::from(known.allocation.is_some());
        self.done = self.done + u32::from(new.done) - u32::from(known.done);
        let has_completed = new.done && !known.done;
        let old = std::mem::replace(known, new);
        let allocation = old.allocation.filter(|_| has_completed);
        allocation.map(|allocation| *allocation)
    }

    /// Returns the allocations of all tasks that have one.
    pub(super) fn allocations(&self) -> impl Iterator<Item = &AllocatedMachine> {
        let tasks = self.tasks.iter();
        tasks.filter_map(|task| task.allocation.as_deref())
    }
}

/// A range of tasks that share a checkpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordedRange {
    /// The job's id.
    pub job: String,
    /// The range's index within the job.
    pub index: u32,
}

/// What the cache keeps of a segment of the placement log.
#[derive(Clone, Debug)]
pub struct RecordedSegment {
    /// The revision of the segment's key.
    pub revision: u64,
    /// The segment's number.
    pub number: u64,
    /// The ranges of tasks with an entry in the segment.
    pub task_ranges: Vec<RecordedRange>,
}

/// What the cache keeps of the checkpoint of one range of tasks.
#[derive(Clone, Copy, Debug, Default)]
pub struct Checkpoint {
    /// The revision of the checkpoint's key.
    pub revision: u64,
    /// The last segment of the placement log that the checkpoint covers.
    pub up_to_segment: u64,
}
