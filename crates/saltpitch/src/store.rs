//! The client of the state service: reads, watches, transactions and the leadership lease, within this
//! controller's share of the service's rate limits.

mod health;
mod leases;
mod listing;
mod rate_limits;
mod reads;
mod transactions;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use saltpitch_core::Micros;

use self::health::Health;
use self::rate_limits::{RateLimits, Rates};
use crate::clock::Clock;
use crate::http::{CallError, Client, Reply};
use crate::mutex::lock;
use crate::settings::StoreLimits;

pub use self::leases::KeepAlive;
pub use self::listing::{Listing, ListingError};
pub use self::rate_limits::Role;
pub use self::reads::ReadError;
pub use self::transactions::conditional_write;
pub use crate::wire::store::LeaseAttachment;

/// How long a read waits for the request budget before it fails.
const MAX_READ_WAIT: Micros = Micros::from_millis(300);
/// Bounds of the time after which a delayed request looks at the request budget again.
const MIN_BUDGET_WAIT: Duration = Duration::from_millis(5);
const MAX_BUDGET_WAIT: Duration = Duration::from_millis(250);

/// The client of the state service.
pub struct StoreClient {
    http: Arc<Client>,
    addr: SocketAddr,
    clock: Clock,
    rate_limits: Mutex<RateLimits>,
    health: Mutex<Health>,
}

impl StoreClient {
    /// Creates a client for a process in this role in a site with `controller_count` controllers, with its
    /// share of the rate limits.
    pub fn new(
        http: Arc<Client>,
        addr: SocketAddr,
        clock: Clock,
        limits: StoreLimits,
        controller_count: usize,
        role: Role,
    ) -> StoreClient {
        StoreClient {
            http,
            addr,
            clock,
            rate_limits: Mutex::new(RateLimits::new(limits, controller_count, role)),
            health: Mutex::default(),
        }
    }

    /// Switches to the share of another role.
    pub fn set_role(&self, role: Role) {
        lock(&self.rate_limits).set_role(role);
    }

    /// Returns the role whose share of the rate limits is used.
    pub fn role(&self) -> Role {
        lock(&self.rate_limits).role()
    }

    /// Returns the pause between two requests of a kind that may use this fraction of an equal share of
    /// the request rate.
    pub fn pace(&self, fraction: f64) -> Duration {
        lock(&self.rate_limits).pace(fraction)
    }

    /// Takes one request from the request budget. Returns false if the budget is exhausted.
    fn try_request(&self) -> bool {
        lock(&self.rate_limits).try_request(self.clock.now())
    }

    /// Takes one request that is sent in any case from the request budget.
    fn spend_request(&self) {
        lock(&self.rate_limits).spend_request(self.clock.now());
    }

    /// Takes one request with `changes` changes from the budgets. Returns false if one of them is
    /// exhausted.
    fn try_changes(&self, changes: usize) -> bool {
        lock(&self.rate_limits).try_changes(changes, self.clock.now())
    }

    /// Takes one request from the request budget, and waits for it for up to [`MAX_READ_WAIT`]. Returns false if the
    /// budget is exhausted for longer.
    async fn wait_for_request(&self) -> bool {
        let deadline = self.clock.now().plus(MAX_READ_WAIT);
        loop {
            let now = self.clock.now();
            let ready_at = match lock(&self.rate_limits).try_request_or_ready_at(now) {
                Ok(()) => return true,
                Err(ready_at) => ready_at,
            };
            if ready_at > deadline {
                return false;
            }
            let wait = Duration::from_micros(ready_at.since(now).0);
            tokio::time::sleep(wait.max(MIN_BUDGET_WAIT)).await;
        }
    }

    /// Waits until the request budget allows a request that may be delayed, and takes it.
    async fn background_request(&self) {
        let waiting_since = self.clock.now();
        loop {
            let now = self.clock.now();
            let waited = now.since(waiting_since);
            let granted = lock(&self.rate_limits).try_background_request(waited, now);
            let Err(wait) = granted else { return };
            let wait = Duration::from_micros(wait.0);
            tokio::time::sleep(wait.clamp(MIN_BUDGET_WAIT, MAX_BUDGET_WAIT)).await;
        }
    }

    /// Records that the service refused a transaction because of the rate of changes.
    fn record_refusal(&self) {
        let mut rate_limits = lock(&self.rate_limits);
        if rate_limits.record_refusal(self.clock.now()) {
            let Rates { requests, changes } = rate_limits.rates();
            tracing::info!("the store refuses changes: keeping to its next limits, {requests} requests and {changes} changes a second");
        }
    }

    /// Returns when the service last served a request of this controller.
    pub fn last_success_at(&self) -> Option<Micros> {
        lock(&self.health).last_success_at()
    }

    /// Returns whether the service served the last request, less than `within` ago.
    pub fn is_up(&self, within: Micros) -> bool {
        lock(&self.health).is_up(within, self.clock.now())
    }

    /// Sends a request and records whether the service served it. A response of 503 counts as not
    /// served.
    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        timeout: Duration,
    ) -> Result<Reply, CallError> {
        let result = self.http.call(self.addr, method, path, body, timeout).await;
        let served = result.as_ref().is_ok_and(|reply| reply.status != 503);
        lock(&self.health).record(served, self.clock.now());
        result
    }
}

#[cfg(test)]
mod tests;
