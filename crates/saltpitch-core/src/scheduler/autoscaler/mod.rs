//! Scaling out and in: what is asked of the cloud, what it refused, and how long machines take to come up.
//!
//! The scheduler reports demand ([`Autoscaler::job_queued`]) and what the cloud and the machines do. In each
//! pass it takes a [`CapacityPlan`] of what is pending, reserves capacity in it
//! for the waiting jobs in the order of service, and hands it back to [`Autoscaler::plan_requests`] for the
//! machines that are missing.

mod accelerator_demand;
mod batch_backlog;
mod capacity_plan;
mod capacity_pools;
mod decaying_sum;
mod pool_key;
mod provisioning_times;
mod refusals;
mod reservation;
mod scale_out;

use std::collections::HashMap;

use super::SchedulerConfig;
use crate::catalog::Catalog;
use crate::job::{JobKind, JobSpec, Priority};
use crate::time::Micros;
use crate::token_bucket::TokenBucket;

use accelerator_demand::AcceleratorDemand;
use decaying_sum::DecayingSum;
use provisioning_times::ProvisioningTimes;
use refusals::Refusals;
use scale_out::{RecentRequests, ScaleOutRequest};

pub use scale_out::ScaleOutOutcome;

pub(in crate::scheduler) use batch_backlog::{BatchBacklog, BatchTasks};
pub(in crate::scheduler) use capacity_plan::{CapacityPlan, ScaleOutTerms};
pub(in crate::scheduler) use pool_key::MachinePoolKey;
pub(in crate::scheduler) use provisioning_times::ProvisioningClock;
pub(in crate::scheduler) use scale_out::OrderedMachines;

/// How fast production's past demand fades from the estimate of what is to come.
const PRODUCTION_DEMAND_MEMORY: Micros = Micros::from_secs(60);
/// Until the policy has said otherwise.
const DEFAULT_BATCH_COMPLETION_TARGET: Micros = Micros::from_secs(90);
/// Scale-out requests that may be made at once, in seconds' worth of their rate.
const SCALE_OUT_BURST_SECONDS: f64 = 2.0;
/// Capacity kept warm for production, as a multiple of what is expected: arrivals come in clusters.
const WARM_POOL_RATIO: f64 = 1.5;

/// The state of scaling.
pub(in crate::scheduler) struct Autoscaler {
    requests: Vec<ScaleOutRequest>,
    request_budget: TokenBucket,
    recent_requests: HashMap<MachinePoolKey, RecentRequests>,
    /// The number of the next request of this term.
    next_request: u64,
    provisioning_times: ProvisioningTimes,
    refusals: Refusals,
    /// How soon batch work is to be under way, by the policy.
    batch_completion_target: Micros,
    accelerator_demand: AcceleratorDemand,
    /// Batch work that is placed, in processor-seconds of its estimates.
    placed_batch_seconds: f64,
    /// Thousandths of a processor that production asked for.
    production_demand: DecayingSum,
}

impl Autoscaler {
    /// Nothing is asked of the cloud yet.
    pub(in crate::scheduler) fn new(config: &SchedulerConfig, now: Micros) -> Autoscaler {
        Autoscaler {
            requests: Vec::new(),
            request_budget: TokenBucket::for_leader(
                config.scale_out_rate,
                config.scale_out_rate * SCALE_OUT_BURST_SECONDS,
                now,
            ),
            recent_requests: HashMap::new(),
            next_request: 1,
            provisioning_times: ProvisioningTimes::default(),
            refusals: Refusals::default(),
            batch_completion_target: DEFAULT_BATCH_COMPLETION_TARGET,
            accelerator_demand: AcceleratorDemand::default(),
            placed_batch_seconds: 0.0,
            production_demand: DecayingSum::new(PRODUCTION_DEMAND_MEMORY, now),
        }
    }

    /// Sets how soon batch work is to be under way.
    pub(in crate::scheduler) fn set_batch_completion_target(&mut self, target: Micros) {
        self.batch_completion_target = target;
    }

    /// A job was queued at `queued`, perhaps in an earlier leader's time. Demand of production that is
    /// older than [`PRODUCTION_DEMAND_MEMORY`] no longer counts.
    pub(in crate::scheduler) fn job_queued(&mut self, spec: &JobSpec, queued: Micros, now: Micros) {
        self.accelerator_demand.job_queued(spec, queued);
        if spec.priority == Priority::Production && now.since(queued) < PRODUCTION_DEMAND_MEMORY {
            let cpu = spec.need.cpu as f64 * f64::from(spec.tasks);
            self.production_demand.add(cpu, now);
        }
    }

    /// A task was placed.
    pub(in crate::scheduler) fn task_placed(&mut self, spec: &JobSpec) {
        if spec.kind == JobKind::Array {
            self.placed_batch_seconds += processor_seconds(spec);
        }
    }

    /// A task left its machine.
    pub(in crate::scheduler) fn task_released(&mut self, spec: &JobSpec) {
        if spec.kind == JobKind::Array {
            self.placed_batch_seconds -= processor_seconds(spec);
        }
    }

    /// The demand for accelerators.
    pub(in crate::scheduler) fn accelerator_demand(&self) -> &AcceleratorDemand {
        &self.accelerator_demand
    }

    /// When a job that needs accelerators was last queued.
    pub(in crate::scheduler) fn accelerators_requested_at(&self) -> Micros {
        self.accelerator_demand.last_requested_at()
    }

    /// Thousandths of a processor to be kept free for what production is expected to ask for before a
    /// machine could boot.
    pub(in crate::scheduler) fn warm_pool_cpu(&self, catalog: &Catalog, now: Micros) -> u64 {
        let boot = catalog.types.iter().map(|kind| kind.boot).max();
        let rate = self.production_demand.rate_per_second(now);
        let expected = rate * boot.unwrap_or_default().as_secs_f64();
        (expected * WARM_POOL_RATIO) as u64
    }

    /// Batch work against the processors that there are, before the first waiting job.
    pub(in crate::scheduler) fn batch_backlog(
        &self,
        processors: u64,
        catalog: &Catalog,
    ) -> BatchBacklog {
        let shortest_boot = catalog.types.iter().map(|kind| kind.boot).min();
        BatchBacklog::new(
            processors,
            self.placed_batch_seconds,
            self.batch_completion_target,
            shortest_boot.unwrap_or_default(),
        )
    }

    /// Whether the cloud refused machines of this pool so lately that it is not asked for more.
    pub(in crate::scheduler) fn is_refused(&self, pool: &MachinePoolKey, now: Micros) -> bool {
        self.refusals.is_refused(pool, now)
    }

    /// A machine of this pool was returned: it can be had again.
    pub(in crate::scheduler) fn machine_returned(&mut self, pool: &MachinePoolKey) {
        self.refusals.clear(pool);
    }
}

/// Processor-seconds of one task by its owner's estimate.
fn processor_seconds(spec: &JobSpec) -> f64 {
    spec.need.cpu as f64 / 1e3 * spec.estimate.as_secs_f64()
}
