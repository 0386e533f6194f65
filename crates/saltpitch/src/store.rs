//! The state service, as this project uses it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyper::Method;
use saltpitch_core::records::{RecordChange, PREFIX};
use saltpitch_core::scheduler::{Precondition, TransactionOutcome, Write};
use saltpitch_core::Micros;

use crate::budget::Budget;
use crate::clock::Clock;
use crate::http::{CallError, Client, Reply};
use crate::settings::StoreLimits;
use crate::wire::store as wire;

/// What reading the changes came to.
pub enum News {
    Changes(Vec<RecordChange>, u64),
    /// The asked-for revision is too old: everything has to be read again.
    TooOld,
    Failed,
}

/// The leader's part of the store's rate of changes, which its core paces by itself. The rest is for
/// what users ask of all nodes.
pub fn leader_share(size: usize) -> f64 {
    if size == 1 {
        0.9
    } else {
        0.7
    }
}

pub struct Store {
    http: Arc<Client>,
    addr: SocketAddr,
    clock: Clock,
    budgets: Mutex<(Budget, Budget)>,
    limits: StoreLimits,
    size: usize,
    /// When it refused changes for their number, and whether that is taken for its next limit.
    throttles: Mutex<(Vec<Micros>, bool)>,
    leads: std::sync::atomic::AtomicBool,
    /// When it answered last, for better or worse.
    ok_at: Mutex<Option<Micros>>,
    failed_at: Mutex<Option<Micros>>,
}

impl Store {
    pub fn new(
        http: Arc<Client>,
        addr: SocketAddr,
        clock: Clock,
        limits: StoreLimits,
        size: usize,
    ) -> Store {
        let s = Store {
            http,
            addr,
            clock,
            budgets: Mutex::new((Budget::new(limits.rps), Budget::new(limits.write_rps))),
            limits,
            size: size.max(1),
            throttles: Mutex::default(),
            leads: std::sync::atomic::AtomicBool::new(false),
            ok_at: Mutex::new(None),
            failed_at: Mutex::new(None),
        };
        s.set_leading(false);
        s
    }

    /// The leader may use half of the requests, the others the rest between them. Users' changes are
    /// few but come in bursts, to any node: each may use what the leader leaves, and the store itself
    /// refuses what is too much in all.
    pub fn set_leading(&self, leads: bool) {
        self.leads
            .store(leads, std::sync::atomic::Ordering::Relaxed);
        let share = match (leads, self.size) {
            (_, 1) => 0.9,
            (true, _) => 0.5,
            (false, n) => 0.45 / (n - 1) as f64,
        };
        let mut b = self.budgets.lock().unwrap_or_else(|e| e.into_inner());
        let (rps, write_rps) = self.rates();
        b.0.set_rate(rps * share);
        b.1.set_rate(write_rps * (1.0 - leader_share(self.size)));
    }

    /// Requests and changes a second that it takes now, as far as known.
    fn rates(&self) -> (f64, f64) {
        let lowered = self.throttles.lock().unwrap_or_else(|e| e.into_inner()).1;
        if lowered {
            (self.limits.next_rps, self.limits.next_write_rps)
        } else {
            (self.limits.rps, self.limits.write_rps)
        }
    }

    /// It refused a change for their number: now and then that is a burst, again and again its next
    /// limit, which comes without notice.
    fn throttled(&self) {
        let now = self.clock.now();
        let lowered = {
            let mut t = self.throttles.lock().unwrap_or_else(|e| e.into_inner());
            t.0.push(now);
            let recent = now.since(Micros::from_secs(10));
            t.0.retain(|at| *at >= recent);
            let lowers = !t.1 && t.0.len() >= 5;
            t.1 |= lowers;
            lowers
        };
        if lowered {
            let (rps, write_rps) = self.rates();
            tracing::info!("the store refuses changes: keeping to its next limits, {rps} requests and {write_rps} changes a second");
            self.set_leading(self.leads.load(std::sync::atomic::Ordering::Relaxed));
        }
    }

    /// How long to leave between two requests of a kind that may use `part` of this node's share.
    pub fn pace(&self, part: f64) -> Duration {
        let each = self.rates().0 * part / self.size as f64;
        Duration::from_secs_f64((1.0 / each.max(0.5)).clamp(0.02, 2.0))
    }

    fn may(&self, requests: f64, writes: f64) -> bool {
        let now = self.clock.now();
        let mut b = self.budgets.lock().unwrap_or_else(|e| e.into_inner());
        b.0.take(requests, now) && (writes == 0.0 || b.1.take(writes, now))
    }

    fn note(&self, ok: bool) {
        let slot = if ok { &self.ok_at } else { &self.failed_at };
        *slot.lock().unwrap_or_else(|e| e.into_inner()) = Some(self.clock.now());
    }

    /// When it last served this node.
    pub fn last_ok(&self) -> Option<Micros> {
        *self.ok_at.lock().unwrap_or_else(|e| e.into_inner())
    }

    /// Whether it served this node at its last word, which is not older than `within`.
    pub fn is_up(&self, within: Micros) -> bool {
        let ok = *self.ok_at.lock().unwrap_or_else(|e| e.into_inner());
        let bad = *self.failed_at.lock().unwrap_or_else(|e| e.into_inner());
        ok.is_some_and(|at| self.clock.now().since(at) < within) && ok >= bad
    }

    async fn call(
        &self,
        method: Method,
        path: &str,
        body: Vec<u8>,
        limit: Duration,
    ) -> Result<Reply, CallError> {
        let r = self.http.call(self.addr, method, path, body, limit).await;
        match &r {
            Ok(r) => self.note(r.status != 503),
            Err(_) => self.note(false),
        }
        r
    }

    /// All of our records, page by page as they come, since all of them at once may be more than this
    /// node has memory for. Returns the revision from which to follow their changes.
    pub async fn list(&self, mut take: impl FnMut(Vec<RecordChange>)) -> Option<u64> {
        let mut first = None;
        let mut after = String::new();
        loop {
            let path = if after.is_empty() {
                format!("/store?starts={PREFIX}&page=1000")
            } else {
                format!("/store?starts={PREFIX}&from={after}&page=1000")
            };
            let r = self
                .call(Method::GET, &path, Vec::new(), Duration::from_secs(3))
                .await
                .ok()?;
            if r.status != 200 {
                return None;
            }
            let (items, more, rev) = wire::page(&r.body)
                .map_err(|e| tracing::error!("store: unreadable page: {e}"))
                .ok()?;
            first.get_or_insert(rev);
            if let Some(last) = items.last() {
                after.clone_from(&last.key);
            }
            let empty = items.is_empty();
            take(items);
            if !more || empty {
                return Some(first.unwrap_or(rev));
            }
        }
    }

    /// Changes after `from`; waits up to `wait` for one.
    pub async fn news(&self, from: u64, wait: Duration) -> News {
        if wait.is_zero() && !self.may(1.0, 0.0) {
            return News::Failed;
        }
        let path = format!(
            "/watch?starts={PREFIX}&from={from}&wait_ms={}",
            wait.as_millis()
        );
        let limit = wait + Duration::from_millis(1_500);
        match self.call(Method::GET, &path, Vec::new(), limit).await {
            Ok(r) if r.status == 200 => match wire::news(&r.body) {
                Ok((items, rev)) => News::Changes(items, rev),
                Err(e) => {
                    tracing::error!("store: unreadable changes: {e}");
                    News::Failed
                }
            },
            Ok(r) if r.status == 410 => News::TooOld,
            _ => News::Failed,
        }
    }

    pub async fn txn(
        &self,
        preconditions: &[Precondition],
        writes: &[Write],
        hold: Option<(u64, &str)>,
        limit: Duration,
    ) -> TransactionOutcome {
        if !self.may(1.0, writes.len() as f64) {
            return TransactionOutcome::Unavailable;
        }
        self.send(preconditions, writes, hold, limit).await
    }

    /// A transaction of the leader's core, which keeps to its share of the changes by itself.
    pub async fn leader_txn(
        &self,
        preconditions: &[Precondition],
        writes: &[Write],
        limit: Duration,
    ) -> TransactionOutcome {
        if !self.may(1.0, 0.0) {
            return TransactionOutcome::Unavailable;
        }
        self.send(preconditions, writes, None, limit).await
    }

    async fn send(
        &self,
        preconditions: &[Precondition],
        writes: &[Write],
        hold: Option<(u64, &str)>,
        limit: Duration,
    ) -> TransactionOutcome {
        let body = wire::transaction(preconditions, writes, hold);
        match self.call(Method::POST, "/txn", body, limit).await {
            Ok(r) if r.status == 200 => wire::txn(&r.body)
                .map_or(TransactionOutcome::Unknown, |t| {
                    TransactionOutcome::Committed(t.0)
                }),
            Ok(r) if r.status == 409 => wire::txn(&r.body)
                .map_or(TransactionOutcome::Unknown, |t| {
                    TransactionOutcome::Conflict(t.1)
                }),
            Ok(r) if r.status == 429 => {
                self.throttled();
                TransactionOutcome::RateLimited
            }
            Ok(r) if r.status == 503 => TransactionOutcome::Unavailable,
            Ok(r) if r.status == 400 => {
                tracing::error!(
                    "store: a transaction of {} writes was turned down: {}",
                    writes.len(),
                    String::from_utf8_lossy(&r.body)
                );
                TransactionOutcome::TooLarge
            }
            Ok(r) => {
                tracing::error!(
                    "store: transaction answered {}: {}",
                    r.status,
                    String::from_utf8_lossy(&r.body)
                );
                TransactionOutcome::Unknown
            }
            Err(CallError::NotSent) => TransactionOutcome::Unavailable,
            Err(CallError::Unknown) => TransactionOutcome::Unknown,
        }
    }

    pub async fn grant_lease(&self, ttl: Micros) -> Option<u64> {
        let r = self
            .call(
                Method::POST,
                "/holds",
                wire::grant_lease(ttl.0 / 1_000),
                Duration::from_secs(1),
            )
            .await
            .ok()?;
        (r.status == 200)
            .then(|| wire::hold(&r.body).ok())
            .flatten()
    }

    /// Renews a hold: Some(true) renewed, Some(false) it is gone, None not known.
    pub async fn touch(&self, hold: u64) -> Option<bool> {
        let path = format!("/holds/{hold}/touch");
        match self
            .call(
                Method::POST,
                &path,
                Vec::new(),
                Duration::from_millis(1_000),
            )
            .await
        {
            Ok(r) if r.status == 200 => Some(true),
            Ok(r) if r.status == 404 => Some(false),
            _ => None,
        }
    }

    pub async fn revoke_lease(&self, hold: u64) {
        let path = format!("/holds/{hold}");
        let _ = self
            .call(Method::DELETE, &path, Vec::new(), Duration::from_secs(1))
            .await;
    }
}
