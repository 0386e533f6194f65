//! The state service.

use std::time::{Duration, Instant};

use poem::http::Method;
use saltpitch_core::scheduler::{Precondition, TransactionOutcome, Write};
use saltpitch_core::Micros;
use saltpitch_testkit::store::Store;
use serde_json::{json, Value};

use super::http::query;
use super::{Reply, Shared};

pub async fn store_call(site: Shared, method: Method, uri: String, body: Value) -> Reply {
    let path = uri.split('?').next().unwrap_or_default().to_owned();
    if path == "/watch" {
        let from: u64 = query(&uri, "from")
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let wait: u64 = query(&uri, "wait_ms")
            .and_then(|s| s.parse().ok())
            .unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        loop {
            {
                let mut s = site.lock().expect("lock");
                let now = s.now();
                s.store.tick(now);
                let news: Vec<Value> = s
                    .store
                    .changes(from)
                    .map(|(rev, key, v)| match v {
                        Some(v) => {
                            let v: Value = serde_json::from_str(v.get()).expect("json");
                            json!({"write": key, "v": v, "entry_no": rev})
                        }
                        None => json!({"delete": key, "entry_no": rev}),
                    })
                    .collect();
                if !news.is_empty() || Instant::now() >= end {
                    return (200, json!({"ledger_no": s.store.rev, "news": news}));
                }
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    let mut s = site.lock().expect("lock");
    let now = s.now();
    s.store.tick(now);
    if path == "/store" {
        let rows: Vec<Value> = s
            .store
            .keys
            .iter()
            .map(|(k, e)| {
                let v: Value = serde_json::from_str(&e.value).expect("json");
                json!({"path": k, "v": v, "entry_no": e.rev})
            })
            .collect();
        return (
            200,
            json!({"rows": rows, "has_next": false, "ledger_no": s.store.rev}),
        );
    }
    if path == "/txn" {
        return store_txn(&mut s.store, &body);
    }
    if path == "/holds" {
        let ttl = Micros::from_millis(body["ttl_ms"].as_u64().unwrap_or(0));
        let id = s.store.grant_lease(ttl, now).expect("a hold");
        return (200, json!({ "mooring": id }));
    }
    let parts: Vec<&str> = path.split('/').collect();
    let id: u64 = parts.get(2).and_then(|p| p.parse().ok()).unwrap_or(0);
    if method == Method::DELETE {
        s.store.revoke_lease(id);
        return (200, json!({}));
    }
    match s.store.keep_alive(id, now) {
        Some(true) => (200, json!({})),
        _ => (404, json!({"error": "no such lease"})),
    }
}

fn store_txn(store: &mut Store, body: &Value) -> Reply {
    let preconditions: Vec<Precondition> = body["when"]
        .as_array()
        .expect("when")
        .iter()
        .map(|w| {
            let key = w["path"].as_str().expect("path").to_owned();
            let revision = w["entry_no"].as_u64().expect("entry_no");
            Precondition { key, revision }
        })
        .collect();
    let mut hold = None;
    let writes: Vec<Write> = body["writes"]
        .as_array()
        .expect("writes")
        .iter()
        .map(|w| match w["delete"].as_str() {
            Some(key) => Write {
                key: key.to_owned(),
                value: None,
            },
            None => {
                let key = w["write"].as_str().expect("write").to_owned();
                if let Some(id) = w["mooring"].as_u64() {
                    hold = Some((id, key.clone()));
                }
                Write {
                    key,
                    value: Some(w["v"].to_string()),
                }
            }
        })
        .collect();
    let held = hold.as_ref().map(|(id, key)| (*id, key.as_str()));
    match store.txn(&preconditions, &writes, held) {
        TransactionOutcome::Committed(rev) => (200, json!({ "ledger_no": rev })),
        TransactionOutcome::Conflict(keys) => {
            (409, json!({"failed": keys, "ledger_no": store.rev}))
        }
        _ => (400, json!({"error": "no such lease"})),
    }
}
