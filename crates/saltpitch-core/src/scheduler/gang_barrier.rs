//! Gangs at the barrier: their members hold the room that they found until all have some.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::allocations::Assignment;
use super::queue_order::QueuedJob;
use super::{Job, Scheduler};
use crate::catalog::Resources;
use crate::gang::{permit, pre_enqueue, Gang, Permit};
use crate::job::{JobKind, JobNumber};
use crate::time::Micros;

/// How long a gang keeps the room that it found while jobs of its team are stuck.
const MAX_HOLD: Micros = Micros::from_secs(25);

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

impl Scheduler {
    /// Whether a gang keeps the room that it found beyond the barrier's wait: its turn has come. Not for
    /// ever, though: where the machines for the rest are not to be had, jobs of its team would wait
    /// beside free room, since what the gang holds counts against the team's limit.
    pub(super) fn keeps_waiting_at_barrier(
        &self,
        number: JobNumber,
        since: Micros,
        now: Micros,
    ) -> bool {
        let Some(job) = self
            .job_table
            .get(number)
            .filter(|job| self.is_aged(job, now))
        else {
            return false;
        };
        let blocked = |other: &Job| {
            other.team == job.team
                && other.spec.kind == JobKind::Array
                && !other.idle.is_empty()
                && !other.at_fault()
                && self.is_blocked(other, now)
        };
        now.since(since) < MAX_HOLD || !self.job_table.values().any(blocked)
    }

    /// What its team has left is kept for a gang that has waited too long: nothing behind that one
    /// takes of the same kind until it has started.
    pub(super) fn is_quota_reserved(&self, job: &Job) -> bool {
        self.placement_pass
            .reserved_quota
            .iter()
            .any(|(team, only_gpu)| *team == job.team && (!only_gpu || job.spec.need.gpu > 0))
    }

    /// Takes back the room of all gangs at the barrier, so that this pass deals it out anew, oldest
    /// first: two gangs must not each hold what the other lacks.
    pub(super) fn release_barriers(&mut self, now: Micros) {
        let holding: Vec<(JobNumber, Micros)> = (self.gang_barrier.waiting.iter())
            .filter_map(|number| match self.job_table.get(*number)?.gang {
                Gang::Holding { since } => Some((*number, since)),
                _ => None,
            })
            .collect();
        self.gang_barrier.waiting.clear();
        for (number, since) in holding {
            self.park(number, now);
            self.wait_at_barrier(number, since);
        }
    }

    /// The gang's members found so far hold their room.
    pub(super) fn wait_at_barrier(&mut self, number: JobNumber, since: Micros) {
        if let Some(job) = self.job_table.get_mut(number) {
            job.gang = Gang::Holding { since };
            self.gang_barrier.waiting.insert(number);
        }
    }

    /// One pass over a gang: gate, assumption, barrier.
    pub(super) fn schedule_gang(&mut self, w: QueuedJob, now: Micros) {
        let Some(job) = self.job_table.get(w.number) else {
            return;
        };
        let n = job.spec.tasks;
        // The job's record carries all of its tasks, so the group is known whole or not at all.
        if !pre_enqueue(true, job.tasks.len() as u32, n) {
            return;
        }
        let since = match job.gang {
            Gang::Parked { until } if until <= now && job.placed == 0 => now,
            Gang::Holding { since } => since,
            _ => return,
        };
        let need = job.spec.need;
        let idle = job.idle.len() as u64;
        if self.quota.more(job.team, &need) < idle {
            if self.is_starved(job, now) && !job.at_fault() && self.can_become_free(job) {
                // Of processors, everybody's tasks take; of accelerators, only some.
                let cpu = Resources { gpu: 0, ..need };
                let only_gpu = self.quota.more(job.team, &cpu) >= idle;
                self.placement_pass
                    .reserved_quota
                    .push((job.team, only_gpu));
            }
            return self.park(w.number, now);
        }
        let one_zone = job.spec.one_zone;
        let zone = if one_zone {
            match job.zones.keys().next().cloned() {
                Some(z) => Some(z),
                None => self.best_zone(w.number, now),
            }
        } else {
            None
        };
        if !one_zone || zone.is_some() {
            self.assume_members(w.number, zone.as_deref(), now);
        }
        let Some(spec) = self.job_table.get(w.number).map(|job| job.spec.clone()) else {
            return;
        };
        let wait = self.gang_hold(&spec);
        let Some(job) = self.job_table.get_mut(w.number) else {
            return;
        };
        match permit(job.placed, n, since, now, wait) {
            Permit::Allow => {
                job.gang = Gang::Committing;
                job.served_at = now;
                self.gang_barrier.leave(w.number);
                for task in 0..n {
                    self.persistence.task_placed(w.number, task, &spec, now);
                }
            }
            Permit::Wait => {
                let left = u64::from(n - job.placed);
                if job.placed > 0 {
                    self.wait_at_barrier(w.number, since);
                }
                self.preempt(w, left, now);
            }
            Permit::Drop if self.keeps_waiting_at_barrier(w.number, since, now) => {
                // It keeps what it found: its turn has come.
                self.wait_at_barrier(w.number, since);
            }
            Permit::Drop => {
                self.park(w.number, now);
                if let Some(job) = self.job_table.get_mut(w.number) {
                    job.gang = Gang::Parked {
                        until: now.plus(Micros::from_secs(1)),
                    };
                }
            }
        }
    }

    /// Whether the team's limit holds the whole gang beside the team's services, which don't end by
    /// themselves. If it does not, keeping what the team has left would only make the team's other
    /// jobs wait beside free room, for as long as the services run.
    pub(super) fn can_become_free(&self, job: &Job) -> bool {
        let services = self
            .job_table
            .values()
            .filter(|other| other.team == job.team && other.spec.kind == JobKind::Service);
        let lasting = services.fold(Resources::default(), |sum, service| {
            sum.plus(&service.spec.need.times(u64::from(service.placed)))
        });
        let team = self.quota.team(job.team);
        team.is_some_and(|t| t.more(&lasting, &job.spec.need) >= u64::from(job.spec.tasks))
    }

    /// Drops the room of a gang that is not complete: nothing of it has gone on record.
    pub(super) fn park(&mut self, number: JobNumber, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        job.gang = Gang::Parked { until: now };
        if job.placed == 0 {
            return;
        }
        for task in 0..job.spec.tasks {
            self.release(number, task, now);
        }
    }

    /// Assumes the gang's idle members, one by one, on the present snapshot.
    pub(super) fn assume_members(&mut self, number: JobNumber, zone: Option<&str>, now: Micros) {
        let Some(job) = self.job_table.get(number) else {
            return;
        };
        let need = job.spec.need;
        let attempt = if job.placed > 0 {
            job.tasks.iter().map(|t| t.attempt).max().unwrap_or(1)
        } else {
            job.next_attempt(0)
        };
        let want = job.idle.len() as u64;
        for name in self.candidates(number, zone, want, now) {
            while let (Some(job), Some(machine)) = (
                self.job_table.get(number),
                self.inventory.machines.get(&name),
            ) {
                let Some(&task) = job.idle.first() else {
                    return;
                };
                if !need.fits(&machine.free()) || !Self::zone_allows(job, &machine.zone) {
                    break;
                }
                let agent_epoch = machine.agent_epoch;
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

    /// The zone that holds most members of a gang now.
    pub(super) fn best_zone(&mut self, number: JobNumber, now: Micros) -> Option<Arc<str>> {
        let job = self.job_table.get(number)?;
        let (need, all) = (job.spec.need, u64::from(job.spec.tasks));
        let mut rooms: BTreeMap<Arc<str>, u64> = BTreeMap::new();
        for name in self.candidates(number, None, all, now) {
            if let Some(machine) = self.inventory.machines.get(&name) {
                *rooms.entry(machine.zone.clone()).or_default() += need.count_in(&machine.free());
            }
        }
        rooms
            .into_iter()
            .max_by_key(|(z, n)| ((*n).min(all), std::cmp::Reverse(z.clone())))
            .map(|x| x.0)
    }
}
