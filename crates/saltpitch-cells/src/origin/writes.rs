//! Changes of jobs' records that delegations need, each repeated until it is certain what became of it.

use std::collections::BTreeMap;

use saltpitch_core::records::{job_key, JobRecord, RecordCache};
use saltpitch_core::scheduler::{Precondition, TransactionOutcome};
use saltpitch_core::Micros;

use super::step::Transition;

/// The pause before a change is written again that was refused or not answered.
const RETRY_PAUSE: Micros = Micros::from_millis(700);
/// The most changes under way at a time.
const MAX_UNDER_WAY: usize = 4;

/// One transaction: a job's record, on condition of its revision and of the term.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordWrite {
    /// The job.
    pub job: String,
    /// Conditions: keys and their revisions.
    pub preconditions: Vec<Precondition>,
    /// The new record.
    pub record: JobRecord,
}

/// A change that is not settled yet.
#[derive(Debug)]
struct PendingWrite {
    write: RecordWrite,
    transition: Transition,
    expected_revision: u64,
    under_way: bool,
    /// A copy was sent and not answered: it may yet be applied.
    unanswered: bool,
    retry_at: Micros,
}

/// How a change ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settled {
    /// The job.
    pub job: String,
    /// The change.
    pub transition: Transition,
    /// Whether it is on record.
    pub written: bool,
}

/// All changes that are not settled, by job.
#[derive(Debug)]
pub struct Writes {
    pending: BTreeMap<String, PendingWrite>,
    per_s: f64,
    /// Changes that may begin at once.
    credit: f64,
    credit_at: Micros,
}

impl Writes {
    /// So many changes a second.
    pub fn new(per_s: f64) -> Writes {
        Writes {
            pending: BTreeMap::new(),
            per_s,
            credit: 1.0,
            credit_at: Micros::ZERO,
        }
    }

    /// Whether a change of this job is not settled.
    pub fn concerns(&self, job: &str) -> bool {
        self.pending.contains_key(job)
    }

    /// Takes the right to begin another change now.
    pub fn take_credit(&mut self, now: Micros) -> bool {
        let earned = now.since(self.credit_at).as_secs_f64() * self.per_s;
        self.credit = (self.credit + earned).min(self.per_s.max(1.0));
        self.credit_at = now;
        if self.credit < 1.0 || self.pending.len() >= MAX_UNDER_WAY {
            return false;
        }
        self.credit -= 1.0;
        true
    }

    /// Begins a change of a job whose record has `revision`.
    pub fn begin(
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
            under_way: false,
            unanswered: false,
            retry_at: Micros::ZERO,
        };
        self.pending.insert(job.to_owned(), pending);
    }

    /// The changes to be sent now.
    pub fn due(&mut self, now: Micros) -> Vec<RecordWrite> {
        let pending = self.pending.values_mut();
        let due = pending.filter(|pending| !pending.under_way && now >= pending.retry_at);
        due.map(|pending| {
            pending.under_way = true;
            pending.write.clone()
        })
        .collect()
    }

    /// A transaction ended. `None` if its fate is not certain yet: it is sent again, or the records
    /// will tell.
    pub fn ended(
        &mut self,
        job: &str,
        outcome: &TransactionOutcome,
        now: Micros,
    ) -> Option<Settled> {
        let pending = self.pending.get_mut(job)?;
        pending.under_way = false;
        pending.retry_at = now.plus(RETRY_PAUSE);
        match outcome {
            TransactionOutcome::Committed(_) => self.settle(job, true),
            // Revisions only grow: what fails now, every copy fails. But one of them may have been applied
            // before, which the job's record shows.
            TransactionOutcome::Conflict(keys) if !keys.contains(&job_key(job)) => {
                self.settle(job, false)
            }
            TransactionOutcome::Conflict(_) => None,
            TransactionOutcome::Unknown => {
                pending.unanswered = true;
                None
            }
            TransactionOutcome::Unavailable
            | TransactionOutcome::RateLimited
            | TransactionOutcome::TooLarge
                if pending.unanswered =>
            {
                None
            }
            TransactionOutcome::Unavailable
            | TransactionOutcome::RateLimited
            | TransactionOutcome::TooLarge => self.settle(job, false),
        }
    }

    /// Settles the changes of jobs whose records have a later revision than expected: whatever was
    /// applied is on record, and no copy will be.
    pub fn settle_by_records(&mut self, records: &RecordCache) -> Vec<Settled> {
        let overtaken = |pending: &&PendingWrite| {
            let entry = records.jobs.get(&pending.write.job);
            entry.is_some_and(|entry| entry.revision > pending.expected_revision)
        };
        let settled: Vec<Settled> = self
            .pending
            .values()
            .filter(overtaken)
            .map(|pending| {
                let job = &pending.write.job;
                let record = records.jobs.get(job).map(|entry| &entry.record);
                Settled {
                    job: job.clone(),
                    transition: pending.transition,
                    written: record == Some(&pending.write.record),
                }
            })
            .collect();
        for end in &settled {
            self.pending.remove(&end.job);
        }
        settled
    }

    fn settle(&mut self, job: &str, written: bool) -> Option<Settled> {
        let pending = self.pending.remove(job)?;
        Some(Settled {
            job: pending.write.job,
            transition: pending.transition,
            written,
        })
    }
}
