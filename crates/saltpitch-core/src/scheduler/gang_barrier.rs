//! Gang scheduling: gangs at the Permit barrier. Their assumed members hold capacity until all have some.
//!
//! Owns which gangs wait at the barrier. Invariant: nothing of a gang goes on record, and no start is
//! sent, before every member is assumed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::allocations::Assignment;
use super::queue_order::QueuedJob;
use super::{Job, Scheduler};
use crate::catalog::Resources;
use crate::gang::{permit, pre_enqueue, GangState, Permit};
use crate::job::{JobKind, JobNumber};
use crate::time::Micros;

/// How long an aged gang keeps the capacity that it found while jobs of its team are blocked.
const MAX_KEPT: Micros = Micros::from_secs(25);
/// How long a gang stays parked after it has waited at the barrier in vain.
const PARKED_AFTER_DROP: Micros = Micros::from_secs(1);

/// The gangs that wait at the barrier with some members assumed.
#[derive(Default)]
pub(super) struct GangBarrier {
    waiting: BTreeSet<JobNumber>,
}

impl GangBarrier {
    /// The gang no longer waits: it was allowed to start, or is over.
    pub(super) fn leave(&mut self, number: JobNumber) {
        self.waiting.remove(&number);
    }
}

/// What is left of a team's limit is kept for a starved gang in this pass.
pub(super) struct ReservedQuota {
    team: usize,
    /// Of the accelerators alone; otherwise of everything.
    accelerators_only: bool,
}

impl ReservedQuota {
    /// Whether the job may take nothing of what is kept.
    pub(super) fn excludes(&self, job: &Job) -> bool {
        self.team == job.team && (!self.accelerators_only || job.spec.need.gpu > 0)
    }
}

impl Scheduler {
    /// Releases the capacity of all gangs at the barrier, so that this pass deals it out anew, oldest
    /// first: two gangs must not each hold what the other lacks.
    pub(super) fn release_barriers(&mut self, now: Micros) {
        let holding_since = |number: &JobNumber| match self.job_table.get(*number)?.gang {
            GangState::Holding { since } => Some((*number, since)),
            _ => None,
        };
        let waiting = self.gang_barrier.waiting.iter();
        let holding: Vec<(JobNumber, Micros)> = waiting.filter_map(holding_since).collect();
        self.gang_barrier.waiting.clear();
        for (number, since) in holding {
            self.park(number, now);
            self.wait_at_barrier(number, since);
        }
    }

    /// One pass over a gang: gate, assumption, barrier.
    pub(super) fn schedule_gang(&mut self, queued: QueuedJob, now: Micros) {
        let Some(job) = self.job_table.get(queued.number) else {
            return;
        };
        let Some(waiting_since) = barrier_entered_at(job, now) else {
            return;
        };
        if !self.fits_limit(job) {
            if let Some(reserved) = self.reserved_quota(job, now) {
                self.placement_pass.reserve(reserved);
            }
            return self.park(queued.number, now);
        }
        self.assume_members(queued.number, now);
        self.pass_barrier(queued, waiting_since, now);
    }

    /// Whether what is left of its team's limit holds all idle members.
    fn fits_limit(&self, job: &Job) -> bool {
        self.quota.tasks_allowed(job.team, &job.spec.need) >= job.tasks.idle().len() as u64
    }

    /// What its team has left is kept for a gang that has waited too long: nothing behind that one takes
    /// of the same kind until it has started.
    fn reserved_quota(&self, job: &Job, now: Micros) -> Option<ReservedQuota> {
        if !self.is_starved(job, now) || job.is_at_fault() || !self.can_become_free(job) {
            return None;
        }
        // Every task takes processors, only some take accelerators.
        let without_accelerators = Resources {
            gpu: 0,
            ..job.spec.need
        };
        let left = self.quota.tasks_allowed(job.team, &without_accelerators);
        Some(ReservedQuota {
            team: job.team,
            accelerators_only: left >= job.tasks.idle().len() as u64,
        })
    }

    /// Whether the team's limit holds the whole gang beside the team's services, which don't end by
    /// themselves. If it does not, keeping what the team has left would only make the team's other
    /// jobs wait beside free capacity, for as long as the services run.
    fn can_become_free(&self, job: &Job) -> bool {
        let is_service =
            |other: &&Job| other.team == job.team && other.spec.kind == JobKind::Service;
        let services = self.job_table.values().filter(is_service);
        let lasting = services.fold(Resources::default(), |sum, service| {
            sum.plus(&service.spec.need.times(u64::from(service.tasks.placed())))
        });
        let team = self.quota.team(job.team);
        let tasks = u64::from(job.spec.tasks);
        team.is_some_and(|team| team.tasks_allowed(&lasting, &job.spec.need) >= tasks)
    }

    /// Assumes the gang's idle members, one by one, on the present snapshot.
    fn assume_members(&mut self, number: JobNumber, now: Micros) {
        let Some(job) = self.job_table.get(number) else {
            return;
        };
        let one_zone = job.spec.one_zone;
        let zone = match job.tasks.zones().keys().next().filter(|_| one_zone) {
            Some(zone) => Some(zone.clone()),
            None if one_zone => self.best_zone(number, now),
            None => None,
        };
        if !one_zone || zone.is_some() {
            self.assume_members_in(number, zone.as_deref(), now);
        }
    }

    /// The zone that holds most members of a gang now.
    fn best_zone(&mut self, number: JobNumber, now: Micros) -> Option<Arc<str>> {
        let job = self.job_table.get(number)?;
        let (need, all) = (job.spec.need, u64::from(job.spec.tasks));
        let mut capacity: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for name in self.candidates(number, None, all, now) {
            if let Some(machine) = self.inventory.get(&name) {
                let tasks = need.count_in(&machine.free());
                *capacity.entry(machine.zone.clone()).or_default() += tasks;
            }
        }
        let zones = capacity.into_iter();
        let best = zones.max_by_key(|(zone, tasks)| ((*tasks).min(all), Reverse(zone.clone())));
        best.map(|(zone, _)| zone)
    }

    fn assume_members_in(&mut self, number: JobNumber, zone: Option<&str>, now: Micros) {
        let Some(job) = self.job_table.get(number) else {
            return;
        };
        // Members that are assumed later join the attempt of those before them.
        let attempt = match job.tasks.placed() {
            0 => job.next_attempt(0),
            _ => job.tasks.highest_attempt(),
        };
        let wanted = job.tasks.idle().len() as u64;
        for name in self.candidates(number, zone, wanted, now) {
            while let Some((task, agent_epoch)) = self.next_fit(number, &name) {
                let assignment = Assignment {
                    job: number,
                    task,
                    machine: name.clone(),
                    agent_epoch,
                    attempt,
                    committed: false,
                };
                self.allocate(assignment, now);
            }
        }
    }

    /// The job's first idle task, if it may go to this machine now, and the machine's agent epoch.
    fn next_fit(&self, number: JobNumber, machine: &Arc<str>) -> Option<(u32, u64)> {
        let job = self.job_table.get(number)?;
        let machine = self.inventory.get(machine)?;
        let task = *job.tasks.idle().first()?;
        let fits = job.spec.need.fits(&machine.free()) && Self::zone_allows(job, &machine.zone);
        fits.then_some((task, machine.agent.epoch()))
    }

    /// The Permit barrier: with all members assumed the gang goes on record; otherwise it waits or is
    /// parked.
    fn pass_barrier(&mut self, queued: QueuedJob, waiting_since: Micros, now: Micros) {
        let number = queued.number;
        let Some(job) = self.job_table.get(number) else {
            return;
        };
        let (spec, placed) = (job.spec.clone(), job.tasks.placed());
        let wait = self.gang_hold(&spec);
        match permit(placed, spec.tasks, waiting_since, now, wait) {
            Permit::Allow => self.commit_gang(number, now),
            Permit::Wait => {
                if placed > 0 {
                    self.wait_at_barrier(number, waiting_since);
                }
                self.preempt(queued, u64::from(spec.tasks - placed), now);
            }
            Permit::Drop if self.keeps_waiting_at_barrier(number, waiting_since, now) => {
                self.wait_at_barrier(number, waiting_since);
            }
            Permit::Drop => {
                self.park(number, now);
                if let Some(job) = self.job_table.get_mut(number) {
                    let until = now.plus(PARKED_AFTER_DROP);
                    job.gang = GangState::Parked { until };
                }
            }
        }
    }

    /// Every member is assumed: they go on record together.
    fn commit_gang(&mut self, number: JobNumber, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        job.gang = GangState::Committing;
        job.times.last_placed_at = now;
        self.gang_barrier.leave(number);
        for task in 0..job.spec.tasks {
            self.persistence.task_placed(number, task, &job.spec, now);
        }
    }

    /// The gang's members found so far hold their capacity.
    fn wait_at_barrier(&mut self, number: JobNumber, since: Micros) {
        if let Some(job) = self.job_table.get_mut(number) {
            job.gang = GangState::Holding { since };
            self.gang_barrier.waiting.insert(number);
        }
    }

    /// Whether a gang keeps the capacity that it found beyond the barrier's wait, because it is aged. Not
    /// for ever, though: where the machines for the rest are not to be had, jobs of its team would wait
    /// beside free capacity, since what the gang holds counts against the team's limit.
    fn keeps_waiting_at_barrier(&self, number: JobNumber, since: Micros, now: Micros) -> bool {
        let job = self.job_table.get(number);
        let Some(job) = job.filter(|job| self.is_aged(job, now)) else {
            return false;
        };
        let is_blocked = |other: &Job| {
            other.team == job.team
                && other.spec.kind == JobKind::Array
                && !other.tasks.idle().is_empty()
                && !other.is_at_fault()
                && self.is_blocked(other, now)
        };
        now.since(since) < MAX_KEPT || !self.job_table.values().any(is_blocked)
    }

    /// Releases the capacity of a gang that is not complete: nothing of it has gone on record.
    fn park(&mut self, number: JobNumber, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        job.gang = GangState::Parked { until: now };
        if job.tasks.placed() == 0 {
            return;
        }
        for task in 0..job.spec.tasks {
            self.release(number, task, now);
        }
    }
}

/// Since when the gang has waited at the barrier, which it enters now if it was parked. `None`: it is not
/// to be looked at in this pass.
fn barrier_entered_at(job: &Job, now: Micros) -> Option<Micros> {
    // The job's record carries all of its tasks, so the group is known whole or not at all.
    if !pre_enqueue(true, job.tasks.len() as u32, job.spec.tasks) {
        return None;
    }
    match job.gang {
        GangState::Parked { until } if until <= now && job.tasks.placed() == 0 => Some(now),
        GangState::Holding { since } => Some(since),
        _ => None,
    }
}
