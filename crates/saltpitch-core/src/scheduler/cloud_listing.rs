//! Machines as the cloud lists them, and their return.

use std::sync::Arc;

use super::autoscaler::MachinePoolKey;
use super::Scheduler;
use crate::catalog::MachineType;
use crate::machine::{Machine, MachinePhase};
use crate::time::Micros;

/// One entry of the cloud's list of machines.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    pub name: String,
    pub addr: String,
    pub type_name: String,
    pub zone: String,
    pub spot: bool,
    pub failed: bool,
    pub age: Micros,
}

impl Scheduler {
    /// Intends the return of a machine. The intent goes on record first.
    pub(super) fn scale_in(&mut self, name: &Arc<str>, now: Micros) {
        if let Some(machine) = self.inventory.machines.get_mut(name) {
            if !matches!(machine.phase, MachinePhase::Returning(_)) {
                machine.phase = MachinePhase::Returning(false);
                // What holds work is waited for; what is empty can gather.
                let wait = if machine.allocations.is_empty() {
                    700
                } else {
                    0
                };
                self.persistence
                    .machine_changed(machine, now.plus(Micros::from_millis(wait)));
                self.reindex(name);
            }
        }
    }

    /// The cloud confirmed the return of these machines: they and all on them are gone.
    pub fn returned(&mut self, names: &[Arc<str>], now: Micros) {
        for name in names {
            self.release_all(name, now);
            if let Some(machine) = self.inventory.machines.get(name) {
                // What was given back can be had again.
                self.autoscaler
                    .machine_returned(&MachinePoolKey::of(machine));
                self.drop_machine(name, now);
            }
        }
        self.placement_pass.requested = true;
    }

    /// The cloud's list. What is on it is there, or was a while ago; absence proves nothing.
    pub fn listed(&mut self, list: &[ListedMachine], gone: &dyn Fn(&str) -> bool, now: Micros) {
        for e in list {
            if let Some(machine) = self.inventory.machines.get_mut(e.name.as_str()) {
                let name = machine.name.clone();
                if machine.addr.is_empty() && !e.addr.is_empty() {
                    machine.addr.clone_from(&e.addr);
                    self.persistence
                        .machine_changed(machine, now.plus(Micros::from_secs(3)));
                }
                if e.failed {
                    self.release_all(&name, now);
                    self.scale_in(&name, now);
                }
                continue;
            }
            if gone(&e.name) || self.inventory.returned.contains(e.name.as_str()) {
                continue;
            }
            let kind = self.catalog.get(&e.type_name).cloned();
            let kind = Arc::new(kind.unwrap_or_else(|| MachineType::unknown(&e.type_name)));
            let zone = e.zone.as_str().into();
            let mut machine = Machine::new(&e.name, kind, zone, e.spot, &e.addr, now);
            machine.created_at = now.since(e.age);
            let name = machine.name.clone();
            self.persistence
                .machine_changed(&mut machine, now.plus(Micros::from_millis(300)));
            self.add_machine(machine);
            if e.failed {
                self.scale_in(&name, now);
            }
        }
    }
}
