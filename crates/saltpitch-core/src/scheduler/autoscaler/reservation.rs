//! Reserves capacity for the tasks of one job, first on pending machines and then on machines to be ordered.

use super::capacity_plan::ScaleOutTerms;
use super::capacity_pools::{CapacityPool, ZoneSpread};
use crate::job::JobSpec;

/// The factor by which prices per task are scaled before they are compared as integers.
const PRICE_PRECISION: u64 = 1_000;

/// The tasks of one job that need capacity, and the pools that may hold them.
pub(super) struct Reservation<'a> {
    spec: &'a JobSpec,
    terms: &'a ScaleOutTerms,
    /// The pools whose machines the job may use.
    pools: Vec<&'a mut CapacityPool>,
    zones: ZoneSpread,
    /// The number of tasks without capacity.
    remaining: u64,
    /// The most that the capacity for one task may cost unless the machine is urgent.
    max_price: f64,
}

impl<'a> Reservation<'a> {
    /// Creates a reservation for `task_count` tasks, none of which has capacity yet.
    pub(super) fn new(
        spec: &'a JobSpec,
        terms: &'a ScaleOutTerms,
        pools: Vec<&'a mut CapacityPool>,
        zones: ZoneSpread,
        task_count: u64,
    ) -> Reservation<'a> {
        let prices = pools.iter().map(|pool| pool.price_per_task(&spec.need));
        let cheapest = prices.fold(f64::INFINITY, f64::min);
        Reservation {
            spec,
            terms,
            pools,
            zones,
            remaining: task_count,
            max_price: cheapest * terms.max_price_ratio,
        }
    }

    /// Reserves pending capacity in every pool, as far as the zones' limits allow.
    pub(super) fn take_pending(&mut self) {
        for pool in &mut self.pools {
            let allowed = self.remaining.min(self.zones.allowance(&pool.zone));
            let taken = pool.take_capacity(&self.spec.need, allowed);
            if taken > 0 {
                self.zones.add(&pool.zone, taken);
                self.remaining -= taken;
            }
        }
    }

    /// Adds machines to be ordered until every task has capacity or no pool allows another machine.
    pub(super) fn add_machines(&mut self, machines_in_zone: &dyn Fn(&str) -> usize) {
        while self.remaining > 0 {
            let Some(index) = self.best_pool(machines_in_zone) else {
                return;
            };
            self.add_machine(index);
        }
    }

    /// Returns the index of the pool with the lowest price per task of this job. Among equals, the pool in
    /// the zone with the fewest machines is chosen.
    fn best_pool(&self, machines_in_zone: &dyn Fn(&str) -> usize) -> Option<usize> {
        let pools = self.pools.iter().enumerate();
        let candidates = pools.filter(|(_, pool)| self.can_order_from(pool));
        let best = candidates.min_by_key(|(_, pool)| {
            let fitting = self.spec.need.count_in(&pool.machine_type.size);
            let tasks = fitting.min(self.remaining).max(1);
            let price = pool.price() * PRICE_PRECISION / tasks;
            let in_zone = machines_in_zone(&pool.zone) + pool.new_machines() as usize;
            (price, in_zone)
        });
        best.map(|(index, _)| index)
    }

    /// Returns whether a machine of this pool may be ordered for the job.
    fn can_order_from(&self, pool: &CapacityPool) -> bool {
        let is_cheap = pool.price_per_task(&self.spec.need) <= self.max_price;
        pool.can_order_more()
            && self.zones.allowance(&pool.zone) > 0
            && (is_cheap || self.terms.is_urgent(pool.machine_type.boot))
    }

    /// Adds a machine to be ordered and assigns it as many tasks as fit. Machines of a stalled zone get no
    /// tasks, because they may never boot.
    fn add_machine(&mut self, index: usize) {
        let pool = &mut self.pools[index];
        pool.count_new_machine(self.terms.queue_position, self.spec.priority);
        if pool.is_stalled() {
            return;
        }
        let need = &self.spec.need;
        let allowed = self.remaining.min(self.zones.allowance(&pool.zone));
        let tasks = need.count_in(&pool.machine_type.size).min(allowed);
        pool.add_new_capacity(need, tasks);
        self.zones.add(&pool.zone, tasks);
        self.remaining -= tasks;
    }
}
