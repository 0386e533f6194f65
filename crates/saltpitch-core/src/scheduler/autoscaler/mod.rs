//! Scaling out and in: what is asked of the cloud, what it refused, and how long machines take to come up.

mod capacity_plan;
pub(super) mod capacity_pools;
pub(super) mod provisioning_times;
pub(super) mod scale_out;

use std::collections::{HashMap, HashSet};

use super::SchedulerConfig;
use crate::catalog::Resources;
use crate::time::Micros;
use crate::token_bucket::TokenBucket;

use provisioning_times::ProvisioningTimes;
use scale_out::{Refusal, ScaleOutRequest};

/// Until the policy has said otherwise.
const DEFAULT_BATCH_COMPLETION_TARGET: Micros = Micros::from_secs(90);

/// Scale-out requests that may be made at once, in seconds' worth of their rate.
const SCALE_OUT_BURST_SECONDS: f64 = 2.0;

/// The state of scaling.
pub(in crate::scheduler) struct Autoscaler {
    pub(in crate::scheduler) requests: Vec<ScaleOutRequest>,
    pub(in crate::scheduler) budget: TokenBucket,
    /// How often each type, zone and kind was asked for in this rush, and when last.
    pub(in crate::scheduler) recent_scale_outs: HashMap<(String, String, bool), (u32, Micros)>,
    pub(in crate::scheduler) next_request: u64,
    pub(in crate::scheduler) provisioning_times: ProvisioningTimes,
    pub(in crate::scheduler) refusals: HashMap<(String, String, bool), Refusal>,
    /// How soon batch work is to be under way, by the policy.
    pub(in crate::scheduler) batch_completion_target: Micros,
    /// What tasks with accelerators need.
    pub(in crate::scheduler) accelerator_demands: HashSet<Resources>,
    /// When such work was last submitted.
    pub(in crate::scheduler) accelerators_requested_at: Micros,
    /// Batch work that is placed, in processor-seconds of its estimates.
    pub(in crate::scheduler) batch_placed: f64,
    /// Processors that production asked for lately, fading with time, and as of when.
    pub(in crate::scheduler) production_demand: (f64, Micros),
}

impl Autoscaler {
    /// Nothing is asked of the cloud yet.
    pub(in crate::scheduler) fn new(config: &SchedulerConfig, now: Micros) -> Autoscaler {
        Autoscaler {
            requests: Vec::new(),
            budget: TokenBucket::for_leader(
                config.scale_out_rate,
                config.scale_out_rate * SCALE_OUT_BURST_SECONDS,
                now,
            ),
            recent_scale_outs: HashMap::new(),
            next_request: 1,
            provisioning_times: ProvisioningTimes::default(),
            refusals: HashMap::new(),
            batch_completion_target: DEFAULT_BATCH_COMPLETION_TARGET,
            accelerator_demands: HashSet::new(),
            accelerators_requested_at: Micros::ZERO,
            batch_placed: 0.0,
            production_demand: (0.0, now),
        }
    }
}
