//! Where capacity for one task could be made: which tasks would be stopped, and what that loses.

use std::sync::Arc;

use super::VictimTask;
use crate::job::{JobSpec, Priority};
use crate::machine::Machine;
use crate::preemption::{choose, loss, Victim};
use crate::scheduler::queue_order::QueuedJob;
use crate::scheduler::{Allocation, Job, ObservedState, Scheduler};
use crate::time::Micros;

/// Machines of one group that are looked at in one search: what stands behind them waits for the next.
const MACHINES_PER_SEARCH: usize = 32;
/// A task that was placed for so long counts as settled.
const SETTLED_AFTER: Micros = Micros::from_secs(40);
/// The part of the time since its placement that counts as lost for a task that does not run yet.
const PREPARATION_SHARE: f64 = 0.2;

/// How capacity for one task can be made on a machine.
pub(super) struct PreemptionOption {
    pub(super) loss: u64,
    pub(super) machine: Arc<str>,
    /// Empty: capacity is being made here already, which covers one of the tasks.
    pub(super) victims: Vec<VictimTask>,
}

impl Scheduler {
    /// The options for one task of this job, at most one for each machine. Of each group a bounded part
    /// is looked at, and the next search goes on from there.
    pub(super) fn preemption_options(
        &mut self,
        queued: QueuedJob,
        spec: &JobSpec,
        now: Micros,
    ) -> Vec<PreemptionOption> {
        let names = self.machines_to_search(queued, spec);
        self.steps += names.len() as u64;
        let Some(job) = self.job_table.get(queued.number) else {
            return Vec::new();
        };
        let machines = names.iter().filter_map(|name| self.inventory.get(name));
        let suitable = machines.filter(|machine| {
            machine.is_schedulable()
                && Self::zone_allows(job, &machine.zone)
                && !job.failures.avoids(&machine.name, now)
        });
        suitable
            .filter_map(|machine| self.option_on(machine, queued, spec, now))
            .collect()
    }

    fn machines_to_search(&mut self, queued: QueuedJob, spec: &JobSpec) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        for at in 0..self.inventory.groups().len() {
            let group = &self.inventory.groups()[at];
            if !spec.need.fits(&group.machine_type.size)
                || !spec.allows(&group.machine_type.name, &group.zone, group.spot)
                || self.contested_for(spec, &group.machine_type.size)
                || !(queued.within_quota || group.has_tasks_below(spec.priority))
            {
                continue;
            }
            let group = &mut self.inventory.groups_mut()[at];
            names.extend(group.next_members(MACHINES_PER_SEARCH));
        }
        names
    }

    fn option_on(
        &self,
        machine: &Machine,
        queued: QueuedJob,
        spec: &JobSpec,
        now: Micros,
    ) -> Option<PreemptionOption> {
        let mut free = machine.free();
        let mut victims = Vec::new();
        for (number, task) in machine.allocations.iter() {
            let Some(other) = self.job_table.get(number) else {
                continue;
            };
            let Some(allocation) = other.allocation(task) else {
                continue;
            };
            if allocation.stop.is_some() {
                free = free.plus(&other.spec.need);
                continue;
            }
            if !self.may_preempt(queued, spec, other) {
                continue;
            }
            let urgent = spec.priority >= Priority::High || queued.within_quota;
            if !urgent && !is_settled(other, allocation, now) {
                continue;
            }
            let lost = lost_time(spec, other, allocation, now);
            victims.push(Victim {
                id: (number, task),
                need: other.spec.need,
                loss: loss(other.spec.need.cpu, lost),
            });
        }
        let (loss, victims) = choose(&spec.need, free, &mut victims)?;
        Some(PreemptionOption {
            loss,
            machine: machine.name.clone(),
            victims,
        })
    }

    /// The protocol's terms: higher priority over lower; quota over what another team runs beyond its
    /// own.
    fn may_preempt(&self, queued: QueuedJob, spec: &JobSpec, other: &Job) -> bool {
        // Work without accelerators makes way on machines that have some for work that needs them,
        // wherever it stands in the order: it can't take that capacity back. A job counts as urgent as
        // the most urgent job that depends on it, here as in the order of the queue: otherwise an early
        // stage of an urgent chain is stopped again and again by work that is no more urgent.
        if spec.need.gpu > 0 && other.spec.need.gpu == 0 && other.priority < spec.priority {
            return true;
        }
        // Only what is served later anyway: otherwise two jobs could stop each other in turn.
        let own = self.job_table.get(queued.number);
        if other.rank <= own.map_or(u8::MAX, |job| job.rank) {
            return false;
        }
        if other.priority < spec.priority {
            return true;
        }
        if !queued.within_quota || other.spec.team == spec.team {
            return false;
        }
        // Services are never cheap to move: users look at them.
        let exceeds_quota = || {
            let team = self.quota.team(other.team);
            team.is_some_and(|team| !team.guarantees(&self.quota.used(other.team)))
        };
        other.spec.priority != Priority::Production && exceeds_quota()
    }
}

/// A start that is undone soon counts for nothing, and neither does work that can't be saved: both are
/// only worth it for urgent work and quotas.
fn is_settled(job: &Job, allocation: &Allocation, now: Micros) -> bool {
    now.since(allocation.placed_at) > SETTLED_AFTER
        && job.spec.can_save()
        && allocation.observed == ObservedState::Running
}

/// The run time that stopping a task loses. Guests go first, whatever they lose: this cell's own work is
/// never stopped where stopping them will do.
fn lost_time(spec: &JobSpec, victim: &Job, allocation: &Allocation, now: Micros) -> Micros {
    if victim.guest.is_some() {
        return Micros::ZERO;
    }
    let placed_for = now.since(allocation.placed_at);
    let ran = match allocation.observed {
        ObservedState::Running => {
            now.since(allocation.running_since.unwrap_or(allocation.placed_at))
        }
        _ => placed_for.times(PREPARATION_SHARE),
    };
    if !victim.spec.can_save() {
        return ran;
    }
    match spec.priority {
        // Production waits for nobody's save: what is lost is the time since the last checkpoint.
        Priority::Production => Micros(ran.0 % victim.spec.checkpoint_interval.0),
        Priority::Low | Priority::Normal | Priority::High => victim.spec.save_time,
    }
}
