//! The machines' index, kept up by events: who has room, by type, zone and kind. A pass asks it
//! instead of looking at every machine.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use rustc_hash::FxHashMap;

use crate::catalog::{MachineType, Resources};
use crate::job::Priority;
use crate::machine::Machine;
use crate::time::Micros;

pub type GroupNumber = usize;

/// Needs of which a group remembers how far it was searched: users choose them freely.
const MAX_SEARCHES: usize = 4_096;

/// What the index knows of one machine; lives in the machine.
#[derive(Clone, Copy, Debug, Default)]
pub struct IndexEntry {
    /// Free room when it was last indexed as taking tasks.
    free: Option<Resources>,
    /// Processors that it then gave to batch work.
    batch: u64,
}

/// How far the search for one need has come in a group.
#[derive(Clone, Debug, Default)]
struct SearchProgress {
    /// The group had grown this often when the whole of it was found to have no room.
    full_at: Option<u64>,
    /// Where a search that was cut short goes on.
    after: Option<(u64, Arc<str>)>,
}

/// Machines of one type, zone and kind.
#[derive(Debug)]
pub struct MachineGroup {
    pub kind: Arc<MachineType>,
    pub zone: Arc<str>,
    pub spot: bool,
    pub members: BTreeSet<Arc<str>>,
    /// Those that take tasks and have processors left, by how many, and all that is free there.
    room: BTreeMap<(u64, Arc<str>), Resources>,
    /// Counts whenever room appears.
    grown: u64,
    searches: FxHashMap<Resources, SearchProgress>,
    /// Placed tasks by priority.
    pub load: [u32; 4],
    /// Processors that its machines give to batch work.
    pub batch: u64,
    /// How long an empty machine is kept.
    pub keep: Micros,
    /// Where the search for room to be made goes on.
    pub cursor: Option<Arc<str>>,
}

/// What a search of a group's free room came to.
pub struct Found {
    pub fits: Vec<Arc<str>>,
    pub steps: u64,
}

#[derive(Debug, Default)]
pub struct MachineIndex {
    pub groups: Vec<MachineGroup>,
    by_key: HashMap<(String, Arc<str>, bool, bool), GroupNumber>,
    /// All machines known, by zone.
    pub by_zone: HashMap<Arc<str>, usize>,
    /// How many machines hold an image, by zone.
    images: HashMap<String, HashMap<Arc<str>, usize>>,
}

fn priority_index(p: Priority) -> usize {
    match p {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::High => 2,
        Priority::Production => 3,
    }
}

impl MachineGroup {
    /// Whether tasks of a lower priority are here.
    pub fn has_below(&self, p: Priority) -> bool {
        self.load[..priority_index(p)].iter().any(|n| *n > 0)
    }

    /// The next machines in turn, at most `n`.
    pub fn next_part(&mut self, n: usize) -> Vec<Arc<str>> {
        let after = self.cursor.take().unwrap_or_else(|| Arc::from(""));
        let later = self.members.range::<Arc<str>, _>((
            std::ops::Bound::Excluded(&after),
            std::ops::Bound::Unbounded,
        ));
        let mut part: Vec<Arc<str>> = later.take(n).cloned().collect();
        if part.len() < n {
            let rest = n - part.len();
            let from_start = self.members.iter().take_while(|machine| **machine <= after);
            part.extend(from_start.take(rest).cloned());
        }
        self.cursor = part.last().cloned();
        part
    }

    /// Up to `limit` machines are looked at; those with room for `need`, the fullest first.
    pub fn search(&mut self, need: &Resources, limit: usize) -> Found {
        let mut found = Found {
            fits: Vec::new(),
            steps: 1,
        };
        if self.searches.len() >= MAX_SEARCHES {
            self.searches.clear();
        }
        let progress = self.searches.entry(*need).or_default();
        if progress.full_at == Some(self.grown) {
            return found;
        }
        let from = match progress.after.take() {
            Some(after) if after.0 >= need.cpu => {
                (std::ops::Bound::Excluded(after), std::ops::Bound::Unbounded)
            }
            _ => (
                std::ops::Bound::Included((need.cpu, Arc::from(""))),
                std::ops::Bound::Unbounded,
            ),
        };
        let whole = matches!(from.0, std::ops::Bound::Included(_));
        let mut last = None;
        for (entry, free) in self.room.range(from) {
            if found.steps as usize > limit {
                last = Some(entry.clone());
                break;
            }
            found.steps += 1;
            if need.fits(free) {
                found.fits.push(entry.1.clone());
            }
        }
        if found.fits.is_empty() {
            progress.after = last;
            if progress.after.is_none() && whole {
                progress.full_at = Some(self.grown);
            }
        }
        found
    }
}

impl MachineIndex {
    /// The group of such machines, made if need be.
    pub fn group(&mut self, kind: &Arc<MachineType>, zone: &Arc<str>, spot: bool) -> GroupNumber {
        // A type that the catalogue did not know had no size: not the same as the one that it knows.
        let known = !kind.size.is_zero();
        let key = (kind.name.clone(), zone.clone(), spot, known);
        if let Some(&g) = self.by_key.get(&key) {
            return g;
        }
        self.groups.push(MachineGroup {
            kind: kind.clone(),
            zone: zone.clone(),
            spot,
            members: BTreeSet::new(),
            room: BTreeMap::new(),
            grown: 0,
            searches: FxHashMap::default(),
            load: [0; 4],
            batch: 0,
            keep: Micros::from_secs(60),
            cursor: None,
        });
        self.by_key.insert(key, self.groups.len() - 1);
        self.groups.len() - 1
    }

    pub fn add(&mut self, machine: &mut Machine) {
        machine.group = self.group(&machine.kind, &machine.zone, machine.spot);
        self.groups[machine.group]
            .members
            .insert(machine.name.clone());
        *self.by_zone.entry(machine.zone.clone()).or_default() += 1;
    }

    pub fn remove(&mut self, machine: &mut Machine) {
        self.set(machine, None);
        let went = machine.forget_images();
        self.images(&machine.zone, &[], &went);
        self.groups[machine.group].members.remove(&machine.name);
        if let Some(n) = self.by_zone.get_mut(&machine.zone) {
            *n -= 1;
        }
    }

    /// Anything about the machine that counts for placement may have changed.
    pub fn update(&mut self, machine: &mut Machine) {
        let free = machine.takes_tasks().then(|| machine.free());
        self.set(machine, free);
    }

    fn set(&mut self, machine: &mut Machine, free: Option<Resources>) {
        let group = &mut self.groups[machine.group];
        let batch = match free {
            Some(_) => machine.kind.size.cpu.saturating_sub(machine.steady_cpu),
            None => 0,
        };
        group.batch = group.batch + batch - machine.indexed.batch;
        machine.indexed.batch = batch;
        let old = machine.indexed.free;
        if old == free {
            return;
        }
        let key = |r: Option<Resources>| r.map(|r| r.cpu).filter(|c| *c > 0);
        if let Some(c) = key(old).filter(|_| key(old) != key(free)) {
            group.room.remove(&(c, machine.name.clone()));
        }
        if let (Some(c), Some(free)) = (key(free), free) {
            group.room.insert((c, machine.name.clone()), free);
        }
        if free.is_some_and(|new| old.is_none_or(|old| !new.fits(&old))) {
            group.grown += 1;
        }
        machine.indexed.free = free;
    }

    /// Images came to a machine or fell out of its cache.
    pub fn images(&mut self, zone: &Arc<str>, came: &[String], went: &[String]) {
        for i in came {
            let zones = self.images.entry(i.clone()).or_default();
            *zones.entry(zone.clone()).or_default() += 1;
        }
        for i in went {
            if let Some(n) = self.images.get_mut(i).and_then(|z| z.get_mut(zone)) {
                *n = n.saturating_sub(1);
            }
        }
    }

    /// How many machines of the zone that has most of them hold this image.
    pub fn holders(&self, image: &str) -> usize {
        let zones = self.images.get(image);
        zones.and_then(|z| z.values().max().copied()).unwrap_or(0)
    }

    /// A task was placed on this machine, or is gone from it.
    pub fn loaded(&mut self, machine: &Machine, p: Priority, more: bool) {
        let n = &mut self.groups[machine.group].load[priority_index(p)];
        *n = if more { *n + 1 } else { n.saturating_sub(1) };
    }
}
