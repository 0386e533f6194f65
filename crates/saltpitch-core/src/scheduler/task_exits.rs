//! Processing of tasks that are proven to be off their machine.

use std::sync::Arc;

use super::Scheduler;
use crate::agent::ExitCause;
use crate::gang::GangState;
use crate::job::{JobKind, JobNumber};
use crate::time::Micros;

/// The bounds to which the ratio of a task's run time to its estimate is clamped.
const RUN_TIME_RATIO_BOUNDS: std::ops::RangeInclusive<f64> = 0.1..=10.0;

/// A task that is proven to be off its machine.
pub(super) struct EndedTask {
    pub(super) job: JobNumber,
    pub(super) task: u32,
    /// Why the task exited, or `None` if it is lost.
    pub(super) cause: Option<ExitCause>,
}

impl Scheduler {
    /// Processes a task that is proven to be off its machine: applies its exit cause and releases its
    /// allocation.
    pub(super) fn task_exited(&mut self, ended: EndedTask, machine: &Arc<str>, now: Micros) {
        let (number, task) = (ended.job, ended.task);
        let job = self.job_table.get(number);
        let Some(allocation) = job.and_then(|job| job.allocation(task)) else {
            return;
        };
        let was_stopped = allocation.stop.is_some();
        let running_since = allocation.running_since;
        let mut backoff = Micros::ZERO;
        match ended.cause {
            Some(ExitCause::Done) => {
                if let Some(since) = running_since {
                    self.record_run_time_ratio(number, now.since(since));
                }
                self.task_completed(number, task, now);
            }
            Some(ExitCause::Error) => backoff = self.task_failed(number, task, now),
            Some(ExitCause::NoRoom | ExitCause::Busy | ExitCause::NotFound) => {
                self.task_refused(number, machine, now);
            }
            Some(ExitCause::Stopped | ExitCause::PeerLost | ExitCause::GangIncomplete) | None => {}
        }
        self.release(number, task, now);
        if backoff > Micros::ZERO {
            self.defer_task(number, task, backoff, now);
        }
        self.gang_member_exited(number, was_stopped, now);
        self.finish_if_over(number);
    }

    /// Marks a task as done. The members of a gang complete together, so if one is done, all of them are.
    fn task_completed(&mut self, number: JobNumber, task: u32, now: Micros) {
        self.task_done(number, task, now);
        let Some(job) = self.job_table.get(number) else {
            return;
        };
        if job.spec.kind == JobKind::Gang {
            for member in 0..job.spec.tasks {
                self.task_done(number, member, now);
            }
        }
    }

    /// Ends the attempt of the whole gang when a member is gone.
    ///
    /// If the member was stopped on request, the others keep the grace of their own stop, so that they can
    /// save their progress too. Otherwise they are stopped at once.
    fn gang_member_exited(&mut self, number: JobNumber, was_stopped: bool, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        if job.spec.kind != JobKind::Gang {
            return;
        }
        if !job.is_complete() && !was_stopped && job.gang != GangState::Stopping {
            job.gang = GangState::Stopping;
            self.stop_all(number, Micros::ZERO, now);
        }
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        if job.tasks.placed() == 0 {
            job.gang = GangState::Parked { until: now };
            job.times.last_idle_at = now;
        }
    }

    /// Records the ratio of a task's run time to its estimate for the job's class.
    fn record_run_time_ratio(&mut self, number: JobNumber, run_time: Micros) {
        let Some(job) = self.job_table.get(number) else {
            return;
        };
        if job.spec.estimate == Micros::ZERO || job.spec.kind == JobKind::Service {
            return;
        }
        let ratio = run_time.0 as f64 / job.spec.estimate.0 as f64;
        let ratio = ratio.clamp(*RUN_TIME_RATIO_BOUNDS.start(), *RUN_TIME_RATIO_BOUNDS.end());
        let class = job.class;
        self.job_table.classes.note_run_time(class, ratio);
    }

    /// Releases all tasks of a machine on which they are proven to be gone.
    pub(super) fn release_all_tasks(&mut self, name: &Arc<str>, now: Micros) {
        let Some(machine) = self.inventory.get(name) else {
            return;
        };
        for (job, task) in machine.allocations.to_vec() {
            let ended = EndedTask {
                job,
                task,
                cause: None,
            };
            self.task_exited(ended, name, now);
        }
    }
}
