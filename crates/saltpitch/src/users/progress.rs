//! The state of a job as users see it, from memory or from the job's record in the state service.

use saltpitch_core::job::JobState;
use saltpitch_core::records::DelegationState;

use super::{RequestError, Unavailable};
use crate::job_lookups::JobLookup;
use crate::node::Node;
use crate::wire::users::JobStatus;

/// How often a job is looked for. It may end, and its outcome may leave memory, while the latest records are read.
const MAX_ATTEMPTS: u32 = 3;

/// The state of a job and of its tasks, as far as the records show it.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobProgress {
    pub(super) state: JobState,
    pub(super) running: u64,
    pub(super) done: u64,
    /// Whether another cell has reported that the job runs there.
    runs_in_other_cell: bool,
}

impl JobProgress {
    /// Returns the progress of a job that has ended.
    fn ended(state: JobState) -> JobProgress {
        JobProgress {
            state,
            running: 0,
            done: 0,
            runs_in_other_cell: false,
        }
    }

    /// Returns the status that users see.
    pub(super) fn status(self) -> JobStatus {
        let running = self.running.max(u64::from(self.runs_in_other_cell));
        JobStatus::new(self.state, running)
    }
}

impl Node {
    /// Returns whether every job that has ended is in memory, so that a job that is not there was never accepted.
    pub(super) fn keeps_all_ended_jobs(&self) -> bool {
        self.controller().records().ended_jobs().is_complete()
    }

    /// Returns a job's progress if the job is in memory.
    pub(super) fn progress_in_memory(&self, id: &str) -> Option<JobProgress> {
        let controller = self.controller();
        let records = controller.records();
        let state = records.job_state(id)?;
        let (running, done) = records.task_counts(id);
        let running = if state.is_final() { 0 } else { running };
        let record = records.jobs.get(id).map(|entry| &entry.record);
        let delegation = record.and_then(|record| record.delegation.as_ref());
        let runs_in_other_cell = delegation.is_some_and(|d| d.state == DelegationState::Running);
        Some(JobProgress {
            state,
            running,
            done,
            runs_in_other_cell,
        })
    }

    /// Returns a job's progress; `None` if the job was never accepted. A final state never changes, so it is
    /// taken from memory, or from the job's record if it is no longer in memory. Anything else needs records that
    /// are at least as new as the request.
    pub(super) async fn progress(&self, id: &str) -> Result<Option<JobProgress>, RequestError> {
        for _ in 0..MAX_ATTEMPTS {
            let in_memory = self.progress_in_memory(id);
            if in_memory.is_some_and(|progress| progress.state.is_final()) {
                return Ok(in_memory);
            }
            if in_memory.is_none() && !self.keeps_all_ended_jobs() {
                match self.job_lookups.find(id).await? {
                    JobLookup::Ended(state) => return Ok(Some(JobProgress::ended(state))),
                    JobLookup::NeverAccepted => return Ok(None),
                    // Another controller has accepted it just now.
                    JobLookup::Live => {}
                }
            }
            if !self.read_latest_records().await {
                return Err(RequestError::Unavailable);
            }
            let latest = self.progress_in_memory(id);
            if latest.is_some() || self.keeps_all_ended_jobs() {
                return Ok(latest);
            }
        }
        Err(RequestError::Unavailable)
    }

    /// Returns a job's state as users see it; `None` if the job was never accepted. The records in memory are at least
    /// as new as this call unless the state is final.
    pub async fn latest_job_state(&self, id: &str) -> Result<Option<JobState>, Unavailable> {
        let progress = self.progress(id).await;
        let progress = progress.map_err(|_| Unavailable)?;
        Ok(progress.map(|progress| progress.state))
    }
}
