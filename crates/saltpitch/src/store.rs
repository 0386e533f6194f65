//! The client of the state service: reads, watches, transactions and the leadership lease, within this
//! controller's share of the service's rate limits.

mod health;
mod listing;
mod rate_limits;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use saltpitch_core::records::PREFIX;
use saltpitch_core::scheduler::{Precondition, Transaction, TransactionOutcome, Write};
use saltpitch_core::Micros;

use self::health::Health;
pub use self::listing::{Listing, ListingError};
pub use self::rate_limits::Role;
use self::rate_limits::{RateLimits, Rates};
use crate::clock::Clock;
use crate::http::{CallError, Client, Reply};
use crate::mutex::lock;
use crate::settings::StoreLimits;
use crate::wire::store as wire;
pub use crate::wire::store::{Changes, LeaseAttachment, Page};
use crate::wire::DecodeError;

/// The number of records requested per page of a listing.
const PAGE_SIZE: usize = 1_000;
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// The time that the response to a watch may take beyond the time for which the service may hold it
/// open.
const WATCH_GRACE: Duration = Duration::from_millis(1_500);
const LEASE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a read waits for the request budget before it fails.
const MAX_READ_WAIT: Micros = Micros::from_millis(300);
/// Bounds of the time after which a delayed request looks at the request budget again.
const MIN_BUDGET_WAIT: Duration = Duration::from_millis(5);
const MAX_BUDGET_WAIT: Duration = Duration::from_millis(250);

/// Why records or changes could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// This controller's request budget is exhausted; nothing was sent.
    #[error("the request budget is exhausted")]
    OverBudget,
    /// The request was not sent, or there was no response in time.
    #[error("no response ({0:?})")]
    NoResponse(CallError),
    /// The service responded with an error, for example 429 above its rate limit.
    #[error("status {0}")]
    Status(u16),
    /// The revision is older than the service's history, so all records must be listed again.
    #[error("the revision is older than the history of changes")]
    RevisionTooOld,
    /// The response cannot be decoded.
    #[error("unreadable response: {0}")]
    Unreadable(#[from] DecodeError),
}

/// The outcome of a renewal of the leadership lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The lease is renewed.
    Renewed,
    /// The lease has expired.
    Expired,
    /// The service did not respond, or with an unexpected status: the lease may or may not be renewed.
    Unknown,
}

/// Returns a transaction that writes one record if the record still has the given revision. Revision 0
/// requires that the record does not exist yet.
pub fn conditional_write(key: &str, value: &str, revision: u64) -> Transaction {
    Transaction {
        preconditions: vec![Precondition::new(key, revision)],
        writes: vec![Write {
            key: key.to_owned(),
            value: Some(value.to_owned()),
        }],
    }
}

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

    /// Switches to the leader's or to a follower's share of the rate limits.
    pub fn set_leading(&self, is_leader: bool) {
        let role = if is_leader {
            Role::Leader
        } else {
            Role::Follower
        };
        lock(&self.rate_limits).set_role(role);
    }

    /// Returns the role whose share of the rate limits is used.
    #[cfg(test)]
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

    /// Reads the page of records that follow the key `after`, or the first page if `after` is empty. All records
    /// together may exceed the memory of this process. A page waits for the request budget, part of which it
    /// leaves to other requests.
    pub async fn list_page(&self, after: &str) -> Result<Page, ReadError> {
        self.background_request().await;
        let path = if after.is_empty() {
            format!("/store?starts={PREFIX}&page={PAGE_SIZE}")
        } else {
            format!("/store?starts={PREFIX}&from={after}&page={PAGE_SIZE}")
        };
        let reply = self
            .call(Method::GET, &path, Vec::new(), LIST_TIMEOUT)
            .await
            .map_err(ReadError::NoResponse)?;
        match reply.status {
            200 => Ok(wire::decode_page(&reply.body)?),
            status => Err(ReadError::Status(status)),
        }
    }

    /// Reads the changes after a revision, and waits up to `wait` for the first one. The caller must
    /// pace watches that wait, since they are sent even if the request budget is exhausted. A watch with a `wait`
    /// of zero is sent once the budget allows it.
    pub async fn watch(&self, from: u64, wait: Duration) -> Result<Changes, ReadError> {
        if !wait.is_zero() {
            self.spend_request();
        } else if !self.wait_for_request().await {
            return Err(ReadError::OverBudget);
        }
        let wait_ms = wait.as_millis();
        let path = format!("/watch?starts={PREFIX}&from={from}&wait_ms={wait_ms}");
        let reply = self
            .call(Method::GET, &path, Vec::new(), wait + WATCH_GRACE)
            .await
            .map_err(ReadError::NoResponse)?;
        match reply.status {
            200 => decode_changes(&reply),
            410 => Err(ReadError::RevisionTooOld),
            status => Err(ReadError::Status(status)),
        }
    }

    /// Commits a transaction within this controller's budgets of requests and changes.
    pub async fn commit(&self, transaction: &Transaction, timeout: Duration) -> TransactionOutcome {
        self.commit_with_lease(transaction, None, timeout).await
    }

    /// Commits a transaction within this controller's budgets of requests and changes. With `lease`, the
    /// service deletes the attached key when the lease ends.
    pub async fn commit_with_lease(
        &self,
        transaction: &Transaction,
        lease: Option<LeaseAttachment<'_>>,
        timeout: Duration,
    ) -> TransactionOutcome {
        if !self.try_changes(transaction.writes.len()) {
            return TransactionOutcome::Unavailable;
        }
        self.send_transaction(transaction, lease, timeout).await
    }

    /// Commits a transaction of the leader's scheduler. It is only taken from the request budget,
    /// because the scheduler paces its changes itself.
    pub async fn commit_as_leader(
        &self,
        transaction: &Transaction,
        timeout: Duration,
    ) -> TransactionOutcome {
        if !self.try_request() {
            return TransactionOutcome::Unavailable;
        }
        self.send_transaction(transaction, None, timeout).await
    }

    async fn send_transaction(
        &self,
        transaction: &Transaction,
        lease: Option<LeaseAttachment<'_>>,
        timeout: Duration,
    ) -> TransactionOutcome {
        let body = wire::encode_transaction(transaction, lease);
        match self.call(Method::POST, "/txn", body, timeout).await {
            Ok(reply) => self.transaction_outcome(transaction, &reply),
            Err(CallError::NotSent) => TransactionOutcome::Unavailable,
            Err(CallError::Unknown) => TransactionOutcome::Unknown,
        }
    }

    fn transaction_outcome(&self, transaction: &Transaction, reply: &Reply) -> TransactionOutcome {
        match reply.status {
            200 => wire::decode_transaction_reply(&reply.body)
                .map_or(TransactionOutcome::Unknown, |decoded| {
                    TransactionOutcome::Committed(decoded.revision)
                }),
            409 => wire::decode_transaction_reply(&reply.body)
                .map_or(TransactionOutcome::Unknown, |decoded| {
                    TransactionOutcome::Conflict(decoded.failed_keys)
                }),
            429 => {
                self.record_refusal();
                TransactionOutcome::RateLimited
            }
            503 => TransactionOutcome::Unavailable,
            400 => {
                tracing::error!(
                    "store: a transaction of {} writes was turned down: {}",
                    transaction.writes.len(),
                    String::from_utf8_lossy(&reply.body)
                );
                TransactionOutcome::TooLarge
            }
            status => {
                tracing::error!(
                    "store: unexpected status {status} for a transaction, its outcome is unknown: {}",
                    String::from_utf8_lossy(&reply.body)
                );
                TransactionOutcome::Unknown
            }
        }
    }

    /// Requests a lease that expires unless it is renewed within `ttl`. Returns its id.
    pub async fn grant_lease(&self, ttl: Micros) -> Option<u64> {
        self.spend_request();
        let body = wire::encode_grant_lease(ttl.0 / 1_000);
        let reply = self
            .call(Method::POST, "/holds", body, LEASE_TIMEOUT)
            .await
            .ok()?;
        if reply.status != 200 {
            return None;
        }
        wire::decode_lease(&reply.body).ok()
    }

    /// Renews a lease.
    pub async fn keep_alive(&self, lease: u64) -> KeepAlive {
        self.spend_request();
        let path = format!("/holds/{lease}/touch");
        let reply = self
            .call(Method::POST, &path, Vec::new(), LEASE_TIMEOUT)
            .await;
        match reply.map(|reply| reply.status) {
            Ok(200) => KeepAlive::Renewed,
            Ok(404) => KeepAlive::Expired,
            _ => KeepAlive::Unknown,
        }
    }

    /// Revokes a lease, which deletes the key attached to it. If the request fails, the lease expires
    /// after its time to live.
    pub async fn revoke_lease(&self, lease: u64) {
        self.spend_request();
        let path = format!("/holds/{lease}");
        let _ = self
            .call(Method::DELETE, &path, Vec::new(), LEASE_TIMEOUT)
            .await;
    }
}

fn decode_changes(reply: &Reply) -> Result<Changes, ReadError> {
    wire::decode_changes(&reply.body).map_err(|error| {
        tracing::error!("store: unreadable changes, treating the watch as failed: {error}");
        ReadError::Unreadable(error)
    })
}

#[cfg(test)]
mod tests;
