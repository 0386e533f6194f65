//! A stand-in for the state service: keys with revisions, transactions, holds, a log of changes.

use std::collections::BTreeMap;

use crate::trace::Trace;
use saltpitch_core::leader::{Outcome, Write};
use saltpitch_core::Micros;
use serde_json::value::RawValue;

#[derive(Clone)]
pub struct Entry {
    pub value: String,
    pub rev: u64,
    pub hold: Option<u64>,
}

#[derive(Default)]
pub struct Store {
    pub rev: u64,
    pub keys: BTreeMap<String, Entry>,
    /// (revision, key, value or deletion)
    pub log: Vec<(u64, String, Option<String>)>,
    holds: BTreeMap<u64, (Micros, Micros)>,
    next_hold: u64,
    pub down: bool,
    /// The most bytes of a value and writes of a transaction, and changes a second, once the store has
    /// its next limits.
    pub limits: Option<(usize, usize, u32)>,
    taken: (u64, u32),
    now: Micros,
    /// Transactions turned down for their size.
    pub rejected: u64,
    /// The fingerprint of all transactions.
    pub trace: Trace,
}

impl Store {
    fn write(&mut self, rev: u64, key: &str, value: Option<String>, hold: Option<u64>) {
        match &value {
            Some(v) => {
                self.keys.insert(
                    key.to_owned(),
                    Entry {
                        value: v.clone(),
                        rev,
                        hold,
                    },
                );
            }
            None => {
                if self.keys.remove(key).is_none() {
                    return;
                }
            }
        }
        self.log.push((rev, key.to_owned(), value));
    }

    /// Carries out a transaction, or says why it was not.
    pub fn txn(
        &mut self,
        when: &[(String, u64)],
        writes: &[Write],
        hold: Option<(u64, &str)>,
    ) -> Outcome {
        let outcome = self.carry_out(when, writes, hold);
        self.trace.event("store", self.now);
        self.trace.transaction(when, writes);
        self.trace.outcome(&outcome);
        outcome
    }

    fn carry_out(
        &mut self,
        when: &[(String, u64)],
        writes: &[Write],
        hold: Option<(u64, &str)>,
    ) -> Outcome {
        if self.down {
            return Outcome::Refused;
        }
        if let Some((bytes, ops, rate)) = self.limits {
            let large = |w: &Write| w.value.as_ref().is_some_and(|v| v.len() > bytes);
            if writes.len() > ops || when.len() > 4 * ops || writes.iter().any(large) {
                self.rejected += 1;
                return Outcome::Rejected;
            }
            let second = self.now.0 / 1_000_000;
            if self.taken.0 != second {
                self.taken = (second, 0);
            }
            if self.taken.1 + writes.len() as u32 > rate {
                return Outcome::Throttled;
            }
            self.taken.1 += writes.len() as u32;
        }
        if hold.is_some_and(|h| !self.holds.contains_key(&h.0)) {
            return Outcome::Refused;
        }
        let failed: Vec<String> = when
            .iter()
            .filter(|(k, rev)| self.keys.get(k).map_or(0, |e| e.rev) != *rev)
            .map(|w| w.0.clone())
            .collect();
        if !failed.is_empty() {
            return Outcome::Failed(failed);
        }
        self.rev += 1;
        let rev = self.rev;
        for w in writes {
            let held = hold.filter(|h| h.1 == w.key).map(|h| h.0);
            self.write(rev, &w.key, w.value.clone(), held);
        }
        Outcome::Done(rev)
    }

    pub fn open_hold(&mut self, ttl: Micros, now: Micros) -> Option<u64> {
        if self.down {
            return None;
        }
        self.next_hold += 1;
        self.holds.insert(self.next_hold, (now.plus(ttl), ttl));
        Some(self.next_hold)
    }

    /// Some(true): renewed; Some(false): gone; None: no answer.
    pub fn touch(&mut self, hold: u64, now: Micros) -> Option<bool> {
        if self.down {
            return None;
        }
        match self.holds.get_mut(&hold) {
            Some(h) => {
                h.0 = now.plus(h.1);
                Some(true)
            }
            None => Some(false),
        }
    }

    /// Ends holds that are over. After an outage every hold has its full time again.
    pub fn tick(&mut self, now: Micros) {
        self.now = now;
        if self.down {
            for h in self.holds.values_mut() {
                h.0 = now.plus(h.1);
            }
            return;
        }
        let over: Vec<u64> = self
            .holds
            .iter()
            .filter(|(_, h)| h.0 <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in over {
            self.drop_hold(id);
        }
    }

    pub fn drop_hold(&mut self, id: u64) {
        if self.holds.remove(&id).is_none() {
            return;
        }
        let keys: Vec<String> = self
            .keys
            .iter()
            .filter(|(_, e)| e.hold == Some(id))
            .map(|(k, _)| k.clone())
            .collect();
        for k in keys {
            self.rev += 1;
            let rev = self.rev;
            self.write(rev, &k, None, None);
        }
    }

    /// Changes after `from`, in order.
    pub fn changes(&self, from: u64) -> impl Iterator<Item = (u64, &str, Option<Box<RawValue>>)> {
        let start = self.log.partition_point(|c| c.0 <= from);
        self.log[start..].iter().map(|(rev, k, v)| {
            let raw = v
                .as_ref()
                .and_then(|v| RawValue::from_string(v.clone()).ok());
            (*rev, k.as_str(), raw)
        })
    }
}
