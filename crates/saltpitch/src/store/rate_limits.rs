//! This controller's share of the state service's rate limits, and the detection of the service's next
//! limits.

use std::time::Duration;

use saltpitch_core::token_bucket::TokenBucket;
use saltpitch_core::Micros;

use crate::rate_shares::leader_change_share;
use crate::settings::StoreLimits;

/// This many refusals within [`REFUSAL_WINDOW`] mean that the service's next limits are in force.
const REFUSALS_FOR_NEXT_LIMITS: usize = 5;
const REFUSAL_WINDOW: Micros = Micros::from_secs(10);

/// The shares of the request rate: of a controller that is the only one, of the leader among several,
/// and of all followers together.
const ONLY_CONTROLLER_SHARE: f64 = 0.9;
const LEADER_SHARE: f64 = 0.5;
const FOLLOWERS_SHARE: f64 = 0.45;
/// The share of all controllers together while there is no leader, which each divides by their number.
const LEADERLESS_SHARE: f64 = 0.9;
/// The share of an operator's command, which is what the controllers leave.
const COMMAND_SHARE: f64 = 0.05;

/// The part of the budget's capacity that background requests leave to other requests.
const BACKGROUND_RESERVE: f64 = 0.5;
/// A background request that has waited this long may use the reserve as well, so that it is never delayed forever.
const BACKGROUND_PATIENCE: Micros = Micros::from_secs(1);

/// Bounds of the pause between two paced requests, in seconds, and the lowest rate in requests per
/// second from which it is computed.
const MIN_PAUSE_S: f64 = 0.02;
const MAX_PAUSE_S: f64 = 2.0;
const MIN_PACED_RATE: f64 = 0.5;

/// The service's rate limits for all controllers together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Requests per second.
    pub requests: f64,
    /// Changes per second.
    pub changes: f64,
}

/// The process that uses the state service, on which its share of the request rate depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// The controller that schedules.
    Leader,
    /// Another controller.
    Follower,
    /// A controller that reads the records after its start while there is no leader.
    Starting,
    /// A command that an operator runs beside the controllers.
    Command,
}

/// The budgets of requests and changes that this process may send.
pub struct RateLimits {
    limits: StoreLimits,
    /// The number of controllers that share the service.
    controller_count: usize,
    role: Role,
    requests: TokenBucket,
    changes: TokenBucket,
    /// The times within [`REFUSAL_WINDOW`] at which changes were refused because of their rate.
    refusal_times: Vec<Micros>,
    /// Whether this controller assumes that the service's next limits are in force.
    uses_next_limits: bool,
}

impl RateLimits {
    /// Creates the budgets of a process beside `controller_count` controllers, or of one of them, under the
    /// service's present limits.
    pub fn new(limits: StoreLimits, controller_count: usize, role: Role) -> RateLimits {
        let mut rate_limits = RateLimits {
            requests: TokenBucket::per_second(limits.rps),
            changes: TokenBucket::per_second(limits.write_rps),
            limits,
            controller_count: controller_count.max(1),
            role,
            refusal_times: Vec::new(),
            uses_next_limits: false,
        };
        rate_limits.update_rates();
        rate_limits
    }

    /// Switches to the share of another role.
    pub fn set_role(&mut self, role: Role) {
        self.role = role;
        self.update_rates();
    }

    /// Returns the role whose share is used.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Recomputes the rates of both budgets. The leader may use half of the requests, and the followers
    /// share the rest. Changes that users request are few but come in bursts to any controller, so each
    /// controller may use all that the leader's scheduler leaves; the service itself refuses what
    /// exceeds the total.
    fn update_rates(&mut self) {
        let share = match (self.role, self.controller_count) {
            (Role::Command, _) => COMMAND_SHARE,
            (_, 1) => ONLY_CONTROLLER_SHARE,
            (Role::Leader, _) => LEADER_SHARE,
            (Role::Starting, controller_count) => LEADERLESS_SHARE / controller_count as f64,
            (Role::Follower, controller_count) => FOLLOWERS_SHARE / (controller_count - 1) as f64,
        };
        let rates = self.rates();
        self.requests.set_rate(rates.requests * share);
        self.changes
            .set_rate(rates.changes * (1.0 - leader_change_share(self.controller_count)));
    }

    /// Returns the rate limits that are assumed to be in force.
    pub fn rates(&self) -> Rates {
        if self.uses_next_limits {
            Rates {
                requests: self.limits.next_rps,
                changes: self.limits.next_write_rps,
            }
        } else {
            Rates {
                requests: self.limits.rps,
                changes: self.limits.write_rps,
            }
        }
    }

    /// Takes one request from the request budget. Returns false if the budget is exhausted.
    pub fn try_request(&mut self, now: Micros) -> bool {
        self.requests.try_spend(1.0, now)
    }

    /// Takes one request from the request budget, or returns when the budget will allow it.
    pub fn try_request_or_ready_at(&mut self, now: Micros) -> Result<(), Micros> {
        if self.try_request(now) {
            return Ok(());
        }
        Err(self.requests.ready_at(1.0))
    }

    /// Takes one request that must not be delayed from the request budget, even if the budget is exhausted: other
    /// requests then wait until it is refilled.
    pub fn spend_request(&mut self, now: Micros) {
        self.requests.available(now);
        self.requests.spend(1.0);
    }

    /// Takes one request that may be delayed, and has been for `waited` so far, from the request budget, unless
    /// what is left is reserved for other requests. Otherwise returns how long to wait before it is tried again.
    pub fn try_background_request(&mut self, waited: Micros, now: Micros) -> Result<(), Micros> {
        let reserve = if waited < BACKGROUND_PATIENCE {
            (self.requests.capacity() - 1.0) * BACKGROUND_RESERVE
        } else {
            0.0
        };
        if self.requests.available(now) >= 1.0 + reserve {
            self.requests.spend(1.0);
            return Ok(());
        }
        Err(self.requests.ready_at(1.0 + reserve).since(now))
    }

    /// Takes one request with `changes` changes from the budgets. Returns false if one of them is
    /// exhausted.
    pub fn try_changes(&mut self, changes: usize, now: Micros) -> bool {
        self.requests.try_spend(1.0, now)
            && (changes == 0 || self.changes.try_spend(changes as f64, now))
    }

    /// Records that the service refused a transaction because of the rate of changes. Occasional
    /// refusals are due to bursts. Several within [`REFUSAL_WINDOW`] mean that the service's next limits
    /// have come into force, which happens without notice. Returns whether this refusal is the one that
    /// shows it.
    pub fn record_refusal(&mut self, now: Micros) -> bool {
        let window_start = now.since(REFUSAL_WINDOW);
        self.refusal_times.push(now);
        self.refusal_times.retain(|at| *at >= window_start);
        if self.uses_next_limits || self.refusal_times.len() < REFUSALS_FOR_NEXT_LIMITS {
            return false;
        }
        self.uses_next_limits = true;
        self.update_rates();
        true
    }

    /// Returns the pause between two requests of a kind that may use this fraction of an equal share of
    /// the request rate.
    pub fn pace(&self, fraction: f64) -> Duration {
        let rate = self.rates().requests * fraction / self.controller_count as f64;
        let pause_s = (1.0 / rate.max(MIN_PACED_RATE)).clamp(MIN_PAUSE_S, MAX_PAUSE_S);
        Duration::from_secs_f64(pause_s)
    }
}

#[cfg(test)]
mod tests;
