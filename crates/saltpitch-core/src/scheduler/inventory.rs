//! The machines that the scheduler knows, and the indexes by which it finds them.
//!
//! A machine's own state is changed through [`MachineInventory::get_mut`]; a caller that changes something
//! that counts for placement calls [`MachineInventory::update`] afterwards.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::unreachable_machines::UnreachableMachines;
use crate::job::{JobNumber, JobSpec};
use crate::machine::{ImageChanges, Machine};
use crate::machine_index::{MachineGroup, MachineIndex};
use crate::records::ReturnedMachines;
use crate::time::Micros;

/// The machines in memory.
pub(super) struct MachineInventory {
    machines: BTreeMap<Arc<str>, Machine>,
    /// Free capacity by type, zone and kind.
    index: MachineIndex,
    /// Machines without allocations.
    idle: BTreeSet<Arc<str>>,
    /// Machines that are not yet heard from or not yet fenced by this leader's term.
    provisioning: BTreeSet<Arc<str>>,
    /// Machines that were returned to the cloud in this leadership.
    returned: ReturnedMachines,
    /// When each machine's health is checked next.
    health_checks: BTreeSet<(Micros, Arc<str>)>,
    unreachable: UnreachableMachines,
    /// When any machine was last heard from.
    last_contact: Micros,
    /// When any machine last sent a heartbeat.
    last_heartbeat: Micros,
    /// Zones in which a controller can be reached from here: an unresponsive machine there is no sign of
    /// a partition.
    reachable_zones: BTreeSet<String>,
}

impl MachineInventory {
    /// No machines, for a leader that was elected at this time.
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

    /// How many machines there are.
    pub(super) fn len(&self) -> usize {
        self.machines.len()
    }

    /// Whether the machine is known.
    pub(super) fn contains(&self, name: &str) -> bool {
        self.machines.contains_key(name)
    }

    /// A machine.
    pub(super) fn get(&self, name: &str) -> Option<&Machine> {
        self.machines.get(name)
    }

    /// A machine, to change what the indexes don't hold; see [`MachineInventory::update`].
    pub(super) fn get_mut(&mut self, name: &str) -> Option<&mut Machine> {
        self.machines.get_mut(name)
    }

    /// All machines, by name.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Machine> {
        self.machines.values()
    }

    /// Machines without allocations, by name.
    pub(super) fn idle(&self) -> impl Iterator<Item = &Machine> {
        self.idle.iter().filter_map(|name| self.get(name))
    }

    /// How many machines have no allocations.
    pub(super) fn idle_count(&self) -> usize {
        self.idle.len()
    }

    /// Machines that are not yet heard from or not yet fenced by this leader's term, by name.
    pub(super) fn provisioning(&self) -> impl Iterator<Item = &Machine> {
        self.provisioning.iter().filter_map(|name| self.get(name))
    }

    /// How many machines are not yet heard from or not yet fenced by this leader's term.
    pub(super) fn provisioning_count(&self) -> usize {
        self.provisioning.len()
    }

    /// Machines by type, zone and kind.
    pub(super) fn groups(&self) -> &[MachineGroup] {
        self.index.groups()
    }

    /// Machines by type, zone and kind, to search them or hand out their members in turn.
    pub(super) fn groups_mut(&mut self) -> &mut [MachineGroup] {
        self.index.groups_mut()
    }

    /// The machines of the same type, zone and kind.
    pub(super) fn group_of(&self, machine: &Machine) -> &MachineGroup {
        self.index.group_of(machine)
    }

    /// How many machines there are in a zone.
    pub(super) fn machines_in_zone(&self, zone: &str) -> usize {
        self.index.machines_in_zone(zone)
    }

    /// How many machines of the zone that has most of them have this image.
    pub(super) fn image_holders(&self, image: &str) -> usize {
        self.index.image_holders(image)
    }

    /// A machine became known, with nothing on it.
    pub(super) fn add(&mut self, mut machine: Machine) {
        let name = machine.name.clone();
        self.index.add(&mut machine);
        self.idle.insert(name.clone());
        self.provisioning.insert(name.clone());
        self.health_checks
            .insert((machine.next_check_at, name.clone()));
        self.machines.insert(name, machine);
    }

    /// A machine was returned; nothing is on it any more.
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

    /// Whether a machine of this name was returned in this leadership.
    pub(super) fn was_returned(&self, name: &str) -> bool {
        self.returned.contains(name)
    }

    /// Something about a machine changed that counts for placement.
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

    /// Something about a machine changed that may have brought it into reach or out of it.
    pub(super) fn update_reachability(&mut self, name: &Arc<str>) {
        self.unreachable.update(name, self.machines.get(name));
    }

    /// Whether many machines have been out of reach for less than `period`.
    pub(super) fn too_many_unreachable(&mut self, period: Micros, now: Micros) -> bool {
        let machines = self.machines.len();
        self.unreachable.too_many(machines, period, now)
    }

    /// A task is placed on a machine.
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

    /// A task is no longer placed on a machine.
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

    /// A task with this image ran on a machine.
    pub(super) fn image_used(&mut self, name: &str, image: &str, size_mb: u64, used_at: Micros) {
        if let Some(machine) = self.machines.get_mut(name) {
            let changes = machine.use_image(image, size_mb, used_at);
            self.index.images_changed(&machine.zone, &changes);
        }
    }

    /// These images are no longer in a machine's cache.
    pub(super) fn images_removed(&mut self, name: &str, removed: Vec<String>) {
        if let Some(machine) = self.machines.get(name) {
            let changes = ImageChanges {
                added: Vec::new(),
                removed,
            };
            self.index.images_changed(&machine.zone, &changes);
        }
    }

    /// A machine's health is checked next at this time.
    pub(super) fn schedule_health_check(&mut self, name: &Arc<str>, at: Micros) {
        if let Some(machine) = self.machines.get_mut(name) {
            self.health_checks
                .remove(&(machine.next_check_at, name.clone()));
            machine.next_check_at = at;
            self.health_checks.insert((at, name.clone()));
        }
    }

    /// The machine whose health check has been due for longest, if one is. It stays due until the next
    /// check is scheduled.
    pub(super) fn due_health_check(&self, now: Micros) -> Option<Arc<str>> {
        let (due, name) = self.health_checks.first()?;
        (*due <= now).then(|| name.clone())
    }

    /// A machine was heard, by a heartbeat or an answer to a direct call.
    pub(super) fn record_contact(&mut self, now: Micros) {
        self.last_contact = now;
    }

    /// A machine sent a heartbeat that is answered.
    pub(super) fn heartbeat_received(&mut self, now: Micros) {
        self.last_heartbeat = now;
    }

    /// When any machine was last heard, by a heartbeat or an answer to a direct call.
    pub(super) fn last_contact(&self) -> Micros {
        self.last_contact
    }

    /// When any machine last sent a heartbeat that was answered.
    pub(super) fn last_heartbeat(&self) -> Micros {
        self.last_heartbeat
    }

    /// Zones in which a controller can be reached from here.
    pub(super) fn reachable_zones(&self) -> &BTreeSet<String> {
        &self.reachable_zones
    }

    /// Sets the zones in which a controller can be reached from here.
    pub(super) fn set_reachable_zones(&mut self, zones: BTreeSet<String>) {
        self.reachable_zones = zones;
    }
}
