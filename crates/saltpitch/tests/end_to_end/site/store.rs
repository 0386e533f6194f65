//! The stand-in for the state service.

use std::time::{Duration, Instant};

use poem::http::Method;
use saltpitch_core::scheduler::{Precondition, TransactionOutcome, Write};
use saltpitch_core::Micros;
use saltpitch_testkit::store::Store;
use serde_json::{json, Value};

use super::http::query_parameter;
use super::{lock, Reply, SharedSite};

/// The interval at which an open watch looks for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Answers a request to the state service.
pub async fn answer(site: SharedSite, method: Method, uri: String, body: Value) -> Reply {
    let path = uri.split('?').next().unwrap_or_default();
    if path == "/watch" {
        return watch(&site, &uri).await;
    }
    let mut site = lock(&site);
    let now = site.now();
    let store = &mut site.store;
    store.tick(now);
    match path {
        "/store" => list(store),
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

/// Replies with all keys on one page.
fn list(store: &Store) -> Reply {
    let mut rows = Vec::new();
    for (key, entry) in &store.keys {
        let value: Value = serde_json::from_str(&entry.value).expect("the value is JSON");
        rows.push(json!({"path": key, "v": value, "entry_no": entry.revision}));
    }
    let body = json!({"rows": rows, "has_next": false, "ledger_no": store.revision});
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
