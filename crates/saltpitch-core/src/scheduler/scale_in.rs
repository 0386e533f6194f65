//! Which idle machines go back to the cloud.

use super::Scheduler;
use crate::machine::{Machine, MachinePhase};
use crate::time::Micros;

impl Scheduler {
    /// Thousandths of a processor of ordinary machines beyond what production is expected to ask for
    /// before a machine could boot. Batch work there makes way for it.
    pub(super) fn spare_above_warm_pool(&self, now: Micros) -> u64 {
        let accelerators = self.autoscaler.accelerator_demand();
        let groups = self.inventory.groups().iter();
        let ordinary = groups
            .filter(|group| !group.spot && !accelerators.is_contested(&group.machine_type.size));
        let available: u64 = ordinary.map(|group| group.batch_cpu()).sum();
        available.saturating_sub(self.autoscaler.warm_pool_cpu(&self.catalog, now))
    }

    /// How long an idle machine is kept: what the policy says; and while work with accelerators keeps
    /// coming, a machine for it as long again as its images would take to fetch elsewhere.
    pub(super) fn idle_time_limit(&self, machine: &Machine, now: Micros) -> Micros {
        let limit = self.inventory.group_of(machine).idle_keep();
        let requested_at = self.autoscaler.accelerators_requested_at();
        if machine.machine_type.size.gpu > 0 && now.since(requested_at) < limit {
            limit.plus(machine.max_image_fetch_time())
        } else {
            limit
        }
    }

    /// Returns machines that have been idle for too long, down to the warm pool, and those that have not
    /// come up.
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

    /// Whether nothing is on the machine and it has been idle, or not come up, for too long.
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
                let clock = self.provisioning_clock(now);
                self.autoscaler.is_abandoned(machine, clock)
            }
            MachinePhase::ReturnRequested | MachinePhase::Returning => false,
        }
    }

    /// Whether the machine's processors count as warm for production.
    fn is_in_warm_pool(&self, machine: &Machine) -> bool {
        let accelerators = self.autoscaler.accelerator_demand();
        machine.is_up()
            && !machine.cordon.is_active()
            && !machine.spot
            && !accelerators.is_contested(&machine.machine_type.size)
    }
}
