//! Capacity for the tasks of one job: pending machines first, then machines to be ordered.

use super::capacity_plan::ScaleOutTerms;
use super::capacity_pools::{CapacityPool, ZoneSpread};
use crate::job::JobSpec;

/// Prices are compared in this fraction of their unit.
const PRICE_PRECISION: u64 = 1_000;

/// The tasks of one job that need capacity, and the pools that may hold them.
pub(super) struct Reservation<'a> {
    spec: &'a JobSpec,
    terms: &'a ScaleOutTerms,
    /// The pools whose machines the job may use.
    pools: Vec<&'a mut CapacityPool>,
    zones: ZoneSpread,
    /// Tasks without capacity.
    left: u64,
    /// The most that the room for one task may cost unless it is urgent.
    max_price: f64,
}

impl<'a> Reservation<'a> {
    /// A reservation for `want` tasks, none of which has capacity yet.
    pub(super) fn new(
        spec: &'a JobSpec,
        terms: &'a ScaleOutTerms,
        pools: Vec<&'a mut CapacityPool>,
        zones: ZoneSpread,
        want: u64,
    ) -> Reservation<'a> {
        let prices = pools.iter().map(|pool| pool.price_per_task(&spec.need));
        let cheapest = prices.fold(f64::INFINITY, f64::min);
        Reservation {
            spec,
            terms,
            pools,
            zones,
            left: want,
            max_price: cheapest * terms.max_price_ratio,
        }
    }

    /// Takes pending capacity.
    pub(super) fn take_pending(&mut self) {
        for pool in &mut self.pools {
            let allowed = self.left.min(self.zones.allowance(&pool.zone));
            let taken = pool.take(&self.spec.need, allowed);
            if taken > 0 {
                self.zones.add(&pool.zone, taken);
                self.left -= taken;
            }
        }
    }

    /// Adds machines to be ordered until every task has capacity, or no pool may grow.
    pub(super) fn add_machines(&mut self, machines_in_zone: &dyn Fn(&str) -> usize) {
        while self.left > 0 {
            let Some(index) = self.best_pool(machines_in_zone) else {
                return;
            };
            self.add_machine(index);
        }
    }

    /// The pool whose machine holds a task of this job for the least money; between equals, the one in the
    /// zone with fewer machines.
    fn best_pool(&self, machines_in_zone: &dyn Fn(&str) -> usize) -> Option<usize> {
        let pools = self.pools.iter().enumerate();
        let candidates = pools.filter(|(_, pool)| self.may_rent(pool));
        let best = candidates.min_by_key(|(_, pool)| {
            let fitting = self.spec.need.count_in(&pool.machine_type.size);
            let tasks = fitting.min(self.left).max(1);
            let price = pool.price() * PRICE_PRECISION / tasks;
            let in_zone = machines_in_zone(&pool.zone) + pool.new_machines() as usize;
            (price, in_zone)
        });
        best.map(|(index, _)| index)
    }

    /// Whether a machine of this pool may be ordered for the job.
    fn may_rent(&self, pool: &CapacityPool) -> bool {
        let is_cheap = pool.price_per_task(&self.spec.need) <= self.max_price;
        pool.may_grow()
            && self.zones.allowance(&pool.zone) > 0
            && (is_cheap || self.terms.is_urgent(pool.machine_type.boot))
    }

    /// Adds a machine to be ordered, with as many of the tasks as it holds. Nobody counts on machines of a
    /// stalled zone.
    fn add_machine(&mut self, index: usize) {
        let pool = &mut self.pools[index];
        pool.want_machine(self.terms.position, self.spec.priority);
        if pool.is_stalled() {
            return;
        }
        let need = &self.spec.need;
        let allowed = self.left.min(self.zones.allowance(&pool.zone));
        let tasks = need.count_in(&pool.machine_type.size).min(allowed);
        pool.add_new_machine(need, tasks);
        self.zones.add(&pool.zone, tasks);
        self.left -= tasks;
    }
}
