//! Estimates how much batch work the existing machines cannot run in time.

use crate::time::Micros;

/// The least time allowed for batch work, as a multiple of the policy's target, however short its slack is.
const MIN_TARGET_RATIO: f64 = 0.5;
/// The most time allowed for batch work, as a multiple of the policy's target, however long its slack is. It
/// also applies to work without a known slack.
const MAX_TARGET_RATIO: f64 = 3.0;
/// The time that a machine takes for each task when it runs several in sequence, as a multiple of the task's
/// estimate.
const TURNAROUND_RATIO: f64 = 1.2;

/// The batch work that the existing machines have to run, added up in queue order.
pub(in crate::scheduler) struct BatchBacklog {
    /// The processors available to batch work, in thousandths.
    processors: u64,
    /// The work ahead of the next job, in thousandths of a processor-second.
    work: u64,
    /// The policy's target time for draining the backlog of batch work.
    target: Micros,
    /// The shortest boot time of any machine type.
    shortest_boot: Micros,
}

/// The tasks of one array job that have to be placed.
pub(in crate::scheduler) struct BatchTasks {
    /// The number of tasks.
    pub(in crate::scheduler) count: u64,
    /// The processors that each task takes, in thousandths.
    pub(in crate::scheduler) cpu: u64,
    /// The estimated run time of each task.
    pub(in crate::scheduler) estimate: Micros,
    /// The time left until the job has to start.
    pub(in crate::scheduler) slack: Option<Micros>,
}

impl BatchBacklog {
    /// Creates the backlog that is ahead of the first waiting job. `placed_processor_seconds` is the
    /// estimate for batch tasks that are placed; on average, half of their work is still to be done.
    pub(in crate::scheduler) fn new(
        processors: u64,
        placed_processor_seconds: f64,
        target: Micros,
        shortest_boot: Micros,
    ) -> BatchBacklog {
        BatchBacklog {
            processors,
            work: (placed_processor_seconds.max(0.0) / 2.0) as u64 * 1_000,
            target,
            shortest_boot,
        }
    }

    /// Adds a job's tasks to the backlog and returns for how many concurrent tasks capacity has to be
    /// added, because the existing machines cannot run the tasks in time. Added capacity runs several
    /// tasks in sequence.
    pub(in crate::scheduler) fn add(&mut self, tasks: &BatchTasks) -> u64 {
        let min_time = self.target.times(MIN_TARGET_RATIO);
        let max_time = self.target.times(MAX_TARGET_RATIO);
        let time_limit = tasks
            .slack
            .map_or(max_time, |slack| slack.max(min_time).min(max_time));
        let work_per_task = (tasks.cpu * tasks.estimate.0 / 1_000_000).max(1);
        let capacity = (self.processors * time_limit.0 / 1_000_000).saturating_sub(self.work);
        self.work += tasks.count * work_per_task;
        let unserved = tasks.count - (capacity / work_per_task).min(tasks.count);
        let turnaround = tasks.estimate.times(TURNAROUND_RATIO);
        let tasks_in_sequence = time_limit.since(self.shortest_boot).0 / turnaround.0;
        unserved.div_ceil(tasks_in_sequence.max(1))
    }
}
