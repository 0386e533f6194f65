//! Scale-out requests to the cloud: planned by turns, repeated until answered, refusals remembered.

use super::capacity_plan::CapacityPlan;
use super::capacity_pools::CapacityPool;
use super::pool_key::MachinePoolKey;
use super::Autoscaler;
use crate::scheduler::Effect;
use crate::time::Micros;

/// Requests for one pool that are planned at a time.
const MAX_REQUESTS_PER_POOL: u32 = 4;
/// Requests of this age no longer count when pools take turns.
const RUSH: Micros = Micros::from_secs(10);
/// Requests that a pool wanted by production gets in one turn, where others get one.
const PRODUCTION_REQUESTS_PER_TURN: u32 = 3;
/// The most machines of one request.
const MAX_MACHINES_PER_REQUEST: u32 = 50;
/// When a request without an answer is repeated.
const REPEAT_AFTER: Micros = Micros::from_secs(2);

/// A scale-out request.
#[derive(Clone, Debug)]
pub(super) struct ScaleOutRequest {
    id: String,
    /// The pool that machines are asked of.
    pub(super) pool: MachinePoolKey,
    /// How many machines.
    pub(super) count: u32,
    in_flight: bool,
    /// The cloud may have had it: from then on it is repeated as it is until it is answered.
    was_sent: bool,
    not_before: Micros,
}

/// How often a pool was asked for in this rush, and when last.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentRequests {
    count: u32,
    last_at: Micros,
}

impl RecentRequests {
    /// How many requests still count.
    fn count(&self, now: Micros) -> u32 {
        if now.since(self.last_at) < RUSH {
            self.count
        } else {
            0
        }
    }

    fn note(&mut self, now: Micros) {
        *self = RecentRequests {
            count: self.count(now) + 1,
            last_at: now,
        };
    }
}

/// When a request is made: by rounds, and within a round in the order of service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Turn {
    round: u32,
    position: usize,
}

/// A request that is not numbered yet.
struct PlannedRequest {
    turn: Turn,
    pool: MachinePoolKey,
    count: u32,
}

/// How a scale-out request ended.
#[derive(Clone, Debug)]
pub enum ScaleOutOutcome {
    /// These machines were ordered, perhaps fewer than asked for.
    Machines(Vec<String>),
    /// The cloud has no such machines now.
    NoCapacity,
    /// Refused without effect for another reason: rate limit, outage, not sent.
    Later,
    /// No answer: the same request is repeated, since it may have been carried out.
    Unknown,
}

/// Machines that were ordered.
pub(in crate::scheduler) struct OrderedMachines {
    /// Their pool.
    pub(in crate::scheduler) pool: MachinePoolKey,
    /// Their names.
    pub(in crate::scheduler) names: Vec<String>,
}

impl Autoscaler {
    /// Drops the requests that were planned and not sent: they are planned anew.
    pub(in crate::scheduler) fn discard_unsent_requests(&mut self) {
        self.requests.retain(|request| request.was_sent);
    }

    /// Plans the requests for the plan's new machines, by turns: requests are scarce, and a rush that
    /// takes dozens of them for one type must not keep others waiting for theirs. Production gets more
    /// requests than others in a turn.
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
        planned.sort_by_key(|request| request.turn);
        for PlannedRequest { pool, count, .. } in planned {
            // A request's id is never used again: the term is this leader's alone.
            let id = format!("t{term}-{}", self.next_request);
            self.next_request += 1;
            self.requests.push(ScaleOutRequest {
                id,
                pool,
                count,
                in_flight: false,
                was_sent: false,
                not_before: now,
            });
        }
    }

    /// The requests for one pool's new machines.
    fn planned_requests(&self, pool: &CapacityPool, now: Micros) -> Vec<PlannedRequest> {
        let new_machines = pool.new_machines();
        if new_machines == 0 {
            return Vec::new();
        }
        let key = pool.key();
        let recent = self.recent_requests.get(&key);
        let already_sent = recent.map_or(0, |recent| recent.count(now));
        let per_turn = if pool.is_for_production() {
            PRODUCTION_REQUESTS_PER_TURN
        } else {
            1
        };
        let requests = new_machines.div_ceil(MAX_MACHINES_PER_REQUEST);
        (0..requests.min(MAX_REQUESTS_PER_POOL))
            .map(|index| PlannedRequest {
                turn: Turn {
                    round: (already_sent + index) / per_turn,
                    position: pool.wanted_at(),
                },
                pool: key.clone(),
                count: (new_machines - index * MAX_MACHINES_PER_REQUEST)
                    .min(MAX_MACHINES_PER_REQUEST),
            })
            .collect()
    }

    /// Sends what was planned, as far as the cloud's rate limit allows.
    pub(in crate::scheduler) fn send_requests(&mut self, now: Micros) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut allowed = self.request_budget.available(now);
        for request in &mut self.requests {
            if request.in_flight || now < request.not_before {
                continue;
            }
            if allowed < 1.0 {
                break;
            }
            allowed -= 1.0;
            self.request_budget.spend(1.0);
            request.in_flight = true;
            request.was_sent = true;
            let recent = self.recent_requests.entry(request.pool.clone());
            recent.or_default().note(now);
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

    /// A request ended. Returns the machines that were ordered.
    pub(in crate::scheduler) fn request_ended(
        &mut self,
        id: &str,
        outcome: ScaleOutOutcome,
        now: Micros,
    ) -> Option<OrderedMachines> {
        let index = self.requests.iter().position(|request| request.id == id)?;
        if matches!(outcome, ScaleOutOutcome::Unknown) {
            let request = &mut self.requests[index];
            request.in_flight = false;
            request.not_before = now.plus(REPEAT_AFTER);
            return None;
        }
        let ScaleOutRequest { pool, count, .. } = self.requests.remove(index);
        match outcome {
            ScaleOutOutcome::Machines(names) => {
                if (names.len() as u32) < count {
                    self.refusals.no_capacity(pool.clone(), now);
                } else {
                    self.refusals.clear(&pool);
                }
                return Some(OrderedMachines { pool, names });
            }
            ScaleOutOutcome::NoCapacity => self.refusals.no_capacity(pool, now),
            ScaleOutOutcome::Later => self.refusals.unrelated(pool, now),
            ScaleOutOutcome::Unknown => {}
        }
        None
    }
}
