//! Work without accelerators on machines that have some.
//!
//! Accelerators are expensive. Other work uses the processors beside them only while such a machine is kept
//! for those who need the accelerators, and makes way when it no longer is.

use std::sync::Arc;

use super::{Job, ObservedState, Scheduler};
use crate::catalog::Resources;
use crate::job::{JobKind, JobSpec};
use crate::machine::Machine;
use crate::time::Micros;

/// Machines of one group looked at in one pass.
const MACHINES_PER_PASS: usize = 48;
/// Machines emptied in one pass: what is stopped there looks for other free capacity.
const EVICTIONS_PER_PASS: usize = 4;
/// Beyond the time that saving takes.
const SAVE_MARGIN: Micros = Micros::from_secs(2);

impl Scheduler {
    /// Whether accelerators that other work needs make this machine type a last resort for `spec`.
    pub(super) fn contested_for(&self, spec: &JobSpec, size: &Resources) -> bool {
        self.autoscaler
            .accelerator_demand()
            .is_contested_for(spec, size)
    }

    /// Whether the job may use the machine's processors beside accelerators that others need: only while
    /// the machine is kept for those others anyway.
    pub(super) fn may_share_accelerators(
        &self,
        spec: &JobSpec,
        machine: &Machine,
        now: Micros,
    ) -> bool {
        !self.contested_for(spec, &machine.machine_type.size)
            || now.since(machine.allocations.last_intended_use())
                < self.idle_time_limit(machine, now)
    }

    /// Whether machines of this size may take tasks of the job at all. Machines whose accelerators others
    /// need take only tasks that can save when they have to make way.
    pub(super) fn ever_suits(&self, spec: &JobSpec, size: &Resources) -> bool {
        let can_make_way = spec.kind == JobKind::Array && spec.can_save();
        spec.need.fits(size) && (!self.contested_for(spec, size) || can_make_way)
    }

    /// Stops what shares machines whose accelerators have not been needed for the time for which such a
    /// machine is kept, so that they can be returned. Found in an incident: simulations of five minutes had
    /// moved in beside accelerators, and held fifty of the most expensive machines for long after the last
    /// job that needed them.
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
            machine.is_some_and(|machine| self.sharing_is_over(machine, now))
        });
        for name in candidates.into_iter().take(EVICTIONS_PER_PASS) {
            self.evict_sharing(&name, now);
        }
    }

    /// Whether only work that can be saved is here, and nobody has needed the accelerators for long.
    fn sharing_is_over(&self, machine: &Machine, now: Micros) -> bool {
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
                job.is_some_and(|job| shares_and_saves(job, task))
            })
    }

    /// Nothing new is placed there, and what is there is stopped with time to save.
    fn evict_sharing(&mut self, name: &Arc<str>, now: Micros) {
        for (number, task) in self.cordon(name) {
            let job = self.job_table.get(number);
            let save = job.map(|job| job.spec.save_time).unwrap_or_default();
            self.stop(number, task, save.plus(SAVE_MARGIN), now);
        }
    }
}

/// Whether a task without accelerators runs and can be stopped without loss.
fn shares_and_saves(job: &Job, task: u32) -> bool {
    let Some(allocation) = job.allocation(task) else {
        return false;
    };
    let spec = &job.spec;
    let is_running = allocation.observed == ObservedState::Running && allocation.stop.is_none();
    is_running && spec.kind == JobKind::Array && spec.need.gpu == 0 && spec.can_save()
}
