//! The machines' index, kept up by events: which machines have free capacity, by type, zone and kind. A
//! placement pass asks it instead of looking at every machine.

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

/// The most needs for which a group remembers how far it was searched: users choose them freely.
const MAX_SEARCHES: usize = 4_096;
/// How long an empty machine is kept until the policy says otherwise.
const DEFAULT_IDLE_KEEP: Micros = Micros::from_secs(60);
/// The number of priorities.
const PRIORITIES: usize = 4;

/// What the index knows of one machine; lives in the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct IndexEntry {
    group: GroupNumber,
    /// What was free when the machine was last indexed as taking tasks.
    free: Option<Resources>,
    /// Processors that it then gave to batch work.
    batch_cpu: u64,
}

/// A place in the order in which a group is searched: the machines with fewest free processors first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SearchPosition {
    free_cpu: u64,
    machine: Arc<str>,
}

/// How far the search for one need has come in a group.
#[derive(Clone, Debug, Default)]
struct SearchProgress {
    /// The group's count of growths when a search of the whole of it found nothing.
    exhausted_at: Option<u64>,
    /// Where a search that was cut short goes on.
    resume_after: Option<SearchPosition>,
}

/// What a search of a group's free capacity came to.
#[derive(Debug)]
pub struct SearchResult {
    /// The machines on which the need fits, those with fewest free processors first.
    pub machines: Vec<Arc<str>>,
    /// How many machines were looked at.
    pub steps: u64,
}

/// Machines of one type, zone and kind.
#[derive(Debug)]
pub struct MachineGroup {
    /// Their type.
    pub machine_type: Arc<MachineType>,
    /// Their zone.
    pub zone: Arc<str>,
    /// Whether the cloud may take them back.
    pub spot: bool,
    members: BTreeSet<Arc<str>>,
    /// What is free on the machines that take tasks and have processors left.
    free_capacity: BTreeMap<SearchPosition, Resources>,
    /// Counts whenever a machine's free capacity grows.
    growths: u64,
    searches: FxHashMap<Resources, SearchProgress>,
    /// Placed tasks by priority.
    tasks: [u32; PRIORITIES],
    batch_cpu: u64,
    idle_keep: Micros,
    /// The last of the members that were handed out in turn.
    cursor: Option<Arc<str>>,
}

/// What the machines of a group have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct GroupKey {
    type_name: String,
    zone: Arc<str>,
    spot: bool,
    /// Whether the catalogue knew the type: one that it did not know has no size, and is not the same as
    /// one of that name which it knows.
    is_known_type: bool,
}

/// All machines, by group.
#[derive(Debug, Default)]
pub struct MachineIndex {
    groups: Vec<MachineGroup>,
    by_key: HashMap<GroupKey, GroupNumber>,
    /// How many machines there are, by zone.
    machines_by_zone: HashMap<Arc<str>, usize>,
    /// How many machines have an image, by image and zone.
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
            growths: 0,
            searches: FxHashMap::default(),
            tasks: [0; PRIORITIES],
            batch_cpu: 0,
            idle_keep: DEFAULT_IDLE_KEEP,
            cursor: None,
        }
    }

    /// Processors that its machines give to batch work.
    pub fn batch_cpu(&self) -> u64 {
        self.batch_cpu
    }

    /// How long an empty machine is kept.
    pub fn idle_keep(&self) -> Micros {
        self.idle_keep
    }

    /// Sets how long an empty machine is kept.
    pub fn set_idle_keep(&mut self, idle_keep: Micros) {
        self.idle_keep = idle_keep;
    }

    /// Whether tasks of a lower priority are placed here.
    pub fn has_tasks_below(&self, priority: Priority) -> bool {
        let below = &self.tasks[..priority_index(priority)];
        below.iter().any(|tasks| *tasks > 0)
    }

    /// The next members in turn, at most `count`: a bounded part of the group for each pass.
    pub fn next_members(&mut self, count: usize) -> Vec<Arc<str>> {
        let after = self.cursor.take().unwrap_or_else(|| Arc::from(""));
        let bounds = (Bound::Excluded(&after), Bound::Unbounded);
        let later = self.members.range::<Arc<str>, _>(bounds);
        let mut part: Vec<Arc<str>> = later.take(count).cloned().collect();
        if part.len() < count {
            let rest = count - part.len();
            let from_start = self.members.iter().take_while(|machine| **machine <= after);
            part.extend(from_start.take(rest).cloned());
        }
        self.cursor = part.last().cloned();
        part
    }

    /// Looks for `need` on up to `limit` machines. A search that found nothing and was cut short goes on
    /// where it ended; one that found nothing on the whole group is not repeated before the group grows.
    pub fn search(&mut self, need: &Resources, limit: usize) -> SearchResult {
        let mut result = SearchResult {
            machines: Vec::new(),
            steps: 1,
        };
        if self.searches.len() >= MAX_SEARCHES {
            self.searches.clear();
        }
        let progress = self.searches.entry(*need).or_default();
        if progress.exhausted_at == Some(self.growths) {
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
        let is_whole = matches!(start, Bound::Included(_));
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
            if cut_short_at.is_none() && is_whole {
                progress.exhausted_at = Some(self.growths);
            }
            progress.resume_after = cut_short_at;
        }
        result
    }

    /// A machine's free capacity changed; `None`: it takes no tasks.
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
            self.growths += 1;
        }
    }
}

impl MachineIndex {
    /// All groups, in the order in which their first machines came.
    pub fn groups(&self) -> &[MachineGroup] {
        &self.groups
    }

    /// All groups, to search them or hand out their members in turn.
    pub fn groups_mut(&mut self) -> &mut [MachineGroup] {
        &mut self.groups
    }

    /// The group that a machine is in.
    pub fn group_of(&self, machine: &Machine) -> &MachineGroup {
        &self.groups[machine.index_entry.group]
    }

    /// How many machines there are in a zone.
    pub fn machines_in_zone(&self, zone: &str) -> usize {
        self.machines_by_zone.get(zone).copied().unwrap_or(0)
    }

    /// How many machines of the zone that has most of them have this image.
    pub fn image_holders(&self, image: &str) -> usize {
        let zones = self.image_holders.get(image);
        let most = zones.and_then(|zones| zones.values().max().copied());
        most.unwrap_or(0)
    }

    /// A machine became known. It counts as taking no tasks until it is updated.
    pub fn add(&mut self, machine: &mut Machine) {
        let number = self.group_number(&machine.machine_type, &machine.zone, machine.spot);
        machine.index_entry.group = number;
        self.groups[number].members.insert(machine.name.clone());
        let count = self.machines_by_zone.entry(machine.zone.clone());
        *count.or_default() += 1;
    }

    /// The group of such machines, made if need be.
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

    /// A machine is gone.
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

    /// Anything about the machine that counts for placement may have changed.
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

    /// Images came to a machine of this zone or fell out of its cache.
    pub fn images_changed(&mut self, zone: &Arc<str>, changes: &ImageChanges) {
        for image in &changes.added {
            let zones = self.image_holders.entry(image.clone()).or_default();
            *zones.entry(zone.clone()).or_default() += 1;
        }
        for image in &changes.removed {
            let zones = self.image_holders.get_mut(image);
            if let Some(count) = zones.and_then(|zones| zones.get_mut(zone)) {
                *count = count.saturating_sub(1);
            }
        }
    }

    /// A task of this priority was placed on the machine.
    pub fn task_placed(&mut self, machine: &Machine, priority: Priority) {
        *self.tasks_mut(machine, priority) += 1;
    }

    /// A task of this priority is gone from the machine.
    pub fn task_released(&mut self, machine: &Machine, priority: Priority) {
        let tasks = self.tasks_mut(machine, priority);
        *tasks = tasks.saturating_sub(1);
    }

    fn tasks_mut(&mut self, machine: &Machine, priority: Priority) -> &mut u32 {
        let group = &mut self.groups[machine.index_entry.group];
        &mut group.tasks[priority_index(priority)]
    }
}
