//! The order in which waiting jobs are served.
//!
//! Jobs are ranked first: production, then work within its team's quota, then by priority and by which
//! service-level objectives can still be kept. Within a rank the smallest remaining work comes first,
//! and ageing bounds the wait of the largest.

use super::job_table::classes::Class;
use super::{Job, ObjectiveTarget, Scheduler};
use crate::catalog::Resources;
use crate::job::{JobKind, JobNumber, Priority};
use crate::time::Micros;

/// For each of these that a job has waited, it counts as half as large.
const AGEING: Micros = Micros::from_secs(60);
/// A large job of which nothing was placed for this long is the next of those not pressing.
const STARVED: Micros = Micros::from_secs(140);
/// The same for those that are not large for their class: once late, they are not pressing.
const STARVED_SMALL: Micros = Micros::from_secs(300);
/// Gangs take their whole capacity at once, and come before everything of their team but production.
const STARVED_GANG: Micros = Micros::from_secs(170);
/// A job is large if it has this many times the mean tasks of its class.
const LARGE_RATIO: f64 = 1.5;
/// A job of which nothing runs takes any capacity that fits after this.
const BLOCKED: Micros = Micros::from_secs(60);
/// A gang that has waited for this long keeps the capacity that it finds.
const GANG_AGED: Micros = Micros::from_secs(20);
/// Gangs are served in this order of the time left to them.
const SLOT: Micros = Micros::from_secs(10);
/// Gangs with the same time left go by their tasks, as far as these differ below this.
const MAX_GANG_SIZE_KEY: u64 = 999;
/// A job that has to start within this time is pressing.
const PRESSING: Micros = Micros::from_secs(120);
/// How much longer than its estimate a task is expected to run.
const RUN_TIME_MARGIN: f64 = 1.2;

/// Ranks, the first served first.
mod rank {
    pub(super) const PRODUCTION: u8 = 0;
    pub(super) const WITHIN_QUOTA: u8 = 1;
    pub(super) const HIGH_PRIORITY: u8 = 2;
    pub(super) const PRESSING: u8 = 3;
    pub(super) const WITH_OBJECTIVE: u8 = 4;
    /// Work without an objective that can still be kept, and jobs at fault.
    pub(super) const REST: u8 = 5;
    /// Work that is run for another cell: after all of this cell's own.
    pub(super) const GUEST: u8 = 6;
}

/// A job with tasks to place, as of one pass.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedJob {
    /// The job.
    pub number: JobNumber,
    /// It fits into its team's quota together with the team's earlier jobs.
    pub within_quota: bool,
    /// Time left until it has to start; none: it is late, or has no objective.
    pub slack: Option<Micros>,
}

/// What decides the order of two jobs; the smaller is served first.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct QueueKey {
    rank: u8,
    below_high_priority: bool,
    remaining_work: u64,
    queued: Micros,
    number: JobNumber,
}

/// How a job stands in one pass.
struct Standing {
    rank: u8,
    within_quota: bool,
    is_starved: bool,
    start_by: Option<Micros>,
}

impl Scheduler {
    /// Jobs with tasks to place, those served first in front. Ranks all active jobs anew.
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
            let Some(standing) = self.standing(job, &mut claimed, now) else {
                continue;
            };
            ranks.push((number, standing.rank));
            if job.tasks.idle().is_empty() {
                continue;
            }
            let key = self.queue_key(number, job, &standing, now);
            let queued = QueuedJob {
                number,
                within_quota: standing.within_quota,
                slack: standing.start_by.map(|start_by| start_by.since(now)),
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

    /// How the job stands, the team's claims by older jobs given; `None` for an unknown team.
    fn standing(&self, job: &Job, claimed: &mut [Resources], now: Micros) -> Option<Standing> {
        let team = self.quota.team(job.team)?;
        // A job at fault makes no claims: those of its team must not lose their quota to it.
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
            // A gang that needs most of its team's limit at once never finds it free while others
            // of the team come first.
            _ if is_starved && job.spec.kind == JobKind::Gang => rank::WITHIN_QUOTA,
            (Priority::High, _) => rank::HIGH_PRIORITY,
            _ if is_starved => rank::PRESSING,
            _ if start_by.is_some_and(|at| at.since(now) <= PRESSING) => rank::PRESSING,
            _ if start_by.is_some() => rank::WITH_OBJECTIVE,
            _ => rank::REST,
        };
        Some(Standing {
            rank,
            within_quota,
            is_starved,
            start_by,
        })
    }

    /// When not all can be served in time, the smallest first keeps the most objectives; but the
    /// largest must not wait for ever behind small ones that keep coming. So the wait since a job was
    /// served last makes it smaller, and in the end it is the first of its rank.
    fn queue_key(
        &self,
        number: JobNumber,
        job: &Job,
        standing: &Standing,
        now: Micros,
    ) -> QueueKey {
        let remaining_work = if standing.is_starved {
            0
        } else if job.spec.kind == JobKind::Gang {
            gang_key(job, standing.start_by, now)
        } else {
            let run_time = job.tasks.idle().len() as u64 * self.estimate(job).0;
            let work = run_time / 1_000 * job.spec.need.cpu;
            let waited = now.since(job.times.waiting_since()).0 / AGEING.0;
            work >> waited.min(63)
        };
        QueueKey {
            rank: standing.rank,
            below_high_priority: job.priority < Priority::High,
            remaining_work,
            queued: job.times.queued_at,
            number,
        }
    }

    /// Nothing of this job was placed for long, although something is left of it: late or large, its
    /// turn has come. The wait is the same for all, so that nobody's is without bound.
    pub(super) fn is_starved(&self, job: &Job, now: Micros) -> bool {
        let class = self.job_table.classes.get(job.class);
        let mean = class.map_or(0.0, Class::mean_tasks);
        let large = f64::from(job.spec.tasks) > mean * LARGE_RATIO;
        let limit = match job.spec.kind {
            _ if !large => STARVED_SMALL,
            JobKind::Gang => STARVED_GANG,
            JobKind::Array | JobKind::Service => STARVED,
        };
        !job.tasks.idle().is_empty() && now.since(job.times.waiting_since()) > limit
    }

    /// The latest start that keeps the next objective that can still be kept. `None`: every objective
    /// of this job is missed, or it has none, so that it comes after those that can still be served in
    /// time.
    pub(super) fn start_by(&self, job: &Job, now: Micros) -> Option<Micros> {
        let run_time = self.estimate(job).times(RUN_TIME_MARGIN);
        let objectives = self.job_table.classes.objectives(job.class);
        let of_class = objectives
            .iter()
            .filter_map(|target| latest_start(job, *target, run_time));
        let of_class = of_class.filter(|start_by| *start_by > now).min();
        // For the sake of those that depend on it.
        let of_dependents = job.dependents_deadline.map(|due| due.since(run_time));
        let of_dependents = of_dependents.filter(|start_by| *start_by > now);
        if !objectives.is_empty() || of_dependents.is_some() {
            return of_class.into_iter().chain(of_dependents).min();
        }
        let own = job.spec.deadline;
        let own = own.map(|within| job.times.submitted_at.plus(within).since(run_time));
        own.filter(|start_by| *start_by > now)
    }

    /// Nothing of this job runs and nothing was placed for long: it may have whatever fits. No job is
    /// to wait beside a machine with room, be it one that is kept for others.
    pub(super) fn is_blocked(&self, job: &Job, now: Micros) -> bool {
        job.tasks.placed() == 0 && now.since(job.times.waiting_since()) > BLOCKED
    }

    /// The source lets a large gang starve while smaller work fills the gaps. Ours ages: after this
    /// wait it is served first among its like and keeps the capacity that it finds.
    pub(super) fn is_aged(&self, job: &Job, now: Micros) -> bool {
        job.spec.kind == JobKind::Gang
            && job.tasks.placed() < job.spec.tasks
            && now.since(job.times.queued_at) > GANG_AGED
    }
}

/// Gangs go by the time left for their next objective that can still be kept: one that has missed the
/// first is not served before those that have not.
fn gang_key(job: &Job, start_by: Option<Micros>, now: Micros) -> u64 {
    let slots = start_by.map_or(u64::MAX >> 1, |at| at.since(now).0 / SLOT.0);
    let size = u64::from(job.spec.tasks).min(MAX_GANG_SIZE_KEY);
    slots
        .saturating_mul(MAX_GANG_SIZE_KEY + 1)
        .saturating_add(size)
}

/// The latest start by which this objective is kept; `None` if it says nothing of this job any more.
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
