//! Submissions: each is checked against the site and the records before the job's record is written.

use std::sync::Arc;
use std::time::Duration;

use saltpitch_core::job::{JobKind, JobSpec, JobState};
use saltpitch_core::records::{job_key, JobRecord};
use saltpitch_core::scheduler::TransactionOutcome;
use serde_json::Value;

use super::{RequestError, Unavailable, UserReply};
use crate::node::Node;
use crate::store::conditional_write;
use crate::wire::users::{decode_job_id, decode_submission, encode_status, JobStatus};

const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Why a submission is not accepted.
enum SubmissionError {
    /// The submission is invalid; the reply says why.
    Refused(UserReply),
    /// The controller cannot answer now.
    Failed(RequestError),
}

impl SubmissionError {
    fn refused(status: u16, reason: impl std::fmt::Display) -> SubmissionError {
        SubmissionError::Refused(UserReply::error(status, reason))
    }
}

impl<E: Into<RequestError>> From<E> for SubmissionError {
    fn from(error: E) -> SubmissionError {
        SubmissionError::Failed(error.into())
    }
}

impl Node {
    /// Accepts a job. Submission is idempotent: if the job is known already, the answer is its status.
    pub(super) async fn submit(&self, body: &[u8]) -> Result<UserReply, RequestError> {
        let body: Value = match serde_json::from_slice(body) {
            Ok(body) => body,
            Err(error) => return Ok(UserReply::error(400, format!("not JSON: {error}"))),
        };
        let id = match decode_job_id(&body) {
            Ok(id) => id,
            Err(error) => return Ok(UserReply::error(400, error)),
        };
        if self.progress_in_memory(id).is_some() {
            return self.known_job_reply(id).await;
        }
        match self.check_submission(id, &body).await {
            Ok(spec) => self.create_job(id, spec).await,
            // A job that was accepted stays accepted, even if a repeated submission of it is invalid.
            Err(SubmissionError::Refused(refusal)) => Ok(match self.progress(id).await? {
                Some(progress) => UserReply::status(id, progress.status()),
                None => refusal,
            }),
            Err(SubmissionError::Failed(error)) => Err(error),
        }
    }

    /// Returns the answer to a submission of a job that has a record already.
    async fn known_job_reply(&self, id: &str) -> Result<UserReply, RequestError> {
        let progress = self.progress(id).await?.ok_or(RequestError::Unavailable)?;
        Ok(UserReply::status(id, progress.status()))
    }

    async fn check_submission(&self, id: &str, body: &Value) -> Result<JobSpec, SubmissionError> {
        let mut spec =
            decode_submission(body).map_err(|error| SubmissionError::refused(400, error))?;
        let catalog = self.controller().catalog().cloned().ok_or(Unavailable)?;
        spec.can_ever_run(&catalog, &self.settings.teams)
            .map_err(|reason| SubmissionError::refused(422, reason))?;
        self.check_dependencies(id, &mut spec).await?;
        Ok(spec)
    }

    /// Checks that the jobs on which this one depends were accepted and can complete. If one of them is not in memory,
    /// the latest records are read first, since it may have been accepted by another controller just now. If it is
    /// not there either, it may have ended long ago, and its record is read.
    async fn check_dependencies(
        &self,
        id: &str,
        spec: &mut JobSpec,
    ) -> Result<(), SubmissionError> {
        if !self.unknown_dependencies(spec).is_empty() && !self.read_latest_records().await {
            return Err(Unavailable.into());
        }
        let unknown = self.unknown_dependencies(spec);
        if !self.keeps_all_ended_jobs() {
            self.job_lookups.prepare(unknown.iter().map(String::as_str));
        }
        for name in &unknown {
            let Some(progress) = self.progress(name).await? else {
                let reason = format!("field `waits_on` names {name}, which was never accepted");
                return Err(SubmissionError::refused(422, reason));
            };
            if progress.state == JobState::Done {
                // Nothing is left to wait for, and no controller has to read the record again.
                spec.dependencies.retain(|dependency| dependency != name);
            }
        }
        if let Some(name) = self.service_dependency(spec) {
            tracing::info!("{id} is refused: it waits on {name}, a service, which never completes");
            let reason = format!("field `waits_on` names {name}, a service, which is never done");
            return Err(SubmissionError::refused(422, reason));
        }
        Ok(())
    }

    /// Returns the jobs on which this one depends and that are not in memory.
    fn unknown_dependencies(&self, spec: &JobSpec) -> Vec<String> {
        let controller = self.controller();
        let records = controller.records();
        let dependencies = spec.dependencies.iter();
        let unknown = dependencies.filter(|name| records.job(name).is_none());
        unknown.cloned().collect()
    }

    fn service_dependency(&self, spec: &JobSpec) -> Option<String> {
        let controller = self.controller();
        let jobs = &controller.records().jobs;
        let is_service = |name: &&String| {
            let spec = jobs.get(*name).and_then(|entry| entry.record.spec.as_ref());
            spec.is_some_and(|spec| spec.kind == JobKind::Service)
        };
        spec.dependencies.iter().find(is_service).cloned()
    }

    /// Writes the record of a new job.
    async fn create_job(&self, id: &str, spec: JobSpec) -> Result<UserReply, RequestError> {
        let record = JobRecord::accepted(self.clock.wall_time(), Arc::new(spec));
        let value = serde_json::to_string(&record).map_err(|_| RequestError::Unavailable)?;
        if value.len() > self.settings.store.max_value_bytes {
            return Ok(UserReply::error(
                400,
                "the submission is too long to be stored",
            ));
        }
        let transaction = conditional_write(&job_key(id), &value, 0);
        match self.store.commit(&transaction, SUBMIT_TIMEOUT).await {
            TransactionOutcome::Committed(_) => {
                tracing::debug!("{id} is accepted");
                Ok(UserReply::new(201, encode_status(id, JobStatus::Pending)))
            }
            TransactionOutcome::Conflict(_) => self.known_job_reply(id).await,
            _ => Err(RequestError::Unavailable),
        }
    }
}
