//! Composes the leader's transactions, one at a time, and handles their outcomes.

use std::collections::BTreeSet;

use super::transaction::{TransactionBuilder, TransactionContents, TransactionOutcome};
use super::{Persistence, RecordSources};
use crate::job::JobNumber;
use crate::records::RecordCache;
use crate::scheduler::job_table::JobTable;
use crate::scheduler::{Effect, SchedulerConfig};
use crate::time::Micros;

/// Time between the commit of a transaction and the next transaction. Changes are batched during this time, and
/// requests stay within the store's rate limit.
const TRANSACTION_INTERVAL: Micros = Micros::from_millis(50);
/// Writes that the write budget must allow before a transaction without urgent changes is composed.
const MIN_BATCHED_WRITES: f64 = 4.0;
/// Writes that the write budget must allow before a transaction with an urgent change is composed.
const MIN_URGENT_WRITES: f64 = 1.0;
/// Minimum wait for the write budget to refill.
const MIN_BUDGET_WAIT: Micros = Micros::from_millis(10);
/// Delay after the store refused a request or could not be reached.
const UNAVAILABLE_RETRY_DELAY: Micros = Micros::from_millis(300);
/// Delay after a transaction that was too large for the store.
const TOO_LARGE_RETRY_DELAY: Micros = Micros::from_secs(1);
/// Delay before the records are reloaded after a transaction whose preconditions failed or whose outcome is
/// unknown.
const RELOAD_DELAY: Micros = Micros::from_millis(20);
/// Number of rate limit refusals within [`RATE_LIMIT_WINDOW`] after which the store is assumed to enforce its
/// next, lower write rate. A single refusal may be caused by a burst of users' requests.
const REFUSALS_BEFORE_LOWER_RATE: usize = 5;
/// The period in which rate limit refusals are counted.
const RATE_LIMIT_WINDOW: Micros = Micros::from_secs(10);

/// A transaction that the store has committed.
pub(in crate::scheduler) struct CommittedTransaction {
    /// What the transaction recorded.
    pub(in crate::scheduler) contents: TransactionContents,
    /// The revision at which it was committed.
    pub(in crate::scheduler) revision: u64,
}

impl Persistence {
    /// Returns when the next transaction or reload is due, or `None` if there is nothing to write or a
    /// transaction or reload is in flight.
    pub(in crate::scheduler) fn next_due(&self) -> Option<Micros> {
        self.writes_due()
            .map(|due| due.max(self.next_transaction_at))
    }

    /// Returns when the first change or the reload is due, regardless of the delay between transactions.
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

    /// Returns the next transaction, or the request to reload the records, if one is due.
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
            // None of the due changes could be added, for example because they need more writes in one
            // transaction than the budget allows now.
            self.next_transaction_at = self.write_budget.ready_at(allowed_writes + 1.0);
            return None;
        }
        self.write_budget.spend(builder.write_count() as f64);
        let (transaction, contents) = builder.build();
        self.in_flight = Some(contents);
        Some(Effect::Commit(transaction))
    }

    /// Returns how many writes the budget allows, or `None` if the transaction has to wait. Changes are
    /// batched while writes are scarce, but an urgent change does not wait for others.
    fn allowed_writes(&mut self, now: Micros) -> Option<f64> {
        let allowed = self.write_budget.available(now);
        let required = if self.unsaved_tasks.has_urgent(now) {
            MIN_URGENT_WRITES
        } else {
            MIN_BATCHED_WRITES
        };
        if allowed >= required {
            return Some(allowed);
        }
        let ready = self.write_budget.ready_at(required);
        self.next_transaction_at = ready.max(now.plus(MIN_BUDGET_WAIT));
        None
    }

    /// Adds the changes that are due, the most important first. The segment with the placements comes first,
    /// and checkpoints directly after it if the log is short of space: a full log blocks all placements.
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

    /// Handles the end of the transaction in flight. A committed transaction is returned, to be passed to
    /// [`Persistence::apply_commit`]; otherwise everything in it is marked for writing again.
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
            TransactionOutcome::Unavailable => UNAVAILABLE_RETRY_DELAY,
            TransactionOutcome::RateLimited => {
                self.count_rate_limit_refusal(config, now);
                UNAVAILABLE_RETRY_DELAY
            }
            TransactionOutcome::TooLarge => {
                // The store enforces its next, smaller limits: blocks that exceed them are split before
                // they are written again.
                self.reduced_limits = true;
                TOO_LARGE_RETRY_DELAY
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

    /// Marks everything in a transaction for writing again.
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

    /// Counts a refusal for too many writes. After several refusals in a short time, the write budget is lowered
    /// to the store's next write rate.
    fn count_rate_limit_refusal(&mut self, config: &SchedulerConfig, now: Micros) {
        let window_start = now.since(RATE_LIMIT_WINDOW);
        self.rate_limit_refusals.push_back(now);
        self.rate_limit_refusals.retain(|at| *at >= window_start);
        if self.rate_limit_refusals.len() >= REFUSALS_BEFORE_LOWER_RATE {
            self.write_budget.lower_rate(config.next_write_rate);
        }
    }

    /// Applies reloaded records, which show whether a transaction with an unknown outcome was committed.
    /// Returns the jobs whose records may differ from memory.
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

    /// Schedules another reload after the records could not be read.
    pub(in crate::scheduler) fn reload_failed(&mut self, now: Micros) {
        self.reload_in_flight = false;
        self.next_transaction_at = now.plus(UNAVAILABLE_RETRY_DELAY);
    }

    /// Allows the next transaction after [`TRANSACTION_INTERVAL`].
    pub(super) fn schedule_next_transaction(&mut self, now: Micros) {
        self.next_transaction_at = now.plus(TRANSACTION_INTERVAL);
    }
}
