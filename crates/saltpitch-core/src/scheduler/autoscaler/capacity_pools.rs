//! Pending capacity by machine pool: machines that are booting, being ordered, or to be ordered.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::pool_key::MachinePoolKey;
use crate::catalog::{MachineType, Resources};
use crate::job::{JobSpec, Priority};

/// The most pending machines of one pool that are tried for a job before another machine is ordered.
const MAX_TRIED_MACHINES: usize = 64;
/// The queue position of a pool of which no job needs new machines.
const NO_QUEUE_POSITION: usize = usize::MAX;

/// The pending capacity of one machine pool.
pub(super) struct CapacityPool {
    /// The machine type.
    pub(super) machine_type: Arc<MachineType>,
    /// The zone.
    pub(super) zone: Arc<str>,
    /// Whether these are spot machines.
    pub(super) spot: bool,
    /// The free capacity of each pending machine.
    free: Vec<Resources>,
    /// The index of the first machine that is not full.
    first_open: usize,
    /// The fewest processors that a task of any waiting job needs.
    smallest_need_cpu: u64,
    /// The number of machines to be ordered.
    new_machines: u32,
    /// The queue position of the first job that needs one of them.
    queue_position: usize,
    /// Whether production needs some of them.
    is_for_production: bool,
    /// Whether the cloud refused such machines recently.
    is_refused: bool,
    /// Whether no machine boots in the pool's zone. A few machines are ordered there to detect when they
    /// boot again, but no task is assigned to them.
    is_stalled: bool,
    /// The most machines that may be ordered now.
    max_new_machines: u32,
}

impl CapacityPool {
    /// Creates a pool without pending machines.
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
            queue_position: NO_QUEUE_POSITION,
            is_for_production: false,
            is_refused: false,
            is_stalled: false,
            max_new_machines: u32::MAX,
        }
    }

    /// Returns the pool's key.
    pub(super) fn key(&self) -> MachinePoolKey {
        MachinePoolKey::new(&self.machine_type.name, &self.zone, self.spot)
    }

    /// Returns whether a job's tasks may run on the pool's machines.
    pub(super) fn suits(&self, spec: &JobSpec, may_use_spot: bool) -> bool {
        spec.need.fits(&self.machine_type.size)
            && (may_use_spot || !self.spot)
            && spec.allows(&self.machine_type.name, &self.zone, self.spot)
    }

    /// Returns the price of one of the pool's machines.
    pub(super) fn price(&self) -> u64 {
        self.machine_type.price_of(self.spot)
    }

    /// Returns the price of the capacity for one task on a machine that is filled with such tasks.
    pub(super) fn price_per_task(&self, need: &Resources) -> f64 {
        let tasks = need.count_in(&self.machine_type.size).max(1);
        self.price() as f64 / tasks as f64
    }

    /// Returns the number of machines to be ordered.
    pub(super) fn new_machines(&self) -> u32 {
        self.new_machines
    }

    /// Returns the queue position of the first job that needs one of the machines to be ordered.
    pub(super) fn queue_position(&self) -> usize {
        self.queue_position
    }

    /// Returns whether production needs some of the machines to be ordered.
    pub(super) fn is_for_production(&self) -> bool {
        self.is_for_production
    }

    /// Returns whether no machine boots in the pool's zone.
    pub(super) fn is_stalled(&self) -> bool {
        self.is_stalled
    }

    /// Returns whether another machine may be ordered.
    pub(super) fn can_order_more(&self) -> bool {
        !self.is_refused && self.new_machines < self.max_new_machines
    }

    /// Adds pending machines with this much free capacity each.
    pub(super) fn add_pending(&mut self, free: Resources, count: usize) {
        self.free.extend(std::iter::repeat_n(free, count));
    }

    /// Marks the pool as recently refused by the cloud, so that no machines are ordered in it.
    pub(super) fn mark_refused(&mut self) {
        self.is_refused = true;
    }

    /// Marks the pool's zone as one where no machine boots. At most `max_pending` of the pool's machines
    /// may be pending, and their capacity is not used in the plan.
    pub(super) fn mark_stalled(&mut self, max_pending: u32) {
        self.is_stalled = true;
        self.max_new_machines = max_pending.saturating_sub(self.free.len() as u32);
        self.free.clear();
    }

    /// Counts one more machine to be ordered, for a job at this queue position.
    pub(super) fn count_new_machine(&mut self, queue_position: usize, priority: Priority) {
        self.queue_position = self.queue_position.min(queue_position);
        self.is_for_production |= priority == Priority::Production;
        self.new_machines += 1;
    }

    /// Adds the free capacity of a machine to be ordered, on which `tasks` tasks of this need are planned.
    pub(super) fn add_new_capacity(&mut self, need: &Resources, tasks: u64) {
        let free = self.machine_type.size.minus(&need.times(tasks));
        self.free.push(free);
    }

    /// Takes capacity for up to `max_tasks` tasks and returns for how many it was found.
    pub(super) fn take_capacity(&mut self, need: &Resources, max_tasks: u64) -> u64 {
        let mut remaining = max_tasks;
        while remaining > 0 {
            self.skip_full_machines();
            let taken = self.take_from_window(need, remaining);
            if taken == 0 {
                break;
            }
            remaining -= taken;
        }
        max_tasks - remaining
    }

    /// Skips leading machines that have no capacity for a task of any waiting job.
    fn skip_full_machines(&mut self) {
        let smallest = self.smallest_need_cpu.max(1);
        let is_full = |free: &Resources| free.cpu < smallest;
        while self.free.get(self.first_open).is_some_and(is_full) {
            self.first_open += 1;
        }
    }

    /// Takes capacity for up to `max_tasks` tasks from the first [`MAX_TRIED_MACHINES`] machines that are
    /// not skipped.
    fn take_from_window(&mut self, need: &Resources, max_tasks: u64) -> u64 {
        let mut remaining = max_tasks;
        let window = self.free.iter_mut().skip(self.first_open);
        for free in window.take(MAX_TRIED_MACHINES) {
            let tasks = need.count_in(free).min(remaining);
            *free = free.minus(&need.times(tasks));
            remaining -= tasks;
            if remaining == 0 {
                break;
            }
        }
        max_tasks - remaining
    }
}

/// The limits on how a job's tasks are spread over zones, and the tasks that it has in each.
pub(super) struct ZoneSpread {
    /// The number of tasks by zone.
    counts: BTreeMap<Arc<str>, u64>,
    /// The zone that all tasks go to, once it is chosen for a job that is limited to one zone.
    chosen_zone: Option<Arc<str>>,
    is_one_zone: bool,
    max_per_zone: u64,
}

impl ZoneSpread {
    /// Creates the spread of a job from the number of its placed tasks in each zone.
    pub(super) fn new(spec: &JobSpec, placed: &BTreeMap<Arc<str>, u32>) -> ZoneSpread {
        let counts = placed.iter();
        ZoneSpread {
            counts: counts
                .map(|(zone, tasks)| (zone.clone(), u64::from(*tasks)))
                .collect(),
            chosen_zone: placed.keys().next().filter(|_| spec.one_zone).cloned(),
            is_one_zone: spec.one_zone,
            max_per_zone: u64::from(spec.max_tasks_per_zone()),
        }
    }

    /// Returns how many more tasks may go to a zone.
    pub(super) fn allowance(&self, zone: &Arc<str>) -> u64 {
        if self
            .chosen_zone
            .as_ref()
            .is_some_and(|chosen| chosen != zone)
        {
            return 0;
        }
        let tasks = self.counts.get(zone).copied().unwrap_or(0);
        self.max_per_zone.saturating_sub(tasks)
    }

    /// Adds tasks to a zone.
    pub(super) fn add(&mut self, zone: &Arc<str>, tasks: u64) {
        *self.counts.entry(zone.clone()).or_default() += tasks;
        if self.is_one_zone {
            self.chosen_zone = Some(zone.clone());
        }
    }
}
