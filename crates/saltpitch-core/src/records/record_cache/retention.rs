//! What the cache keeps: everything about jobs that have not ended, and a bounded amount about those that have.

use super::RecordCache;
use crate::records::EndedJobs;

/// A table is shrunk once it has room for this many times as many entries as it has, beyond [`MIN_SPARE_ENTRIES`].
const MAX_SPARE_FACTOR: usize = 4;
const MIN_SPARE_ENTRIES: usize = 1_024;

impl RecordCache {
    /// Creates an empty copy that keeps the outcomes of up to `max_ended_jobs` recently ended jobs.
    pub fn new(max_ended_jobs: usize) -> RecordCache {
        RecordCache {
            ended_jobs: EndedJobs::new(max_ended_jobs),
            ..RecordCache::default()
        }
    }

    /// Changes how many recently ended jobs are kept, from the next call of [`RecordCache::trim`] on.
    pub fn set_max_ended_jobs(&mut self, max_ended_jobs: usize) {
        self.ended_jobs.set_max_recent(max_ended_jobs);
    }

    /// Notes that a job's record could not be read, so that a job that is not in memory may have been accepted.
    pub fn unreadable_job_found(&mut self) {
        self.ended_jobs.mark_incomplete();
    }

    /// Drops what exceeds the bounds while the records are listed. The records of some live jobs may not be read yet.
    pub fn trim_listing(&mut self) {
        self.evict_ended_jobs();
        self.cancellations.keep_highest_revisions();
    }

    /// Drops what exceeds the bounds and what belongs to ended jobs, once all changes up to `revision` are applied.
    pub fn trim(&mut self) {
        self.evict_ended_jobs();
        self.cancellations.trim();
        if !self.has_all_live_jobs && self.revision >= self.last_put_revision {
            self.has_all_live_jobs = true;
            self.drop_tasks_of_evicted_jobs();
        }
        self.shrink_tables();
    }

    /// Drops the tasks of jobs that were evicted while the records of their tasks were still being listed.
    fn drop_tasks_of_evicted_jobs(&mut self) {
        if !self.ended_jobs.is_complete() {
            let jobs = &self.jobs;
            self.tasks.retain(|id, _| jobs.contains_key(id));
        }
    }

    fn evict_ended_jobs(&mut self) {
        let dependencies = &self.implicit_cancellations;
        self.ended_jobs
            .evict(self.revision, |id| dependencies.is_dependency(id));
    }

    /// Returns the memory of a burst of live jobs.
    fn shrink_tables(&mut self) {
        let is_sparse = |capacity: usize, len: usize| {
            capacity > MIN_SPARE_ENTRIES && capacity > len.saturating_mul(MAX_SPARE_FACTOR)
        };
        if is_sparse(self.jobs.capacity(), self.jobs.len()) {
            self.jobs.shrink_to_fit();
        }
        if is_sparse(self.tasks.capacity(), self.tasks.len()) {
            self.tasks.shrink_to_fit();
        }
    }
}
