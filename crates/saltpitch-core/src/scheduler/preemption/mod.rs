//! Preemption: stops tasks of less urgent work to make capacity for waiting jobs.

mod near_image;
mod options;

use super::queue_order::QueuedJob;
use super::Scheduler;
use crate::job::JobNumber;
use crate::job::{JobKind, Priority};
use crate::time::Micros;

/// The most searches for tasks to preempt in one placement pass.
pub(super) const MAX_SEARCHES_PER_PASS: u32 = 3;
/// How long a job waits for the capacity that its last search makes before it searches again.
const WAIT_AFTER_SUCCESS: Micros = Micros::from_millis(2_000);
/// One turn of the wait after a search that found nothing, in milliseconds. The next search examines
/// other machines and may succeed there; the more jobs wait, the more turns a job waits for it.
const FAILED_SEARCH_TURN_MS: u64 = 300;
/// A job waits one turn for each group of this many waiting jobs, at least one turn.
const JOBS_PER_TURN: u64 = 8;
const MAX_TURNS: u64 = 8;
/// How much longer than its save time a preempted task gets to stop.
const SAVE_MARGIN: Micros = Micros::from_secs(2);

/// A task to stop: the number of its job and its index.
type VictimTask = (JobNumber, u32);

/// Whether preempted tasks get time to save their progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Grace {
    /// The tasks stop at once.
    None,
    /// Tasks that can save get the time for it.
    ToSave,
}

impl Scheduler {
    /// Stops less urgent tasks to make capacity for up to `wanted` tasks of this job, those with the
    /// smallest loss first.
    pub(super) fn preempt(&mut self, queued: QueuedJob, wanted: u64, now: Micros) {
        let Some(job) = self.job_table.get(queued.number) else {
            return;
        };
        let spec = job.spec.clone();
        // Nothing is stopped for tasks that fail wherever they run.
        let wanted = wanted.min(job.idle_tasks_not_at_fault());
        if now < job.backoff.preempt_after || wanted == 0 {
            return;
        }
        // Other work is stopped for jobs that can still be in time, not for those that are already late.
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
        Micros::from_millis(FAILED_SEARCH_TURN_MS * turns)
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
