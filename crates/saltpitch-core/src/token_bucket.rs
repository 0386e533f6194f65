//! A token bucket that limits the rate of requests where several clients share a rate limit.
//!
//! Tokens are added at a steady rate up to the bucket's capacity, and each request spends some.

use crate::time::Micros;

/// The capacity and the initial tokens of a leader's bucket, in seconds of its rate. It is less than a second
/// because other clients may have used the rest.
const LEADER_CAPACITY_SECONDS: f64 = 0.5;
/// The smallest capacity of a bucket for single requests. With less than one token it would never grant one.
const MIN_CAPACITY_TOKENS: f64 = 1.0;

/// One client's share of a rate limit.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// The number of tokens added per second.
    rate: f64,
    /// The capacity in seconds of the rate, unless `min_capacity` is larger.
    capacity_seconds: f64,
    min_capacity: f64,
    tokens: f64,
    updated_at: Micros,
}

impl TokenBucket {
    /// Creates a full bucket that holds the tokens of one second.
    pub fn per_second(rate: f64) -> TokenBucket {
        TokenBucket {
            rate,
            capacity_seconds: 1.0,
            min_capacity: MIN_CAPACITY_TOKENS,
            tokens: rate.max(MIN_CAPACITY_TOKENS),
            updated_at: Micros::ZERO,
        }
    }

    /// Creates a full bucket that holds `burst` tokens.
    pub fn with_burst(rate: f64, burst: f64) -> TokenBucket {
        let capacity = burst.max(MIN_CAPACITY_TOKENS);
        TokenBucket {
            rate,
            capacity_seconds: 0.0,
            min_capacity: capacity,
            tokens: capacity,
            updated_at: Micros::ZERO,
        }
    }

    /// Creates a leader's bucket. It holds the tokens of half a second, or `burst` if that is more, and starts
    /// with the tokens of half a second.
    pub fn for_leader(rate: f64, burst: f64, now: Micros) -> TokenBucket {
        TokenBucket {
            rate,
            capacity_seconds: LEADER_CAPACITY_SECONDS,
            min_capacity: burst,
            tokens: rate * LEADER_CAPACITY_SECONDS,
            updated_at: now,
        }
    }

    /// Returns the number of tokens that may be spent now. It can be negative if [`TokenBucket::spend`] took
    /// more tokens than there were.
    pub fn available(&mut self, now: Micros) -> f64 {
        self.refill(self.capacity(), now);
        self.tokens
    }

    /// Spends tokens even if there are not enough.
    pub fn spend(&mut self, tokens: f64) {
        self.tokens -= tokens;
    }

    /// Spends tokens if there are enough, and returns whether it did. A request for more tokens than the
    /// capacity is granted once that many have been added.
    pub fn try_spend(&mut self, tokens: f64, now: Micros) -> bool {
        self.refill(self.capacity().max(tokens), now);
        let granted = self.tokens >= tokens;
        if granted {
            self.tokens -= tokens;
        }
        granted
    }

    /// Returns the time at which this many tokens will be available, as of the last refill.
    pub fn ready_at(&self, tokens: f64) -> Micros {
        let wait = ((tokens - self.tokens) / self.rate).max(0.0);
        self.updated_at.plus(Micros::from_secs_f64(wait))
    }

    /// Sets the number of tokens added per second.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    /// Lowers the rate to `rate`, unless it is lower already.
    pub fn lower_rate(&mut self, rate: f64) {
        self.rate = self.rate.min(rate);
    }

    /// Returns the largest number of tokens that the bucket holds.
    pub fn capacity(&self) -> f64 {
        (self.rate * self.capacity_seconds).max(self.min_capacity)
    }

    fn refill(&mut self, capacity: f64, now: Micros) {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate).min(capacity);
        self.updated_at = now;
    }
}
