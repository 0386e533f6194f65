//! The options of a preemption search: on which machines capacity for one task can be made, which tasks
//! would be stopped there, and how much work that loses.

use std::sync::Arc;

use super::VictimTask;
use crate::job::{JobSpec, Priority};
use crate::machine::Machine;
use crate::preemption::{cheapest_victims, lost_work, Victim};
use crate::scheduler::queue_order::QueuedJob;
use crate::scheduler::{Allocation, Job, ObservedState, Scheduler};
use crate::time::Micros;

/// Machines of one group that are examined in one search; the next search continues after them.
const MACHINES_PER_SEARCH: usize = 32;
/// A running task that can save counts as settled once it has been placed for this long.
const SETTLED_AFTER: Micros = Micros::from_secs(40);
/// The fraction of the time since its placement that counts as lost for a task that does not run yet.
const PREPARATION_SHARE: f64 = 0.2;

/// A way to make capacity for one task on a machine.
pub(super) struct PreemptionOption {
    pub(super) loss: u64,
    pub(super) machine: Arc<str>,
    /// The tasks to stop. Empty if capacity for one task is already being made here.
    pub(super) victims: Vec<VictimTask>,
}

impl Scheduler {
    /// Returns the options for one task of this job, at most one for each machine. Each search examines a
    /// bounded part of each group, and the next one continues after it.
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
                && !job.failures.should_avoid(&machine.name, now)
        });
        suitable
            .filter_map(|machine| self.option_on(machine, queued, spec, now))
            .collect()
    }

    fn machines_to_search(&mut self, queued: QueuedJob, spec: &JobSpec) -> Vec<Arc<str>> {
        let mut names = Vec::new();
        for index in 0..self.inventory.groups().len() {
            let group = &self.inventory.groups()[index];
            if !spec.need.fits(&group.machine_type.size)
                || !spec.allows(&group.machine_type.name, &group.zone, group.spot)
                || self.is_contested_for(spec, &group.machine_type.size)
                || !(queued.within_quota || group.has_tasks_below(spec.priority))
            {
                continue;
            }
            let group = &mut self.inventory.groups_mut()[index];
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
            let is_urgent = spec.priority >= Priority::High || queued.within_quota;
            if !is_urgent && !is_settled(other, allocation, now) {
                continue;
            }
            let lost_time = lost_time(spec, other, allocation, now);
            victims.push(Victim {
                id: (number, task),
                need: other.spec.need,
                loss: lost_work(other.spec.need.cpu, lost_time),
            });
        }
        let (loss, victims) = cheapest_victims(&spec.need, free, &mut victims)?;
        Some(PreemptionOption {
            loss,
            machine: machine.name.clone(),
            victims,
        })
    }

    /// Whether tasks of the other job may be stopped for this one. By the rules of the protocol, higher
    /// priority preempts lower, and work within its team's quota preempts what another team runs beyond its
    /// own quota.
    fn may_preempt(&self, queued: QueuedJob, spec: &JobSpec, other: &Job) -> bool {
        // On machines with accelerators, work of lower priority that needs none is stopped for work that
        // does, whatever its rank: it can't take that capacity back. A job counts as urgent as the most
        // urgent job that depends on it, here as in the queue: otherwise an early stage of an urgent
        // chain is stopped repeatedly by work that is no more urgent.
        if spec.need.gpu > 0 && other.spec.need.gpu == 0 && other.priority < spec.priority {
            return true;
        }
        // Only jobs of a later rank are stopped: otherwise two jobs could stop each other in turn.
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
        // Production work is not stopped for a quota: moving a service is always costly, since users
        // notice it.
        let exceeds_quota = || {
            let team = self.quota.team(other.team);
            team.is_some_and(|team| !team.guarantees(&self.quota.used(other.team)))
        };
        other.spec.priority != Priority::Production && exceeds_quota()
    }
}

/// Whether the task has been placed long enough, runs and can save its progress. Stopping a task soon
/// after its start, or one that can't save, wastes its work, which is justified only for urgent work
/// and quotas.
fn is_settled(job: &Job, allocation: &Allocation, now: Micros) -> bool {
    now.since(allocation.placed_at) > SETTLED_AFTER
        && job.spec.can_save()
        && allocation.observed == ObservedState::Running
}

/// Returns the run time that stopping a task loses. For guests it is zero, so that they are stopped
/// first: this cell's own work is never stopped where stopping guests is enough.
fn lost_time(spec: &JobSpec, victim: &Job, allocation: &Allocation, now: Micros) -> Micros {
    if victim.guest.is_some() {
        return Micros::ZERO;
    }
    let placed_for = now.since(allocation.placed_at);
    let run_time = match allocation.observed {
        ObservedState::Running => {
            now.since(allocation.running_since.unwrap_or(allocation.placed_at))
        }
        _ => placed_for.times(PREPARATION_SHARE),
    };
    if !victim.spec.can_save() {
        return run_time;
    }
    match spec.priority {
        // Production does not wait for tasks to save: the time since their last checkpoint is lost.
        Priority::Production => Micros(run_time.0 % victim.spec.checkpoint_interval.0),
        Priority::Low | Priority::Normal | Priority::High => victim.spec.save_time,
    }
}
