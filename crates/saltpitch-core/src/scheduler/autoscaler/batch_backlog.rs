//! Batch work against the processors that there are: how much of it they won't get to in time.

use crate::time::Micros;

/// Batch work is to be under way within this many times the policy's target, whatever its slack.
const MIN_TARGET_RATIO: f64 = 0.5;
/// The same at the most.
const MAX_TARGET_RATIO: f64 = 3.0;
/// A machine that runs one task after another takes this many times their estimates.
const TURNAROUND_RATIO: f64 = 1.2;

/// Batch work that is to be done on the machines that there are, in the order of service.
pub(in crate::scheduler) struct BatchBacklog {
    /// Thousandths of a processor that take batch work.
    processors: u64,
    /// Thousandths of a processor-second to be done before the next job.
    work: u64,
    /// How soon batch work is to be under way, by the policy.
    target: Micros,
    /// The boot time of the type that boots fastest.
    shortest_boot: Micros,
}

/// The tasks of one array job.
pub(in crate::scheduler) struct BatchTasks {
    /// How many there are to place.
    pub(in crate::scheduler) count: u64,
    /// Thousandths of a processor that each takes.
    pub(in crate::scheduler) cpu: u64,
    /// How long each is estimated to run.
    pub(in crate::scheduler) estimate: Micros,
    /// Time left until the job has to start.
    pub(in crate::scheduler) slack: Option<Micros>,
}

impl BatchBacklog {
    /// The backlog before the first waiting job; `placed_processor_seconds` are those of batch work that
    /// is running, half of which is left on average.
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

    /// Adds a job's tasks to the backlog; returns for how many tasks at a time capacity has to be added,
    /// since the machines that there are won't get to them in time. Added capacity takes one task after
    /// the other.
    pub(in crate::scheduler) fn add(&mut self, tasks: &BatchTasks) -> u64 {
        let min_time = self.target.times(MIN_TARGET_RATIO);
        let max_time = self.target.times(MAX_TARGET_RATIO);
        let time = tasks
            .slack
            .map_or(max_time, |slack| slack.max(min_time).min(max_time));
        let work_per_task = (tasks.cpu * tasks.estimate.0 / 1_000_000).max(1);
        let capacity = (self.processors * time.0 / 1_000_000).saturating_sub(self.work);
        self.work += tasks.count * work_per_task;
        let unserved = tasks.count - (capacity / work_per_task).min(tasks.count);
        let turnaround = tasks.estimate.times(TURNAROUND_RATIO);
        let turns = time.since(self.shortest_boot).0 / turnaround.0;
        unserved.div_ceil(turns.max(1))
    }
}
