//! Writes the scheduler's state to the state service: tracks the changes that are not recorded yet and the one
//! transaction that is in flight.
//!
//! The scheduler reports each change in memory, for example with [`Persistence::task_placed`].
//! [`Persistence::next_effect`] then composes one transaction at a time, with preconditions on the leader's term
//! and on the revision of each key that it overwrites. [`Persistence::transaction_ended`] receives the outcome. It
//! either returns the committed transaction or marks everything in it for writing again. After an unknown outcome,
//! the records are reloaded before anything else is written.

mod alerts;
mod checkpoints;
mod commit;
mod committed;
mod final_records;
mod machine_block;
mod machine_block_writes;
mod machine_blocks;
mod placement_log;
mod segments;
mod task_keys;
mod transaction;
mod unsaved_tasks;

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;

use serde::Serialize;

use super::inventory::MachineInventory;
use super::leader_clock::LeaderClock;
use super::{Job, SchedulerConfig};
use crate::job::{JobNumber, JobSpec};
use crate::machine::Machine;
use crate::records::{checkpoint_key, RecordCache};
use crate::time::Micros;
use crate::token_bucket::TokenBucket;

use crate::scheduler::job_table::JobTable;
use alerts::PlacementLogAlerts;
use machine_blocks::MachineBlocks;
use placement_log::PlacementLog;
use task_keys::TaskKey;
use transaction::TransactionContents;
use unsaved_tasks::UnsavedTasks;

pub use alerts::Alert;
pub use transaction::TransactionOutcome;

pub(in crate::scheduler) use transaction::CommittedMachine;

/// The state of other components that transactions are composed from.
pub(in crate::scheduler) struct RecordSources<'a> {
    /// The scheduler's settings.
    pub(in crate::scheduler) config: &'a SchedulerConfig,
    /// The jobs in memory.
    pub(in crate::scheduler) jobs: &'a mut JobTable,
    /// The machines in memory.
    pub(in crate::scheduler) machines: &'a mut MachineInventory,
    /// The leader's clock.
    pub(in crate::scheduler) clock: &'a LeaderClock,
    /// The present steady time.
    pub(in crate::scheduler) now: Micros,
}

impl RecordSources<'_> {
    /// Returns the time of day of a past steady time, which may be before the leader's election.
    fn wall_time(&self, at: Micros) -> Micros {
        self.clock.wall(self.now).since(self.now.since(at))
    }
}

/// The differences between the scheduler's memory and the records, and the limits on writing them.
pub(in crate::scheduler) struct Persistence {
    unsaved_tasks: UnsavedTasks,
    /// Finished jobs whose final records have yet to be written.
    finished_jobs: BTreeSet<JobNumber>,
    machine_blocks: MachineBlocks,
    placement_log: PlacementLog,
    /// Keys that are no longer needed and are to be deleted.
    obsolete_keys: VecDeque<String>,
    in_flight: Option<TransactionContents>,
    /// Whether the outcome of the last transaction is unknown: the records are reloaded before anything else is
    /// written.
    outcome_unknown: bool,
    reload_in_flight: bool,
    next_transaction_at: Micros,
    write_budget: TokenBucket,
    /// Whether the store has refused a transaction for its size and is taken to enforce its next, smaller limits.
    reduced_limits: bool,
    /// When the store recently refused transactions because of its write rate limit.
    rate_limit_refusals: VecDeque<Micros>,
    log_alerts: PlacementLogAlerts,
}

/// Recovery of a new leader's state from the records.
impl Persistence {
    /// Creates the state of a new leader, without unsaved changes.
    pub(in crate::scheduler) fn new(
        records: &RecordCache,
        config: &SchedulerConfig,
        now: Micros,
    ) -> Persistence {
        Persistence {
            unsaved_tasks: UnsavedTasks::default(),
            finished_jobs: BTreeSet::new(),
            machine_blocks: MachineBlocks::new(records, config),
            placement_log: PlacementLog::new(records, config),
            obsolete_keys: VecDeque::new(),
            in_flight: None,
            outcome_unknown: false,
            reload_in_flight: false,
            next_transaction_at: Micros::ZERO,
            write_budget: TokenBucket::for_leader(
                config.write_rate,
                config.max_transaction_writes as f64,
                now,
            ),
            reduced_limits: false,
            rate_limit_refusals: VecDeque::new(),
            log_alerts: PlacementLogAlerts::default(),
        }
    }

    /// Restores the placement log from its recorded segments, once the jobs are known.
    pub(in crate::scheduler) fn restore_log(&mut self, records: &RecordCache, jobs: &mut JobTable) {
        self.placement_log.restore(records, jobs);
        // Without this, segments that checkpoints already cover would count as needed until the first write, and
        // each new leader would report a full log, as happened in every incident of one week.
        self.drop_obsolete_segments(jobs);
    }

    /// Removes a machine from the block with this number, because the record of another block contains it as well.
    pub(in crate::scheduler) fn remove_duplicate_machine(
        &mut self,
        name: &Arc<str>,
        block: u32,
        due: Micros,
    ) {
        self.machine_blocks.remove_duplicate(name, block, due);
    }
}

/// Changes in memory that are to be recorded.
impl Persistence {
    /// Marks a task for writing after it was placed.
    pub(in crate::scheduler) fn task_placed(
        &mut self,
        job: JobNumber,
        task: u32,
        spec: &JobSpec,
        now: Micros,
    ) {
        let key = TaskKey::new(job, task);
        self.unsaved_tasks.task_placed(key, spec, now);
    }

    /// Marks a task for writing after it ended or lost its allocation.
    pub(in crate::scheduler) fn task_ended(&mut self, job: JobNumber, task: u32, now: Micros) {
        self.unsaved_tasks.task_ended(TaskKey::new(job, task), now);
    }

    /// Marks a finished job for the writing of its final record.
    pub(in crate::scheduler) fn job_finished(&mut self, job: JobNumber) {
        self.finished_jobs.insert(job);
    }

    /// Drops the unsaved tasks of a job that was removed from memory, and marks its checkpoints to be deleted.
    pub(in crate::scheduler) fn job_removed(&mut self, number: JobNumber, job: &Job) {
        for task in 0..job.spec.tasks {
            self.unsaved_tasks.remove(TaskKey::new(number, task));
        }
        for (index, checkpoint) in (0..).zip(&job.checkpoints) {
            if checkpoint.revision > 0 {
                self.obsolete_keys.push_back(checkpoint_key(&job.id, index));
            }
        }
    }

    /// Clears the mark of a job whose final record is already stored.
    pub(in crate::scheduler) fn final_record_found(&mut self, job: JobNumber) {
        self.finished_jobs.remove(&job);
    }

    /// Marks the machine's block to be written at `due`, together with other changes until then.
    pub(in crate::scheduler) fn machine_changed(&mut self, machine: &mut Machine, due: Micros) {
        self.machine_blocks.machine_changed(machine, due);
    }

    /// Removes a machine that is proven gone from its block and marks the block to be written.
    pub(in crate::scheduler) fn machine_gone(&mut self, machine: &Machine, now: Micros) {
        self.machine_blocks.machine_gone(machine, now);
    }

    /// Marks keys to be deleted.
    pub(in crate::scheduler) fn delete_keys(&mut self, keys: impl Iterator<Item = String>) {
        self.obsolete_keys.extend(keys);
    }
}

/// Queries about unsaved changes and the placement log.
impl Persistence {
    /// Returns whether the task's state has yet to be written or is part of the transaction in flight.
    pub(in crate::scheduler) fn is_task_unsaved(&self, job: JobNumber, task: u32) -> bool {
        self.unsaved_tasks.contains(TaskKey::new(job, task)) || self.is_task_in_flight(job, task)
    }

    /// Returns whether the task's state is part of the transaction in flight.
    pub(in crate::scheduler) fn is_task_in_flight(&self, job: JobNumber, task: u32) -> bool {
        let key = TaskKey::new(job, task);
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|contents| contents.includes_task(key))
    }

    /// Returns whether the job's final record has yet to be written.
    pub(in crate::scheduler) fn awaits_final_record(&self, job: JobNumber) -> bool {
        self.finished_jobs.contains(&job)
    }

    /// Returns how many tasks, finished jobs and blocks of machines differ from their records.
    pub(in crate::scheduler) fn unsaved_count(&self) -> usize {
        self.unsaved_tasks.len() + self.finished_jobs.len() + self.machine_blocks.unsaved_count()
    }

    /// Returns the number of the placement log's next segment.
    pub(in crate::scheduler) fn next_segment(&self) -> u64 {
        self.placement_log.next_segment()
    }

    /// Returns how many segments can be written before one that may still be needed would be overwritten.
    pub(in crate::scheduler) fn free_segments(&self) -> u64 {
        self.placement_log.free_segments()
    }

    /// Returns whether the outcome of the last transaction is unknown.
    pub(in crate::scheduler) fn is_outcome_unknown(&self) -> bool {
        self.outcome_unknown
    }

    /// Drops the oldest segments of the placement log up to the first one that is still needed.
    fn drop_obsolete_segments(&mut self, jobs: &mut JobTable) {
        if self.in_flight.is_none() {
            self.placement_log
                .finish_rewrites(jobs, &self.unsaved_tasks);
        }
        self.placement_log.drop_obsolete_segments(jobs);
    }
}

/// Serializes a record. Returns `None` for a value that JSON cannot express, which no record contains.
fn to_json<T: Serialize>(record: &T) -> Option<String> {
    serde_json::to_string(record).ok()
}
