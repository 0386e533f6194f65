//! The plan of one pass: which pending capacity the waiting jobs take, and which machines are to be ordered
//! beside it.

use std::sync::Arc;

use super::accelerator_demand::AcceleratorDemand;
use super::capacity_pools::{CapacityPool, ZoneSpread};
use super::pool_key::MachinePoolKey;
use super::reservation::Reservation;
use super::Autoscaler;
use crate::catalog::{Catalog, Resources};
use crate::machine::Machine;
use crate::scheduler::Job;
use crate::time::Micros;

/// Machines of one pool that may be on their way in a zone where nothing boots, to see whether it does
/// again.
const STALLED_ZONE_PROBES: u32 = 2;
/// A machine is urgent for a job only if at least this many boot times are left: later it is too late.
const MIN_URGENT_BOOTS: f64 = 0.5;
/// Beyond the boot time, a machine becomes urgent for a job with this much time left: sooner, there is
/// still hope for cheaper capacity.
const URGENT_MARGIN: Micros = Micros::from_secs(25);

/// On what terms machines are ordered for a job.
pub(in crate::scheduler) struct ScaleOutTerms {
    /// Spot machines may be ordered.
    pub(in crate::scheduler) may_use_spot: bool,
    /// Machines that cost more than this many times the cheapest are ordered for urgent work only.
    pub(in crate::scheduler) max_price_ratio: f64,
    /// Time left until the job has to start; `None` if that is late already or was never said.
    pub(in crate::scheduler) slack: Option<Micros>,
    /// The job's place in the order of service.
    pub(in crate::scheduler) position: usize,
}

impl ScaleOutTerms {
    /// Whether a machine that is ordered now comes just in time.
    pub(super) fn is_urgent(&self, boot: Micros) -> bool {
        self.slack.is_some_and(|slack| {
            slack > boot.times(MIN_URGENT_BOOTS) && slack < boot.plus(URGENT_MARGIN)
        })
    }
}

/// The pending capacity of all pools, and the machines to be ordered.
pub(in crate::scheduler) struct CapacityPlan {
    pools: Vec<CapacityPool>,
}

impl CapacityPlan {
    /// Every pool on offer, without pending machines.
    fn new(catalog: &Catalog, smallest_need_cpu: u64) -> CapacityPlan {
        let mut pools = Vec::new();
        for kind in &catalog.types {
            let kind = Arc::new(kind.clone());
            for zone in &kind.zones {
                for spot in [true, false] {
                    let pool = CapacityPool::new(kind.clone(), zone, spot, smallest_need_cpu);
                    pools.push(pool);
                }
            }
        }
        CapacityPlan { pools }
    }

    /// The pools with their new machines.
    pub(super) fn pools(&self) -> &[CapacityPool] {
        &self.pools
    }

    fn add_pending(&mut self, key: &MachinePoolKey, free: Resources, count: usize) {
        let pool = self.pools.iter_mut().find(|pool| {
            pool.machine_type.name == key.type_name
                && *pool.zone == *key.zone
                && pool.spot == key.spot
        });
        if let Some(pool) = pool {
            pool.add_pending(free, count);
        }
    }

    /// Gives `want` tasks of a job pending capacity, and adds machines to be ordered where that is short.
    /// `machines_in_zone` is how many machines there are already.
    pub(in crate::scheduler) fn reserve(
        &mut self,
        job: &Job,
        terms: &ScaleOutTerms,
        want: u64,
        accelerators: &AcceleratorDemand,
        machines_in_zone: &dyn Fn(&str) -> usize,
    ) {
        let spec = &job.spec;
        let pools = self.pools.iter_mut();
        let suitable = pools.filter(|pool| {
            pool.suits(spec, terms.may_use_spot)
                && !accelerators.is_contested_for(spec, &pool.machine_type.size)
        });
        let zones = ZoneSpread::new(spec, job.tasks.zones());
        let mut reservation = Reservation::new(spec, terms, suitable.collect(), zones, want);
        reservation.take_pending();
        reservation.add_machines(machines_in_zone);
    }
}

impl Autoscaler {
    /// A plan with what is pending: these machines, which hold no tasks yet, and what has been asked of
    /// the cloud.
    pub(in crate::scheduler) fn new_plan<'a>(
        &self,
        catalog: &Catalog,
        smallest_need_cpu: u64,
        pending: impl Iterator<Item = &'a Machine>,
        stalled_zones: &[Arc<str>],
        now: Micros,
    ) -> CapacityPlan {
        let mut plan = CapacityPlan::new(catalog, smallest_need_cpu);
        for machine in pending {
            plan.add_pending(&MachinePoolKey::of(machine), machine.free(), 1);
        }
        for request in &self.requests {
            if let Some(kind) = catalog.get(&request.pool.type_name) {
                plan.add_pending(&request.pool, kind.size, request.count as usize);
            }
        }
        for pool in &mut plan.pools {
            if self.refusals.is_refused(&pool.key(), now) {
                pool.refuse();
            }
            if stalled_zones.contains(&pool.zone) {
                pool.stall(STALLED_ZONE_PROBES);
            }
        }
        plan
    }
}
