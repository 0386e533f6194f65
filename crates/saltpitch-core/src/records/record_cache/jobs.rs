//! Jobs in the cache.

use serde_json::value::RawValue;

use super::{parse, Change, JobEntry, RecordCache, RecordError};
use crate::job::{JobKind, JobState};
use crate::records::recorded_tasks::TaskStates;
use crate::records::stored::JobRecord;

impl RecordCache {
    pub(super) fn put_job(
        &mut self,
        id: &str,
        raw: &RawValue,
        revision: u64,
    ) -> Result<Change, RecordError> {
        let known = self.jobs.get(id);
        if known.is_some_and(|known| revision <= known.revision) {
            return Ok(Change::None);
        }
        let record: JobRecord = parse(raw)?;
        let old_state = known.map(|known| known.record.state);
        if record.spec.is_none() {
            self.note_images_at_end(id, record.state);
            self.tasks.remove(id);
        }
        let state = record.state;
        if state == JobState::Cancelled && old_state != Some(JobState::Cancelled) {
            self.cancellations.note(revision, id);
        }
        self.delegation_index.update(id, &record);
        let spec = record.spec.clone();
        let entry = JobEntry { revision, record };
        self.jobs.insert(id.to_owned(), entry);
        let dependencies = spec.as_ref().map_or(&[][..], |spec| &spec.dependencies);
        self.implicit_cancellations
            .job_changed(id, state, dependencies, &self.jobs);
        Ok(Change::Job(id.to_owned()))
    }

    /// Whether the job's final record was written: what is said of its tasks means nothing any more.
    pub(super) fn is_over(&self, id: &str) -> bool {
        let entry = self.jobs.get(id);
        entry.is_some_and(|entry| entry.record.spec.is_none())
    }

    /// A job's final record leaves out its tasks. Those of a job that is done completed where they were
    /// placed; the replicas of a cancelled service ran there.
    fn note_images_at_end(&mut self, id: &str, state: JobState) {
        let entry = self.jobs.get(id);
        let Some(spec) = entry.and_then(|entry| entry.record.spec.as_deref()) else {
            return;
        };
        let were_used = state == JobState::Done || spec.kind == JobKind::Service;
        let tasks = self.tasks.get(id).filter(|_| were_used);
        for allocation in tasks.into_iter().flat_map(TaskStates::allocations) {
            self.images.record_use(
                &allocation.machine,
                allocation.agent_epoch,
                &spec.image,
                spec.image_mb,
            );
        }
    }

    /// A job's state, as users see it: on record, or cancelled with one that it depends on.
    pub fn job_state(&self, id: &str) -> Option<JobState> {
        self.implicit_cancellations.job_state(id, &self.jobs)
    }

    /// The jobs that are cancelled with one that they depend on, and not on record yet.
    pub fn implicitly_cancelled_jobs(&self) -> impl Iterator<Item = &str> {
        self.implicit_cancellations.iter()
    }

    /// The active jobs that another cell may own.
    pub fn delegated_jobs(&self) -> impl Iterator<Item = &str> {
        self.delegation_index.delegated_jobs()
    }

    /// The active jobs that are run for another cell.
    pub fn guest_jobs(&self) -> impl Iterator<Item = &str> {
        self.delegation_index.guest_jobs()
    }
}
