//! The client of the state service: reads, watches, transactions and the leadership lease, within this
//! controller's share of the service's rates.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use saltpitch_core::records::{RecordChange, PREFIX};
use saltpitch_core::scheduler::{Precondition, Transaction, TransactionOutcome, Write};
use saltpitch_core::token_bucket::TokenBucket;
use saltpitch_core::Micros;

use crate::clock::Clock;
use crate::http::{CallError, Client, Reply};
use crate::mutex::lock;
use crate::rate_shares::leader_change_share;
use crate::settings::StoreLimits;
use crate::wire::store as wire;
pub use crate::wire::store::{Changes, LeaseAttachment};

/// Records in one page of a listing.
const PAGE_SIZE: usize = 1_000;
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// How long an answer to a watch may take beyond the time for which the service holds it open.
const WATCH_GRACE: Duration = Duration::from_millis(1_500);
const LEASE_TIMEOUT: Duration = Duration::from_secs(1);

/// So many refusals within the window mean that the service's next limits are in force.
const REFUSALS_BEFORE_NEXT_LIMITS: usize = 5;
const REFUSAL_WINDOW: Micros = Micros::from_secs(10);

/// This controller's share of a rate when it serves alone, as the leader, and all followers' together.
const ONLY_NODE_SHARE: f64 = 0.9;
const LEADER_SHARE: f64 = 0.5;
const FOLLOWERS_SHARE: f64 = 0.45;

/// Bounds of the pause between two paced requests, in seconds, and the slowest rate it is derived from.
const MIN_PACE_S: f64 = 0.02;
const MAX_PACE_S: f64 = 2.0;
const MIN_PACED_RATE: f64 = 0.5;

/// The outcome of a watch.
pub enum WatchOutcome {
    /// What has changed, possibly nothing.
    Changes(Changes),
    /// The revision is older than the service's history: all records have to be read again.
    RevisionTooOld,
    /// The service did not answer, or not with changes.
    Failed,
}

/// The outcome of a renewal of the leadership lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeepAlive {
    /// The lease is renewed.
    Renewed,
    /// The lease has expired.
    Expired,
    /// No answer: the lease may have been renewed or not.
    Unknown,
}

/// What this controller may still send.
struct Budgets {
    requests: TokenBucket,
    changes: TokenBucket,
}

/// Refusals of changes for their rate.
#[derive(Default)]
struct RateLimiting {
    /// The refusals within [`REFUSAL_WINDOW`].
    refused_at: Vec<Micros>,
    /// Whether the service's next limits are taken to be in force.
    next_limits: bool,
}

/// Requests and changes a second that the service takes.
struct Rates {
    requests: f64,
    changes: f64,
}

/// When the service last answered, and when it last failed to.
#[derive(Clone, Copy, Default)]
struct Health {
    last_success_at: Option<Micros>,
    last_failure_at: Option<Micros>,
}

/// A transaction that writes one record on condition of its revision; revision 0 creates it.
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
    budgets: Mutex<Budgets>,
    limits: StoreLimits,
    /// The number of controllers that share the service.
    controllers: usize,
    rate_limiting: Mutex<RateLimiting>,
    leads: AtomicBool,
    health: Mutex<Health>,
}

impl StoreClient {
    /// A client for one of so many controllers, with a follower's share of the rates.
    pub fn new(
        http: Arc<Client>,
        addr: SocketAddr,
        clock: Clock,
        limits: StoreLimits,
        controllers: usize,
    ) -> StoreClient {
        let budgets = Budgets {
            requests: TokenBucket::per_second(limits.rps),
            changes: TokenBucket::per_second(limits.write_rps),
        };
        let client = StoreClient {
            http,
            addr,
            clock,
            budgets: Mutex::new(budgets),
            limits,
            controllers: controllers.max(1),
            rate_limiting: Mutex::default(),
            leads: AtomicBool::new(false),
            health: Mutex::default(),
        };
        client.set_leading(false);
        client
    }

    /// The leader may use half of the requests, the others the rest between them. Users' changes are
    /// few but come in bursts, to any controller: each may use what the leader leaves, and the service
    /// itself refuses what is too much in all.
    pub fn set_leading(&self, leads: bool) {
        self.leads.store(leads, Ordering::Relaxed);
        let share = match (leads, self.controllers) {
            (_, 1) => ONLY_NODE_SHARE,
            (true, _) => LEADER_SHARE,
            (false, controllers) => FOLLOWERS_SHARE / (controllers - 1) as f64,
        };
        let mut budgets = lock(&self.budgets);
        let rates = self.rates();
        budgets.requests.set_rate(rates.requests * share);
        budgets
            .changes
            .set_rate(rates.changes * (1.0 - leader_change_share(self.controllers)));
    }

    /// The rates that are taken to be in force.
    fn rates(&self) -> Rates {
        if lock(&self.rate_limiting).next_limits {
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

    /// The service refused a change for its rate. Once in a while that is a burst; several in a row mean
    /// that its next limits have come into force, which happens without notice.
    fn record_rate_limited(&self) {
        if !self.detects_next_limits() {
            return;
        }
        let Rates { requests, changes } = self.rates();
        tracing::info!("the store refuses changes: keeping to its next limits, {requests} requests and {changes} changes a second");
        self.set_leading(self.leads.load(Ordering::Relaxed));
    }

    /// Notes a refusal; whether it is the one that shows that the next limits are in force.
    fn detects_next_limits(&self) -> bool {
        let now = self.clock.now();
        let mut limiting = lock(&self.rate_limiting);
        limiting.refused_at.push(now);
        let window_start = now.since(REFUSAL_WINDOW);
        limiting.refused_at.retain(|at| *at >= window_start);
        let detected =
            !limiting.next_limits && limiting.refused_at.len() >= REFUSALS_BEFORE_NEXT_LIMITS;
        limiting.next_limits |= detected;
        detected
    }

    /// The pause between two requests of a kind that may use this fraction of the controller's share.
    pub fn pace(&self, fraction: f64) -> Duration {
        let rate = self.rates().requests * fraction / self.controllers as f64;
        let pause_s = (1.0 / rate.max(MIN_PACED_RATE)).clamp(MIN_PACE_S, MAX_PACE_S);
        Duration::from_secs_f64(pause_s)
    }

    /// Takes one request from the budget.
    fn try_request(&self) -> bool {
        lock(&self.budgets)
            .requests
            .try_spend(1.0, self.clock.now())
    }

    /// Takes one request with so many changes from the budgets.
    fn try_changes(&self, changes: usize) -> bool {
        let now = self.clock.now();
        let mut budgets = lock(&self.budgets);
        budgets.requests.try_spend(1.0, now)
            && (changes == 0 || budgets.changes.try_spend(changes as f64, now))
    }

    fn record_health(&self, served: bool) {
        let now = self.clock.now();
        let mut health = lock(&self.health);
        if served {
            health.last_success_at = Some(now);
        } else {
            health.last_failure_at = Some(now);
        }
    }

    /// When the service last served this controller.
    pub fn last_success_at(&self) -> Option<Micros> {
        lock(&self.health).last_success_at
    }

    /// Whether the last request was served, and that no longer ago than `within`.
    pub fn is_up(&self, within: Micros) -> bool {
        let health = *lock(&self.health);
        let recent = |at| self.clock.now().since(at) < within;
        health.last_success_at.is_some_and(recent)
            && health.last_success_at >= health.last_failure_at
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let result = self.http.call(self.addr, method, path, body, limit).await;
        let served = result.as_ref().is_ok_and(|reply| reply.status != 503);
        self.record_health(served);
        result
    }

    /// Reads all records of this project, and hands them on page by page, since all of them at once may
    /// be more than this process has memory for. Returns the revision from which to follow changes.
    pub async fn list(&self, mut take: impl FnMut(Vec<RecordChange>)) -> Option<u64> {
        let mut first_revision = None;
        let mut last_key = String::new();
        loop {
            let page = self.list_page(&last_key).await?;
            let revision = *first_revision.get_or_insert(page.revision);
            if let Some(last) = page.records.last() {
                last_key.clone_from(&last.key);
            }
            let is_last = !page.has_next || page.records.is_empty();
            take(page.records);
            if is_last {
                return Some(revision);
            }
        }
    }

    /// The page of records after a key; the first one after the empty key.
    async fn list_page(&self, after: &str) -> Option<wire::Page> {
        let path = if after.is_empty() {
            format!("/store?starts={PREFIX}&page={PAGE_SIZE}")
        } else {
            format!("/store?starts={PREFIX}&from={after}&page={PAGE_SIZE}")
        };
        let reply = self
            .call(Method::GET, &path, Vec::new(), LIST_TIMEOUT)
            .await
            .ok()?;
        if reply.status != 200 {
            return None;
        }
        wire::decode_page(&reply.body)
            .map_err(|error| tracing::error!("store: unreadable page: {error}"))
            .ok()
    }

    /// Reads the changes after a revision; waits up to `wait` for one. A watch that waits is paced by its
    /// caller; one that does not is taken from the budget of requests.
    pub async fn watch(&self, from: u64, wait: Duration) -> WatchOutcome {
        if wait.is_zero() && !self.try_request() {
            return WatchOutcome::Failed;
        }
        let wait_ms = wait.as_millis();
        let path = format!("/watch?starts={PREFIX}&from={from}&wait_ms={wait_ms}");
        let reply = self
            .call(Method::GET, &path, Vec::new(), wait + WATCH_GRACE)
            .await;
        let Ok(reply) = reply else {
            return WatchOutcome::Failed;
        };
        match reply.status {
            200 => wire::decode_changes(&reply.body).map_or_else(
                |error| {
                    tracing::error!("store: unreadable changes: {error}");
                    WatchOutcome::Failed
                },
                WatchOutcome::Changes,
            ),
            410 => WatchOutcome::RevisionTooOld,
            _ => WatchOutcome::Failed,
        }
    }

    /// Commits a transaction within this controller's budgets.
    pub async fn commit(&self, transaction: &Transaction, limit: Duration) -> TransactionOutcome {
        self.commit_with_lease(transaction, None, limit).await
    }

    /// Commits a transaction within this controller's budgets, one write of which may end with a lease.
    pub async fn commit_with_lease(
        &self,
        transaction: &Transaction,
        lease: Option<LeaseAttachment<'_>>,
        limit: Duration,
    ) -> TransactionOutcome {
        if !self.try_changes(transaction.writes.len()) {
            return TransactionOutcome::Unavailable;
        }
        self.send_transaction(transaction, lease, limit).await
    }

    /// Commits a transaction of the leader's scheduler, which paces its changes by itself.
    pub async fn commit_as_leader(
        &self,
        transaction: &Transaction,
        limit: Duration,
    ) -> TransactionOutcome {
        if !self.try_request() {
            return TransactionOutcome::Unavailable;
        }
        self.send_transaction(transaction, None, limit).await
    }

    async fn send_transaction(
        &self,
        transaction: &Transaction,
        lease: Option<LeaseAttachment<'_>>,
        limit: Duration,
    ) -> TransactionOutcome {
        let body = wire::encode_transaction(transaction, lease);
        match self.call(Method::POST, "/txn", body, limit).await {
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
                self.record_rate_limited();
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
                    "store: transaction answered {status}: {}",
                    String::from_utf8_lossy(&reply.body)
                );
                TransactionOutcome::Unknown
            }
        }
    }

    /// Opens a lease that expires unless it is renewed within `ttl`.
    pub async fn grant_lease(&self, ttl: Micros) -> Option<u64> {
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

    /// Ends a lease, and with it what is attached to it. One that cannot be ended expires by itself.
    pub async fn revoke_lease(&self, lease: u64) {
        let path = format!("/holds/{lease}");
        let _ = self
            .call(Method::DELETE, &path, Vec::new(), LEASE_TIMEOUT)
            .await;
    }
}
