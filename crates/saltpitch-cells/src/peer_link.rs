//! The state of the link to one peer cell: backoff after failures, rate limit and readiness.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::Rng;
use saltpitch_core::Micros;

/// The most concurrent calls to one peer cell, and so the most sockets that the link uses.
pub const MAX_CONCURRENT_CALLS: usize = 4;
/// The backoff after the first failed call. It doubles with each further failure.
const INITIAL_BACKOFF: Micros = Micros::from_secs(1);
const MAX_BACKOFF: Micros = Micros::from_secs(30);
/// The number of failures after which the backoff is not doubled any more.
const MAX_DOUBLINGS: u32 = 5;
/// The number of consecutive failures after which the link is reported as failed.
const FAILURES_UNTIL_REPORT: u32 = 3;
/// The time after a positive answer for which a peer cell is assumed to accept delegated jobs.
const READINESS_VALIDITY: Micros = Micros::from_secs(3);
/// The minimum time without offers after the peer cell has refused delegated jobs. The peer cell may ask for a
/// longer one by `Retry-After`.
const MIN_OFFER_PAUSE: Micros = Micros::from_secs(5);

/// The link to one peer cell.
#[derive(Debug)]
pub struct PeerLink {
    addresses: Vec<SocketAddr>,
    next_address: usize,
    /// The rate of calls, and the bucket of tokens that limits it.
    calls_per_s: f64,
    tokens: f64,
    refilled_at: Micros,
    in_flight: usize,
    consecutive_failures: u32,
    backoff_until: Micros,
    ready_at: Option<Micros>,
    no_offers_until: Micros,
    readiness_wanted: bool,
    readiness_requested_at: Option<Micros>,
}

impl PeerLink {
    /// Creates a link that has not been used yet.
    pub fn new(addresses: Vec<SocketAddr>, calls_per_s: f64) -> PeerLink {
        PeerLink {
            addresses,
            next_address: 0,
            calls_per_s,
            tokens: 1.0,
            refilled_at: Micros::ZERO,
            in_flight: 0,
            consecutive_failures: 0,
            backoff_until: Micros::ZERO,
            ready_at: None,
            no_offers_until: Micros::ZERO,
            readiness_wanted: false,
            readiness_requested_at: None,
        }
    }

    /// Starts a call if one is allowed now, and returns the address to call. After a failure only one call at a
    /// time is allowed, and only once the backoff is over.
    pub fn try_start_call(&mut self, now: Micros) -> Option<SocketAddr> {
        let max_calls = if self.consecutive_failures == 0 {
            MAX_CONCURRENT_CALLS
        } else {
            1
        };
        if self.in_flight >= max_calls || now < self.backoff_until {
            return None;
        }
        let refill = now.since(self.refilled_at).as_secs_f64() * self.calls_per_s;
        self.tokens = (self.tokens + refill).min(self.calls_per_s.max(1.0));
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return None;
        }
        let address = *self.addresses.get(self.next_address)?;
        self.tokens -= 1.0;
        self.in_flight += 1;
        Some(address)
    }

    /// Records that a call was answered, whatever the answer. Returns whether the link had been reported as
    /// failed.
    pub fn record_answer(&mut self) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        let had_failed = self.consecutive_failures >= FAILURES_UNTIL_REPORT;
        self.consecutive_failures = 0;
        self.backoff_until = Micros::ZERO;
        had_failed
    }

    /// Records that a call was not answered: the next call uses another address, after a backoff with jitter.
    /// Returns whether the link is to be reported as failed now.
    pub fn record_failure(&mut self, random: &mut SmallRng, now: Micros) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.next_address = (self.next_address + 1) % self.addresses.len().max(1);
        let doublings = self.consecutive_failures.min(MAX_DOUBLINGS);
        let backoff = INITIAL_BACKOFF.times(f64::from(1u32 << doublings));
        let jitter = random.random_range(0.5..1.0);
        self.backoff_until = now.plus(backoff.min(MAX_BACKOFF).times(jitter));
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.ready_at = None;
        self.consecutive_failures == FAILURES_UNTIL_REPORT
    }

    /// Records that the peer cell accepts delegated jobs.
    pub fn record_ready(&mut self, now: Micros) {
        self.ready_at = Some(now);
    }

    /// Records that the peer cell accepts no delegated jobs at present.
    pub fn record_not_ready(&mut self, retry_after: Option<Micros>, now: Micros) {
        self.ready_at = None;
        self.no_offers_until = now.plus(retry_after.unwrap_or_default().max(MIN_OFFER_PAUSE));
    }

    /// Returns whether a job may be offered to the peer cell now.
    pub fn can_offer(&self, now: Micros) -> bool {
        let is_ready = self
            .ready_at
            .is_some_and(|at| now.since(at) < READINESS_VALIDITY);
        is_ready && self.consecutive_failures == 0 && now >= self.no_offers_until
    }

    /// Notes that there is a job to offer, so that the peer cell is asked whether it accepts delegated jobs.
    pub fn want_readiness(&mut self) {
        self.readiness_wanted = true;
    }

    /// Returns whether to ask the peer cell now whether it accepts delegated jobs.
    pub fn should_request_readiness(&self, now: Micros) -> bool {
        let is_recent = |at: Micros| now.since(at) < READINESS_VALIDITY.times(0.5);
        let is_due = !self.readiness_requested_at.is_some_and(is_recent);
        self.readiness_wanted && is_due && now >= self.no_offers_until
    }

    /// Records that the peer cell is asked whether it accepts delegated jobs.
    pub fn readiness_requested(&mut self, now: Micros) {
        self.readiness_wanted = false;
        self.readiness_requested_at = Some(now);
    }
}
