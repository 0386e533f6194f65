//! How a peer cell has answered lately, and when it may be called.

use std::net::SocketAddr;

use rand::rngs::SmallRng;
use rand::Rng;
use saltpitch_core::Micros;

/// Calls to one peer cell that may be under way at a time: the sockets that the link may take.
pub const MAX_CALLS: usize = 4;
/// The pause after the first failure of the link; it doubles with each further one.
const FIRST_PAUSE: Micros = Micros::from_secs(1);
/// The longest pause.
const LONGEST_PAUSE: Micros = Micros::from_secs(30);
/// Failures after which the pause does not grow any more.
const MAX_DOUBLINGS: u32 = 5;
/// Failures in a row before the log is told.
const FAILURES_UNTIL_NOTICE: u32 = 3;
/// How long after its last positive answer a peer cell counts as taking delegated jobs.
const READY_FOR: Micros = Micros::from_secs(3);
/// How long no job is offered after the peer cell said that it takes none, unless it says otherwise.
const OFFER_PAUSE: Micros = Micros::from_secs(5);

/// The link to one peer cell.
#[derive(Debug)]
pub struct Link {
    addresses: Vec<SocketAddr>,
    next_address: usize,
    /// Calls a second, and what may be called at once.
    calls_per_s: f64,
    credit: f64,
    credit_at: Micros,
    in_flight: usize,
    failures: u32,
    paused_until: Micros,
    ready_at: Option<Micros>,
    no_offers_until: Micros,
    wants_up: bool,
    asked_up_at: Option<Micros>,
}

impl Link {
    /// A link over which nothing was said yet.
    pub fn new(addresses: Vec<SocketAddr>, calls_per_s: f64) -> Link {
        Link {
            addresses,
            next_address: 0,
            calls_per_s,
            credit: 1.0,
            credit_at: Micros::ZERO,
            in_flight: 0,
            failures: 0,
            paused_until: Micros::ZERO,
            ready_at: None,
            no_offers_until: Micros::ZERO,
            wants_up: false,
            asked_up_at: None,
        }
    }

    /// Takes the right to call now, and says where to. A link that fails is tried by one call at a
    /// time, after its pause.
    pub fn take_call(&mut self, now: Micros) -> Option<SocketAddr> {
        let most = if self.failures == 0 { MAX_CALLS } else { 1 };
        if self.in_flight >= most || now < self.paused_until {
            return None;
        }
        let earned = now.since(self.credit_at).as_secs_f64() * self.calls_per_s;
        self.credit = (self.credit + earned).min(self.calls_per_s.max(1.0));
        self.credit_at = now;
        if self.credit < 1.0 {
            return None;
        }
        let address = *self.addresses.get(self.next_address)?;
        self.credit -= 1.0;
        self.in_flight += 1;
        Some(address)
    }

    /// A call was answered, whatever the answer. True if the link had failed before.
    pub fn answered(&mut self) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        let failed_before = self.failures >= FAILURES_UNTIL_NOTICE;
        self.failures = 0;
        self.paused_until = Micros::ZERO;
        failed_before
    }

    /// A call was not answered: another address is tried after a pause. True if that is to be told.
    pub fn failed(&mut self, random: &mut SmallRng, now: Micros) -> bool {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.next_address = (self.next_address + 1) % self.addresses.len().max(1);
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let pause = FIRST_PAUSE.times(f64::from(1u32 << doublings));
        let spread = random.random_range(0.5..1.0);
        self.paused_until = now.plus(pause.min(LONGEST_PAUSE).times(spread));
        self.failures = self.failures.saturating_add(1);
        self.ready_at = None;
        self.failures == FAILURES_UNTIL_NOTICE
    }

    /// The peer cell said that it takes delegated jobs.
    pub fn is_ready(&mut self, now: Micros) {
        self.ready_at = Some(now);
    }

    /// The peer cell said that it takes no delegated jobs at present.
    pub fn takes_no_guests(&mut self, retry_after: Option<Micros>, now: Micros) {
        self.ready_at = None;
        self.no_offers_until = now.plus(retry_after.unwrap_or_default().max(OFFER_PAUSE));
    }

    /// Whether a job may be offered now.
    pub fn takes_offers(&self, now: Micros) -> bool {
        let ready = self.ready_at.is_some_and(|at| now.since(at) < READY_FOR);
        ready && self.failures == 0 && now >= self.no_offers_until
    }

    /// There is something to offer: the peer cell is to be asked whether it takes delegated jobs.
    pub fn wants_up(&mut self) {
        self.wants_up = true;
    }

    /// Whether to ask now if delegated jobs are taken.
    pub fn asks_up(&self, now: Micros) -> bool {
        let asked_lately = |at: Micros| now.since(at) < READY_FOR.times(0.5);
        let due = !self.asked_up_at.is_some_and(asked_lately);
        self.wants_up && due && now >= self.no_offers_until
    }

    /// The peer cell is being asked.
    pub fn asked_up(&mut self, now: Micros) {
        self.wants_up = false;
        self.asked_up_at = Some(now);
    }
}
