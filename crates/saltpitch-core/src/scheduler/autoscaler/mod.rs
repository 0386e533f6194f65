//! Scale-out and scale-in state: requests to the cloud, its refusals, and how long machines take to boot.
//!
//! The scheduler reports demand ([`Autoscaler::job_queued`]) and the events of the cloud and the machines. In
//! each pass it creates a [`CapacityPlan`] of the pending capacity, reserves capacity in it for the waiting
//! jobs in queue order, and passes it to [`Autoscaler::plan_requests`], which requests the missing machines.

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
pub(in crate::scheduler) use provisioning_times::ProvisioningContext;
pub(in crate::scheduler) use scale_out::OrderedMachines;

/// The time constant with which past demand of production decays in the estimate of its future demand.
const PRODUCTION_DEMAND_TIME_CONSTANT: Micros = Micros::from_secs(60);
/// The batch completion target until the policy has been applied.
const DEFAULT_BATCH_COMPLETION_TARGET: Micros = Micros::from_secs(90);
/// The burst size of scale-out requests, as a multiple of the number allowed per second.
const SCALE_OUT_BURST_SECONDS: f64 = 2.0;
/// The capacity of the warm pool as a multiple of production's expected demand, since jobs arrive in bursts.
const WARM_POOL_RATIO: f64 = 1.5;

/// The state of scale-out and scale-in.
pub(in crate::scheduler) struct Autoscaler {
    requests: Vec<ScaleOutRequest>,
    request_budget: TokenBucket,
    recent_requests: HashMap<MachinePoolKey, RecentRequests>,
    /// The number of the next request in this term.
    next_request: u64,
    provisioning_times: ProvisioningTimes,
    refusals: Refusals,
    /// The policy's target time for draining the backlog of batch work.
    batch_completion_target: Micros,
    accelerator_demand: AcceleratorDemand,
    /// The estimated processor-seconds of the batch tasks that are placed.
    placed_batch_processor_seconds: f64,
    /// The decaying sum of the processors that production requested, in thousandths.
    production_demand: DecayingSum,
}

impl Autoscaler {
    /// Creates the state of a new leader, without requests.
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
            placed_batch_processor_seconds: 0.0,
            production_demand: DecayingSum::new(PRODUCTION_DEMAND_TIME_CONSTANT, now),
        }
    }

    /// Sets the target time for draining the backlog of batch work.
    pub(in crate::scheduler) fn set_batch_completion_target(&mut self, target: Micros) {
        self.batch_completion_target = target;
    }

    /// Records a job that was queued at `queued_at`, possibly under an earlier leader. Demand of production
    /// that is older than [`PRODUCTION_DEMAND_TIME_CONSTANT`] does not count.
    pub(in crate::scheduler) fn job_queued(
        &mut self,
        spec: &JobSpec,
        queued_at: Micros,
        now: Micros,
    ) {
        self.accelerator_demand.job_queued(spec, queued_at);
        if spec.priority == Priority::Production
            && now.since(queued_at) < PRODUCTION_DEMAND_TIME_CONSTANT
        {
            let cpu = spec.need.cpu as f64 * f64::from(spec.tasks);
            self.production_demand.add(cpu, now);
        }
    }

    /// Records that a task was placed.
    pub(in crate::scheduler) fn task_placed(&mut self, spec: &JobSpec) {
        if spec.kind == JobKind::Array {
            self.placed_batch_processor_seconds += processor_seconds(spec);
        }
    }

    /// Records that a task is no longer placed on its machine.
    pub(in crate::scheduler) fn task_released(&mut self, spec: &JobSpec) {
        if spec.kind == JobKind::Array {
            self.placed_batch_processor_seconds -= processor_seconds(spec);
        }
    }

    /// Returns the demand for accelerators.
    pub(in crate::scheduler) fn accelerator_demand(&self) -> &AcceleratorDemand {
        &self.accelerator_demand
    }

    /// Returns when a job that needs accelerators was last queued.
    pub(in crate::scheduler) fn accelerators_requested_at(&self) -> Micros {
        self.accelerator_demand.last_requested_at()
    }

    /// Returns the processors, in thousandths, to keep free for the demand that production is expected to
    /// add in the time that a machine takes to boot.
    pub(in crate::scheduler) fn warm_pool_cpu(&self, catalog: &Catalog, now: Micros) -> u64 {
        let longest_boot = catalog
            .types
            .iter()
            .map(|machine_type| machine_type.boot)
            .max();
        let rate = self.production_demand.rate_per_second(now);
        let expected = rate * longest_boot.unwrap_or_default().as_secs_f64();
        (expected * WARM_POOL_RATIO) as u64
    }

    /// Returns the backlog of batch work ahead of the first waiting job. `processors` is what the existing
    /// machines have for batch work, in thousandths.
    pub(in crate::scheduler) fn batch_backlog(
        &self,
        processors: u64,
        catalog: &Catalog,
    ) -> BatchBacklog {
        let shortest_boot = catalog
            .types
            .iter()
            .map(|machine_type| machine_type.boot)
            .min();
        BatchBacklog::new(
            processors,
            self.placed_batch_processor_seconds,
            self.batch_completion_target,
            shortest_boot.unwrap_or_default(),
        )
    }

    /// Returns whether no machines of this pool are requested now because the cloud refused some recently.
    pub(in crate::scheduler) fn is_refused(&self, pool: &MachinePoolKey, now: Micros) -> bool {
        self.refusals.is_refused(pool, now)
    }

    /// Records that a machine of this pool was returned, so that the cloud can provide one again.
    pub(in crate::scheduler) fn machine_returned(&mut self, pool: &MachinePoolKey) {
        self.refusals.clear(pool);
    }
}

/// Returns the processor-seconds of one task by its owner's estimate of the run time.
fn processor_seconds(spec: &JobSpec) -> f64 {
    spec.need.cpu as f64 / 1e3 * spec.estimate.as_secs_f64()
}
