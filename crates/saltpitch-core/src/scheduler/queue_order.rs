//! The order in which waiting jobs are served.

use super::{Job, ObjectiveTarget, Scheduler};
use crate::catalog::Resources;
use crate::cluster::JobNumber;
use crate::job::{JobKind, Priority};
use crate::time::Micros;

/// For each of these that a job has waited, it counts as half as large.
const AGEING: Micros = Micros::from_secs(60);
/// A job of which nothing was placed for this long is the next of those not pressing.
const STARVED: Micros = Micros::from_secs(140);
/// The same for those that are not large for their class: once late, they are not pressing.
const STARVED_SMALL: Micros = Micros::from_secs(300);
/// Gangs take their whole room at once, and come before everything of their team but production.
const STARVED_GANG: Micros = Micros::from_secs(170);
/// A job of which nothing runs takes any room that fits after this.
const STUCK: Micros = Micros::from_secs(60);
/// Gangs are served in this order of the time left to them.
const SLOT: Micros = Micros::from_secs(10);
/// The rank of what nothing is said of, and of jobs at fault.
const LAST_RANK: u8 = 5;

/// The rank of work that is run for another cell: after all of this cell's own.
const GUEST_RANK: u8 = LAST_RANK + 1;

/// A job waiting for room, in the order in which jobs are served.
#[derive(Clone, Copy, Debug)]
pub(super) struct QueuedJob {
    pub number: JobNumber,
    pub guaranteed: bool,
    /// Time left until it has to start; none: it is late, or nobody said when.
    pub slack: Option<Micros>,
}

impl Scheduler {
    /// Jobs with tasks to place, most urgent first: production, then what lies within its team's
    /// guarantee, then the rest, each by priority and age.
    pub(super) fn queued_jobs(&mut self, now: Micros) -> Vec<QueuedJob> {
        let mut ranks = Vec::with_capacity(self.job_table.active_by_age.len());
        let mut claimed = vec![Resources::default(); self.quota.len()];
        let mut list = Vec::with_capacity(self.job_table.unplaced.len());
        self.steps += self.job_table.active_by_age.len() as u64;
        for (_, number) in &self.job_table.active_by_age {
            let Some(job) = self.job_table.jobs.get(number).filter(|job| job.active()) else {
                continue;
            };
            let Some(team) = self.quota.team(job.team) else {
                continue;
            };
            // A job at fault makes no claims: those of its team must not lose their guarantee to it.
            let at_fault = job.at_fault();
            let left = match at_fault {
                true => job.placed,
                false => job.spec.tasks - job.done,
            };
            let left = u64::from(left);
            let whole = claimed[job.team].plus(&job.spec.need.times(left));
            let guaranteed = team.guarantees(&whole);
            claimed[job.team] = whole;
            let due = self.start_by(job, now).filter(|_| job.guest.is_none());
            let young = now.since(job.queued) < self.config.guarantee_within;
            let starved = job.guest.is_none() && self.is_starved(job, now);
            let rank = match (job.priority, guaranteed) {
                _ if job.guest.is_some() => GUEST_RANK,
                _ if at_fault => LAST_RANK,
                (Priority::Production, _) => 0u8,
                (_, true) if due.is_some() || young => 1,
                // A gang that needs most of its team's limit at once never finds it free while others
                // of the team come first.
                _ if starved && job.spec.kind == JobKind::Gang => 1,
                (Priority::High, _) => 2,
                _ if starved => 3,
                _ if due.is_some_and(|d| d.since(now) <= Micros::from_secs(120)) => 3,
                _ if due.is_some() => 4,
                _ => LAST_RANK,
            };
            ranks.push((*number, rank));
            if job.idle.is_empty() {
                continue;
            }
            let high = job.priority < Priority::High;
            // When not all can be served in time, the smallest first keeps the most aims; but the
            // largest must not wait for ever behind small ones that keep coming. So the wait since
            // a job was served last makes it smaller, and in the end it is the first of its rank.
            let left = job.idle.len() as u64 * self.estimate(job).0 / 1_000 * job.spec.need.cpu;
            let left = if starved {
                0
            } else if job.spec.kind == JobKind::Gang {
                // Gangs by the time left for their next aim that can still be kept: one that has
                // missed the first is not served before those that have not.
                let slack = due.map_or(u64::MAX >> 1, |d| d.since(now).0 / SLOT.0);
                slack
                    .saturating_mul(1_000)
                    .saturating_add(u64::from(job.spec.tasks).min(999))
            } else {
                let waited = now.since(job.served_at.max(job.queued)).0 / AGEING.0;
                left >> waited.min(63)
            };
            let key = (rank, high, left, job.queued, *number);
            list.push((
                key,
                QueuedJob {
                    number: *number,
                    guaranteed,
                    slack: due.map(|d| d.since(now)),
                },
            ));
        }
        list.sort_unstable_by_key(|x| x.0);
        for (number, rank) in ranks {
            if let Some(job) = self.job_table.jobs.get_mut(&number) {
                job.rank = rank;
            }
        }
        list.into_iter().map(|x| x.1).collect()
    }

    /// Nothing of this job was placed for long, although something is left of it: late or large, its
    /// turn has come. The wait is the same for all, so that nobody's is without bound.
    pub(super) fn is_starved(&self, job: &Job, now: Micros) -> bool {
        let mean = self
            .job_table
            .classes
            .get(job.class)
            .map_or(0.0, |c| c.mean_tasks);
        let large = f64::from(job.spec.tasks) > mean * 1.5;
        let limit = match job.spec.kind {
            _ if !large => STARVED_SMALL,
            JobKind::Gang => STARVED_GANG,
            _ => STARVED,
        };
        !job.idle.is_empty() && now.since(job.served_at.max(job.queued)) > limit
    }

    /// The latest start that keeps the next aim that can still be kept. None: every aim for this
    /// job is missed, or nobody said when, so that it comes after those that can still be served in
    /// time.
    pub(super) fn start_by(&self, job: &Job, now: Micros) -> Option<Micros> {
        let run = self.estimate(job).times(1.2);
        let objectives = self
            .job_table
            .classes
            .get(job.class)
            .map_or(&[][..], |c| &c.objectives);
        let mut latest: Option<Micros> = None;
        for aim in objectives {
            let by = match *aim {
                ObjectiveTarget::Started(_) if job.started => continue,
                ObjectiveTarget::Started(w) => job.queued.plus(w),
                ObjectiveTarget::Finished(w) => job.queued.plus(w).since(run),
                ObjectiveTarget::Deadline(times) => match job.spec.deadline {
                    Some(d) => job.submitted.plus(d.times(times)).since(run),
                    None => continue,
                },
            };
            if by > now {
                latest = Some(latest.map_or(by, |l| l.min(by)));
            }
        }
        // For the sake of those that need it.
        let chain = job.due.map(|d| d.since(run)).filter(|by| *by > now);
        if !objectives.is_empty() || chain.is_some() {
            return latest.into_iter().chain(chain).min();
        }
        let own = job.spec.deadline.map(|d| job.submitted.plus(d).since(run));
        // Nobody said when: after those for whom somebody did.
        own.filter(|by| *by > now)
    }

    /// Nothing of this job runs and nothing was placed for long: it may have whatever fits. No job is
    /// to wait beside a machine with room, be it one that is kept for others.
    pub(super) fn is_blocked(&self, job: &Job, now: Micros) -> bool {
        job.placed == 0 && now.since(job.served_at.max(job.queued)) > STUCK
    }

    /// The source lets a large gang starve while smaller work fills the gaps. Ours ages: after this
    /// wait it is served first among its like and keeps the room that it finds.
    pub(super) fn is_aged(&self, job: &Job, now: Micros) -> bool {
        job.spec.kind == JobKind::Gang
            && job.placed < job.spec.tasks
            && now.since(job.queued) > Micros::from_secs(20)
    }
}
