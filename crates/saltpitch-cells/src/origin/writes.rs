//! Writes of jobs' records for delegations. Each is repeated until its outcome is certain.

use std::collections::BTreeMap;

use saltpitch_core::records::{job_key, JobRecord, RecordCache, RecordedJob};
use saltpitch_core::scheduler::{Precondition, TransactionOutcome};
use saltpitch_core::Micros;

use super::step::Transition;

/// The delay before a write that was refused or not answered is sent again.
const RETRY_DELAY: Micros = Micros::from_millis(700);
/// The most writes that are not settled at a time.
const MAX_PENDING: usize = 4;

/// A transaction that writes a job's record on condition of the record's revision and of the term.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordWrite {
    /// The job.
    pub job: String,
    /// The keys and revisions that the transaction requires.
    pub preconditions: Vec<Precondition>,
    /// The new record.
    pub record: JobRecord,
}

/// A write whose outcome is not certain yet.
#[derive(Debug)]
struct PendingWrite {
    write: RecordWrite,
    transition: Transition,
    expected_revision: u64,
    is_in_flight: bool,
    /// Whether a copy of the write was sent and its outcome is unknown: it may still be applied.
    may_be_applied: bool,
    retry_at: Micros,
}

impl PendingWrite {
    /// Returns whether the job's record has a later revision than the write expects. A job that had a record and is
    /// not in memory has ended.
    fn is_superseded(&self, records: &RecordCache) -> bool {
        match records.job(&self.write.job) {
            Some(job) => job.revision() > self.expected_revision,
            None => {
                !records.ended_jobs().is_complete() && records.revision() > self.expected_revision
            }
        }
    }

    /// Returns whether the record in memory is the one of this write.
    fn is_on_record(&self, records: &RecordCache) -> bool {
        let record = &self.write.record;
        match records.job(&self.write.job) {
            Some(RecordedJob::Live(entry)) => entry.record == *record,
            Some(RecordedJob::Ended(ended)) => {
                *record == JobRecord::final_record(ended.state, ended.done_at)
            }
            None => false,
        }
    }
}

/// The certain outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettledWrite {
    /// The job.
    pub job: String,
    /// The change of the delegation's record.
    pub transition: Transition,
    /// Whether the write was committed.
    pub is_committed: bool,
}

/// All writes whose outcomes are not certain yet, by job.
#[derive(Debug)]
pub struct PendingWrites {
    pending: BTreeMap<String, PendingWrite>,
    writes_per_s: f64,
    /// The number of writes that may start now.
    tokens: f64,
    refilled_at: Micros,
}

impl PendingWrites {
    /// Creates an empty set that starts at most `writes_per_s` writes per second.
    pub fn new(writes_per_s: f64) -> PendingWrites {
        PendingWrites {
            pending: BTreeMap::new(),
            writes_per_s,
            tokens: 1.0,
            refilled_at: Micros::ZERO,
        }
    }

    /// Returns whether a write of this job's record is not settled.
    pub fn is_pending(&self, job: &str) -> bool {
        self.pending.contains_key(job)
    }

    /// Takes a token for another write. Returns whether the write may start now.
    pub fn try_take_token(&mut self, now: Micros) -> bool {
        let refill = now.since(self.refilled_at).as_secs_f64() * self.writes_per_s;
        self.tokens = (self.tokens + refill).min(self.writes_per_s.max(1.0));
        self.refilled_at = now;
        if self.tokens < 1.0 || self.pending.len() >= MAX_PENDING {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Adds a write of a job whose record has `revision`.
    pub fn add(
        &mut self,
        job: &str,
        transition: Transition,
        record: JobRecord,
        revision: u64,
        mut preconditions: Vec<Precondition>,
    ) {
        preconditions.push(Precondition::new(job_key(job), revision));
        let write = RecordWrite {
            job: job.to_owned(),
            preconditions,
            record,
        };
        let pending = PendingWrite {
            write,
            transition,
            expected_revision: revision,
            is_in_flight: false,
            may_be_applied: false,
            retry_at: Micros::ZERO,
        };
        self.pending.insert(job.to_owned(), pending);
    }

    /// Returns the writes to send now, and marks them as in flight.
    pub fn take_due(&mut self, now: Micros) -> Vec<RecordWrite> {
        let pending = self.pending.values_mut();
        let due = pending.filter(|pending| !pending.is_in_flight && now >= pending.retry_at);
        due.map(|pending| {
            pending.is_in_flight = true;
            pending.write.clone()
        })
        .collect()
    }

    /// Handles the outcome of a transaction. Returns `None` if the outcome is not certain yet: the write is
    /// sent again or is settled by a later state of the records.
    pub fn transaction_ended(
        &mut self,
        job: &str,
        outcome: &TransactionOutcome,
        now: Micros,
    ) -> Option<SettledWrite> {
        let pending = self.pending.get_mut(job)?;
        pending.is_in_flight = false;
        pending.retry_at = now.plus(RETRY_DELAY);
        match outcome {
            TransactionOutcome::Committed(_) => self.settle(job, true),
            // Revisions only grow, so a precondition that fails now also fails for every copy that arrives
            // later. A copy may have been applied earlier. That would have changed the revision of the job's
            // record, which is a conflict on the job's key.
            TransactionOutcome::Conflict(keys) if !keys.contains(&job_key(job)) => {
                self.settle(job, false)
            }
            TransactionOutcome::Conflict(_) => None,
            TransactionOutcome::Unknown => {
                pending.may_be_applied = true;
                None
            }
            TransactionOutcome::Unavailable
            | TransactionOutcome::RateLimited
            | TransactionOutcome::TooLarge
                if pending.may_be_applied =>
            {
                None
            }
            TransactionOutcome::Unavailable
            | TransactionOutcome::RateLimited
            | TransactionOutcome::TooLarge => self.settle(job, false),
        }
    }

    /// Settles the writes of jobs whose records have a later revision than expected: a write that was applied
    /// is in the records, and no copy can be applied any more.
    pub fn settle_by_records(&mut self, records: &RecordCache) -> Vec<SettledWrite> {
        let superseded = self
            .pending
            .values()
            .filter(|pending| pending.is_superseded(records));
        let settled: Vec<SettledWrite> = superseded
            .map(|pending| SettledWrite {
                job: pending.write.job.clone(),
                transition: pending.transition,
                is_committed: pending.is_on_record(records),
            })
            .collect();
        for write in &settled {
            self.pending.remove(&write.job);
        }
        settled
    }

    fn settle(&mut self, job: &str, is_committed: bool) -> Option<SettledWrite> {
        let pending = self.pending.remove(job)?;
        Some(SettledWrite {
            job: pending.write.job,
            transition: pending.transition,
            is_committed,
        })
    }
}
