//! One transaction: its limits, its parts and its outcome.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::task_keys::{TaskKey, TaskRange};
use crate::job::JobNumber;
use crate::records::TERM_KEY;
use crate::scheduler::{Precondition, SchedulerConfig, Transaction, Write};

/// Estimated bytes of a transaction in addition to its parts.
const BASE_BYTES: usize = 100;
/// Estimated bytes of a precondition or a write in addition to its key and value.
const PART_OVERHEAD_BYTES: usize = 40;
/// Maximum number of preconditions, as a multiple of the maximum number of writes.
const PRECONDITION_LIMIT_PER_WRITE: usize = 4;
/// Preconditions reserved for one write: its own key's and, for many writes, its job's.
const PRECONDITIONS_NEEDED_PER_WRITE: usize = 2;

/// The outcome of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum TransactionOutcome {
    /// Committed at this revision.
    Committed(u64),
    /// Not committed: the preconditions of these keys failed.
    Conflict(Vec<String>),
    /// Not committed: the store refused the request or could not be reached.
    Unavailable,
    /// Not committed: it exceeded the store's write rate limit.
    RateLimited,
    /// Not committed, and a retry without changes would fail as well: it exceeds the store's size limits.
    TooLarge,
    /// The store did not answer: the transaction may have been committed, or may still be.
    Unknown,
}

/// A machine as its block's record shows it.
#[derive(Clone, Debug)]
pub(in crate::scheduler) struct CommittedMachine {
    /// The machine's name.
    pub(in crate::scheduler) name: Arc<str>,
    /// Whether the record says that the machine is to be returned to the cloud.
    pub(in crate::scheduler) is_returning: bool,
}

/// A block of machines whose record is part of a transaction.
#[derive(Debug)]
pub(super) struct WrittenBlock {
    /// The block's number.
    pub(super) number: u32,
    /// The block's machines; empty if its record is deleted.
    pub(super) machines: Vec<CommittedMachine>,
}

/// What a transaction records, in the scheduler's terms.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct TransactionContents {
    /// The slot of the placement log that a segment is written to, if there is one.
    pub(super) segment_slot: Option<u32>,
    /// The tasks that have an entry in the segment.
    pub(super) tasks: BTreeSet<TaskKey>,
    /// The task ranges whose checkpoints are written.
    pub(super) checkpoints: Vec<TaskRange>,
    /// The jobs whose final records are written.
    pub(in crate::scheduler) finished_jobs: Vec<JobNumber>,
    /// The blocks of machines whose records are written or deleted.
    pub(super) machine_blocks: Vec<WrittenBlock>,
    /// The keys that are deleted.
    pub(super) deleted_keys: Vec<String>,
}

impl TransactionContents {
    /// Returns whether the transaction records the state of this task.
    pub(super) fn includes_task(&self, key: TaskKey) -> bool {
        self.tasks.contains(&key)
            || self.checkpoints.contains(&key.range())
            || self.finished_jobs.contains(&key.job)
    }
}

/// Collects the parts of a transaction within the store's limits.
pub(super) struct TransactionBuilder {
    preconditions: Vec<Precondition>,
    writes: Vec<Write>,
    bytes: usize,
    max_writes: usize,
    max_bytes: usize,
    /// Maximum number of preconditions; it does not depend on `max_writes`.
    max_preconditions: usize,
    /// What the parts record, in the scheduler's terms.
    pub(super) contents: TransactionContents,
}

impl TransactionBuilder {
    /// Starts a transaction that requires the leader's term to be unchanged and has at most `max_writes` writes.
    pub(super) fn new(
        term_revision: u64,
        max_writes: usize,
        config: &SchedulerConfig,
    ) -> TransactionBuilder {
        TransactionBuilder {
            preconditions: vec![Precondition::new(TERM_KEY, term_revision)],
            writes: Vec::new(),
            bytes: BASE_BYTES,
            max_writes,
            max_bytes: config.max_transaction_bytes,
            max_preconditions: config.max_transaction_writes * PRECONDITION_LIMIT_PER_WRITE,
            contents: TransactionContents::default(),
        }
    }

    /// Returns the maximum number of writes.
    pub(super) fn max_writes(&self) -> usize {
        self.max_writes
    }

    /// Returns the maximum size in bytes.
    pub(super) fn max_bytes(&self) -> usize {
        self.max_bytes
    }

    /// Returns the number of writes so far.
    pub(super) fn write_count(&self) -> usize {
        self.writes.len()
    }

    /// Returns the write limit at which half of the writes that are still free are used, rounded up.
    pub(super) fn half_of_free_writes(&self) -> usize {
        self.writes.len() + (self.max_writes - self.writes.len()).div_ceil(2)
    }

    /// Returns how many preconditions are left if each allowed write uses those reserved for it.
    pub(super) fn spare_preconditions(&self) -> usize {
        let reserved = PRECONDITIONS_NEEDED_PER_WRITE * self.max_writes;
        self.max_preconditions
            .saturating_sub(self.preconditions.len() + reserved)
    }

    /// Returns whether another write of this size fits, with at most `write_limit` writes in total.
    pub(super) fn fits(&self, write_limit: usize, bytes: usize) -> bool {
        self.writes.len() < write_limit
            && self.preconditions.len() + PRECONDITIONS_NEEDED_PER_WRITE <= self.max_preconditions
            && self.bytes + bytes <= self.max_bytes
    }

    /// Adds a precondition unless the key has one already.
    pub(super) fn require(&mut self, key: String, revision: u64) {
        if !self.preconditions.iter().any(|known| known.key == key) {
            self.bytes += key.len() + PART_OVERHEAD_BYTES;
            self.preconditions.push(Precondition { key, revision });
        }
    }

    /// Adds a write; `None` as the value deletes the key.
    pub(super) fn write(&mut self, key: String, value: Option<String>) {
        self.bytes += key.len() + value.as_ref().map_or(0, String::len) + PART_OVERHEAD_BYTES;
        self.writes.push(Write { key, value });
    }

    /// Returns the transaction to be sent and what it records.
    pub(super) fn build(self) -> (Transaction, TransactionContents) {
        let transaction = Transaction {
            preconditions: self.preconditions,
            writes: self.writes,
        };
        (transaction, self.contents)
    }
}
