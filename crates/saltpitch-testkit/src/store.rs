//! A simulated state service: keys with revisions, transactions, leases, and a log of changes.

use std::cell::OnceCell;
use std::collections::BTreeMap;
use std::ops::Bound;

use crate::trace::Trace;
use saltpitch_core::records::{JobRecord, RecordChange};
use saltpitch_core::scheduler::{Precondition, TransactionOutcome, Write};
use saltpitch_core::Micros;
use serde_json::value::RawValue;

/// A key's value, revision and lease.
#[derive(Clone)]
pub struct Entry {
    /// The value.
    pub value: String,
    /// The revision of its last change.
    pub revision: u64,
    /// The lease that it is bound to, if any: the key is deleted when that lease ends.
    pub lease: Option<u64>,
    job_record: OnceCell<Result<JobRecord, String>>,
}

impl Entry {
    /// Returns the value as a job's record, or why it is none. It is decoded only once.
    pub fn job_record(&self) -> Result<&JobRecord, &str> {
        let decode = || serde_json::from_str(&self.value).map_err(|error| error.to_string());
        let record = self.job_record.get_or_init(decode);
        record.as_ref().map_err(String::as_str)
    }
}

/// The keys with their revisions, and the leases that some of them are bound to.
#[derive(Default)]
pub struct Store {
    /// The revision of the last change.
    pub revision: u64,
    /// The keys that exist.
    pub keys: BTreeMap<String, Entry>,
    /// All changes in order: revision, key, and the new value or `None` for a deletion.
    pub change_log: Vec<(u64, String, Option<String>)>,
    /// When each lease expires, and its length.
    leases: BTreeMap<u64, (Micros, Micros)>,
    next_lease: u64,
    /// Whether it answers nobody.
    pub is_down: bool,
    /// The next limits, once they are in force: bytes of a value, writes of a transaction, and writes per
    /// second.
    pub limits: Option<(usize, usize, u32)>,
    /// The current second and the number of writes in it.
    writes_this_second: (u64, u32),
    now: Micros,
    /// How many transactions were rejected because of their size.
    pub rejected_as_too_large: u64,
    /// The fingerprint of all transactions.
    pub trace: Trace,
}

impl Store {
    fn write(&mut self, revision: u64, key: &str, value: Option<String>, lease: Option<u64>) {
        match &value {
            Some(v) => {
                self.keys.insert(
                    key.to_owned(),
                    Entry {
                        value: v.clone(),
                        revision,
                        lease,
                        job_record: OnceCell::new(),
                    },
                );
            }
            None => {
                if self.keys.remove(key).is_none() {
                    return;
                }
            }
        }
        self.change_log.push((revision, key.to_owned(), value));
    }

    /// Applies a transaction if its preconditions hold, and returns the outcome.
    pub fn txn(
        &mut self,
        preconditions: &[Precondition],
        writes: &[Write],
        lease: Option<(u64, &str)>,
    ) -> TransactionOutcome {
        let outcome = self.apply(preconditions, writes, lease);
        self.trace.event("store", self.now);
        self.trace.transaction(preconditions, writes);
        self.trace.outcome(&outcome);
        outcome
    }

    fn apply(
        &mut self,
        preconditions: &[Precondition],
        writes: &[Write],
        lease: Option<(u64, &str)>,
    ) -> TransactionOutcome {
        if self.is_down {
            return TransactionOutcome::Unavailable;
        }
        if let Some((bytes, ops, rate)) = self.limits {
            let is_too_large =
                |write: &Write| write.value.as_ref().is_some_and(|v| v.len() > bytes);
            if writes.len() > ops
                || preconditions.len() > 4 * ops
                || writes.iter().any(is_too_large)
            {
                self.rejected_as_too_large += 1;
                return TransactionOutcome::TooLarge;
            }
            let second = self.now.0 / 1_000_000;
            if self.writes_this_second.0 != second {
                self.writes_this_second = (second, 0);
            }
            if self.writes_this_second.1 + writes.len() as u32 > rate {
                return TransactionOutcome::RateLimited;
            }
            self.writes_this_second.1 += writes.len() as u32;
        }
        if lease.is_some_and(|h| !self.leases.contains_key(&h.0)) {
            return TransactionOutcome::Unavailable;
        }
        let current = |key: &str| self.keys.get(key).map_or(0, |entry| entry.revision);
        let conflicting_keys: Vec<String> = preconditions
            .iter()
            .filter(|condition| current(&condition.key) != condition.revision)
            .map(|condition| condition.key.clone())
            .collect();
        if !conflicting_keys.is_empty() {
            return TransactionOutcome::Conflict(conflicting_keys);
        }
        self.revision += 1;
        let revision = self.revision;
        for write in writes {
            let bound_to = lease.filter(|(_, key)| *key == write.key).map(|(id, _)| id);
            self.write(revision, &write.key, write.value.clone(), bound_to);
        }
        TransactionOutcome::Committed(revision)
    }

    /// Grants a lease of this length. Returns `None` while the store is down.
    pub fn grant_lease(&mut self, ttl: Micros, now: Micros) -> Option<u64> {
        if self.is_down {
            return None;
        }
        self.next_lease += 1;
        self.leases.insert(self.next_lease, (now.plus(ttl), ttl));
        Some(self.next_lease)
    }

    /// Renews a lease. Returns `Some(false)` if it has expired, and `None` while the store is down.
    pub fn keep_alive(&mut self, lease: u64, now: Micros) -> Option<bool> {
        if self.is_down {
            return None;
        }
        match self.leases.get_mut(&lease) {
            Some(h) => {
                h.0 = now.plus(h.1);
                Some(true)
            }
            None => Some(false),
        }
    }

    /// Revokes expired leases. After an outage every lease has its full length again.
    pub fn tick(&mut self, now: Micros) {
        self.now = now;
        if self.is_down {
            for h in self.leases.values_mut() {
                h.0 = now.plus(h.1);
            }
            return;
        }
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, h)| h.0 <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.revoke_lease(id);
        }
    }

    /// Revokes a lease and deletes the keys that are bound to it.
    pub fn revoke_lease(&mut self, id: u64) {
        if self.leases.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.lease == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for k in keys {
            self.revision += 1;
            let revision = self.revision;
            self.write(revision, &k, None, None);
        }
    }

    /// Returns the records that follow the key `after`, in the order of their keys.
    pub fn entries_after(&self, after: &str) -> impl Iterator<Item = RecordChange> + '_ {
        let following = (Bound::Excluded(after), Bound::Unbounded);
        let entries = self.keys.range::<str, _>(following);
        entries.filter_map(|(key, entry)| {
            Some(RecordChange {
                key: key.clone(),
                value: Some(RawValue::from_string(entry.value.clone()).ok()?),
                revision: entry.revision,
            })
        })
    }

    /// Returns the value that a key had at this revision.
    pub fn value_at(&self, key: &str, revision: u64) -> Option<&str> {
        let entry = self.keys.get(key);
        if let Some(entry) = entry.filter(|entry| entry.revision <= revision) {
            return Some(&entry.value);
        }
        let changes = self.change_log.iter().rev();
        let mut earlier = changes.filter(|(changed_at, _, _)| *changed_at <= revision);
        let (_, _, value) = earlier.find(|(_, changed, _)| changed == key)?;
        value.as_deref()
    }

    /// Returns the changes after the revision `from`, in order.
    pub fn changes(&self, from: u64) -> impl Iterator<Item = (u64, &str, Option<Box<RawValue>>)> {
        let start = self.change_log.partition_point(|c| c.0 <= from);
        self.change_log[start..].iter().map(|(revision, k, v)| {
            let raw = v
                .as_ref()
                .and_then(|v| RawValue::from_string(v.clone()).ok());
            (*revision, k.as_str(), raw)
        })
    }
}
