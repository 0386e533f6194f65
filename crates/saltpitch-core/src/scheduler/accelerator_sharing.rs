//! Work without accelerators on machines that have some.
//!
//! Accelerators are expensive. Other work uses the processors of such a machine only while the machine is
//! kept for jobs that need the accelerators, and is stopped once the machine is no longer kept for them.

use std::sync::Arc;

use super::{Job, ObservedState, Scheduler};
use crate::catalog::Resources;
use crate::job::{JobKind, JobSpec};
use crate::machine::Machine;
use crate::time::Micros;

/// Machines of one group that are examined in one pass.
const MACHINES_PER_PASS: usize = 48;
/// The most machines that are emptied in one pass; the tasks that are stopped there need other free
/// capacity.
const MAX_EVICTED_MACHINES: usize = 4;
/// How much longer than its save time a task gets to stop.
const SAVE_MARGIN: Micros = Micros::from_secs(2);

impl Scheduler {
    /// Whether machines of this size are a last resort for the job, because other work needs their
    /// accelerators.
    pub(super) fn is_contested_for(&self, spec: &JobSpec, size: &Resources) -> bool {
        self.autoscaler
            .accelerator_demand()
            .is_contested_for(spec, size)
    }

    /// Whether the job may use the machine's processors although other jobs need its accelerators: only
    /// while the machine is kept for those jobs in any case.
    pub(super) fn may_share_accelerators(
        &self,
        spec: &JobSpec,
        machine: &Machine,
        now: Micros,
    ) -> bool {
        !self.is_contested_for(spec, &machine.machine_type.size)
            || now.since(machine.allocations.last_intended_use())
                < self.idle_time_limit(machine, now)
    }

    /// Whether machines of this size may take tasks of the job at all. Machines whose accelerators
    /// other jobs need take only tasks that can save their progress when they are stopped for those
    /// jobs.
    pub(super) fn is_suitable_size(&self, spec: &JobSpec, size: &Resources) -> bool {
        let can_be_stopped = spec.kind == JobKind::Array && spec.can_save();
        spec.need.fits(size) && (!self.is_contested_for(spec, size) || can_be_stopped)
    }

    /// Stops tasks without accelerators on machines whose accelerators have not been needed for as long
    /// as such a machine is kept, so that the machines can be returned. In an incident, five-minute
    /// simulations had been placed on machines with accelerators and occupied fifty of the most expensive
    /// machines long after the last job that needed them had ended.
    pub(super) fn end_accelerator_sharing(&mut self, now: Micros) {
        let mut candidates = Vec::new();
        for group in self.inventory.groups_mut() {
            if group.machine_type.size.gpu > 0 {
                candidates.extend(group.next_members(MACHINES_PER_PASS));
            }
        }
        self.steps += candidates.len() as u64;
        candidates.retain(|name| {
            let machine = self.inventory.get(name);
            machine.is_some_and(|machine| self.is_sharing_over(machine, now))
        });
        for name in candidates.into_iter().take(MAX_EVICTED_MACHINES) {
            self.evict_sharing(&name, now);
        }
    }

    /// Whether all tasks on the machine run without accelerators and can save, and no job has needed the
    /// accelerators for as long as the machine is kept.
    fn is_sharing_over(&self, machine: &Machine, now: Micros) -> bool {
        let allocations = &machine.allocations;
        machine.is_schedulable()
            && !allocations.is_empty()
            && self
                .autoscaler
                .accelerator_demand()
                .is_contested(&machine.machine_type.size)
            && now.since(allocations.last_intended_use()) > self.idle_time_limit(machine, now)
            && allocations.iter().all(|(number, task)| {
                let job = self.job_table.get(number);
                job.is_some_and(|job| is_stoppable_without_loss(job, task))
            })
    }

    /// Cordons a machine and stops the tasks on it, with time to save.
    fn evict_sharing(&mut self, name: &Arc<str>, now: Micros) {
        for (number, task) in self.cordon(name) {
            let job = self.job_table.get(number);
            let save = job.map(|job| job.spec.save_time).unwrap_or_default();
            self.stop(number, task, save.plus(SAVE_MARGIN), now);
        }
    }
}

/// Whether the task uses no accelerators, runs and can be stopped without loss.
fn is_stoppable_without_loss(job: &Job, task: u32) -> bool {
    let Some(allocation) = job.allocation(task) else {
        return false;
    };
    let spec = &job.spec;
    let is_running = allocation.observed == ObservedState::Running && allocation.stop.is_none();
    is_running && spec.kind == JobKind::Array && spec.need.gpu == 0 && spec.can_save()
}
