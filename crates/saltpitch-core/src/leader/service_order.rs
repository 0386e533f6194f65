//! The order in which waiting jobs are served.

use super::{Aim, Job, Leader};
use crate::catalog::Resources;
use crate::cluster::JobNo;
use crate::job::{Kind, Priority};
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
pub(super) struct Waiting {
    pub no: JobNo,
    pub guaranteed: bool,
    /// Time left until it has to start; none: it is late, or nobody said when.
    pub slack: Option<Micros>,
}

impl Leader {
    /// Jobs with tasks to place, most urgent first: production, then what lies within its team's
    /// guarantee, then the rest, each by priority and age.
    pub(super) fn waiting(&mut self, now: Micros) -> Vec<Waiting> {
        let mut ranks = Vec::with_capacity(self.by_age.len());
        let mut claimed = vec![Resources::default(); self.quota.len()];
        let mut list = Vec::with_capacity(self.open.len());
        self.steps += self.by_age.len() as u64;
        for (_, no) in &self.by_age {
            let Some(j) = self.jobs.get(no).filter(|j| j.active()) else {
                continue;
            };
            let Some(team) = self.quota.team(j.team) else {
                continue;
            };
            // A job at fault makes no claims: those of its team must not lose their guarantee to it.
            let at_fault = j.at_fault();
            let left = match at_fault {
                true => j.placed,
                false => j.spec.tasks - j.done,
            };
            let left = u64::from(left);
            let whole = claimed[j.team].plus(&j.spec.need.times(left));
            let guaranteed = team.guarantees(&whole);
            claimed[j.team] = whole;
            let due = self.start_by(j, now).filter(|_| j.guest.is_none());
            let young = now.since(j.queued) < self.cfg.guarantee_within;
            let starved = j.guest.is_none() && self.starved(j, now);
            let rank = match (j.priority, guaranteed) {
                _ if j.guest.is_some() => GUEST_RANK,
                _ if at_fault => LAST_RANK,
                (Priority::Production, _) => 0u8,
                (_, true) if due.is_some() || young => 1,
                // A gang that needs most of its team's limit at once never finds it free while others
                // of the team come first.
                _ if starved && j.spec.kind == Kind::Gang => 1,
                (Priority::High, _) => 2,
                _ if starved => 3,
                _ if due.is_some_and(|d| d.since(now) <= Micros::from_secs(120)) => 3,
                _ if due.is_some() => 4,
                _ => LAST_RANK,
            };
            ranks.push((*no, rank));
            if j.idle.is_empty() {
                continue;
            }
            let high = j.priority < Priority::High;
            // When not all can be served in time, the smallest first keeps the most aims; but the
            // largest must not wait for ever behind small ones that keep coming. So the wait since
            // a job was served last makes it smaller, and in the end it is the first of its rank.
            let left = j.idle.len() as u64 * self.estimate(j).0 / 1_000 * j.spec.need.cpu;
            let left = if starved {
                0
            } else if j.spec.kind == Kind::Gang {
                // Gangs by the time left for their next aim that can still be kept: one that has
                // missed the first is not served before those that have not.
                let slack = due.map_or(u64::MAX >> 1, |d| d.since(now).0 / SLOT.0);
                slack
                    .saturating_mul(1_000)
                    .saturating_add(u64::from(j.spec.tasks).min(999))
            } else {
                let waited = now.since(j.served_at.max(j.queued)).0 / AGEING.0;
                left >> waited.min(63)
            };
            let key = (rank, high, left, j.queued, *no);
            list.push((
                key,
                Waiting {
                    no: *no,
                    guaranteed,
                    slack: due.map(|d| d.since(now)),
                },
            ));
        }
        list.sort_unstable_by_key(|x| x.0);
        for (no, rank) in ranks {
            if let Some(job) = self.jobs.get_mut(&no) {
                job.rank = rank;
            }
        }
        list.into_iter().map(|x| x.1).collect()
    }

    /// Nothing of this job was placed for long, although something is left of it: late or large, its
    /// turn has come. The wait is the same for all, so that nobody's is without bound.
    pub(super) fn starved(&self, job: &Job, now: Micros) -> bool {
        let mean = self.classes.get(job.class).map_or(0.0, |c| c.mean_tasks);
        let large = f64::from(job.spec.tasks) > mean * 1.5;
        let limit = match job.spec.kind {
            _ if !large => STARVED_SMALL,
            Kind::Gang => STARVED_GANG,
            _ => STARVED,
        };
        !job.idle.is_empty() && now.since(job.served_at.max(job.queued)) > limit
    }

    /// The latest start that keeps the next aim that can still be kept. None: every aim for this
    /// job is missed, or nobody said when, so that it comes after those that can still be served in
    /// time.
    pub(super) fn start_by(&self, job: &Job, now: Micros) -> Option<Micros> {
        let run = self.estimate(job).times(1.2);
        let aims = self.classes.get(job.class).map_or(&[][..], |c| &c.aims);
        let mut latest: Option<Micros> = None;
        for aim in aims {
            let by = match *aim {
                Aim::Wait(_) if job.started => continue,
                Aim::Wait(w) => job.queued.plus(w),
                Aim::Finished(w) => job.queued.plus(w).since(run),
                Aim::Deadline(times) => match job.spec.deadline {
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
        if !aims.is_empty() || chain.is_some() {
            return latest.into_iter().chain(chain).min();
        }
        let own = job.spec.deadline.map(|d| job.submitted.plus(d).since(run));
        // Nobody said when: after those for whom somebody did.
        own.filter(|by| *by > now)
    }

    /// Nothing of this job runs and nothing was placed for long: it may have whatever fits. No job is
    /// to wait beside a machine with room, be it one that is kept for others.
    pub(super) fn stuck(&self, job: &Job, now: Micros) -> bool {
        job.placed == 0 && now.since(job.served_at.max(job.queued)) > STUCK
    }

    /// The source lets a large gang starve while smaller work fills the gaps. Ours ages: after this
    /// wait it is served first among its like and keeps the room that it finds.
    pub(super) fn aged(&self, job: &Job, now: Micros) -> bool {
        job.spec.kind == Kind::Gang
            && job.placed < job.spec.tasks
            && now.since(job.queued) > Micros::from_secs(20)
    }
}
