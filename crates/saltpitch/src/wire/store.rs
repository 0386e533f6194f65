//! The state service's words.

use saltpitch_core::records::RecordChange;
use saltpitch_core::scheduler::{Precondition, Write};
use serde::Deserialize;
use serde_json::value::RawValue;

#[derive(Deserialize)]
struct RawPage {
    rows: Vec<RawRow>,
    #[serde(default)]
    has_next: bool,
    ledger_no: u64,
}

#[derive(Deserialize)]
struct RawRow {
    path: String,
    v: Box<RawValue>,
    entry_no: u64,
}

#[derive(Deserialize)]
struct RawNews {
    ledger_no: u64,
    news: Vec<RawChange>,
}

#[derive(Deserialize)]
struct RawChange {
    #[serde(default)]
    write: Option<String>,
    #[serde(default)]
    delete: Option<String>,
    #[serde(default)]
    v: Option<Box<RawValue>>,
    entry_no: u64,
}

#[derive(Deserialize)]
struct RawTxn {
    ledger_no: u64,
    #[serde(default)]
    failed: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct RawHold {
    mooring: u64,
}

/// A page of a list: items, whether there are more, and the revision it was read at.
pub fn page(body: &[u8]) -> Result<(Vec<RecordChange>, bool, u64), String> {
    let raw: RawPage = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let items = raw
        .rows
        .into_iter()
        .map(|r| RecordChange {
            key: r.path,
            value: Some(r.v),
            revision: r.entry_no,
        })
        .collect();
    Ok((items, raw.has_next, raw.ledger_no))
}

/// A watch's answer: the changes, and the revision up to which they are complete.
pub fn news(body: &[u8]) -> Result<(Vec<RecordChange>, u64), String> {
    let raw: RawNews = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    let mut items = Vec::with_capacity(raw.news.len());
    for c in raw.news {
        let (key, value) = match (c.write, c.delete) {
            (Some(k), None) => (k, Some(c.v.ok_or("a write without a value")?)),
            (None, Some(k)) => (k, None),
            _ => return Err("a change that is neither write nor delete".to_owned()),
        };
        items.push(RecordChange {
            key,
            value,
            revision: c.entry_no,
        });
    }
    Ok((items, raw.ledger_no))
}

/// A transaction's revision, and the keys that failed.
pub fn txn(body: &[u8]) -> Result<(u64, Vec<String>), String> {
    let raw: RawTxn = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    Ok((raw.ledger_no, raw.failed.unwrap_or_default()))
}

pub fn hold(body: &[u8]) -> Result<u64, String> {
    serde_json::from_slice::<RawHold>(body)
        .map(|h| h.mooring)
        .map_err(|e| e.to_string())
}

pub fn grant_lease(ttl_ms: u64) -> Vec<u8> {
    serde_json::json!({ "ttl_ms": ttl_ms })
        .to_string()
        .into_bytes()
}

/// A transaction's body. Values are JSON already; `hold` attaches the writes of `held` to it.
pub fn transaction(
    preconditions: &[Precondition],
    writes: &[Write],
    hold: Option<(u64, &str)>,
) -> Vec<u8> {
    let mut s = String::with_capacity(256 + writes.len() * 128);
    let quoted = |k: &str| serde_json::Value::from(k).to_string();
    s.push_str("{\"when\":[");
    for (i, Precondition { key, revision }) in preconditions.iter().enumerate() {
        if i > 0 {
            s.push(',');
        }
        s.push_str(&format!(
            "{{\"path\":{},\"entry_no\":{revision}}}",
            quoted(key)
        ));
    }
    s.push_str("],\"writes\":[");
    for (i, w) in writes.iter().enumerate() {
        if i > 0 {
            s.push(',');
        }
        match &w.value {
            Some(v) => {
                s.push_str(&format!("{{\"write\":{},\"v\":{v}", quoted(&w.key)));
                if let Some((id, _)) = hold.filter(|h| h.1 == w.key) {
                    s.push_str(&format!(",\"mooring\":{id}"));
                }
                s.push('}');
            }
            None => s.push_str(&format!("{{\"delete\":{}}}", quoted(&w.key))),
        }
    }
    s.push_str("]}");
    s.into_bytes()
}
