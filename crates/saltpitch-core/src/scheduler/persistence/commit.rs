//! Composing transactions, one at a time, and what follows from their outcome.

use std::collections::BTreeSet;

use super::transaction::{TransactionBuilder, TransactionContents, TransactionOutcome};
use super::{Persistence, RecordSources};
use crate::job::JobNumber;
use crate::records::RecordCache;
use crate::scheduler::job_table::JobTable;
use crate::scheduler::{Effect, SchedulerConfig};
use crate::time::Micros;

/// Time between two transactions, so that changes gather and requests stay within the store's rate.
const TRANSACTION_INTERVAL: Micros = Micros::from_millis(50);
/// Writes that must be allowed before a transaction is composed that nothing urgent is part of.
const GATHERED_WRITES: f64 = 4.0;
/// The same if something is urgent.
const URGENT_WRITES: f64 = 1.0;
/// The shortest wait for the write budget to fill.
const MIN_BUDGET_WAIT: Micros = Micros::from_millis(10);
/// Wait after the store refused a transaction or could not be reached.
const UNAVAILABLE_RETRY: Micros = Micros::from_millis(300);
/// Wait after a transaction that was too large.
const TOO_LARGE_RETRY: Micros = Micros::from_secs(1);
/// Wait after a transaction whose preconditions failed or whose outcome is unknown.
const RELOAD_DELAY: Micros = Micros::from_millis(20);
/// Refusals for the number of writes that are taken for a lower limit, if they come within
/// [`RATE_LIMIT_WINDOW`]. One refusal may be a burst of users' requests.
const REFUSALS_OF_LOWER_LIMIT: usize = 5;
const RATE_LIMIT_WINDOW: Micros = Micros::from_secs(10);

/// A transaction that was carried out.
pub(in crate::scheduler) struct CommittedTransaction {
    /// What it brought on record.
    pub(in crate::scheduler) contents: TransactionContents,
    /// Its revision.
    pub(in crate::scheduler) revision: u64,
}

impl Persistence {
    /// When the next transaction or reload is due; `None` if nothing is to be written, or if something is
    /// in flight.
    pub(in crate::scheduler) fn next_due(&self) -> Option<Micros> {
        self.writes_due()
            .map(|due| due.max(self.next_transaction_at))
    }

    fn writes_due(&self) -> Option<Micros> {
        if self.in_flight.is_some() || (self.outcome_unknown && self.reload_in_flight) {
            return None;
        }
        if self.outcome_unknown || !self.finished_jobs.is_empty() || !self.obsolete_keys.is_empty()
        {
            return Some(Micros::ZERO);
        }
        let task_due = self.unsaved_tasks.next_due();
        let block_due = self.machine_blocks.next_due();
        task_due.into_iter().chain(block_due).min()
    }

    /// The next transaction, or the request to reload the records, if one is due.
    pub(in crate::scheduler) fn next_effect(
        &mut self,
        sources: &mut RecordSources,
        term_revision: u64,
    ) -> Option<Effect> {
        if self.next_due().is_none_or(|due| due > sources.now) {
            return None;
        }
        if self.outcome_unknown {
            self.reload_in_flight = true;
            return Some(Effect::ReloadRecords);
        }
        let config = sources.config;
        let allowed_writes = self.allowed_writes(sources.now)?;
        let max_writes = config.max_transaction_writes.min(allowed_writes as usize);
        let mut builder = TransactionBuilder::new(term_revision, max_writes, config);
        self.compose(&mut builder, sources);
        if builder.write_count() == 0 {
            // Nothing that is due fits: more writes are needed at once than are allowed now.
            self.next_transaction_at = self.write_budget.ready_at(allowed_writes + 1.0);
            return None;
        }
        self.write_budget.spend(builder.write_count() as f64);
        let (transaction, contents) = builder.build();
        self.in_flight = Some(contents);
        Some(Effect::Commit(transaction))
    }

    /// How many writes the budget allows. Changes gather while writes are scarce, but what is urgent does
    /// not wait for others: `None` if the transaction has to wait.
    fn allowed_writes(&mut self, now: Micros) -> Option<f64> {
        let allowed = self.write_budget.available(now);
        let required = if self.unsaved_tasks.has_urgent(now) {
            URGENT_WRITES
        } else {
            GATHERED_WRITES
        };
        if allowed >= required {
            return Some(allowed);
        }
        let ready = self.write_budget.ready_at(required);
        self.next_transaction_at = ready.max(now.plus(MIN_BUDGET_WAIT));
        None
    }

    /// Adds what is due, by importance: placements first; checkpoints before anything else if the log
    /// would hold up placements otherwise.
    fn compose(&mut self, builder: &mut TransactionBuilder, sources: &mut RecordSources) {
        self.add_segment(builder, sources);
        if self.placement_log.is_short_of_space() {
            self.add_checkpoints(builder, builder.half_of_free_writes(), sources);
        }
        self.add_final_records(builder, builder.half_of_free_writes(), sources);
        self.add_machine_blocks(builder, sources);
        self.add_checkpoints(builder, builder.max_writes(), sources);
        self.add_final_records(builder, builder.max_writes(), sources);
        self.add_deletions(builder);
    }

    /// The transaction in flight ended. If it was carried out, it is returned for
    /// [`Persistence::apply_commit`]; otherwise all that it held is to be written again.
    pub(in crate::scheduler) fn transaction_ended(
        &mut self,
        outcome: TransactionOutcome,
        jobs: &mut JobTable,
        config: &SchedulerConfig,
        now: Micros,
    ) -> Option<CommittedTransaction> {
        let contents = self.in_flight.take()?;
        let retry_after = match outcome {
            TransactionOutcome::Committed(revision) => {
                return Some(CommittedTransaction { contents, revision });
            }
            TransactionOutcome::Unavailable => UNAVAILABLE_RETRY,
            TransactionOutcome::RateLimited => {
                self.rate_limited(config, now);
                UNAVAILABLE_RETRY
            }
            TransactionOutcome::TooLarge => {
                // The next limits are in force: what is stored larger has to be split first.
                self.reduced_limits = true;
                TOO_LARGE_RETRY
            }
            TransactionOutcome::Unknown | TransactionOutcome::Conflict(_) => {
                self.outcome_unknown = true;
                RELOAD_DELAY
            }
        };
        self.next_transaction_at = now.plus(retry_after);
        self.revert(contents, jobs, now);
        None
    }

    /// Marks all that a transaction held for writing again.
    fn revert(&mut self, contents: TransactionContents, jobs: &mut JobTable, now: Micros) {
        let mut tasks = contents.tasks;
        for range in contents.checkpoints {
            if let Some(job) = jobs.get(range.job) {
                tasks.extend(range.keys(job.spec.tasks));
            }
        }
        for key in tasks {
            let Some(job) = jobs.get_mut(key.job) else {
                continue;
            };
            if let Some(allocation) = job.allocation_mut(key.task) {
                allocation.in_transaction = false;
            }
            self.unsaved_tasks.task_placed(key, &job.spec, now);
        }
        self.finished_jobs.extend(contents.finished_jobs);
        for block in contents.machine_blocks {
            self.machine_blocks.mark(block.number, now);
        }
        self.obsolete_keys.extend(contents.deleted_keys);
    }

    /// The store refused a transaction for the number of writes. Many refusals are its next limit.
    fn rate_limited(&mut self, config: &SchedulerConfig, now: Micros) {
        let window_start = now.since(RATE_LIMIT_WINDOW);
        self.rate_limit_refusals.push_back(now);
        self.rate_limit_refusals.retain(|at| *at >= window_start);
        if self.rate_limit_refusals.len() >= REFUSALS_OF_LOWER_LIMIT {
            self.write_budget.lower_rate(config.next_write_rate);
        }
    }

    /// The records were read anew: takes in what a transaction with unknown outcome did. Returns the
    /// jobs whose records may differ from memory.
    pub(in crate::scheduler) fn records_reloaded(
        &mut self,
        records: &RecordCache,
        jobs: &JobTable,
        now: Micros,
    ) -> BTreeSet<JobNumber> {
        self.reload_in_flight = false;
        self.outcome_unknown = false;
        self.next_transaction_at = now;
        self.placement_log.reload(records, jobs);
        self.machine_blocks.reload(records);
        let mut unsaved_jobs = self.unsaved_tasks.jobs();
        unsaved_jobs.extend(&self.finished_jobs);
        unsaved_jobs
    }

    /// The records could not be read.
    pub(in crate::scheduler) fn reload_failed(&mut self, now: Micros) {
        self.reload_in_flight = false;
        self.next_transaction_at = now.plus(UNAVAILABLE_RETRY);
    }

    /// The next transaction may follow after the usual interval.
    pub(super) fn schedule_next_transaction(&mut self, now: Micros) {
        self.next_transaction_at = now.plus(TRANSACTION_INTERVAL);
    }
}
