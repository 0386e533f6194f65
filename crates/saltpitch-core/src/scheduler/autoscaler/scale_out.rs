//! Scale-out requests to the cloud: they are planned in rounds and repeated until they are answered, and
//! refusals delay further requests for their pool.

use super::capacity_plan::CapacityPlan;
use super::capacity_pools::CapacityPool;
use super::pool_key::MachinePoolKey;
use super::Autoscaler;
use crate::scheduler::Effect;
use crate::time::Micros;

/// The most requests for one pool that are planned in one pass.
const MAX_REQUESTS_PER_POOL: u32 = 4;
/// A pool's count of recent requests starts from zero once its last request is this old.
const RECENT_REQUEST_WINDOW: Micros = Micros::from_secs(10);
/// The requests in one round for a pool that production needs; other pools get one.
const PRODUCTION_REQUESTS_PER_ROUND: u32 = 3;
/// The most machines in one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// The delay before a request whose outcome is unknown is repeated.
const RETRY_DELAY: Micros = Micros::from_secs(2);

/// A scale-out request.
#[derive(Clone, Debug)]
pub(super) struct ScaleOutRequest {
    id: String,
    /// The pool of the requested machines.
    pub(super) pool: MachinePoolKey,
    /// The number of requested machines.
    pub(super) count: u32,
    /// Whether an answer is awaited.
    is_in_flight: bool,
    /// Whether the cloud may have received the request. If so, it is repeated unchanged until it is answered.
    was_sent: bool,
    /// The earliest time at which it is sent.
    not_before: Micros,
}

/// The number of recent requests for a pool, and the time of the last one.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentRequests {
    count: u32,
    last_at: Micros,
}

impl RecentRequests {
    /// Returns the number of requests that followed each other within [`RECENT_REQUEST_WINDOW`], or zero if
    /// the last one is older.
    fn count(&self, now: Micros) -> u32 {
        if now.since(self.last_at) < RECENT_REQUEST_WINDOW {
            self.count
        } else {
            0
        }
    }

    fn record(&mut self, now: Micros) {
        *self = RecentRequests {
            count: self.count(now) + 1,
            last_at: now,
        };
    }
}

/// The order in which requests are sent: by round, and within a round by queue position.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct RequestOrder {
    round: u32,
    queue_position: usize,
}

/// A request that has no id yet.
struct PlannedRequest {
    order: RequestOrder,
    pool: MachinePoolKey,
    count: u32,
}

/// The outcome of a scale-out request.
#[derive(Clone, Debug)]
pub enum ScaleOutOutcome {
    /// The cloud provides these machines, possibly fewer than requested.
    Machines(Vec<String>),
    /// The cloud has no such machines now.
    NoCapacity,
    /// The request had no effect for another reason: it hit a rate limit or an outage, or was not sent.
    Later,
    /// The request was not answered. It is repeated unchanged, since the cloud may have carried it out.
    Unknown,
}

/// The machines that the cloud provides for a request.
pub(in crate::scheduler) struct OrderedMachines {
    /// Their pool.
    pub(in crate::scheduler) pool: MachinePoolKey,
    /// Their names.
    pub(in crate::scheduler) names: Vec<String>,
}

impl Autoscaler {
    /// Drops the planned requests that were not sent, since each pass plans them again.
    pub(in crate::scheduler) fn discard_unsent_requests(&mut self) {
        self.requests.retain(|request| request.was_sent);
    }

    /// Plans the requests for the plan's new machines in rounds. The cloud's rate limit allows few requests,
    /// and a burst of demand that takes dozens of them for one machine type must not delay the others. In
    /// each round, a pool that production needs gets more requests than the others.
    pub(in crate::scheduler) fn plan_requests(
        &mut self,
        plan: &CapacityPlan,
        term: u64,
        now: Micros,
    ) {
        let pools = plan.pools().iter();
        let mut planned: Vec<PlannedRequest> = pools
            .flat_map(|pool| self.planned_requests(pool, now))
            .collect();
        planned.sort_by_key(|request| request.order);
        for PlannedRequest { pool, count, .. } in planned {
            // No other request has this id, because only this leader has this term.
            let id = format!("t{term}-{}", self.next_request);
            self.next_request += 1;
            self.requests.push(ScaleOutRequest {
                id,
                pool,
                count,
                is_in_flight: false,
                was_sent: false,
                not_before: now,
            });
        }
    }

    /// Returns the requests for one pool's new machines.
    fn planned_requests(&self, pool: &CapacityPool, now: Micros) -> Vec<PlannedRequest> {
        let new_machines = pool.new_machines();
        if new_machines == 0 {
            return Vec::new();
        }
        let key = pool.key();
        let recent = self.recent_requests.get(&key);
        let already_sent = recent.map_or(0, |recent| recent.count(now));
        let per_round = if pool.is_for_production() {
            PRODUCTION_REQUESTS_PER_ROUND
        } else {
            1
        };
        let requests = new_machines.div_ceil(MAX_MACHINES_PER_REQUEST);
        (0..requests.min(MAX_REQUESTS_PER_POOL))
            .map(|index| PlannedRequest {
                order: RequestOrder {
                    round: (already_sent + index) / per_round,
                    queue_position: pool.queue_position(),
                },
                pool: key.clone(),
                count: (new_machines - index * MAX_MACHINES_PER_REQUEST)
                    .min(MAX_MACHINES_PER_REQUEST),
            })
            .collect()
    }

    /// Returns the effects that send the requests that are due, as far as the cloud's rate limit allows.
    pub(in crate::scheduler) fn send_requests(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut allowed = self.request_budget.available(now);
        for request in &mut self.requests {
            if request.is_in_flight || now < request.not_before {
                continue;
            }
            if allowed < 1.0 {
                break;
            }
            allowed -= 1.0;
            self.request_budget.spend(1.0);
            request.is_in_flight = true;
            request.was_sent = true;
            let recent = self.recent_requests.entry(request.pool.clone());
            recent.or_default().record(now);
            effects.push(Effect::ScaleOut {
                request: request.id.clone(),
                type_name: request.pool.type_name.clone(),
                zone: request.pool.zone.clone(),
                spot: request.pool.spot,
                count: request.count,
            });
        }
        effects
    }

    /// Records the outcome of a request and returns the machines that the cloud provides, if any.
    pub(in crate::scheduler) fn request_ended(
        &mut self,
        id: &str,
        outcome: ScaleOutOutcome,
        now: Micros,
    ) -> Option<OrderedMachines> {
        let index = self.requests.iter().position(|request| request.id == id)?;
        if matches!(outcome, ScaleOutOutcome::Unknown) {
            let request = &mut self.requests[index];
            request.is_in_flight = false;
            request.not_before = now.plus(RETRY_DELAY);
            return None;
        }
        let ScaleOutRequest { pool, count, .. } = self.requests.remove(index);
        match outcome {
            ScaleOutOutcome::Machines(names) => {
                if (names.len() as u32) < count {
                    self.refusals.record_no_capacity(pool.clone(), now);
                } else {
                    self.refusals.clear(&pool);
                }
                return Some(OrderedMachines { pool, names });
            }
            ScaleOutOutcome::NoCapacity => self.refusals.record_no_capacity(pool, now),
            ScaleOutOutcome::Later => self.refusals.record_other_refusal(pool, now),
            ScaleOutOutcome::Unknown => {}
        }
        None
    }
}
