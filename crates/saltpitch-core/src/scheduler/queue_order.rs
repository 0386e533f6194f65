//! The order in which waiting jobs are served.
//!
//! Jobs are ordered by rank first: production, then work within its team's quota, then by priority and by
//! which service-level objectives can still be met. Within a rank, jobs of high priority come first, then the
//! job with the least remaining work, and ageing bounds the wait of the largest. Gangs are ordered by the time
//! left to them instead.

use super::job_table::classes::Class;
use super::{Job, ObjectiveTarget, Scheduler};
use crate::catalog::Resources;
use crate::job::{JobKind, JobNumber, Priority};
use crate::time::Micros;

/// The wait after which a job's remaining work counts half as much; it is halved again after each further
/// wait of this length.
const AGEING_HALF_LIFE: Micros = Micros::from_secs(60);
/// A large array or service counts as starved if none of its tasks was placed for this long. Unless a higher
/// rank applies to it, it is then served first among the pressing jobs.
const STARVED_AFTER: Micros = Micros::from_secs(140);
/// The same for jobs that are not large for their class. They need a limit too, since a late job no longer
/// counts as pressing.
const SMALL_JOB_STARVED_AFTER: Micros = Micros::from_secs(300);
/// The same for large gangs. A gang needs its whole capacity at once, so a starved one ranks with the work
/// within quota, first among the jobs there whose priority is as high as its own.
const LARGE_GANG_STARVED_AFTER: Micros = Micros::from_secs(170);
/// A job is large if it has more tasks than this many times the mean of its class.
const LARGE_JOB_RATIO: f64 = 1.5;
/// A job may use any capacity that fits if none of its tasks is placed and none was for this long.
const BLOCKED_AFTER: Micros = Micros::from_secs(60);
/// A gang that has waited for this long keeps the capacity that it finds.
const GANG_AGED_AFTER: Micros = Micros::from_secs(20);
/// Gangs are ordered by the time left to them, in steps of this length.
const GANG_SLACK_STEP: Micros = Micros::from_secs(10);
/// Gangs in the same step are ordered by their number of tasks; all numbers from this one on count the
/// same.
const MAX_GANG_SIZE_KEY: u64 = 999;
/// A job that has to start within this time is pressing.
const PRESSING_WITHIN: Micros = Micros::from_secs(120);
/// The run time that is allowed for a task, as a multiple of its estimate.
const RUN_TIME_MARGIN: f64 = 1.2;

/// The ranks of jobs; jobs of a lower rank number are served first.
mod rank {
    pub(super) const PRODUCTION: u8 = 0;
    pub(super) const WITHIN_QUOTA: u8 = 1;
    pub(super) const HIGH_PRIORITY: u8 = 2;
    pub(super) const PRESSING: u8 = 3;
    pub(super) const WITH_OBJECTIVE: u8 = 4;
    /// Jobs without an objective that can still be met, and jobs at fault.
    pub(super) const REST: u8 = 5;
    /// Work that is run for another cell, served after all of this cell's own.
    pub(super) const GUEST: u8 = 6;
}

/// A job with tasks to place, as ranked in one pass.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedJob {
    /// The job.
    pub number: JobNumber,
    /// Whether it fits into its team's quota together with the team's older jobs.
    pub within_quota: bool,
    /// The time left until it has to start; `None` if it is late, has no objective or runs for another cell.
    pub slack: Option<Micros>,
}

/// The sort key of a job in the queue; the job with the smaller key is served first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    rank: u8,
    below_high_priority: bool,
    remaining_work: u64,
    queued: Micros,
    number: JobNumber,
}

/// How a job ranks in one pass.
struct JobRanking {
    rank: u8,
    within_quota: bool,
    is_starved: bool,
    start_by: Option<Micros>,
}

impl Scheduler {
    /// Returns the jobs with tasks to place in the order in which they are served. Updates the ranks of all
    /// active jobs.
    pub(super) fn queued_jobs(&mut self, now: Micros) -> Vec<QueuedJob> {
        let active = self.job_table.active_by_age();
        self.steps += active.len() as u64;
        let mut ranks = Vec::with_capacity(active.len());
        let mut queue = Vec::with_capacity(self.job_table.unplaced().len());
        let mut claimed = vec![Resources::default(); self.quota.len()];
        for number in active {
            let job = self.job_table.get(number);
            let Some(job) = job.filter(|job| job.is_active()) else {
                continue;
            };
            let Some(ranking) = self.ranking(job, &mut claimed, now) else {
                continue;
            };
            ranks.push((number, ranking.rank));
            if job.tasks.idle().is_empty() {
                continue;
            }
            let key = self.queue_key(number, job, &ranking, now);
            let queued = QueuedJob {
                number,
                within_quota: ranking.within_quota,
                slack: ranking.start_by.map(|start_by| start_by.since(now)),
            };
            queue.push((key, queued));
        }
        queue.sort_unstable_by_key(|(key, _)| *key);
        for (number, rank) in ranks {
            if let Some(job) = self.job_table.get_mut(number) {
                job.rank = rank;
            }
        }
        queue.into_iter().map(|(_, queued)| queued).collect()
    }

    /// Ranks the job, given what older jobs of its team claim, and adds its own claim to theirs. Returns
    /// `None` for an unknown team.
    fn ranking(&self, job: &Job, claimed: &mut [Resources], now: Micros) -> Option<JobRanking> {
        let team = self.quota.team(job.team)?;
        // A job at fault claims no more than it has placed, so that its team's other jobs keep their quota.
        let at_fault = job.is_at_fault();
        let remaining = match at_fault {
            true => job.tasks.placed(),
            false => job.spec.tasks - job.tasks.done(),
        };
        let claim = job.spec.need.times(u64::from(remaining));
        let claimed = claimed.get_mut(job.team)?;
        *claimed = claimed.plus(&claim);
        let within_quota = team.guarantees(claimed);
        let is_guest = job.guest.is_some();
        let start_by = self.start_by(job, now).filter(|_| !is_guest);
        let is_starved = !is_guest && self.is_starved(job, now);
        let is_young = now.since(job.times.queued_at) < self.config.guarantee_start_target;
        let rank = match (job.priority, within_quota) {
            _ if is_guest => rank::GUEST,
            _ if at_fault => rank::REST,
            (Priority::Production, _) => rank::PRODUCTION,
            (_, true) if start_by.is_some() || is_young => rank::WITHIN_QUOTA,
            // A gang that needs most of its team's limit at once never finds it free while other jobs of
            // the team are served first.
            _ if is_starved && job.spec.kind == JobKind::Gang => rank::WITHIN_QUOTA,
            (Priority::High, _) => rank::HIGH_PRIORITY,
            _ if is_starved => rank::PRESSING,
            _ if start_by.is_some_and(|at| at.since(now) <= PRESSING_WITHIN) => rank::PRESSING,
            _ if start_by.is_some() => rank::WITH_OBJECTIVE,
            _ => rank::REST,
        };
        Some(JobRanking {
            rank,
            within_quota,
            is_starved,
            start_by,
        })
    }

    /// Returns the job's key in the queue. When not all jobs can be served in time, serving the smallest
    /// first meets the most objectives; but the largest must not wait indefinitely behind a stream of small
    /// ones. The remaining work in the key is therefore reduced with the time since a task of the job was last
    /// placed, until the job is the first of its rank. For gangs, [`gang_key`] takes its place.
    fn queue_key(
        &self,
        number: JobNumber,
        job: &Job,
        ranking: &JobRanking,
        now: Micros,
    ) -> QueueKey {
        let remaining_work = if ranking.is_starved {
            0
        } else if job.spec.kind == JobKind::Gang {
            gang_key(job, ranking.start_by, now)
        } else {
            let run_time = job.tasks.idle().len() as u64 * self.estimate(job).0;
            let work = run_time / 1_000 * job.spec.need.cpu;
            let half_lives = now.since(job.times.waiting_since()).0 / AGEING_HALF_LIFE.0;
            work >> half_lives.min(63)
        };
        QueueKey {
            rank: ranking.rank,
            below_high_priority: job.priority < Priority::High,
            remaining_work,
            queued: job.times.queued_at,
            number,
        }
    }

    /// Whether the job has idle tasks and none of its tasks was placed for so long that it is served first in
    /// its rank, even if it is late or large. Every kind of job has such a limit, so that none waits without
    /// bound.
    pub(super) fn is_starved(&self, job: &Job, now: Micros) -> bool {
        let class = self.job_table.classes.get(job.class);
        let mean = class.map_or(0.0, Class::mean_tasks);
        let is_large = f64::from(job.spec.tasks) > mean * LARGE_JOB_RATIO;
        let limit = match job.spec.kind {
            _ if !is_large => SMALL_JOB_STARVED_AFTER,
            JobKind::Gang => LARGE_GANG_STARVED_AFTER,
            JobKind::Array | JobKind::Service => STARVED_AFTER,
        };
        !job.tasks.idle().is_empty() && now.since(job.times.waiting_since()) > limit
    }

    /// Returns the latest start that meets the job's next objective that can still be met. `None` if it has
    /// missed every objective or has none: it is then served after the jobs that can still be in time.
    pub(super) fn start_by(&self, job: &Job, now: Micros) -> Option<Micros> {
        let run_time = self.estimate(job).times(RUN_TIME_MARGIN);
        let objectives = self.job_table.classes.objectives(job.class);
        let of_class = objectives
            .iter()
            .filter_map(|target| latest_start(job, *target, run_time));
        let of_class = of_class.filter(|start_by| *start_by > now).min();
        // Jobs that depend on this one need it done in time for their own deadlines.
        let of_dependents = job.dependents_deadline.map(|due| due.since(run_time));
        let of_dependents = of_dependents.filter(|start_by| *start_by > now);
        if !objectives.is_empty() || of_dependents.is_some() {
            return of_class.into_iter().chain(of_dependents).min();
        }
        let own = job.spec.deadline;
        let own = own.map(|within| job.times.submitted_at.plus(within).since(run_time));
        own.filter(|start_by| *start_by > now)
    }

    /// Whether no task of this job is placed and none was for so long that the job may use any capacity
    /// that fits. Such a job must not wait while a machine has room for it, even a machine that is reserved
    /// for other jobs.
    pub(super) fn is_blocked(&self, job: &Job, now: Micros) -> bool {
        job.tasks.placed() == 0 && now.since(job.times.waiting_since()) > BLOCKED_AFTER
    }

    /// Whether the gang is incomplete and has waited long enough to keep the capacity that it finds. The
    /// gang scheduling design that the barrier follows has no ageing: there a large gang starves while
    /// smaller jobs fill the gaps.
    pub(super) fn is_aged(&self, job: &Job, now: Micros) -> bool {
        job.spec.kind == JobKind::Gang
            && job.tasks.placed() < job.spec.tasks
            && now.since(job.times.queued_at) > GANG_AGED_AFTER
    }
}

/// Returns the key by which gangs are ordered: the time left for the next objective that can still be met,
/// so that a gang that has missed its first objective is not served before those that have not.
fn gang_key(job: &Job, start_by: Option<Micros>, now: Micros) -> u64 {
    let slack_steps = start_by.map_or(u64::MAX >> 1, |at| at.since(now).0 / GANG_SLACK_STEP.0);
    let size = u64::from(job.spec.tasks).min(MAX_GANG_SIZE_KEY);
    slack_steps
        .saturating_mul(MAX_GANG_SIZE_KEY + 1)
        .saturating_add(size)
}

/// Returns the latest start that meets this objective; `None` if the objective does not apply to the
/// job, or no longer does.
fn latest_start(job: &Job, target: ObjectiveTarget, run_time: Micros) -> Option<Micros> {
    match target {
        ObjectiveTarget::Started(_) if job.tasks.was_fully_placed() => None,
        ObjectiveTarget::Started(within) => Some(job.times.queued_at.plus(within)),
        ObjectiveTarget::Finished(within) => Some(job.times.queued_at.plus(within).since(run_time)),
        ObjectiveTarget::Deadline(times) => {
            let deadline = job.spec.deadline?.times(times);
            Some(job.times.submitted_at.plus(deadline).since(run_time))
        }
    }
}
