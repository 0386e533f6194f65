//! A token bucket: keeps requests to a rate that several clients share.
//!
//! Tokens come in at a steady rate up to the bucket's capacity; each request spends some.

use crate::time::Micros;

/// A leader's buckets hold this many seconds' worth of their rate, and are as full at first: others may have
/// used up the rest.
const LEADER_CAPACITY_SECONDS: f64 = 0.5;
/// Buckets of single requests hold at least one token, or else they would never let anything pass.
const MIN_CAPACITY: f64 = 1.0;

/// How much of a shared rate one client may use now.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens a second.
    rate: f64,
    /// The capacity in seconds' worth of the rate, unless `min_capacity` is more.
    capacity_seconds: f64,
    min_capacity: f64,
    tokens: f64,
    updated_at: Micros,
}

impl TokenBucket {
    /// A bucket that holds one second's worth of its rate, and is full.
    pub fn per_second(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            capacity_seconds: 1.0,
            min_capacity: MIN_CAPACITY,
            tokens: rate.max(MIN_CAPACITY),
            updated_at: Micros::ZERO,
        }
    }

    /// A bucket that holds `burst` tokens, and is full.
    pub fn with_burst(rate: f64, burst: f64) -> TokenBucket {
        let capacity = burst.max(MIN_CAPACITY);
        TokenBucket {
            rate,
            capacity_seconds: 0.0,
            min_capacity: capacity,
            tokens: capacity,
            updated_at: Micros::ZERO,
        }
    }

    /// A leader's bucket: it holds half a second's worth of its rate, or `burst` if that is more, and
    /// begins with the former.
    pub fn for_leader(rate: f64, burst: f64, now: Micros) -> TokenBucket {
        TokenBucket {
            rate,
            capacity_seconds: LEADER_CAPACITY_SECONDS,
            min_capacity: burst,
            tokens: rate * LEADER_CAPACITY_SECONDS,
            updated_at: now,
        }
    }

    /// How many tokens may be spent now.
    pub fn available(&mut self, now: Micros) -> f64 {
        self.refill(self.capacity(), now);
        self.tokens
    }

    /// Spends tokens, whether they are there or not.
    pub fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Spends tokens if as many are there. A request of more than the bucket holds is granted once that
    /// many would have come in.
    pub fn try_spend(&mut self, tokens: f64, now: Micros) -> bool {
        self.refill(self.capacity().max(tokens), now);
        let granted = self.tokens >= tokens;
        if granted {
            self.tokens -= tokens;
        }
        granted
    }

    /// When this many tokens are there, as of the last refill.
    pub fn ready_at(&self, tokens: f64) -> Micros {
        let wait = ((tokens - self.tokens) / self.rate).max(0.0);
        self.updated_at.plus(Micros::from_secs_f64(wait))
    }

    /// Changes the rate.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Lowers the rate to this one, unless it is lower already.
    pub fn lower_rate(&mut self, rate: f64) {
        self.rate = self.rate.min(rate);
    }

    fn capacity(&self) -> f64 {
        (self.rate * self.capacity_seconds).max(self.min_capacity)
    }

    fn refill(&mut self, capacity: f64, now: Micros) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(capacity);
        self.updated_at = now;
    }
}
