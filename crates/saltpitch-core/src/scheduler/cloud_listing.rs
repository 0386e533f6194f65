//! Machines as the cloud lists them, and their return to it.

use std::sync::Arc;

use super::autoscaler::MachinePoolKey;
use super::Scheduler;
use crate::catalog::MachineType;
use crate::machine::Machine;
use crate::time::Micros;

/// How long the record of an empty machine's return waits for others: what is empty can be returned
/// together. What holds tasks is waited for.
const EMPTY_RETURN_DELAY: Micros = Micros::from_millis(700);
/// How long the record of a machine's address waits for other changes.
const ADDRESS_RECORD_DELAY: Micros = Micros::from_secs(3);
/// How long the record of a machine that the list named first waits for others.
const LISTED_RECORD_DELAY: Micros = Micros::from_millis(300);

/// One entry of the cloud's list of machines.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// The machine's name.
    pub name: String,
    /// Where its agent takes direct calls; empty if the cloud does not know it yet.
    pub addr: String,
    /// Its type.
    pub type_name: String,
    /// Its zone.
    pub zone: String,
    /// Whether the cloud may take it back.
    pub spot: bool,
    /// Whether it has failed for good: nothing runs on it.
    pub failed: bool,
    /// How long ago it was ordered.
    pub age: Micros,
}

impl Scheduler {
    /// Intends the return of a machine. The intent goes on record first.
    pub(super) fn scale_in(&mut self, name: &Arc<str>, now: Micros) {
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        if !machine.lifecycle.request_return() {
            return;
        }
        let due = if machine.allocations.is_empty() {
            now.plus(EMPTY_RETURN_DELAY)
        } else {
            now
        };
        self.persistence.machine_changed(machine, due);
        self.inventory.update(name);
    }

    /// The cloud confirmed the return of these machines: they and all on them are gone.
    pub fn scale_in_confirmed(&mut self, names: &[Arc<str>], now: Micros) {
        for name in names {
            self.release_all(name, now);
            if let Some(machine) = self.inventory.get(name) {
                // What was returned can be had again.
                self.autoscaler
                    .machine_returned(&MachinePoolKey::of(machine));
                self.remove_machine(name, now);
            }
        }
        self.placement_pass.request();
    }

    /// The cloud's list. What is on it is there, or was a while ago; absence proves nothing. `is_returned`:
    /// whether the records say that a machine was returned.
    pub fn machines_listed(
        &mut self,
        list: &[ListedMachine],
        is_returned: &dyn Fn(&str) -> bool,
        now: Micros,
    ) {
        for listed in list {
            if self.inventory.contains(&listed.name) {
                self.known_machine_listed(listed, now);
            } else if !is_returned(&listed.name) && !self.inventory.was_returned(&listed.name) {
                self.unknown_machine_listed(listed, now);
            }
        }
    }

    fn known_machine_listed(&mut self, listed: &ListedMachine, now: Micros) {
        let Some(machine) = self.inventory.get_mut(&listed.name) else {
            return;
        };
        let name = machine.name.clone();
        if machine.addr.is_empty() && !listed.addr.is_empty() {
            machine.addr.clone_from(&listed.addr);
            let due = now.plus(ADDRESS_RECORD_DELAY);
            self.persistence.machine_changed(machine, due);
        }
        if listed.failed {
            self.release_all(&name, now);
            self.scale_in(&name, now);
        }
    }

    /// A machine of an earlier leader, or one whose order got no answer.
    fn unknown_machine_listed(&mut self, listed: &ListedMachine, now: Micros) {
        let kind = self.catalog.get(&listed.type_name).cloned();
        let kind = kind.unwrap_or_else(|| MachineType::unknown(&listed.type_name));
        let mut machine = Machine::new(
            &listed.name,
            Arc::new(kind),
            listed.zone.as_str().into(),
            listed.spot,
            &listed.addr,
            now,
        );
        machine.lifecycle.set_created_at(now.since(listed.age));
        let name = machine.name.clone();
        let due = now.plus(LISTED_RECORD_DELAY);
        self.persistence.machine_changed(&mut machine, due);
        self.inventory.add(machine);
        if listed.failed {
            self.scale_in(&name, now);
        }
    }
}
