//! Gang scheduling: the Permit barrier, where the assumed members of a gang hold their capacity until all
//! members are assumed.
//!
//! Owns which gangs wait at the barrier. Invariant: no allocation of a gang is written to the records, and
//! no start is sent, before every member is assumed.

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

/// How long an aged gang may wait at the barrier with the capacity that it found while jobs of its team are
/// blocked.
const MAX_HOLD_OF_AGED_GANG: Micros = Micros::from_secs(25);
/// How long a gang stays parked after it has timed out at the barrier.
const PARK_TIME_AFTER_TIMEOUT: Micros = Micros::from_secs(1);

/// The gangs that wait at the barrier with some members assumed.
#[derive(Default)]
pub(super) struct GangBarrier {
    waiting: BTreeSet<JobNumber>,
}

impl GangBarrier {
    /// Removes a gang that no longer waits at the barrier, because it may start or is over.
    pub(super) fn leave(&mut self, number: JobNumber) {
        self.waiting.remove(&number);
    }
}

/// The rest of a team's limit, reserved for a starved gang in the current pass.
pub(super) struct ReservedQuota {
    team: usize,
    /// Whether only accelerators are reserved; otherwise every resource is.
    accelerators_only: bool,
}

impl ReservedQuota {
    /// Whether the reservation keeps this job from being placed.
    pub(super) fn excludes(&self, job: &Job) -> bool {
        self.team == job.team && (!self.accelerators_only || job.spec.need.gpu > 0)
    }
}

impl Scheduler {
    /// Releases the capacity of all gangs at the barrier, so that this pass assigns it again in queue
    /// order: two gangs must not each hold what the other lacks.
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

    /// Runs one pass over a gang: the PreEnqueue gate, the assumption of its members, the Permit barrier.
    pub(super) fn schedule_gang(&mut self, queued: QueuedJob, now: Micros) {
        let Some(job) = self.job_table.get(queued.number) else {
            return;
        };
        let Some(waiting_since) = barrier_entered_at(job, now) else {
            return;
        };
        if !self.fits_team_limit(job) {
            if let Some(reserved) = self.quota_to_reserve(job, now) {
                self.placement_pass.reserve(reserved);
            }
            return self.park(queued.number, now);
        }
        self.assume_members(queued.number, now);
        self.pass_barrier(queued, waiting_since, now);
    }

    /// Whether the rest of its team's limit is enough for all idle members.
    fn fits_team_limit(&self, job: &Job) -> bool {
        self.quota.tasks_allowed(job.team, &job.spec.need) >= job.tasks.idle().len() as u64
    }

    /// Returns the quota to reserve for a starved gang: the rest of its team's limit, or only its accelerators,
    /// which no job after it in the queue may use in this pass. Each pass reserves it again until the gang
    /// fits.
    fn quota_to_reserve(&self, job: &Job, now: Micros) -> Option<ReservedQuota> {
        if !self.is_starved(job, now) || job.is_at_fault() || !self.fits_beside_services(job) {
            return None;
        }
        // Every task needs processors, but only some need accelerators: if the team lacks only accelerators,
        // only these are reserved.
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

    /// Whether the team's limit is enough for the whole gang in addition to the team's services, which
    /// don't end by themselves. If it is not, reserving what the team has left would only make the
    /// team's other jobs wait while capacity is free, for as long as the services run.
    fn fits_beside_services(&self, job: &Job) -> bool {
        let is_service =
            |other: &&Job| other.team == job.team && other.spec.kind == JobKind::Service;
        let services = self.job_table.values().filter(is_service);
        let used_by_services = services.fold(Resources::default(), |sum, service| {
            sum.plus(&service.spec.need.times(u64::from(service.tasks.placed())))
        });
        let team = self.quota.team(job.team);
        let tasks = u64::from(job.spec.tasks);
        team.is_some_and(|team| team.tasks_allowed(&used_by_services, &job.spec.need) >= tasks)
    }

    /// Assumes the gang's idle members one by one, on the current snapshot of the machines.
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

    /// Returns the zone whose free capacity is enough for the most members of the gang.
    fn best_zone(&mut self, number: JobNumber, now: Micros) -> Option<Arc<str>> {
        let job = self.job_table.get(number)?;
        let (need, members) = (job.spec.need, u64::from(job.spec.tasks));
        let mut capacity: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for name in self.candidate_machines(number, None, members, now) {
            if let Some(machine) = self.inventory.get(&name) {
                let tasks = need.count_in(&machine.free());
                *capacity.entry(machine.zone.clone()).or_default() += tasks;
            }
        }
        let zones = capacity.into_iter();
        let best = zones.max_by_key(|(zone, tasks)| ((*tasks).min(members), Reverse(zone.clone())));
        best.map(|(zone, _)| zone)
    }

    fn assume_members_in(&mut self, number: JobNumber, zone: Option<&str>, now: Micros) {
        let Some(job) = self.job_table.get(number) else {
            return;
        };
        // Members that are assumed later have the same attempt number as those before them.
        let attempt = match job.tasks.placed() {
            0 => job.next_attempt(0),
            _ => job.tasks.highest_attempt(),
        };
        let wanted = job.tasks.idle().len() as u64;
        for name in self.candidate_machines(number, zone, wanted, now) {
            while let Some((task, agent_epoch)) = self.next_task_for(number, &name) {
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

    /// Returns the job's first idle task and the epoch of the machine's agent, if the task may be placed on
    /// this machine now.
    fn next_task_for(&self, number: JobNumber, machine: &Arc<str>) -> Option<(u32, u64)> {
        let job = self.job_table.get(number)?;
        let machine = self.inventory.get(machine)?;
        let task = *job.tasks.idle().first()?;
        let fits = job.spec.need.fits(&machine.free()) && Self::zone_allows(job, &machine.zone);
        fits.then_some((task, machine.agent.epoch()))
    }

    /// Applies the Permit barrier: once all members are assumed, the gang is written to the records. Before
    /// that it waits, and other tasks are preempted for it, or it is parked.
    fn pass_barrier(&mut self, queued: QueuedJob, waiting_since: Micros, now: Micros) {
        let number = queued.number;
        let Some(job) = self.job_table.get(number) else {
            return;
        };
        let (spec, placed) = (job.spec.clone(), job.tasks.placed());
        let wait = self.gang_wait_limit(&spec);
        match permit(placed, spec.tasks, waiting_since, now, wait) {
            Permit::Allow => self.commit_gang(number, now),
            Permit::Wait => {
                if placed > 0 {
                    self.wait_at_barrier(number, waiting_since);
                }
                self.preempt(queued, u64::from(spec.tasks - placed), now);
            }
            Permit::TimedOut if self.may_exceed_wait_limit(number, waiting_since, now) => {
                self.wait_at_barrier(number, waiting_since);
            }
            Permit::TimedOut => {
                self.park(number, now);
                if let Some(job) = self.job_table.get_mut(number) {
                    let until = now.plus(PARK_TIME_AFTER_TIMEOUT);
                    job.gang = GangState::Parked { until };
                }
            }
        }
    }

    /// Marks the allocations of all members, which are assumed by now, to be written to the records
    /// together.
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

    /// Lets the gang wait at the barrier. The members that are assumed so far hold their capacity.
    fn wait_at_barrier(&mut self, number: JobNumber, since: Micros) {
        if let Some(job) = self.job_table.get_mut(number) {
            job.gang = GangState::Holding { since };
            self.gang_barrier.waiting.insert(number);
        }
    }

    /// Whether a gang keeps the capacity that it found after the barrier's wait has ended, because it
    /// is aged. If jobs of its team are blocked it does so for a limited time only: where no machines
    /// can be found for the other members, these jobs would wait while capacity is free, since what the
    /// gang holds counts against the team's limit.
    fn may_exceed_wait_limit(&self, number: JobNumber, since: Micros, now: Micros) -> bool {
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
        now.since(since) < MAX_HOLD_OF_AGED_GANG || !self.job_table.values().any(is_blocked)
    }

    /// Parks a gang that is not complete and releases its capacity. Nothing of it is on record yet.
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

/// Returns since when the gang has waited at the barrier; a parked gang enters the barrier now. `None`
/// if the gang may not be placed in this pass.
fn barrier_entered_at(job: &Job, now: Micros) -> Option<Micros> {
    // A job's record covers all of its tasks, so either all members of a gang are known or none is.
    if !pre_enqueue(true, job.tasks.len() as u32, job.spec.tasks) {
        return None;
    }
    match job.gang {
        GangState::Parked { until } if until <= now && job.tasks.placed() == 0 => Some(now),
        GangState::Holding { since } => Some(since),
        _ => None,
    }
}
