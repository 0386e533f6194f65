//! Keeping to a rate that others share.

use crate::time::Micros;

/// The store's rate of changes, or the cloud's of scale-out requests, as far as the leader may use it.
pub struct TokenBucket {
    rate: f64,
    level: f64,
    at: Micros,
}

impl TokenBucket {
    pub fn new(rate: f64, now: Micros) -> TokenBucket {
        TokenBucket {
            rate,
            level: rate * 0.5,
            at: now,
        }
    }

    /// How many changes may be made now; `burst`: the most that may be made at once.
    pub fn level(&mut self, burst: f64, now: Micros) -> f64 {
        let cap = (self.rate * 0.5).max(burst);
        self.level = (self.level + now.since(self.at).as_secs_f64() * self.rate).min(cap);
        self.at = now;
        self.level
    }

    /// From now on no more than this.
    pub fn lower(&mut self, rate: f64) {
        self.rate = self.rate.min(rate);
    }

    pub fn spend(&mut self, n: f64) {
        self.level -= n;
    }

    /// When `n` more changes may be written.
    pub fn ready(&self, n: f64) -> Micros {
        let wait = ((n - self.level) / self.rate).max(0.0);
        self.at.plus(Micros::from_secs_f64(wait))
    }
}
