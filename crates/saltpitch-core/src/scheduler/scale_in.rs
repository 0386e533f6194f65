//! Scale-in: selects the idle machines that are returned to the cloud.

use super::Scheduler;
use crate::machine::{Machine, MachinePhase};
use crate::time::Micros;

impl Scheduler {
    /// Returns the processors of ordinary machines, in thousandths, that exceed the warm pool. The warm pool
    /// covers the demand that production is expected to add in the time that a machine takes to boot.
    /// Processors that run batch work count as available, because production can preempt it.
    pub(super) fn spare_above_warm_pool(&self, now: Micros) -> u64 {
        let accelerators = self.autoscaler.accelerator_demand();
        let groups = self.inventory.groups().iter();
        let ordinary = groups
            .filter(|group| !group.spot && !accelerators.is_contested(&group.machine_type.size));
        let available: u64 = ordinary.map(|group| group.batch_cpu()).sum();
        available.saturating_sub(self.autoscaler.warm_pool_cpu(&self.catalog, now))
    }

    /// Returns how long an idle machine is kept. The policy sets the time. As long as jobs that need
    /// accelerators keep arriving, a machine with accelerators is kept longer, by the time that another
    /// machine would take to fetch its largest image.
    pub(super) fn idle_time_limit(&self, machine: &Machine, now: Micros) -> Micros {
        let limit = self.inventory.group_of(machine).idle_keep();
        let requested_at = self.autoscaler.accelerators_requested_at();
        if machine.machine_type.size.gpu > 0 && now.since(requested_at) < limit {
            limit.plus(machine.max_image_fetch_time())
        } else {
            limit
        }
    }

    /// Returns to the cloud the machines that have been idle for too long, as far as the warm pool does not
    /// need them, and those that have not come up.
    pub(super) fn scale_in_idle(&mut self, now: Micros) {
        let mut spare = self.spare_above_warm_pool(now);
        self.steps += self.inventory.idle_count() as u64;
        let mut returned = Vec::new();
        for machine in self.inventory.idle() {
            if !self.is_dispensable(machine, now) {
                continue;
            }
            if self.is_in_warm_pool(machine) {
                if spare < machine.machine_type.size.cpu {
                    continue;
                }
                spare -= machine.machine_type.size.cpu;
            }
            returned.push(machine.name.clone());
        }
        for name in returned {
            self.scale_in(&name, now);
        }
    }

    /// Returns whether the machine has no tasks and has been idle for too long, is cordoned, or is abandoned
    /// because it has not come up.
    fn is_dispensable(&self, machine: &Machine, now: Micros) -> bool {
        if !machine.allocations.is_empty() || machine.allocations.has_running_unowned() {
            return false;
        }
        match machine.lifecycle.phase() {
            MachinePhase::Up => {
                let limit = self.idle_time_limit(machine, now);
                machine.cordon.is_active()
                    || now.since(machine.allocations.idle_since()) > limit
                    || now.since(machine.allocations.last_intended_use()) > limit
            }
            MachinePhase::Unregistered => {
                let context = self.provisioning_context(now);
                self.autoscaler.is_abandoned(machine, context)
            }
            MachinePhase::ReturnRequested | MachinePhase::Returning => false,
        }
    }

    /// Returns whether the machine's processors count towards production's warm pool.
    fn is_in_warm_pool(&self, machine: &Machine) -> bool {
        let accelerators = self.autoscaler.accelerator_demand();
        machine.is_up()
            && !machine.cordon.is_active()
            && !machine.spot
            && !accelerators.is_contested(&machine.machine_type.size)
    }
}
