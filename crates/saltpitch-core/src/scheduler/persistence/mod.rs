//! What is not yet on record, and the one transaction that is in flight.
//!
//! The scheduler reports what changed in memory ([`Persistence::task_placed`] and the like). From that,
//! [`Persistence::next_effect`] composes one transaction at a time, on condition of the leader's term and of
//! what each write replaces. Its outcome comes back to [`Persistence::transaction_ended`], which either says
//! what is on record now or marks everything for writing again. When the outcome is unknown, the records
//! are read anew before anything else is written.

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

/// What the records are made of: the other components' state that transactions are composed from.
pub(in crate::scheduler) struct RecordSources<'a> {
    /// The settings.
    pub(in crate::scheduler) config: &'a SchedulerConfig,
    /// The jobs.
    pub(in crate::scheduler) jobs: &'a mut JobTable,
    /// The machines.
    pub(in crate::scheduler) machines: &'a mut MachineInventory,
    /// The leader's clock.
    pub(in crate::scheduler) clock: &'a LeaderClock,
    /// The present time.
    pub(in crate::scheduler) now: Micros,
}

impl RecordSources<'_> {
    /// The time of day that belongs to a past steady time, which may lie before the election.
    fn wall_time(&self, at: Micros) -> Micros {
        self.clock.wall(self.now).since(self.now.since(at))
    }
}

/// Differences between the scheduler's memory and the records, and how fast they may be written.
pub(in crate::scheduler) struct Persistence {
    unsaved_tasks: UnsavedTasks,
    /// Jobs that are over and whose final record is yet to be written.
    finished_jobs: BTreeSet<JobNumber>,
    machine_blocks: MachineBlocks,
    placement_log: PlacementLog,
    /// Keys that nothing needs any more.
    obsolete_keys: VecDeque<String>,
    in_flight: Option<TransactionContents>,
    /// The last transaction may or may not have been carried out: the records are read anew before
    /// anything else is written.
    outcome_unknown: bool,
    reload_in_flight: bool,
    next_transaction_at: Micros,
    write_budget: TokenBucket,
    /// The store has refused a value for its size: its next limits are in force.
    reduced_limits: bool,
    /// When the store refused transactions for the number of writes.
    rate_limit_refusals: VecDeque<Micros>,
    log_alerts: PlacementLogAlerts,
}

/// Recovery: what a new leader takes from the records.
impl Persistence {
    /// Nothing is unsaved yet.
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

    /// Takes in what the log's segments on record mention, once the jobs are known.
    pub(in crate::scheduler) fn restore_log(&mut self, records: &RecordCache, jobs: &mut JobTable) {
        self.placement_log.restore(records, jobs);
        // Found in every incident of one week: what checkpoints already hold counted as needed until the
        // first write, and each new leader reported a full log.
        self.drop_obsolete_segments(jobs);
    }

    /// A machine is found in two blocks on record: it is removed from the one named here.
    pub(in crate::scheduler) fn remove_duplicate_machine(
        &mut self,
        name: &Arc<str>,
        block: u32,
        due: Micros,
    ) {
        self.machine_blocks.remove_duplicate(name, block, due);
    }
}

/// What changed in memory.
impl Persistence {
    /// A task was placed.
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

    /// A task ended or lost its allocation.
    pub(in crate::scheduler) fn task_ended(&mut self, job: JobNumber, task: u32, now: Micros) {
        self.unsaved_tasks.task_ended(TaskKey::new(job, task), now);
    }

    /// A job is over: its final record is to be written.
    pub(in crate::scheduler) fn job_finished(&mut self, job: JobNumber) {
        self.finished_jobs.insert(job);
    }

    /// The job left memory: nothing of it is written any more, and its checkpoints are deleted.
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

    /// The records show the final record of this job already.
    pub(in crate::scheduler) fn final_record_found(&mut self, job: JobNumber) {
        self.finished_jobs.remove(&job);
    }

    /// The machine's record is to be written at `due`, together with others that change by then.
    pub(in crate::scheduler) fn machine_changed(&mut self, machine: &mut Machine, due: Micros) {
        self.machine_blocks.machine_changed(machine, due);
    }

    /// The machine is proven gone.
    pub(in crate::scheduler) fn machine_gone(&mut self, machine: &Machine, now: Micros) {
        self.machine_blocks.machine_gone(machine, now);
    }

    /// These keys are to be deleted.
    pub(in crate::scheduler) fn delete_keys(&mut self, keys: impl Iterator<Item = String>) {
        self.obsolete_keys.extend(keys);
    }
}

/// What is not on record yet.
impl Persistence {
    /// Whether the task's state is yet to be written, or part of the transaction in flight.
    pub(in crate::scheduler) fn is_task_unsaved(&self, job: JobNumber, task: u32) -> bool {
        self.unsaved_tasks.contains(TaskKey::new(job, task)) || self.is_task_in_flight(job, task)
    }

    /// Whether the task's state is part of the transaction in flight.
    pub(in crate::scheduler) fn is_task_in_flight(&self, job: JobNumber, task: u32) -> bool {
        let key = TaskKey::new(job, task);
        let in_flight = self.in_flight.as_ref();
        in_flight.is_some_and(|contents| contents.includes_task(key))
    }

    /// Whether the job's final record is yet to be written.
    pub(in crate::scheduler) fn awaits_final_record(&self, job: JobNumber) -> bool {
        self.finished_jobs.contains(&job)
    }

    /// How many tasks, jobs and blocks of machines differ from their records.
    pub(in crate::scheduler) fn unsaved_count(&self) -> usize {
        self.unsaved_tasks.len() + self.finished_jobs.len() + self.machine_blocks.unsaved_count()
    }

    /// The number of the log's next segment.
    pub(in crate::scheduler) fn next_segment(&self) -> u64 {
        self.placement_log.next_segment()
    }

    /// How many segments can be written before one that may still be needed.
    pub(in crate::scheduler) fn free_segments(&self) -> u64 {
        self.placement_log.free_segments()
    }

    /// Whether the outcome of the last transaction is unknown.
    pub(in crate::scheduler) fn is_outcome_unknown(&self) -> bool {
        self.outcome_unknown
    }

    /// Drops the oldest segments as far as checkpoints hold everything that still matters of them.
    fn drop_obsolete_segments(&mut self, jobs: &mut JobTable) {
        if self.in_flight.is_none() {
            self.placement_log
                .finish_rewrites(jobs, &self.unsaved_tasks);
        }
        self.placement_log.drop_obsolete_segments(jobs);
    }
}

/// A record's value; `None` for what JSON cannot express, which no record holds.
fn to_json<T: Serialize>(record: &T) -> Option<String> {
    serde_json::to_string(record).ok()
}
