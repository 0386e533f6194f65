//! This controller's part of the state service's rates, and the detection of the service's next limits.

use std::time::Duration;

use saltpitch_core::token_bucket::TokenBucket;
use saltpitch_core::Micros;

use crate::rate_shares::leader_change_share;
use crate::settings::StoreLimits;

/// So many refusals within the window mean that the service's next limits are in force.
const REFUSALS_BEFORE_NEXT_LIMITS: usize = 5;
const REFUSAL_WINDOW: Micros = Micros::from_secs(10);

/// This controller's share of the requests when it serves alone, as the leader, and all followers'
/// together.
const ONLY_NODE_SHARE: f64 = 0.9;
const LEADER_SHARE: f64 = 0.5;
const FOLLOWERS_SHARE: f64 = 0.45;

/// Bounds of the pause between two paced requests, in seconds, and the slowest rate it is derived from.
const MIN_PACE_S: f64 = 0.02;
const MAX_PACE_S: f64 = 2.0;
const MIN_PACED_RATE: f64 = 0.5;

/// Requests and changes a second that the service takes from all controllers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rates {
    /// Requests a second.
    pub requests: f64,
    /// Changes a second.
    pub changes: f64,
}

/// What this controller may send.
pub struct RateLimits {
    limits: StoreLimits,
    /// The number of controllers that share the service.
    controllers: usize,
    leads: bool,
    requests: TokenBucket,
    changes: TokenBucket,
    /// Refusals of changes for their rate, within [`REFUSAL_WINDOW`].
    refused_at: Vec<Micros>,
    /// Whether the service's next limits are taken to be in force.
    next_limits: bool,
}

impl RateLimits {
    /// A follower's part, under the service's present limits.
    pub fn new(limits: StoreLimits, controllers: usize) -> RateLimits {
        let mut rate_limits = RateLimits {
            requests: TokenBucket::per_second(limits.rps),
            changes: TokenBucket::per_second(limits.write_rps),
            limits,
            controllers: controllers.max(1),
            leads: false,
            refused_at: Vec::new(),
            next_limits: false,
        };
        rate_limits.update_rates();
        rate_limits
    }

    /// Changes between a leader's and a follower's part.
    pub fn set_leading(&mut self, leads: bool) {
        self.leads = leads;
        self.update_rates();
    }

    /// The leader may use half of the requests, the others the rest between them. Users' changes are
    /// few but come in bursts, to any controller: each may use what the leader's scheduler leaves, and the
    /// service itself refuses what is too much in all.
    fn update_rates(&mut self) {
        let share = match (self.leads, self.controllers) {
            (_, 1) => ONLY_NODE_SHARE,
            (true, _) => LEADER_SHARE,
            (false, controllers) => FOLLOWERS_SHARE / (controllers - 1) as f64,
        };
        let rates = self.rates();
        self.requests.set_rate(rates.requests * share);
        self.changes
            .set_rate(rates.changes * (1.0 - leader_change_share(self.controllers)));
    }

    /// The rates that are taken to be in force.
    pub fn rates(&self) -> Rates {
        if self.next_limits {
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

    /// Takes one request from the budget.
    pub fn try_request(&mut self, now: Micros) -> bool {
        self.requests.try_spend(1.0, now)
    }

    /// Takes one request with so many changes from the budgets.
    pub fn try_changes(&mut self, changes: usize, now: Micros) -> bool {
        self.requests.try_spend(1.0, now)
            && (changes == 0 || self.changes.try_spend(changes as f64, now))
    }

    /// The service refused a change for its rate. Once in a while that is a burst; several in a row mean
    /// that its next limits have come into force, which happens without notice. Returns whether this
    /// refusal shows it.
    pub fn record_refusal(&mut self, now: Micros) -> bool {
        let window_start = now.since(REFUSAL_WINDOW);
        self.refused_at.push(now);
        self.refused_at.retain(|at| *at >= window_start);
        if self.next_limits || self.refused_at.len() < REFUSALS_BEFORE_NEXT_LIMITS {
            return false;
        }
        self.next_limits = true;
        self.update_rates();
        true
    }

    /// The pause between two requests of a kind that may use this fraction of the controller's share.
    pub fn pace(&self, fraction: f64) -> Duration {
        let rate = self.rates().requests * fraction / self.controllers as f64;
        let pause_s = (1.0 / rate.max(MIN_PACED_RATE)).clamp(MIN_PACE_S, MAX_PACE_S);
        Duration::from_secs_f64(pause_s)
    }
}

#[cfg(test)]
mod tests;
