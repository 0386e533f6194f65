//! Preemption: which tasks are stopped for which waiting job.

mod near_image;
mod options;

use super::queue_order::QueuedJob;
use super::Scheduler;
use crate::job::JobNumber;
use crate::job::{JobKind, Priority};
use crate::time::Micros;

/// Searches for tasks to preempt in one pass.
pub(super) const SEARCHES_PER_PASS: u32 = 3;
/// What was found is given this time to show its effect.
const WAIT_AFTER_SUCCESS: Micros = Micros::from_millis(2_000);
/// What was not found may turn up elsewhere: the more jobs wait, the later it is this one's turn again.
const WAIT_AFTER_FAILURE_MS: u64 = 300;
const JOBS_PER_TURN: u64 = 8;
const MAX_TURNS: u64 = 8;
/// A preempted task gets this much longer than it takes to save.
const SAVE_MARGIN: Micros = Micros::from_secs(2);

/// A task of a job, as one of the tasks to stop.
type VictimTask = (JobNumber, u32);

/// Whether preempted tasks get time to save their progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Grace {
    /// They stop at once.
    None,
    /// Those that save get the time for it.
    ToSave,
}

impl Scheduler {
    /// Stops less urgent work for up to `wanted` tasks of this job, the cheapest loss first.
    pub(super) fn preempt(&mut self, queued: QueuedJob, wanted: u64, now: Micros) {
        let Some(job) = self.job_table.get(queued.number) else {
            return;
        };
        let spec = job.spec.clone();
        // Nothing is stopped for what fails wherever it runs.
        let wanted = wanted.min(job.idle_tasks_not_at_fault());
        if now < job.backoff.preempt_after || wanted == 0 {
            return;
        }
        // Lesser work is stopped for work that can still be in time, not for what is late anyway.
        if spec.priority < Priority::High && !queued.within_quota && queued.slack.is_none() {
            return;
        }
        if !self.placement_pass.take_preemption_search() {
            return;
        }
        let mut options = self.preemption_options(queued, &spec, now);
        options.sort_by_key(|option| option.loss);
        let chosen = options.into_iter().take(wanted as usize);
        let victims: Vec<VictimTask> = chosen.flat_map(|option| option.victims).collect();
        let wait = match victims.is_empty() {
            true => self.wait_after_failed_search(),
            false => WAIT_AFTER_SUCCESS,
        };
        if let Some(job) = self.job_table.get_mut(queued.number) {
            job.backoff.preempt_after = now.plus(wait);
        }
        let grace = match spec.priority {
            Priority::Production => Grace::None,
            Priority::Low | Priority::Normal | Priority::High => Grace::ToSave,
        };
        self.preempt_tasks(victims, grace, now);
    }

    fn wait_after_failed_search(&self) -> Micros {
        let waiting = self.job_table.unplaced().len() as u64;
        let turns = (waiting / JOBS_PER_TURN).clamp(1, MAX_TURNS);
        Micros::from_millis(WAIT_AFTER_FAILURE_MS * turns)
    }

    fn preempt_tasks(&mut self, victims: Vec<VictimTask>, grace: Grace, now: Micros) {
        for (number, task) in victims {
            let Some(victim) = self.job_table.get(number) else {
                continue;
            };
            let grace = match grace {
                Grace::ToSave if victim.spec.can_save() => victim.spec.save_time.plus(SAVE_MARGIN),
                Grace::ToSave | Grace::None => Micros::ZERO,
            };
            match victim.spec.kind {
                JobKind::Gang => self.stop_whole_gang(number, grace, now),
                JobKind::Array | JobKind::Service => self.stop(number, task, grace, now),
            }
        }
    }
}
