//! The jobs in the cache.

use serde_json::value::RawValue;

use super::implicit_cancellations::RecordedStates;
use super::{parse, Change, JobEntry, RecordCache, RecordError, RecordedJob};
use crate::job::{JobKind, JobState};
use crate::records::recorded_tasks::TaskStates;
use crate::records::stored::JobRecord;
use crate::records::{EndedJob, EndedJobs, JobRead};

impl RecordCache {
    pub(super) fn put_job(
        &mut self,
        id: &str,
        raw: &RawValue,
        revision: u64,
    ) -> Result<Change, RecordError> {
        let known = self.job(id);
        if known.is_some_and(|known| revision <= known.revision()) {
            return Ok(Change::None);
        }
        let record = parse(raw)?;
        Ok(self.put_job_entry(id, JobEntry { revision, record }))
    }

    /// Applies a record of a job, unless a newer one is known or was.
    pub(super) fn put_job_entry(&mut self, id: &str, entry: JobEntry) -> Change {
        let JobEntry { revision, record } = entry;
        let known = self.job(id);
        if known.is_some_and(|known| revision <= known.revision()) {
            return Change::None;
        }
        if known.is_none() && self.has_ended_since(&record, revision) {
            return Change::None;
        }
        let old_state = known.map(|known| known.state());
        let state = record.state;
        if state == JobState::Cancelled && old_state != Some(JobState::Cancelled) {
            self.cancellations.push(revision, id);
        }
        self.delegation_index.update(id, &record);
        let old_dependencies = self.dependencies_of_active_job(id);
        let dependencies = record.dependencies().to_vec();
        self.store_job(id, record, revision);
        let recorded = RecordedStates {
            live: &self.jobs,
            ended: &self.ended_jobs,
        };
        self.implicit_cancellations
            .job_changed(id, state, &dependencies, recorded);
        if state != JobState::Active {
            self.release_dependencies(id, &old_dependencies);
        }
        Change::Job(id.to_owned())
    }

    /// Returns whether a record of a job that is not in memory is older than the job's end. All live jobs are in memory,
    /// so a live record that the copy's changes include has been replaced by a final one, which was evicted.
    fn has_ended_since(&self, record: &JobRecord, revision: u64) -> bool {
        self.has_all_live_jobs && revision <= self.revision && !record.is_final()
    }

    /// Stores a job's record, or only the outcome if it is the job's final record.
    fn store_job(&mut self, id: &str, record: JobRecord, revision: u64) {
        if !record.is_final() {
            self.ended_jobs.remove(id);
            let entry = JobEntry { revision, record };
            self.jobs.insert(id.to_owned(), entry);
            return;
        }
        self.record_images_of_finished_job(id, record.state);
        self.tasks.remove(id);
        self.jobs.remove(id);
        let ended = EndedJob {
            revision,
            state: record.state,
            done_at: record.done_at,
        };
        self.ended_jobs.insert(id, ended);
    }

    fn dependencies_of_active_job(&self, id: &str) -> Vec<String> {
        let entry = self.jobs.get(id);
        let active = entry.filter(|entry| entry.record.state == JobState::Active);
        active.map_or_else(Vec::new, |entry| entry.record.dependencies().to_vec())
    }

    fn release_dependencies(&mut self, id: &str, dependencies: &[String]) {
        let released = self
            .implicit_cancellations
            .release_dependencies(id, dependencies);
        for dependency in released {
            self.ended_jobs.release(dependency);
        }
    }

    /// Adds the record of a job that was read by its key, unless a newer one is known.
    pub fn put_job_read(&mut self, read: &JobRead) -> Result<(), RecordError> {
        if let Some((record, revision)) = &read.record {
            self.put_job(&read.id, record, *revision)?;
        }
        Ok(())
    }

    /// Returns whether a record that was read by its key is as new as this copy. It is not if the job has ended since:
    /// the record must then be read again. One that cannot be read is taken as it is.
    pub fn is_read_current(&self, read: &JobRead) -> bool {
        let Some((record, revision)) = &read.record else {
            return true;
        };
        self.job(&read.id).is_some()
            || parse(record).map_or(true, |record| !self.has_ended_since(&record, *revision))
    }

    /// Returns what is known of a job.
    pub fn job(&self, id: &str) -> Option<RecordedJob<'_>> {
        let live = self.jobs.get(id).map(RecordedJob::Live);
        live.or_else(|| self.ended_jobs.get(id).map(RecordedJob::Ended))
    }

    /// Returns the ended jobs that are kept.
    pub fn ended_jobs(&self) -> &EndedJobs {
        &self.ended_jobs
    }

    /// Returns whether the job is known to have a final record, after which records of its tasks are ignored. A job
    /// is accepted before its tasks are placed, so one that is not in memory has ended and was evicted.
    pub(super) fn has_final_record(&self, id: &str) -> bool {
        if self.jobs.contains_key(id) {
            return false;
        }
        let may_be_evicted = self.has_all_live_jobs && !self.ended_jobs.is_complete();
        may_be_evicted || self.ended_jobs.get(id).is_some()
    }

    /// Registers the image of a finished job on the machines that its tasks used, since the final record does not
    /// contain the tasks. All tasks of a job that is done have completed on their machines, and the replicas of a
    /// cancelled service ran on theirs.
    fn record_images_of_finished_job(&mut self, id: &str, state: JobState) {
        let entry = self.jobs.get(id);
        let Some(spec) = entry.and_then(|entry| entry.record.spec.as_deref()) else {
            return;
        };
        let image_was_used = state == JobState::Done || spec.kind == JobKind::Service;
        let tasks = self.tasks.get(id).filter(|_| image_was_used);
        let returned = &self.returned_machines;
        let allocations = tasks.into_iter().flat_map(TaskStates::allocations);
        for allocation in allocations.filter(|task| !returned.contains(&task.machine)) {
            self.images.record_use(
                &allocation.machine,
                allocation.agent_epoch,
                &spec.image,
                spec.image_mb,
            );
        }
    }

    /// Returns a job's state as users see it: cancelled if a job that it depends on is cancelled, otherwise the
    /// recorded state. Returns `None` if no record of the job is in memory.
    pub fn job_state(&self, id: &str) -> Option<JobState> {
        let recorded = RecordedStates {
            live: &self.jobs,
            ended: &self.ended_jobs,
        };
        self.implicit_cancellations.job_state(id, recorded)
    }

    /// Returns the jobs that are cancelled because a job that they depend on is, and not recorded as cancelled yet.
    pub fn implicitly_cancelled_jobs(&self) -> impl Iterator<Item = &str> {
        self.implicit_cancellations.job_ids()
    }

    /// Returns the jobs that active jobs depend on and whose records are not in memory, sorted. They have ended, and
    /// their records have to be read before the copy can replace another one.
    pub fn unknown_dependencies(&self) -> Vec<String> {
        if self.ended_jobs.is_complete() {
            return Vec::new();
        }
        let dependencies = self.implicit_cancellations.dependencies();
        let unknown = dependencies.filter(|id| self.job(id).is_none());
        let mut unknown: Vec<String> = unknown.map(str::to_owned).collect();
        unknown.sort_unstable();
        unknown
    }

    /// Returns the active jobs that another cell may own.
    pub fn delegated_jobs(&self) -> impl Iterator<Item = &str> {
        self.delegation_index.delegated_jobs()
    }

    /// Returns the active jobs that are run for another cell.
    pub fn guest_jobs(&self) -> impl Iterator<Item = &str> {
        self.delegation_index.guest_jobs()
    }
}
