//! The capacity plan of one pass: which pending capacity the waiting jobs take, and which machines have to
//! be ordered in addition.

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

/// The most pending machines of one pool in a stalled zone. They show when machines boot there again.
const MAX_STALLED_ZONE_PROBES: u32 = 2;
/// A machine is urgent for a job only if the job's slack exceeds this many boot times. With less slack, the
/// machine would come too late.
const MIN_URGENT_BOOT_RATIO: f64 = 0.5;
/// A machine becomes urgent for a job once the job's slack is less than the boot time plus this margin. With
/// more slack, cheaper capacity may still become available.
const URGENT_MARGIN: Micros = Micros::from_secs(25);

/// The conditions under which machines are ordered for a job.
pub(in crate::scheduler) struct ScaleOutTerms {
    /// Whether spot machines may be ordered.
    pub(in crate::scheduler) may_use_spot: bool,
    /// Machines that cost more than this many times the cheapest are ordered only for urgent work.
    pub(in crate::scheduler) max_price_ratio: f64,
    /// The time left until the job has to start; `None` if it is late already or has no objective.
    pub(in crate::scheduler) slack: Option<Micros>,
    /// The job's position in the queue.
    pub(in crate::scheduler) queue_position: usize,
}

impl ScaleOutTerms {
    /// Returns whether a machine with this boot time has to be ordered now to be up in time for the job.
    pub(super) fn is_urgent(&self, boot: Micros) -> bool {
        self.slack.is_some_and(|slack| {
            slack > boot.times(MIN_URGENT_BOOT_RATIO) && slack < boot.plus(URGENT_MARGIN)
        })
    }
}

/// The pending capacity of all machine pools, and the machines to be ordered.
pub(in crate::scheduler) struct CapacityPlan {
    pools: Vec<CapacityPool>,
}

impl CapacityPlan {
    /// Creates a plan with every pool of the catalogue, without pending machines.
    fn new(catalog: &Catalog, smallest_need_cpu: u64) -> CapacityPlan {
        let mut pools = Vec::new();
        for machine_type in &catalog.types {
            let machine_type = Arc::new(machine_type.clone());
            for zone in &machine_type.zones {
                for spot in [true, false] {
                    let pool =
                        CapacityPool::new(machine_type.clone(), zone, spot, smallest_need_cpu);
                    pools.push(pool);
                }
            }
        }
        CapacityPlan { pools }
    }

    /// Returns the pools with the machines to be ordered in each.
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

    /// Reserves pending capacity for `task_count` tasks of a job, and adds machines to be ordered for the
    /// tasks that it does not suffice for. `machines_in_zone` returns the number of existing machines in a
    /// zone.
    pub(in crate::scheduler) fn reserve(
        &mut self,
        job: &Job,
        terms: &ScaleOutTerms,
        task_count: u64,
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
        let mut reservation = Reservation::new(spec, terms, suitable.collect(), zones, task_count);
        reservation.take_pending();
        reservation.add_machines(machines_in_zone);
    }
}

impl Autoscaler {
    /// Creates a plan with all pending capacity: the machines in `pending`, which hold no tasks yet, and
    /// those of open scale-out requests.
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
            if let Some(machine_type) = catalog.get(&request.pool.type_name) {
                plan.add_pending(&request.pool, machine_type.size, request.count as usize);
            }
        }
        for pool in &mut plan.pools {
            if self.refusals.is_refused(&pool.key(), now) {
                pool.mark_refused();
            }
            if stalled_zones.contains(&pool.zone) {
                pool.mark_stalled(MAX_STALLED_ZONE_PROBES);
            }
        }
        plan
    }
}
