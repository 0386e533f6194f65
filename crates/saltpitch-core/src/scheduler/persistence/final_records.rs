//! Adds the final records of finished jobs and the deletion of obsolete keys to a transaction.

use super::task_keys::TaskKey;
use super::transaction::TransactionBuilder;
use super::{to_json, Persistence, RecordSources};
use crate::job::JobState;
use crate::records::{job_key, JobRecord};

/// Bytes reserved for a final record with its preconditions.
const FINAL_RECORD_BYTES: usize = 400;
/// Bytes reserved for the deletion of a key.
const DELETION_BYTES: usize = 300;

impl Persistence {
    /// Adds the final records of finished jobs.
    pub(super) fn add_final_records(
        &mut self,
        builder: &mut TransactionBuilder,
        write_limit: usize,
        sources: &RecordSources,
    ) {
        while let Some(&number) = self.finished_jobs.first() {
            let Some(job) = sources.jobs.get(number) else {
                self.finished_jobs.remove(&number);
                continue;
            };
            if !builder.fits(write_limit, FINAL_RECORD_BYTES) {
                return;
            }
            let state = match job.state {
                JobState::Cancelled => JobState::Cancelled,
                _ => JobState::Done,
            };
            let done_at = job.times.done_at.filter(|_| state == JobState::Done);
            let done_at = done_at.map(|at| sources.clock.wall(at));
            builder.require(job_key(&job.id), job.revision);
            let record = JobRecord::final_record(state, done_at);
            builder.write(job_key(&job.id), to_json(&record));
            self.finished_jobs.remove(&number);
            for task in 0..job.spec.tasks {
                self.unsaved_tasks.remove(TaskKey::new(number, task));
            }
            builder.contents.finished_jobs.push(number);
        }
    }

    /// Adds the deletion of obsolete keys.
    pub(super) fn add_deletions(&mut self, builder: &mut TransactionBuilder) {
        while builder.fits(builder.max_writes(), DELETION_BYTES) {
            let Some(key) = self.obsolete_keys.pop_front() else {
                return;
            };
            builder.write(key.clone(), None);
            builder.contents.deleted_keys.push(key);
        }
    }
}
