//! The stand-in for the state service.

use std::ops::Bound;
use std::time::{Duration, Instant};

use poem::http::Method;
use saltpitch_core::scheduler::{Precondition, TransactionOutcome, Write};
use saltpitch_core::token_bucket::TokenBucket;
use saltpitch_core::Micros;
use saltpitch_testkit::store::Store;
use serde_json::{json, Value};

use super::http::query_parameter;
use super::{lock, Reply, SharedSite};

/// The interval at which an open watch looks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The most records on a page of a listing.
const MAX_PAGE_ROWS: usize = 1_000;
/// The path of a single key, without the key.
const KEY_PATH: &str = "/store/";
/// How long a request waits that gets no answer; longer than any time limit of the program.
const NO_ANSWER_DELAY: Duration = Duration::from_secs(30);

/// A request that a controller sent to the state service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreRequest {
    /// The controller's number.
    pub controller: usize,
    /// The method.
    pub method: Method,
    /// The path and the query.
    pub uri: String,
    /// The body.
    pub body: Value,
    /// The status of the answer; 0 if there was none.
    pub status: u16,
}

impl StoreRequest {
    /// Returns the key after which a page of a listing begins, which is empty for the first page. Returns `None` if
    /// this is not a request for a page.
    pub fn page_after(&self) -> Option<&str> {
        let is_page = self.uri.starts_with("/store?");
        is_page.then(|| query_parameter(&self.uri, "from").unwrap_or_default())
    }

    /// Returns the key that is read; `None` if this is not a read of a single key.
    pub fn read_key(&self) -> Option<&str> {
        self.uri.strip_prefix(KEY_PATH)
    }

    /// Returns whether this is a transaction that only compares revisions.
    pub fn is_comparison(&self) -> bool {
        self.uri == "/txn" && self.body["writes"].as_array().is_some_and(Vec::is_empty)
    }

    /// Returns whether this is a transaction that writes the key.
    pub fn writes_key(&self, key: &str) -> bool {
        let mut writes = self.body["writes"].as_array().into_iter().flatten();
        writes.any(|write| write["write"] == key)
    }

    /// Returns for how long a watch may wait, in milliseconds; `None` if this is not a watch.
    pub fn watch_wait_ms(&self) -> Option<u64> {
        let is_watch = self.uri.starts_with("/watch?");
        let wait = query_parameter(&self.uri, "wait_ms").filter(|_| is_watch)?;
        wait.parse().ok()
    }
}

/// An answer that the state service gives instead of carrying out a request.
#[derive(Clone, Copy, Debug)]
pub enum StoreFault {
    /// An error status.
    Status(u16),
    /// No answer at all.
    NoAnswer,
    /// An answer that does not follow the protocol.
    Unreadable,
}

/// Chooses the fault with which a request is answered, if any.
pub type ChooseFault = Box<dyn FnMut(&StoreRequest) -> Option<StoreFault> + Send>;

/// Under which conditions the state service answers, and what it was asked.
pub struct StoreConditions {
    /// The limit on requests per second of all controllers together, if there is one.
    pub request_limit: Option<TokenBucket>,
    /// The most records on a page of a listing.
    pub max_page_rows: usize,
    /// The faults with which requests are answered.
    pub choose_fault: Option<ChooseFault>,
    /// The requests so far.
    pub requests: Vec<StoreRequest>,
}

impl Default for StoreConditions {
    fn default() -> StoreConditions {
        StoreConditions {
            request_limit: None,
            max_page_rows: MAX_PAGE_ROWS,
            choose_fault: None,
            requests: Vec::new(),
        }
    }
}

impl StoreConditions {
    /// Returns the fault with which this request is answered, if any.
    fn fault(&mut self, request: &StoreRequest, now: Micros) -> Option<StoreFault> {
        let is_over_limit = |limit: &mut TokenBucket| !limit.try_spend(1.0, now);
        if self.request_limit.as_mut().is_some_and(is_over_limit) {
            return Some(StoreFault::Status(429));
        }
        self.choose_fault.as_mut()?(request)
    }
}

/// Answers a controller's request to the state service, and notes it.
pub async fn serve_request(
    site: SharedSite,
    controller: usize,
    method: Method,
    uri: String,
    body: Value,
) -> Reply {
    let mut request = StoreRequest {
        controller,
        method: method.clone(),
        uri: uri.clone(),
        body: body.clone(),
        status: 0,
    };
    let fault = {
        let mut site = lock(&site);
        let now = site.now();
        if site.refused_controller == Some(controller) {
            Some(StoreFault::Status(503))
        } else {
            site.store_conditions.fault(&request, now)
        }
    };
    let reply = match fault {
        None => answer(site.clone(), method, uri, body).await,
        Some(StoreFault::Status(status)) => Reply::error(status, "trouble"),
        Some(StoreFault::Unreadable) => Reply::new(200, json!("trouble")),
        Some(StoreFault::NoAnswer) => {
            lock(&site).store_conditions.requests.push(request);
            tokio::time::sleep(NO_ANSWER_DELAY).await;
            return Reply::error(503, "trouble");
        }
    };
    request.status = reply.status;
    lock(&site).store_conditions.requests.push(request);
    reply
}

/// Carries out a request.
async fn answer(site: SharedSite, method: Method, uri: String, body: Value) -> Reply {
    let path = uri.split('?').next().unwrap_or_default();
    if path == "/watch" {
        return watch(&site, &uri).await;
    }
    let mut site = lock(&site);
    let now = site.now();
    let max_page_rows = site.store_conditions.max_page_rows;
    let store = &mut site.store;
    store.tick(now);
    if let Some(key) = path.strip_prefix(KEY_PATH) {
        return read(store, key);
    }
    match path {
        "/store" => list(store, &uri, max_page_rows),
        "/txn" => commit(store, &body),
        "/holds" => {
            let ttl = Micros::from_millis(body["ttl_ms"].as_u64().unwrap_or(0));
            let lease = store
                .grant_lease(ttl, now)
                .expect("the store grants a lease");
            Reply::new(200, json!({ "mooring": lease }))
        }
        _ => change_lease(store, &method, path, now),
    }
}

/// Replies with the changes after a revision as soon as there are any, or without changes when the wait time of the
/// request is over.
async fn watch(site: &SharedSite, uri: &str) -> Reply {
    let number = |name: &str| query_parameter(uri, name).and_then(|text| text.parse::<u64>().ok());
    let from = number("from").unwrap_or(0);
    let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
    let end = Instant::now() + wait;
    loop {
        {
            let mut site = lock(site);
            let now = site.now();
            site.store.tick(now);
            let changes = changes_after(&site.store, from);
            if !changes.is_empty() || Instant::now() >= end {
                let revision = site.store.revision;
                return Reply::new(200, json!({"ledger_no": revision, "news": changes}));
            }
        }
        tokio::time::sleep(WATCH_POLL_INTERVAL).await;
    }
}

/// Returns the changes after a revision as the protocol encodes them.
fn changes_after(store: &Store, from: u64) -> Vec<Value> {
    let change =
        |(revision, key, value): (u64, &str, Option<Box<serde_json::value::RawValue>>)| match value
        {
            Some(value) => {
                let value: Value = serde_json::from_str(value.get()).expect("the value is JSON");
                json!({"write": key, "v": value, "entry_no": revision})
            }
            None => json!({"delete": key, "entry_no": revision}),
        };
    store.changes(from).map(change).collect()
}

/// Replies with the value of one key.
fn read(store: &Store, key: &str) -> Reply {
    let Some(entry) = store.keys.get(key) else {
        return Reply::new(404, json!({"ledger_no": store.revision}));
    };
    let value: Value = serde_json::from_str(&entry.value).expect("the value is JSON");
    Reply::new(
        200,
        json!({"path": key, "v": value, "entry_no": entry.revision}),
    )
}

/// Replies with one page of the keys.
fn list(store: &Store, uri: &str, max_rows: usize) -> Reply {
    let first = match query_parameter(uri, "from") {
        Some(after) => Bound::Excluded(after.to_owned()),
        None => Bound::Unbounded,
    };
    let mut entries = store.keys.range((first, Bound::Unbounded));
    let mut rows = Vec::new();
    for (key, entry) in entries.by_ref().take(max_rows) {
        let value: Value = serde_json::from_str(&entry.value).expect("the value is JSON");
        rows.push(json!({"path": key, "v": value, "entry_no": entry.revision}));
    }
    let has_next = entries.next().is_some();
    let body = json!({"rows": rows, "has_next": has_next, "ledger_no": store.revision});
    Reply::new(200, body)
}

/// Renews or revokes the lease that the path names.
fn change_lease(store: &mut Store, method: &Method, path: &str, now: Micros) -> Reply {
    let lease = path.split('/').nth(2).and_then(|id| id.parse().ok());
    let lease = lease.unwrap_or(0);
    if *method == Method::DELETE {
        store.revoke_lease(lease);
        return Reply::empty(200);
    }
    match store.keep_alive(lease, now) {
        Some(true) => Reply::empty(200),
        _ => Reply::error(404, "no such lease"),
    }
}

/// Carries out a transaction. If several of its writes name a lease, only the last one is bound to its lease.
fn commit(store: &mut Store, body: &Value) -> Reply {
    let preconditions = body["when"]
        .as_array()
        .expect("the transaction has a field `when`");
    let preconditions: Vec<Precondition> = preconditions.iter().map(decode_precondition).collect();
    let raw_writes = body["writes"]
        .as_array()
        .expect("the transaction has a field `writes`");
    let writes: Vec<Write> = raw_writes.iter().map(decode_write).collect();
    let lease_and_key = raw_writes.iter().rev().find_map(|write| {
        let lease = write["mooring"].as_u64()?;
        Some((lease, write["write"].as_str()?))
    });
    match store.txn(&preconditions, &writes, lease_and_key) {
        TransactionOutcome::Committed(revision) => Reply::new(200, json!({"ledger_no": revision})),
        TransactionOutcome::Conflict(keys) => {
            Reply::new(409, json!({"failed": keys, "ledger_no": store.revision}))
        }
        _ => Reply::error(400, "no such lease"),
    }
}

fn decode_precondition(raw: &Value) -> Precondition {
    Precondition {
        key: raw["path"]
            .as_str()
            .expect("the precondition has a field `path`")
            .to_owned(),
        revision: raw["entry_no"]
            .as_u64()
            .expect("the precondition has a field `entry_no`"),
    }
}

fn decode_write(raw: &Value) -> Write {
    match raw["delete"].as_str() {
        Some(key) => Write {
            key: key.to_owned(),
            value: None,
        },
        None => Write {
            key: raw["write"]
                .as_str()
                .expect("the write has a field `write` or `delete`")
                .to_owned(),
            value: Some(raw["v"].to_string()),
        },
    }
}
