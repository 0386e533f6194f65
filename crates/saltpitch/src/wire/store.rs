//! Messages to and from the state service.

use saltpitch_core::records::{RecordChange, RecordChanges, RecordPage};
use saltpitch_core::scheduler::{Precondition, Transaction, Write};
use serde::Deserialize;
use serde_json::value::RawValue;

use super::DecodeError;

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
struct RawChanges {
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
struct RawTransactionReply {
    ledger_no: u64,
    #[serde(default)]
    failed: Option<Vec<String>>,
}

#[derive(Deserialize)]
struct RawLease {
    mooring: u64,
}

/// The answer to a transaction.
pub struct TransactionReply {
    /// The transaction's revision, if it was committed.
    pub revision: u64,
    /// The keys whose preconditions failed; empty if the transaction was committed.
    pub failed_keys: Vec<String>,
}

/// Attaches a key to a lease: the state service deletes the key when the lease ends.
#[derive(Clone, Copy)]
pub struct LeaseAttachment<'a> {
    /// The lease's id.
    pub lease: u64,
    /// The key, which the same transaction must write.
    pub key: &'a str,
}

/// Decodes one page of a listing.
pub fn decode_page(body: &[u8]) -> Result<RecordPage, DecodeError> {
    let raw: RawPage = serde_json::from_slice(body)?;
    let record = |row: RawRow| RecordChange {
        key: row.path,
        value: Some(row.v),
        revision: row.entry_no,
    };
    Ok(RecordPage {
        records: raw.rows.into_iter().map(record).collect(),
        has_next: raw.has_next,
        revision: raw.ledger_no,
    })
}

/// Decodes the record at one key, with its revision.
pub fn decode_record(body: &[u8]) -> Result<(Box<RawValue>, u64), DecodeError> {
    let raw: RawRow = serde_json::from_slice(body)?;
    Ok((raw.v, raw.entry_no))
}

/// Decodes the answer to a watch. If one of the changes is malformed, the whole answer is refused.
pub fn decode_changes(body: &[u8]) -> Result<RecordChanges, DecodeError> {
    let raw: RawChanges = serde_json::from_slice(body)?;
    let changes: Result<Vec<RecordChange>, DecodeError> =
        raw.news.into_iter().map(decode_change).collect();
    Ok(RecordChanges {
        changes: changes?,
        revision: raw.ledger_no,
    })
}

fn decode_change(raw: RawChange) -> Result<RecordChange, DecodeError> {
    let (key, value) = match (raw.write, raw.delete) {
        (Some(key), None) => {
            let value = raw.v.ok_or(DecodeError::WriteWithoutValue)?;
            (key, Some(value))
        }
        (None, Some(key)) => (key, None),
        _ => return Err(DecodeError::NotOneOfWriteAndDelete),
    };
    Ok(RecordChange {
        key,
        value,
        revision: raw.entry_no,
    })
}

/// Decodes the answer to a transaction.
pub fn decode_transaction_reply(body: &[u8]) -> Result<TransactionReply, DecodeError> {
    let raw: RawTransactionReply = serde_json::from_slice(body)?;
    Ok(TransactionReply {
        revision: raw.ledger_no,
        failed_keys: raw.failed.unwrap_or_default(),
    })
}

/// Decodes the id of a new lease.
pub fn decode_lease(body: &[u8]) -> Result<u64, DecodeError> {
    let raw: RawLease = serde_json::from_slice(body)?;
    Ok(raw.mooring)
}

/// Encodes the request for a lease.
pub fn encode_grant_lease(ttl_ms: u64) -> Vec<u8> {
    serde_json::json!({ "ttl_ms": ttl_ms })
        .to_string()
        .into_bytes()
}

/// Encodes the request for a transaction. The text is assembled by hand because the values are JSON already.
pub fn encode_transaction(
    transaction: &Transaction,
    lease: Option<LeaseAttachment<'_>>,
) -> Vec<u8> {
    let mut body = String::with_capacity(256 + transaction.writes.len() * 128);
    body.push_str("{\"when\":[");
    for (index, precondition) in transaction.preconditions.iter().enumerate() {
        if index > 0 {
            body.push(',');
        }
        push_precondition(&mut body, precondition);
    }
    body.push_str("],\"writes\":[");
    for (index, write) in transaction.writes.iter().enumerate() {
        if index > 0 {
            body.push(',');
        }
        let attached = lease.filter(|attachment| attachment.key == write.key);
        push_write(
            &mut body,
            write,
            attached.map(|attachment| attachment.lease),
        );
    }
    body.push_str("]}");
    body.into_bytes()
}

fn push_precondition(body: &mut String, precondition: &Precondition) {
    let Precondition { key, revision } = precondition;
    let key = json_string(key);
    body.push_str(&format!("{{\"path\":{key},\"entry_no\":{revision}}}"));
}

fn push_write(body: &mut String, write: &Write, lease: Option<u64>) {
    let key = json_string(&write.key);
    match &write.value {
        Some(value) => {
            body.push_str(&format!("{{\"write\":{key},\"v\":{value}"));
            if let Some(lease) = lease {
                body.push_str(&format!(",\"mooring\":{lease}"));
            }
            body.push('}');
        }
        None => body.push_str(&format!("{{\"delete\":{key}}}")),
    }
}

fn json_string(text: &str) -> String {
    serde_json::Value::from(text).to_string()
}

#[cfg(test)]
mod tests;
