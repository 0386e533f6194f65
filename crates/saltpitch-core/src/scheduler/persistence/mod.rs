//! What is not yet on record, and the one transaction that is under way.

pub(super) mod alerts;
mod commit;
pub(super) mod machine_blocks;
pub(super) mod placement_log;
pub(super) mod transaction;
pub(super) mod unsaved_tasks;

use std::collections::{BTreeSet, VecDeque};

use super::SchedulerConfig;
use crate::cluster::JobNumber;
use crate::records::RecordCache;
use crate::time::Micros;
use crate::token_bucket::TokenBucket;

use alerts::PlacementLogAlerts;
use machine_blocks::MachineBlocks;
use placement_log::PlacementLog;
use transaction::TransactionContents;
use unsaved_tasks::UnsavedTasks;

/// Differences between the scheduler's memory and the records, and how fast they may be written.
pub(in crate::scheduler) struct Persistence {
    pub(in crate::scheduler) unsaved_tasks: UnsavedTasks,
    /// Jobs that are over and whose final record is yet to be written.
    pub(in crate::scheduler) finished_jobs: BTreeSet<JobNumber>,
    pub(in crate::scheduler) machine_blocks: MachineBlocks,
    pub(in crate::scheduler) placement_log: PlacementLog,
    /// Keys that nothing needs any more.
    pub(in crate::scheduler) obsolete_keys: VecDeque<String>,
    pub(in crate::scheduler) in_flight: Option<TransactionContents>,
    /// The last transaction may or may not have been carried out: the records are read anew before
    /// anything else is written.
    pub(in crate::scheduler) outcome_unknown: bool,
    pub(in crate::scheduler) reload_in_flight: bool,
    pub(in crate::scheduler) next_transaction_at: Micros,
    pub(in crate::scheduler) write_budget: TokenBucket,
    /// The store has turned down a value for its size: its next limits are in force.
    pub(in crate::scheduler) reduced_limits: bool,
    /// When the store refused changes for their number.
    pub(in crate::scheduler) rate_limit_refusals: VecDeque<Micros>,
    pub(in crate::scheduler) alerts: PlacementLogAlerts,
}

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
            write_budget: TokenBucket::new(config.write_rate, now),
            reduced_limits: false,
            rate_limit_refusals: VecDeque::new(),
            alerts: PlacementLogAlerts::default(),
        }
    }
}
