//! Segments of the placement log: the entries of the unsaved tasks that are due.

use std::collections::{BTreeMap, BTreeSet};

use super::task_keys::TaskKey;
use super::transaction::TransactionBuilder;
use super::{to_json, Persistence, RecordSources};
use crate::gang::GangState;
use crate::job::JobNumber;
use crate::records::{job_key, segment_key, SegmentEntry, SegmentRecord};
use crate::scheduler::{Allocation, Job, Task};

/// Maximum size of a segment.
const MAX_SEGMENT_BYTES: usize = 16 * 1024;
/// Estimated bytes of a segment in addition to its entries.
const SEGMENT_BASE_BYTES: usize = 60;
/// Estimated bytes of a job's part of a segment in addition to its id and its entries.
const JOB_OVERHEAD_BYTES: usize = 8;
/// Estimated bytes of an entry in addition to the machine's name.
const ENTRY_OVERHEAD_BYTES: usize = 32;

/// The entries of one segment, collected within its size limit.
struct SegmentDraft {
    entries: BTreeMap<JobNumber, Vec<SegmentEntry>>,
    bytes: usize,
    max_bytes: usize,
    /// Jobs with an allocation in this segment; each of them needs a precondition.
    allocating_jobs: BTreeSet<JobNumber>,
    max_allocating_jobs: usize,
}

impl SegmentDraft {
    fn new(builder: &TransactionBuilder, max_value_bytes: usize) -> SegmentDraft {
        SegmentDraft {
            entries: BTreeMap::new(),
            bytes: SEGMENT_BASE_BYTES,
            max_bytes: (max_value_bytes * 7 / 8)
                .min(MAX_SEGMENT_BYTES)
                .min(builder.max_bytes() / 2),
            allocating_jobs: BTreeSet::new(),
            max_allocating_jobs: builder.spare_preconditions().max(1),
        }
    }

    /// Adds a task's entry and returns whether it fitted.
    fn try_add(&mut self, key: TaskKey, job: &mut Job) -> bool {
        let allocation = job.allocation(key.task);
        let machine_bytes = allocation.map_or(0, |allocation| allocation.machine.len());
        let job_bytes = if self.entries.contains_key(&key.job) {
            0
        } else {
            job.id.len() + JOB_OVERHEAD_BYTES
        };
        let bytes = job_bytes + machine_bytes + ENTRY_OVERHEAD_BYTES;
        let needs_precondition = allocation.is_some() && !self.allocating_jobs.contains(&key.job);
        if self.bytes + bytes > self.max_bytes
            || (needs_precondition && self.allocating_jobs.len() >= self.max_allocating_jobs)
        {
            return false;
        }
        if needs_precondition {
            self.allocating_jobs.insert(key.job);
        }
        self.bytes += bytes;
        if let Some(task) = job.tasks.get_mut(key.task) {
            let entry = prepare_task_entry(key.task, task, job.gang);
            self.entries.entry(key.job).or_default().push(entry);
        }
        true
    }
}

impl Persistence {
    /// Adds a segment with as many unsaved tasks as fit into one value, in order of their due times.
    pub(super) fn add_segment(
        &mut self,
        builder: &mut TransactionBuilder,
        sources: &mut RecordSources,
    ) {
        let due = self.unsaved_tasks.next_due();
        if due.is_none_or(|due| due > sources.now) {
            return;
        }
        self.drop_obsolete_segments(sources.jobs);
        if self.placement_log.free_segments() == 0 {
            self.log_alerts.set_blocked(sources.now);
            return;
        }
        self.log_alerts.clear_blocked();
        let entries = self.take_segment_entries(builder, sources);
        if entries.is_empty() {
            return;
        }
        let record = self.segment_record(entries, builder, sources);
        let slot = self.placement_log.next_slot();
        builder.require(segment_key(slot), self.placement_log.slot_revision(slot));
        builder.write(segment_key(slot), to_json(&record));
        builder.contents.segment_slot = Some(slot);
    }

    /// Removes the tasks that fit into the next segment from the unsaved tasks and returns their entries.
    fn take_segment_entries(
        &mut self,
        builder: &mut TransactionBuilder,
        sources: &mut RecordSources,
    ) -> BTreeMap<JobNumber, Vec<SegmentEntry>> {
        let mut draft = SegmentDraft::new(builder, sources.config.max_value_bytes);
        while let Some(key) = self.unsaved_tasks.first() {
            if let Some(job) = sources.jobs.get_mut(key.job) {
                if !draft.try_add(key, job) {
                    break;
                }
                builder.contents.tasks.insert(key);
            }
            self.unsaved_tasks.remove(key);
        }
        draft.entries
    }

    /// Returns the segment's record. For each job with an allocation, a precondition requires its record to be
    /// unchanged, so that no task is placed if its job was cancelled in the meantime.
    fn segment_record(
        &self,
        entries: BTreeMap<JobNumber, Vec<SegmentEntry>>,
        builder: &mut TransactionBuilder,
        sources: &RecordSources,
    ) -> SegmentRecord {
        let mut record = SegmentRecord {
            number: self.placement_log.next_segment(),
            entries: Vec::with_capacity(entries.len()),
        };
        for (number, job_entries) in entries {
            let Some(job) = sources.jobs.get(number) else {
                continue;
            };
            if job_entries.iter().any(SegmentEntry::is_allocated) {
                builder.require(job_key(&job.id), job.revision);
            }
            record.entries.push((job.id.to_string(), job_entries));
        }
        record
    }
}

/// Returns whether an allocation may be recorded. The allocations of a gang are recorded only once the gang has
/// reached quorum.
pub(super) fn is_recordable(allocation: &Allocation, gang: GangState) -> bool {
    allocation.committed || !matches!(gang, GangState::Holding { .. })
}

/// Returns a task's entry for the log, and marks the allocation in it as part of the transaction being composed.
pub(super) fn prepare_task_entry(index: u32, task: &mut Task, gang: GangState) -> SegmentEntry {
    let mut entry = SegmentEntry(index, task.attempt, String::new(), 0, u8::from(task.done));
    let allocation = task.allocation.as_mut();
    if let Some(allocation) = allocation.filter(|allocation| is_recordable(allocation, gang)) {
        allocation.in_transaction = true;
        entry.2 = allocation.machine.to_string();
        entry.3 = allocation.agent_epoch;
    }
    entry
}
