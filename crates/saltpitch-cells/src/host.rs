//! The host cell's side: admission of a peer cell's jobs.
//!
//! Each controller decides on its own copy of the records. The caller updates the copy first, so that it is at
//! least as new as the request. Two controllers that admit jobs at the same time may each exceed a limit by one
//! job.

use saltpitch_core::catalog::Catalog;
use saltpitch_core::job::{Infeasible, JobKind, JobSpec, JobState, Priority};
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::records::{Guest, JobRecord, RecordCache};
use saltpitch_core::Micros;

use crate::ids;
use crate::link::{HostStatus, Submission};
use crate::settings::HostingSettings;

/// The time after which a peer cell may retry a submission that was refused for lack of capacity.
const RETRY_AFTER: Micros = Micros::from_secs(5);

/// The reason why a peer cell's job is not admitted. The peer cell receives and logs the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// The job is a service. Services are never delegated.
    #[error("services are not accepted from other cells")]
    Service,
    /// The job depends on other jobs, which this cell does not know.
    #[error("jobs with dependencies are not accepted from other cells")]
    Dependencies,
    /// The job alone exceeds the limit on the peer cell's tasks.
    #[error("the job has more tasks than this cell accepts from the peer cell at a time")]
    TooLarge,
    /// This cell could never run the job.
    #[error("{0}")]
    Infeasible(Infeasible),
    /// This cell has no capacity for the job at present.
    #[error("no capacity for delegated jobs at present")]
    NoRoom,
}

impl AdmissionError {
    /// Returns the time after which the peer cell may retry, or `None` if the refusal is permanent.
    pub fn retry_after(&self) -> Option<Micros> {
        (*self == AdmissionError::NoRoom).then_some(RETRY_AFTER)
    }

    /// Returns the HTTP status of the refusal.
    pub fn status(&self) -> u16 {
        match self {
            AdmissionError::NoRoom => 429,
            _ => 422,
        }
    }
}

/// The load that a peer cell's jobs put on this cell at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostedLoad {
    /// The number of active jobs.
    pub jobs: usize,
    /// The number of tasks of these jobs.
    pub tasks: u64,
    /// The number of these jobs that have no placed or completed task.
    pub waiting: usize,
}

impl HostedLoad {
    /// Computes the load of `cell`'s jobs from the records.
    pub fn from_records(records: &RecordCache, cell: &str) -> HostedLoad {
        let mut load = HostedLoad::default();
        for id in records.guest_jobs() {
            let Some(record) = records.jobs.get(id).map(|entry| &entry.record) else {
                continue;
            };
            let is_from_cell = record
                .guest
                .as_ref()
                .is_some_and(|guest| guest.cell == cell);
            let Some(spec) = record.spec.as_ref().filter(|_| is_from_cell) else {
                continue;
            };
            let (running, done) = records.task_counts(id);
            load.jobs += 1;
            load.tasks += u64::from(spec.tasks);
            load.waiting += usize::from(running == 0 && done == 0);
        }
        load
    }

    /// Returns whether the load is below every limit, so that the peer cell may submit a job now.
    pub fn has_room(&self, settings: &HostingSettings) -> bool {
        self.jobs < settings.max_jobs
            && self.tasks < settings.max_tasks
            && self.waiting < settings.max_waiting
    }
}

/// How a controller of the host proceeds with a submission that it does not refuse.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The job is known. The answer is its status.
    Known(HostStatus),
    /// The job is new. The controller creates this record on condition that the job has none yet, and answers
    /// with the job's status.
    Create(JobRecord),
}

/// Admits and queries the jobs of one peer cell, based on the records.
#[derive(Clone, Debug)]
pub struct HostAdmission {
    /// The name of the peer cell.
    pub cell: String,
    /// The limits and the team for the peer cell's jobs.
    pub settings: HostingSettings,
}

impl HostAdmission {
    /// Returns the id under which the records hold the job that the peer cell submitted with the id `sent_id`.
    pub fn hosted_job_id(&self, sent_id: &str) -> String {
        ids::hosted_job_id(&self.cell, sent_id)
    }

    /// Returns whether the peer cell may submit a job now.
    pub fn has_room(&self, records: &RecordCache) -> bool {
        HostedLoad::from_records(records, &self.cell).has_room(&self.settings)
    }

    /// Returns a job's status according to `records`, or `None` if they do not have the job.
    pub fn status(&self, records: &RecordCache, sent_id: &str) -> Option<HostStatus> {
        let id = self.hosted_job_id(sent_id);
        let (running, done) = records.task_counts(&id);
        Some(match records.job_state(&id)? {
            JobState::Done => HostStatus::Done,
            JobState::Cancelled => HostStatus::Withdrawn,
            JobState::Active if running + done > 0 => HostStatus::Running,
            JobState::Active => HostStatus::Pending,
        })
    }

    /// Returns whether a cancellation request cancels the job. With `unless_begun`, a job that has started
    /// continues, even if it started while the request was in flight, so that no work is done twice.
    pub fn should_cancel(&self, records: &RecordCache, sent_id: &str, unless_begun: bool) -> bool {
        match self.status(records, sent_id) {
            Some(HostStatus::Pending) => true,
            Some(HostStatus::Running) => !unless_begun,
            Some(HostStatus::Done | HostStatus::Withdrawn) | None => false,
        }
    }

    /// Decides on a submission. `wall` is the submission time that a new record gets.
    pub fn admit(
        &self,
        records: &RecordCache,
        submission: &Submission,
        limits: &HostLimits<'_>,
        wall: Micros,
    ) -> Result<Admission, AdmissionError> {
        if let Some(status) = self.status(records, &submission.id) {
            return Ok(Admission::Known(status));
        }
        if submission.closing {
            return Ok(Admission::Create(closed_record()));
        }
        let spec = self.hosted_spec(submission);
        self.check_limits(&spec, &HostedLoad::from_records(records, &self.cell))?;
        spec.can_ever_run(limits.catalog, limits.teams)
            .map_err(AdmissionError::Infeasible)?;
        Ok(Admission::Create(self.hosted_record(wall, spec)))
    }

    fn check_limits(&self, spec: &JobSpec, load: &HostedLoad) -> Result<(), AdmissionError> {
        if spec.kind == JobKind::Service {
            return Err(AdmissionError::Service);
        }
        if !spec.dependencies.is_empty() {
            return Err(AdmissionError::Dependencies);
        }
        let tasks = u64::from(spec.tasks);
        if tasks > self.settings.max_tasks {
            return Err(AdmissionError::TooLarge);
        }
        if !load.has_room(&self.settings) || load.tasks + tasks > self.settings.max_tasks {
            return Err(AdmissionError::NoRoom);
        }
        Ok(())
    }

    /// Returns the specification under which this cell runs the peer cell's job. The job belongs to the team
    /// for delegated jobs and has the lowest priority. Its class gets the peer cell's name as a prefix, so that
    /// the objectives for this cell's own classes do not apply to it.
    fn hosted_spec(&self, submission: &Submission) -> JobSpec {
        let spec = JobSpec::clone(&submission.spec);
        JobSpec {
            class: format!("{}.{}", self.cell, spec.class),
            team: self.settings.team.clone(),
            priority: Priority::Low,
            deadline: submission.deadline,
            ..spec
        }
    }

    fn hosted_record(&self, submitted_at: Micros, spec: JobSpec) -> JobRecord {
        JobRecord {
            guest: Some(Box::new(Guest {
                cell: self.cell.clone(),
                may_rent: self.settings.may_rent,
            })),
            ..JobRecord::accepted(submitted_at, spec.into())
        }
    }
}

/// The machine types and team limits of the host cell, which decide whether a job can ever run there.
#[derive(Clone, Copy, Debug)]
pub struct HostLimits<'a> {
    /// The machine types of the host cell.
    pub catalog: &'a Catalog,
    /// The teams of the host cell.
    pub teams: &'a [TeamLimits],
}

/// Returns the record for a closing submission of an unknown job. Copies of the submission that arrive later
/// find the job withdrawn.
fn closed_record() -> JobRecord {
    JobRecord::final_record(JobState::Cancelled, None)
}
