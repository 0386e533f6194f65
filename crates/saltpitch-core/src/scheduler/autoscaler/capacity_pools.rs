//! Pending capacity by machine pool: machines that boot, are being rented, or are to be ordered.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::pool_key::MachinePoolKey;
use crate::catalog::{MachineType, Resources};
use crate::job::{JobSpec, Priority};

/// Machines of one pool that are tried for one job before another machine is ordered.
const MAX_TRIED_MACHINES: usize = 64;
/// The service position of a pool that no job wants machines of.
const NOT_WANTED: usize = usize::MAX;

/// The pending capacity of one machine pool.
pub(super) struct CapacityPool {
    /// The machine type.
    pub(super) machine_type: Arc<MachineType>,
    /// The zone.
    pub(super) zone: Arc<str>,
    /// Whether these are spot machines.
    pub(super) spot: bool,
    /// What is still free on each pending machine; those before `first_open` are full.
    free: Vec<Resources>,
    first_open: usize,
    /// The fewest processors that a task of a waiting job takes.
    smallest_need_cpu: u64,
    /// How many machines are to be ordered.
    new_machines: u32,
    /// The place in the order of service of the first job that wants one of them.
    wanted_at: usize,
    /// Production wants some of them.
    for_production: bool,
    /// The cloud refused such machines lately.
    is_refused: bool,
    /// Nothing boots in its zone: a few machines are ordered to see when it does again, and nobody counts
    /// on them.
    is_stalled: bool,
    /// How many machines may be ordered now.
    max_new_machines: u32,
}

impl CapacityPool {
    /// A pool without pending machines.
    pub(super) fn new(
        machine_type: Arc<MachineType>,
        zone: &str,
        spot: bool,
        smallest_need_cpu: u64,
    ) -> CapacityPool {
        CapacityPool {
            machine_type,
            zone: zone.into(),
            spot,
            free: Vec::new(),
            first_open: 0,
            smallest_need_cpu,
            new_machines: 0,
            wanted_at: NOT_WANTED,
            for_production: false,
            is_refused: false,
            is_stalled: false,
            max_new_machines: u32::MAX,
        }
    }

    /// The pool's key.
    pub(super) fn key(&self) -> MachinePoolKey {
        MachinePoolKey::new(&self.machine_type.name, &self.zone, self.spot)
    }

    /// Whether a job's tasks may run on the pool's machines.
    pub(super) fn suits(&self, spec: &JobSpec, may_use_spot: bool) -> bool {
        spec.need.fits(&self.machine_type.size)
            && (may_use_spot || !self.spot)
            && spec.allows(&self.machine_type.name, &self.zone, self.spot)
    }

    /// The price of the pool's machines.
    pub(super) fn price(&self) -> u64 {
        self.machine_type.price_of(self.spot)
    }

    /// The price of the room for one task.
    pub(super) fn price_per_task(&self, need: &Resources) -> f64 {
        let tasks = need.count_in(&self.machine_type.size).max(1);
        self.price() as f64 / tasks as f64
    }

    /// How many machines are to be ordered.
    pub(super) fn new_machines(&self) -> u32 {
        self.new_machines
    }

    /// The place in the order of service of the first job that wants one of them.
    pub(super) fn wanted_at(&self) -> usize {
        self.wanted_at
    }

    /// Whether production wants some of them.
    pub(super) fn is_for_production(&self) -> bool {
        self.for_production
    }

    /// Whether nothing boots in the pool's zone.
    pub(super) fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Whether another machine may be ordered.
    pub(super) fn may_grow(&self) -> bool {
        !self.is_refused && self.new_machines < self.max_new_machines
    }

    /// Adds pending machines with this much free capacity each.
    pub(super) fn add_pending(&mut self, free: Resources, count: usize) {
        self.free.extend(std::iter::repeat_n(free, count));
    }

    /// The cloud refused such machines lately.
    pub(super) fn refuse(&mut self) {
        self.is_refused = true;
    }

    /// Nothing boots in the zone: at most `max_pending` machines may be on their way, and nobody counts
    /// on them.
    pub(super) fn stall(&mut self, max_pending: u32) {
        self.is_stalled = true;
        self.max_new_machines = max_pending.saturating_sub(self.free.len() as u32);
        self.free.clear();
    }

    /// One more machine is to be ordered, for a job at this place in the order of service.
    pub(super) fn want_machine(&mut self, position: usize, priority: Priority) {
        self.wanted_at = self.wanted_at.min(position);
        self.for_production |= priority == Priority::Production;
        self.new_machines += 1;
    }

    /// Adds the machine that is to be ordered, with `tasks` tasks of this need on it.
    pub(super) fn add_new_machine(&mut self, need: &Resources, tasks: u64) {
        let free = self.machine_type.size.minus(&need.times(tasks));
        self.free.push(free);
    }

    /// Takes capacity for up to `want` tasks; returns for how many.
    pub(super) fn take(&mut self, need: &Resources, want: u64) -> u64 {
        let mut left = want;
        while left > 0 {
            self.skip_full_machines();
            let taken = self.take_from_window(need, left);
            if taken == 0 {
                break;
            }
            left -= taken;
        }
        want - left
    }

    /// Machines without room for anything that waits are not tried any more.
    fn skip_full_machines(&mut self) {
        let smallest = self.smallest_need_cpu.max(1);
        let is_full = |free: &Resources| free.cpu < smallest;
        while self.free.get(self.first_open).is_some_and(is_full) {
            self.first_open += 1;
        }
    }

    fn take_from_window(&mut self, need: &Resources, want: u64) -> u64 {
        let mut left = want;
        let window = self.free.iter_mut().skip(self.first_open);
        for free in window.take(MAX_TRIED_MACHINES) {
            let tasks = need.count_in(free).min(left);
            *free = free.minus(&need.times(tasks));
            left -= tasks;
            if left == 0 {
                break;
            }
        }
        want - left
    }
}

/// How a job's tasks may be spread over zones, and how many it has in each.
pub(super) struct ZoneSpread {
    counts: BTreeMap<Arc<str>, u64>,
    /// The zone that all tasks go to, once that is settled.
    only: Option<Arc<str>>,
    is_one_zone: bool,
    max_per_zone: u64,
}

impl ZoneSpread {
    /// The spread of a job that has these tasks placed, by zone.
    pub(super) fn new(spec: &JobSpec, placed: &BTreeMap<Arc<str>, u32>) -> ZoneSpread {
        let counts = placed.iter();
        ZoneSpread {
            counts: counts
                .map(|(zone, tasks)| (zone.clone(), u64::from(*tasks)))
                .collect(),
            only: placed.keys().next().filter(|_| spec.one_zone).cloned(),
            is_one_zone: spec.one_zone,
            max_per_zone: u64::from(spec.max_tasks_per_zone()),
        }
    }

    /// How many more tasks may go to a zone.
    pub(super) fn allowance(&self, zone: &Arc<str>) -> u64 {
        if self.only.as_ref().is_some_and(|only| only != zone) {
            return 0;
        }
        let tasks = self.counts.get(zone).copied().unwrap_or(0);
        self.max_per_zone.saturating_sub(tasks)
    }

    /// Tasks go to a zone.
    pub(super) fn add(&mut self, zone: &Arc<str>, tasks: u64) {
        *self.counts.entry(zone.clone()).or_default() += tasks;
        if self.is_one_zone {
            self.only = Some(zone.clone());
        }
    }
}
