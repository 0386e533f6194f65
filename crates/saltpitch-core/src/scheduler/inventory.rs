//! The machines that the scheduler knows, and the indexes over them.
//!
//! A machine's own state is changed through [`MachineInventory::get_mut`]. A caller that changes something
//! that affects placement must call [`MachineInventory::update`] afterwards.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::unreachable_machines::UnreachableMachines;
use crate::job::{JobNumber, JobSpec};
use crate::machine::{ImageChanges, Machine};
use crate::machine_index::{MachineGroup, MachineIndex};
use crate::records::ReturnedMachines;
use crate::time::Micros;

/// The known machines with their indexes.
pub(super) struct MachineInventory {
    machines: BTreeMap<Arc<str>, Machine>,
    /// Free capacity by machine type, zone, and whether the machines are spot machines.
    index: MachineIndex,
    /// Machines without allocations.
    idle: BTreeSet<Arc<str>>,
    /// Machines that have sent no heartbeat yet or are not yet fenced by this leader's term.
    provisioning: BTreeSet<Arc<str>>,
    /// Machines that were returned to the cloud in this leader's term.
    returned: ReturnedMachines,
    /// When each machine's health is checked next.
    health_checks: BTreeSet<(Micros, Arc<str>)>,
    unreachable: UnreachableMachines,
    /// The time of the last heartbeat of any machine or answer to a direct call.
    last_contact: Micros,
    /// The time of the last heartbeat that was answered.
    last_heartbeat: Micros,
    /// Zones in which this leader can reach a controller. An unresponsive machine there does not indicate a
    /// partition.
    reachable_zones: BTreeSet<String>,
}

impl MachineInventory {
    /// Creates an empty inventory for a leader that was elected at this time.
    pub(super) fn new(elected_at: Micros) -> MachineInventory {
        MachineInventory {
            machines: BTreeMap::new(),
            index: MachineIndex::default(),
            idle: BTreeSet::new(),
            provisioning: BTreeSet::new(),
            returned: ReturnedMachines::default(),
            health_checks: BTreeSet::new(),
            unreachable: UnreachableMachines::new(elected_at),
            last_contact: Micros::ZERO,
            last_heartbeat: Micros::ZERO,
            reachable_zones: BTreeSet::new(),
        }
    }

    /// Returns the number of machines.
    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Returns whether a machine of this name is known.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// Returns the machine of this name.
    pub(super) fn get(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// Returns the machine of this name for changes to its own state. The indexes are not updated; see
    /// [`MachineInventory::update`].
    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Machine> {
        self.machines.get_mut(name)
    }

    /// Returns all machines, sorted by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    /// Returns the machines without allocations, sorted by name.
    pub(super) fn idle(&self) -> impl Iterator<Item = &Machine> {
        self.idle.iter().filter_map(|name| self.get(name))
    }

    /// Returns the number of machines without allocations.
    pub(super) fn idle_count(&self) -> usize {
        self.idle.len()
    }

    /// Returns the machines that have sent no heartbeat yet or are not yet fenced by this leader's term,
    /// sorted by name.
    pub(super) fn provisioning(&self) -> impl Iterator<Item = &Machine> {
        self.provisioning.iter().filter_map(|name| self.get(name))
    }

    /// Returns the number of machines that have sent no heartbeat yet or are not yet fenced by this leader's
    /// term.
    pub(super) fn provisioning_count(&self) -> usize {
        self.provisioning.len()
    }

    /// Returns the machines grouped by type, zone, and whether they are spot machines.
    pub(super) fn groups(&self) -> &[MachineGroup] {
        self.index.groups()
    }

    /// Returns the machine groups, to search them or to take their members in turn.
    pub(super) fn groups_mut(&mut self) -> &mut [MachineGroup] {
        self.index.groups_mut()
    }

    /// Returns the group that a machine belongs to.
    pub(super) fn group_of(&self, machine: &Machine) -> &MachineGroup {
        self.index.group_of(machine)
    }

    /// Returns the number of machines in a zone.
    pub(super) fn machines_in_zone(&self, zone: &str) -> usize {
        self.index.machines_in_zone(zone)
    }

    /// Returns how many machines have this image in the zone in which most machines have it.
    pub(super) fn max_image_holders_per_zone(&self, image: &str) -> usize {
        self.index.max_image_holders_per_zone(image)
    }

    /// Adds a machine without allocations.
    pub(super) fn add(&mut self, mut machine: Machine) {
        let name = machine.name.clone();
        self.index.add(&mut machine);
        self.idle.insert(name.clone());
        self.provisioning.insert(name.clone());
        self.health_checks
            .insert((machine.next_check_at, name.clone()));
        self.machines.insert(name, machine);
    }

    /// Removes a machine that was returned to the cloud and has no allocations any more.
    pub(super) fn remove(&mut self, name: &Arc<str>) -> Option<Machine> {
        let mut machine = self.machines.remove(name)?;
        self.index.remove(&mut machine);
        self.idle.remove(name);
        self.provisioning.remove(name);
        self.health_checks
            .remove(&(machine.next_check_at, name.clone()));
        self.unreachable.remove(name);
        self.returned.insert(name);
        Some(machine)
    }

    /// Returns whether a machine of this name was returned in this leader's term.
    pub(super) fn was_returned(&self, name: &str) -> bool {
        self.returned.contains(name)
    }

    /// Updates the indexes after a change to a machine that affects placement.
    pub(super) fn update(&mut self, name: &Arc<str>) {
        if let Some(machine) = self.machines.get_mut(name) {
            self.index.update(machine);
            let is_ready = machine.agent.is_fenced() && machine.lifecycle.is_recorded();
            if is_ready || machine.lifecycle.is_returning() {
                self.provisioning.remove(name);
            }
        }
        self.update_reachability(name);
    }

    /// Updates the set of unreachable machines after a change to a machine that may affect whether it can be
    /// reached.
    pub(super) fn update_reachability(&mut self, name: &Arc<str>) {
        self.unreachable.update(name, self.machines.get(name));
    }

    /// Returns whether many machines are unreachable and have been so for at most `period`.
    pub(super) fn too_many_unreachable(&mut self, period: Micros, now: Micros) -> bool {
        let machines = self.machines.len();
        self.unreachable.too_many(machines, period, now)
    }

    /// Records that a task is placed on a machine.
    pub(super) fn task_placed(
        &mut self,
        name: &Arc<str>,
        number: JobNumber,
        task: u32,
        spec: &JobSpec,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.allocations.add(number, task, spec);
        self.index.task_placed(machine, spec.priority);
        self.index.update(machine);
        self.idle.remove(name);
    }

    /// Records that a task is no longer placed on a machine.
    pub(super) fn task_released(
        &mut self,
        name: &Arc<str>,
        number: JobNumber,
        task: u32,
        spec: &JobSpec,
        now: Micros,
    ) {
        let Some(machine) = self.machines.get_mut(name) else {
            return;
        };
        machine.release(number, task, spec, now);
        if machine.allocations.is_empty() {
            self.idle.insert(name.clone());
        }
        self.index.task_released(machine, spec.priority);
        self.index.update(machine);
    }

    /// Records that a task used this image on a machine.
    pub(super) fn image_used(&mut self, name: &str, image: &str, size_mb: u64, used_at: Micros) {
        if let Some(machine) = self.machines.get_mut(name) {
            let changes = machine.use_image(image, size_mb, used_at);
            self.index.images_changed(&machine.zone, &changes);
        }
    }

    /// Records that these images are no longer in a machine's cache.
    pub(super) fn images_removed(&mut self, name: &str, removed: Vec<String>) {
        if let Some(machine) = self.machines.get(name) {
            let changes = ImageChanges {
                added: Vec::new(),
                removed,
            };
            self.index.images_changed(&machine.zone, &changes);
        }
    }

    /// Schedules a machine's next health check.
    pub(super) fn schedule_health_check(&mut self, name: &Arc<str>, at: Micros) {
        if let Some(machine) = self.machines.get_mut(name) {
            self.health_checks
                .remove(&(machine.next_check_at, name.clone()));
            machine.next_check_at = at;
            self.health_checks.insert((at, name.clone()));
        }
    }

    /// Returns the machine whose health check has been due for the longest time, if any is due. It stays due
    /// until its next check is scheduled.
    pub(super) fn due_health_check(&self, now: Micros) -> Option<Arc<str>> {
        let (due, name) = self.health_checks.first()?;
        (*due <= now).then(|| name.clone())
    }

    /// Records that a machine sent a heartbeat or answered a direct call.
    pub(super) fn record_contact(&mut self, now: Micros) {
        self.last_contact = now;
    }

    /// Records that a machine sent a heartbeat that is answered.
    pub(super) fn heartbeat_received(&mut self, now: Micros) {
        self.last_heartbeat = now;
    }

    /// Returns when any machine last sent a heartbeat or answered a direct call.
    pub(super) fn last_contact(&self) -> Micros {
        self.last_contact
    }

    /// Returns when any machine last sent a heartbeat that was answered.
    pub(super) fn last_heartbeat(&self) -> Micros {
        self.last_heartbeat
    }

    /// Returns the zones in which this leader can reach a controller.
    pub(super) fn reachable_zones(&self) -> &BTreeSet<String> {
        &self.reachable_zones
    }

    /// Sets the zones in which this leader can reach a controller.
    pub(super) fn set_reachable_zones(&mut self, zones: BTreeSet<String>) {
        self.reachable_zones = zones;
    }
}
