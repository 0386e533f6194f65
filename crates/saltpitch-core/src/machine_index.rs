//! An index of the machines with free capacity, by type, zone and whether they are spot machines. It is
//! updated by events, so that a placement pass does not have to examine every machine.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Bound;
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::catalog::{MachineType, Resources};
use crate::job::Priority;
use crate::machine::{ImageChanges, Machine};
use crate::time::Micros;

/// The position of a group in [`MachineIndex::groups`].
pub type GroupNumber = usize;

/// The most needs for which a group remembers how far it was searched; bounded, since users choose
/// needs freely.
const MAX_SEARCHES: usize = 4_096;
/// How long an empty machine is kept before the policy is first applied.
const DEFAULT_IDLE_KEEP: Micros = Micros::from_secs(60);
/// The number of priorities.
const PRIORITIES: usize = 4;

/// What the index stores about one machine; it is kept in the machine itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct IndexEntry {
    group: GroupNumber,
    /// The free capacity with which the machine is indexed; `None` if it takes no tasks.
    free: Option<Resources>,
    /// The processors for batch work that its group counts for it.
    batch_cpu: u64,
}

/// A position in the order in which a group is searched: the machines with the fewest free processors
/// first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SearchPosition {
    free_cpu: u64,
    machine: Arc<str>,
}

/// How far a group has been searched for one need.
#[derive(Clone, Debug, Default)]
struct SearchProgress {
    /// The group's `capacity_increases` when a search of the whole group found nothing.
    exhausted_at: Option<u64>,
    /// The position after which a search that was cut short continues.
    resume_after: Option<SearchPosition>,
}

/// The result of a search of a group's free capacity.
#[derive(Debug)]
pub struct SearchResult {
    /// The machines on which the need fits, those with the fewest free processors first.
    pub machines: Vec<Arc<str>>,
    /// One for the search itself, and one for each machine that was examined.
    pub steps: u64,
}

/// The machines of one type in one zone, either all spot machines or none.
#[derive(Debug)]
pub struct MachineGroup {
    /// Their type.
    pub machine_type: Arc<MachineType>,
    /// Their zone.
    pub zone: Arc<str>,
    /// Whether they are spot machines, which the cloud may take back.
    pub spot: bool,
    members: BTreeSet<Arc<str>>,
    /// The free capacity of the machines that take tasks and have free processors.
    free_capacity: BTreeMap<SearchPosition, Resources>,
    /// How often the free capacity of a machine has increased.
    capacity_increases: u64,
    searches: FxHashMap<Resources, SearchProgress>,
    /// The number of placed tasks, by priority.
    tasks: [u32; PRIORITIES],
    batch_cpu: u64,
    idle_keep: Micros,
    /// The last member that [`MachineGroup::next_members`] returned.
    cursor: Option<Arc<str>>,
}

/// What the machines of a group have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GroupKey {
    type_name: String,
    zone: Arc<str>,
    spot: bool,
    /// Whether the catalog knew the type when its first machine was added. A type that it did not know
    /// has no size, and differs from a type of the same name that it knows.
    is_known_type: bool,
}

/// All machines, by group.
#[derive(Debug, Default)]
pub struct MachineIndex {
    groups: Vec<MachineGroup>,
    by_key: HashMap<GroupKey, GroupNumber>,
    /// The number of machines, by zone.
    machines_by_zone: HashMap<Arc<str>, usize>,
    /// The number of machines that have an image, by image and zone.
    image_holders: HashMap<String, HashMap<Arc<str>, usize>>,
}

fn priority_index(priority: Priority) -> usize {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}

impl MachineGroup {
    fn new(machine_type: Arc<MachineType>, zone: Arc<str>, spot: bool) -> MachineGroup {
        MachineGroup {
            machine_type,
            zone,
            spot,
            members: BTreeSet::new(),
            free_capacity: BTreeMap::new(),
            capacity_increases: 0,
            searches: FxHashMap::default(),
            tasks: [0; PRIORITIES],
            batch_cpu: 0,
            idle_keep: DEFAULT_IDLE_KEEP,
            cursor: None,
        }
    }

    /// Returns the processors that its machines provide for batch work.
    pub fn batch_cpu(&self) -> u64 {
        self.batch_cpu
    }

    /// Returns how long an empty machine is kept.
    pub fn idle_keep(&self) -> Micros {
        self.idle_keep
    }

    /// Sets how long an empty machine is kept.
    pub fn set_idle_keep(&mut self, idle_keep: Micros) {
        self.idle_keep = idle_keep;
    }

    /// Whether tasks of a lower priority are placed on machines of the group.
    pub fn has_tasks_below(&self, priority: Priority) -> bool {
        let below = &self.tasks[..priority_index(priority)];
        below.iter().any(|tasks| *tasks > 0)
    }

    /// Returns the next members in turn, at most `count`, so that each pass examines a bounded part of
    /// the group.
    pub fn next_members(&mut self, count: usize) -> Vec<Arc<str>> {
        let after = self.cursor.take().unwrap_or_else(|| Arc::from(""));
        let bounds = (Bound::Excluded(&after), Bound::Unbounded);
        let later = self.members.range::<Arc<str>, _>(bounds);
        let mut members: Vec<Arc<str>> = later.take(count).cloned().collect();
        if members.len() < count {
            let missing = count - members.len();
            let from_start = self.members.iter().take_while(|machine| **machine <= after);
            members.extend(from_start.take(missing).cloned());
        }
        self.cursor = members.last().cloned();
        members
    }

    /// Searches up to `limit` machines for free capacity for `need`. A search that found nothing and
    /// was cut short is continued by the next one; a search of the whole group that found nothing is
    /// not repeated before the free capacity of one of its machines increases.
    pub fn search(&mut self, need: &Resources, limit: usize) -> SearchResult {
        let mut result = SearchResult {
            machines: Vec::new(),
            steps: 1,
        };
        if self.searches.len() >= MAX_SEARCHES {
            self.searches.clear();
        }
        let progress = self.searches.entry(*need).or_default();
        if progress.exhausted_at == Some(self.capacity_increases) {
            return result;
        }
        let resume_after = progress.resume_after.take();
        let start = match resume_after.filter(|position| position.free_cpu >= need.cpu) {
            Some(position) => Bound::Excluded(position),
            None => Bound::Included(SearchPosition {
                free_cpu: need.cpu,
                machine: Arc::from(""),
            }),
        };
        let starts_at_first = matches!(start, Bound::Included(_));
        let mut cut_short_at = None;
        for (position, free) in self.free_capacity.range((start, Bound::Unbounded)) {
            if result.steps as usize > limit {
                cut_short_at = Some(position.clone());
                break;
            }
            result.steps += 1;
            if need.fits(free) {
                result.machines.push(position.machine.clone());
            }
        }
        if result.machines.is_empty() {
            if cut_short_at.is_none() && starts_at_first {
                progress.exhausted_at = Some(self.capacity_increases);
            }
            progress.resume_after = cut_short_at;
        }
        result
    }

    /// Updates a machine's free capacity, which is `None` if it takes no tasks.
    fn set_free_capacity(
        &mut self,
        machine: &Arc<str>,
        old: Option<Resources>,
        new: Option<Resources>,
    ) {
        let position = |free: Option<Resources>| {
            let free_cpu = free.map(|free| free.cpu).filter(|cpu| *cpu > 0)?;
            Some(SearchPosition {
                free_cpu,
                machine: machine.clone(),
            })
        };
        let (old_position, new_position) = (position(old), position(new));
        if let Some(old_position) = old_position.filter(|old| Some(old) != new_position.as_ref()) {
            self.free_capacity.remove(&old_position);
        }
        if let (Some(new_position), Some(free)) = (new_position, new) {
            self.free_capacity.insert(new_position, free);
        }
        if new.is_some_and(|new| old.is_none_or(|old| !new.fits(&old))) {
            self.capacity_increases += 1;
        }
    }
}

impl MachineIndex {
    /// Returns all groups, in the order in which their first machines were added.
    pub fn groups(&self) -> &[MachineGroup] {
        &self.groups
    }

    /// Returns all groups, to search them, to get their members in turn or to set their idle time.
    pub fn groups_mut(&mut self) -> &mut [MachineGroup] {
        &mut self.groups
    }

    /// Returns the group of a machine.
    pub fn group_of(&self, machine: &Machine) -> &MachineGroup {
        &self.groups[machine.index_entry.group]
    }

    /// Returns the number of machines in a zone.
    pub fn machines_in_zone(&self, zone: &str) -> usize {
        self.machines_by_zone.get(zone).copied().unwrap_or(0)
    }

    /// Returns the number of machines with this image in the zone that has the most of them.
    pub fn max_image_holders_per_zone(&self, image: &str) -> usize {
        let zones = self.image_holders.get(image);
        let most = zones.and_then(|zones| zones.values().max().copied());
        most.unwrap_or(0)
    }

    /// Adds a machine. It is indexed as taking no tasks until it is updated.
    pub fn add(&mut self, machine: &mut Machine) {
        let number = self.group_number(&machine.machine_type, &machine.zone, machine.spot);
        machine.index_entry.group = number;
        self.groups[number].members.insert(machine.name.clone());
        let count = self.machines_by_zone.entry(machine.zone.clone());
        *count.or_default() += 1;
    }

    /// Returns the number of the group of such machines, which is created if there is none.
    fn group_number(
        &mut self,
        machine_type: &Arc<MachineType>,
        zone: &Arc<str>,
        spot: bool,
    ) -> GroupNumber {
        let key = GroupKey {
            type_name: machine_type.name.clone(),
            zone: zone.clone(),
            spot,
            is_known_type: !machine_type.size.is_zero(),
        };
        if let Some(&number) = self.by_key.get(&key) {
            return number;
        }
        let number = self.groups.len();
        let group = MachineGroup::new(machine_type.clone(), zone.clone(), spot);
        self.groups.push(group);
        self.by_key.insert(key, number);
        number
    }

    /// Removes a machine that is gone.
    pub fn remove(&mut self, machine: &mut Machine) {
        self.set_free_capacity(machine, None);
        let images = ImageChanges {
            added: Vec::new(),
            removed: machine.images.clear(),
        };
        self.images_changed(&machine.zone, &images);
        let group = &mut self.groups[machine.index_entry.group];
        group.members.remove(&machine.name);
        if let Some(count) = self.machines_by_zone.get_mut(&machine.zone) {
            *count -= 1;
        }
    }

    /// Updates the index after a change of the machine that may matter for placement.
    pub fn update(&mut self, machine: &mut Machine) {
        let free = machine.is_schedulable().then(|| machine.free());
        self.set_free_capacity(machine, free);
    }

    fn set_free_capacity(&mut self, machine: &mut Machine, free: Option<Resources>) {
        let batch_cpu = match free {
            Some(_) => machine.batch_cpu(),
            None => 0,
        };
        let entry = &mut machine.index_entry;
        let group = &mut self.groups[entry.group];
        group.batch_cpu = group.batch_cpu + batch_cpu - entry.batch_cpu;
        entry.batch_cpu = batch_cpu;
        let old = std::mem::replace(&mut entry.free, free);
        if old != free {
            group.set_free_capacity(&machine.name, old, free);
        }
    }

    /// Updates the number of machines with an image after changes of the cache of a machine in this zone.
    pub fn images_changed(&mut self, zone: &Arc<str>, changes: &ImageChanges) {
        for image in &changes.added {
            let zones = self.image_holders.entry(image.clone()).or_default();
            *zones.entry(zone.clone()).or_default() += 1;
        }
        for image in &changes.removed {
            self.remove_image_holder(image, zone);
        }
    }

    /// Counts one machine less with an image in this zone. Images that no machine has are not kept: users name new
    /// ones with each of their releases.
    fn remove_image_holder(&mut self, image: &str, zone: &Arc<str>) {
        let Some(zones) = self.image_holders.get_mut(image) else {
            return;
        };
        if let Some(count) = zones.get_mut(zone) {
            *count = count.saturating_sub(1);
            if *count == 0 {
                zones.remove(zone);
            }
        }
        if zones.is_empty() {
            self.image_holders.remove(image);
        }
    }

    /// Counts a task of this priority that was placed on the machine.
    pub fn task_placed(&mut self, machine: &Machine, priority: Priority) {
        *self.tasks_mut(machine, priority) += 1;
    }

    /// Removes a task of this priority that is no longer placed on the machine.
    pub fn task_released(&mut self, machine: &Machine, priority: Priority) {
        let tasks = self.tasks_mut(machine, priority);
        *tasks = tasks.saturating_sub(1);
    }

    fn tasks_mut(&mut self, machine: &Machine, priority: Priority) -> &mut u32 {
        let group = &mut self.groups[machine.index_entry.group];
        &mut group.tasks[priority_index(priority)]
    }
}

#[cfg(test)]
mod tests;
