//! One transaction: its limits, its parts, and what became of it.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::task_keys::{TaskKey, TaskRange};
use crate::job::JobNumber;
use crate::records::TERM_KEY;
use crate::scheduler::{Precondition, SchedulerConfig, Transaction, Write};

/// Bytes of a transaction beside its parts.
const ENVELOPE_BYTES: usize = 100;
/// Bytes of a precondition or a write beside its key and value.
const PART_BYTES: usize = 40;
/// The most preconditions, as a multiple of the most writes.
const PRECONDITIONS_PER_WRITE: usize = 4;
/// A write needs its own key's precondition and often its job's.
const MAX_PRECONDITIONS_OF_WRITE: usize = 2;

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactionOutcome {
    /// Carried out, at this revision.
    Committed(u64),
    /// Not carried out: these keys were not as expected.
    Conflict(Vec<String>),
    /// Not carried out: refused, or no connection.
    Unavailable,
    /// Not carried out: more writes than the store takes now.
    RateLimited,
    /// Never to be carried out as it stands: larger than the store takes.
    TooLarge,
    /// No answer: it may have been carried out, or may yet be.
    Unknown,
}

/// A machine as its block's record shows it.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct CommittedMachine {
    /// The machine.
    pub(in crate::scheduler) name: Arc<str>,
    /// Its return to the cloud is intended.
    pub(in crate::scheduler) is_returning: bool,
}

/// A block of machines that is written.
#[derive(Debug)]
pub(super) struct WrittenBlock {
    /// The block's number.
    pub(super) number: u32,
    /// Its machines; none if the block's record is deleted.
    pub(super) machines: Vec<CommittedMachine>,
}

/// What a transaction brings on record, in the scheduler's terms.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct TransactionContents {
    /// The slot of the log that a segment is written to.
    pub(super) segment_slot: Option<u32>,
    /// The tasks that the segment mentions.
    pub(super) tasks: BTreeSet<TaskKey>,
    /// The ranges of which checkpoints are written.
    pub(super) checkpoints: Vec<TaskRange>,
    /// The jobs whose final record is written.
    pub(in crate::scheduler) finished_jobs: Vec<JobNumber>,
    /// The blocks of machines.
    pub(super) machine_blocks: Vec<WrittenBlock>,
    /// The keys that are deleted.
    pub(super) deleted_keys: Vec<String>,
}

impl TransactionContents {
    /// Whether the state of this task is part of the transaction.
    pub(super) fn includes_task(&self, key: TaskKey) -> bool {
        self.tasks.contains(&key)
            || self.checkpoints.contains(&key.range())
            || self.finished_jobs.contains(&key.job)
    }
}

/// Collects a transaction's parts within its limits.
pub(super) struct TransactionBuilder {
    preconditions: Vec<Precondition>,
    writes: Vec<Write>,
    bytes: usize,
    max_writes: usize,
    max_bytes: usize,
    /// The most preconditions, whatever the number of writes.
    max_preconditions: usize,
    /// What the parts mean.
    pub(super) contents: TransactionContents,
}

impl TransactionBuilder {
    /// A transaction on condition of the term, with at most `max_writes` writes.
    pub(super) fn new(
        term_revision: u64,
        max_writes: usize,
        config: &SchedulerConfig,
    ) -> TransactionBuilder {
        TransactionBuilder {
            preconditions: vec![Precondition::new(TERM_KEY, term_revision)],
            writes: Vec::new(),
            bytes: ENVELOPE_BYTES,
            max_writes,
            max_bytes: config.max_transaction_bytes,
            max_preconditions: config.max_transaction_writes * PRECONDITIONS_PER_WRITE,
            contents: TransactionContents::default(),
        }
    }

    /// The most writes that the transaction may have.
    pub(super) fn max_writes(&self) -> usize {
        self.max_writes
    }

    /// The most bytes that the transaction may have.
    pub(super) fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// How many writes the transaction has.
    pub(super) fn write_count(&self) -> usize {
        self.writes.len()
    }

    /// The number of writes at which half of what is free now is used.
    pub(super) fn half_of_free_writes(&self) -> usize {
        self.writes.len() + (self.max_writes - self.writes.len()).div_ceil(2)
    }

    /// How many preconditions are free if every write that is allowed needs its own.
    pub(super) fn spare_preconditions(&self) -> usize {
        let reserved = MAX_PRECONDITIONS_OF_WRITE * self.max_writes;
        self.max_preconditions
            .saturating_sub(self.preconditions.len() + reserved)
    }

    /// Whether one more write of this size fits, with at most `write_limit` writes in all.
    pub(super) fn fits(&self, write_limit: usize, bytes: usize) -> bool {
        self.writes.len() < write_limit
            && self.preconditions.len() + MAX_PRECONDITIONS_OF_WRITE <= self.max_preconditions
            && self.bytes + bytes <= self.max_bytes
    }

    /// Adds a precondition unless the key has one already.
    pub(super) fn require(&mut self, key: String, revision: u64) {
        if !self.preconditions.iter().any(|known| known.key == key) {
            self.bytes += key.len() + PART_BYTES;
            self.preconditions.push(Precondition { key, revision });
        }
    }

    /// Adds a write; no value deletes the key.
    pub(super) fn write(&mut self, key: String, value: Option<String>) {
        self.bytes += key.len() + value.as_ref().map_or(0, String::len) + PART_BYTES;
        self.writes.push(Write { key, value });
    }

    /// The transaction to be sent, and what it means.
    pub(super) fn build(self) -> (Transaction, TransactionContents) {
        let transaction = Transaction {
            preconditions: self.preconditions,
            writes: self.writes,
        };
        (transaction, self.contents)
    }
}
