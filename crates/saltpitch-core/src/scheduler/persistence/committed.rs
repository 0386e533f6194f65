//! Applies a committed transaction: which changes are recorded now, and which tasks may start.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::commit::CommittedTransaction;
use super::task_keys::{TaskKey, TaskRange};
use super::transaction::{CommittedMachine, TransactionContents};
use super::Persistence;
use crate::gang::GangState;
use crate::job::{JobKind, JobNumber, JobState};
use crate::records::Checkpoint;
use crate::scheduler::job_table::JobTable;
use crate::scheduler::{Job, Task};
use crate::time::Micros;

/// The consequences of a committed transaction.
#[derive(Default)]
pub(in crate::scheduler) struct CommittedChanges {
    /// The machines in the block records that the transaction wrote.
    pub(in crate::scheduler) machines: Vec<CommittedMachine>,
    /// The machines that start commands may be sent to now, in the order in which their allocations were committed.
    pub(in crate::scheduler) dispatch_targets: Vec<Arc<str>>,
    /// Jobs that were cancelled while their allocations were being committed.
    pub(in crate::scheduler) cancelled_jobs: Vec<JobNumber>,
}

impl Persistence {
    /// Applies a committed transaction and returns its consequences. Jobs whose final record it wrote must already
    /// have been removed from `jobs`.
    pub(in crate::scheduler) fn apply_commit(
        &mut self,
        transaction: CommittedTransaction,
        jobs: &mut JobTable,
        now: Micros,
    ) -> CommittedChanges {
        let CommittedTransaction {
            mut contents,
            revision,
        } = transaction;
        let machines = self.apply_machine_blocks(&mut contents, revision);
        self.apply_segment(&contents, revision);
        self.apply_checkpoints(&mut contents, revision, jobs);
        let mut changes = CommittedChanges {
            machines,
            ..CommittedChanges::default()
        };
        commit_allocations(&contents.tasks, jobs, &mut changes);
        self.schedule_next_transaction(now);
        changes
    }

    fn apply_machine_blocks(
        &mut self,
        contents: &mut TransactionContents,
        revision: u64,
    ) -> Vec<CommittedMachine> {
        let blocks = std::mem::take(&mut contents.machine_blocks);
        for block in &blocks {
            self.machine_blocks.block_committed(block, revision);
        }
        blocks
            .into_iter()
            .flat_map(|block| block.machines)
            .collect()
    }

    fn apply_segment(&mut self, contents: &TransactionContents, revision: u64) {
        let Some(slot) = contents.segment_slot else {
            return;
        };
        let tasks = contents.tasks.iter();
        let mut ranges: Vec<TaskRange> = tasks.map(|key| key.range()).collect();
        ranges.dedup();
        self.placement_log.segment_written(slot, revision, ranges);
    }

    /// Stores the checkpoints' revisions, and adds their tasks to those of the segment, since they are committed
    /// in the same way.
    fn apply_checkpoints(
        &self,
        contents: &mut TransactionContents,
        revision: u64,
        jobs: &mut JobTable,
    ) {
        let up_to_segment = self.placement_log.next_segment() - 1;
        for range in &contents.checkpoints {
            if let Some(job) = jobs.get_mut(range.job) {
                job.checkpoints[range.index as usize] = Checkpoint {
                    revision,
                    up_to_segment,
                };
                contents.tasks.extend(range.keys(job.spec.tasks));
            }
        }
    }
}

/// Marks the allocations of these tasks as committed, job by job.
fn commit_allocations(
    tasks: &BTreeSet<TaskKey>,
    jobs: &mut JobTable,
    changes: &mut CommittedChanges,
) {
    let mut job_numbers: Vec<JobNumber> = tasks.iter().map(|key| key.job).collect();
    job_numbers.dedup();
    for number in job_numbers {
        let Some(job) = jobs.get_mut(number) else {
            continue;
        };
        let tasks_of_job = TaskKey::new(number, 0)..=TaskKey::new(number, u32::MAX);
        for key in tasks.range(tasks_of_job) {
            commit_allocation(key.task, job, &mut changes.dispatch_targets);
        }
        release_gang(job, &mut changes.dispatch_targets);
        if job.state != JobState::Active {
            changes.cancelled_jobs.push(number);
        }
    }
}

fn commit_allocation(task: u32, job: &mut Job, dispatch_targets: &mut Vec<Arc<str>>) {
    let starts_independently = job.spec.kind != JobKind::Gang;
    let Some(allocation) = job.allocation_mut(task) else {
        return;
    };
    if !allocation.in_transaction {
        return;
    }
    allocation.in_transaction = false;
    allocation.committed = true;
    if starts_independently {
        dispatch_targets.push(allocation.machine.clone());
    }
}

/// Releases the start commands of all members of a gang together, once every member's allocation is committed.
fn release_gang(job: &mut Job, dispatch_targets: &mut Vec<Arc<str>>) {
    if job.spec.kind != JobKind::Gang || job.gang != GangState::Committing {
        return;
    }
    let is_committed = |task: &Task| {
        let allocation = task.allocation.as_ref();
        allocation.is_some_and(|allocation| allocation.committed)
    };
    if !job.tasks.iter().all(is_committed) {
        return;
    }
    job.gang = GangState::Allowed;
    let allocations = job.tasks.iter().filter_map(|task| task.allocation.as_ref());
    dispatch_targets.extend(allocations.map(|allocation| allocation.machine.clone()));
}
