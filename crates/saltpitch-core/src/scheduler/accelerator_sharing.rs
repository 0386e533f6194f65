//! Work without accelerators on machines that have some.
//!
//! Accelerators are dear. Other work borrows the processors beside them only while such a machine is
//! kept for those who need the accelerators, and gives the machine back when it no longer is.

use std::sync::Arc;

use super::{ObservedState, Scheduler};
use crate::catalog::Resources;
use crate::job::{JobKind, JobNumber, JobSpec};
use crate::machine::Machine;
use crate::time::Micros;

/// Machines of one group looked at in one pass.
const LOOKS: usize = 48;
/// Machines emptied in one pass: what is stopped there looks for other room.
const EMPTIED: usize = 4;
/// Beyond the time that saving takes.
const SAVE_MARGIN: Micros = Micros::from_secs(2);

impl Scheduler {
    /// Whether accelerators that other work needs make this machine type a last resort for `spec`.
    pub(super) fn contested_for(&self, spec: &JobSpec, size: &Resources) -> bool {
        self.autoscaler
            .accelerator_demand()
            .is_contested_for(spec, size)
    }

    /// Machines whose accelerators others need lend their processors only to tasks that can save
    /// when they have to make way, and only while the machine is kept for those others anyway.
    pub(super) fn may_share_accelerators(
        &self,
        spec: &JobSpec,
        machine: &Machine,
        now: Micros,
    ) -> bool {
        !self.contested_for(spec, &machine.kind.size)
            || now.since(machine.wanted_at) < self.idle_time_limit(machine, now)
    }

    /// Whether machines of this size may have a place for such tasks at all: room on them is not even
    /// looked at for work that they never take.
    pub(super) fn ever_suits(&self, spec: &JobSpec, size: &Resources) -> bool {
        spec.need.fits(size)
            && (!self.contested_for(spec, size) || (spec.kind == JobKind::Array && spec.saves()))
    }

    /// Stops what borrows machines whose accelerators have not been needed for the time for which such a
    /// machine is kept, so that they go back. Found in an incident: simulations of five minutes had moved
    /// in beside accelerators, and held fifty of the dearest machines for long after the last job that
    /// needed them.
    pub(super) fn end_accelerator_sharing(&mut self, now: Micros) {
        let mut looked = Vec::new();
        for group in &mut self.inventory.index.groups {
            if group.kind.size.gpu > 0 {
                looked.extend(group.next_part(LOOKS));
            }
        }
        self.steps += looked.len() as u64;
        let is_over = |name: &Arc<str>| {
            let machine = self.inventory.machines.get(name);
            machine.is_some_and(|machine| self.sharing_is_over(machine, now))
        };
        looked.retain(is_over);
        for name in looked.into_iter().take(EMPTIED) {
            self.evict_sharing(&name, now);
        }
    }

    /// Only work that can be saved is here, and nobody has needed the accelerators for long.
    fn sharing_is_over(&self, machine: &Machine, now: Micros) -> bool {
        machine.takes_tasks()
            && !machine.allocations.is_empty()
            && self
                .autoscaler
                .accelerator_demand()
                .is_contested(&machine.kind.size)
            && now.since(machine.wanted_at) > self.idle_time_limit(machine, now)
            && machine
                .allocations
                .iter()
                .all(|hold| self.shares_and_saves(*hold))
    }

    fn shares_and_saves(&self, (number, task): (JobNumber, u32)) -> bool {
        let Some(job) = self.job_table.jobs.get(&number) else {
            return false;
        };
        let allocation = job.tasks[task as usize].allocation.as_deref();
        let settled =
            allocation.is_some_and(|p| p.observed == ObservedState::Running && p.stop.is_none());
        settled && job.spec.kind == JobKind::Array && job.spec.need.gpu == 0 && job.spec.saves()
    }

    /// Nothing new goes there, and what is there is told to save.
    fn evict_sharing(&mut self, name: &Arc<str>, now: Micros) {
        let Some(machine) = self.inventory.machines.get_mut(name) else {
            return;
        };
        machine.cordoned = true;
        let allocated: Vec<(JobNumber, u32)> = machine.allocations.iter().copied().collect();
        self.reindex(name);
        for (number, task) in allocated {
            let save = self.job_table.jobs.get(&number).map(|job| job.spec.save);
            let grace = save.unwrap_or_default().plus(SAVE_MARGIN);
            self.stop(number, task, grace, now);
        }
    }
}
