//! The cloud's list of machines, and the return of machines to the cloud.

use std::sync::Arc;

use super::autoscaler::MachinePoolKey;
use super::Scheduler;
use crate::catalog::MachineType;
use crate::machine::Machine;
use crate::time::Micros;

/// How long the write of an empty machine's return may be delayed, so that several are returned together. The
/// return of a machine with tasks is not delayed, since its tasks wait for it.
const EMPTY_RETURN_DELAY: Micros = Micros::from_millis(700);
/// How long the write of a machine's address may be delayed, to be written together with other changes.
const ADDRESS_RECORD_DELAY: Micros = Micros::from_secs(3);
/// How long the write of a machine that the cloud's list made known may be delayed, so that several are
/// written together.
const LISTED_RECORD_DELAY: Micros = Micros::from_millis(300);

/// One entry of the cloud's list of machines.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedMachine {
    /// The machine's name.
    pub name: String,
    /// The address at which the agent accepts direct calls; empty if the cloud does not know it yet.
    pub addr: String,
    /// The machine's type.
    pub type_name: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the cloud may reclaim the machine.
    pub spot: bool,
    /// Whether the machine has failed permanently, so that nothing runs on it.
    pub failed: bool,
    /// The time since the machine was ordered.
    pub age: Micros,
}

impl Scheduler {
    /// Requests the return of a machine. The cloud is asked for it once the request is on record.
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

    /// Removes machines whose return the cloud confirmed. They and all of their tasks are gone.
    pub fn scale_in_confirmed(&mut self, names: &[Arc<str>], now: Micros) {
        for name in names {
            self.release_all_tasks(name, now);
            if let Some(machine) = self.inventory.get(name) {
                // The cloud has capacity for this type again.
                self.autoscaler
                    .machine_returned(&MachinePoolKey::of(machine));
                self.remove_machine(name, now);
            }
        }
        self.placement_pass.request();
    }

    /// Processes machines that the cloud lists.
    ///
    /// The list may be out of date: a listed machine may be gone by now, and a missing one may exist.
    /// `is_returned` says whether a machine is on record as returned.
    pub fn machines_listed(
        &mut self,
        list: &[ListedMachine],
        is_returned: &dyn Fn(&str) -> bool,
        now: Micros,
    ) {
        for listed in list {
            if self.inventory.contains(&listed.name) {
                self.update_listed_machine(listed, now);
            } else if !is_returned(&listed.name) && !self.inventory.was_returned(&listed.name) {
                self.add_listed_machine(listed, now);
            }
        }
    }

    /// Updates a known machine from its entry in the list.
    fn update_listed_machine(&mut self, listed: &ListedMachine, now: Micros) {
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
            self.release_all_tasks(&name, now);
            self.scale_in(&name, now);
        }
    }

    /// Adds a machine that was ordered by an earlier leader, or whose order got no answer.
    fn add_listed_machine(&mut self, listed: &ListedMachine, now: Micros) {
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
