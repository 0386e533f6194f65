//! The host cell's side: which of a peer cell's jobs are taken, and as what.
//!
//! Every controller decides on its own copy of the records, which the caller has made as new as the
//! request. Two controllers asked at the same moment may exceed a bound by one job each.

use saltpitch_core::catalog::Catalog;
use saltpitch_core::job::{Infeasible, JobKind, JobSpec, JobState, Priority};
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::records::{Guest, JobRecord, RecordCache};
use saltpitch_core::Micros;

use crate::ids;
use crate::link::{HostStatus, Submission};
use crate::settings::HostingSettings;

/// How soon a peer cell may ask again when there is no room.
const RETRY_AFTER: Micros = Micros::from_secs(5);

/// Why a peer cell's job is not taken.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AdmissionError {
    /// Services stay where they are.
    #[error("services are not taken from other cells")]
    Service,
    /// It waits on other jobs, which this cell does not know.
    #[error("jobs that wait on others are not taken from other cells")]
    Dependencies,
    /// It would never fit into the bounds.
    #[error("the job has more tasks than are taken from the cell at a time")]
    TooLarge,
    /// This cell could never run it.
    #[error("{0}")]
    Infeasible(Infeasible),
    /// There is no room at present.
    #[error("no room to spare at present")]
    NoRoom,
}

impl AdmissionError {
    /// When to come back; `None`: the answer will not change.
    pub fn retry_after(&self) -> Option<Micros> {
        (*self == AdmissionError::NoRoom).then_some(RETRY_AFTER)
    }

    /// The HTTP status that says so.
    pub fn status(&self) -> u16 {
        match self {
            AdmissionError::NoRoom => 429,
            _ => 422,
        }
    }
}

/// What a peer cell's jobs take of this cell at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HostedLoad {
    /// Active jobs.
    pub jobs: usize,
    /// Their tasks.
    pub tasks: u64,
    /// Those of which nothing is placed.
    pub waiting: usize,
}

impl HostedLoad {
    /// What `cell`'s jobs take according to the records.
    pub fn from_records(records: &RecordCache, cell: &str) -> HostedLoad {
        let mut load = HostedLoad::default();
        for id in records.guest_jobs() {
            let Some(record) = records.jobs.get(id).map(|entry| &entry.record) else {
                continue;
            };
            let from_cell = record
                .guest
                .as_ref()
                .is_some_and(|guest| guest.cell == cell);
            let Some(spec) = record.spec.as_ref().filter(|_| from_cell) else {
                continue;
            };
            let (running, done) = records.task_counts(id);
            load.jobs += 1;
            load.tasks += u64::from(spec.tasks);
            load.waiting += usize::from(running == 0 && done == 0);
        }
        load
    }

    /// Whether the peer cell may send a job now.
    pub fn has_room(&self, settings: &HostingSettings) -> bool {
        self.jobs < settings.max_jobs
            && self.tasks < settings.max_tasks
            && self.waiting < settings.max_waiting
    }
}

/// What a controller of the host does about a submission.
#[derive(Clone, Debug, PartialEq)]
pub enum Admission {
    /// The job is known: its status is the answer.
    Known(HostStatus),
    /// This record is to be created, on condition that there is none; its status is the answer then.
    Create(JobRecord),
}

/// The listener that is open for one peer cell, as a function of the records.
#[derive(Clone, Debug)]
pub struct HostAdmission {
    /// The peer cell.
    pub cell: String,
    /// On what terms its jobs are taken.
    pub settings: HostingSettings,
}

impl HostAdmission {
    /// The id under which the records hold what the peer cell sent as `sent`.
    pub fn hosted_job_id(&self, sent: &str) -> String {
        ids::hosted_job_id(&self.cell, sent)
    }

    /// Whether the peer cell may send a job now.
    pub fn has_room(&self, records: &RecordCache) -> bool {
        HostedLoad::from_records(records, &self.cell).has_room(&self.settings)
    }

    /// A job's status, `None` if it is not known. A cell's answers are as new as `records`.
    pub fn status(&self, records: &RecordCache, sent: &str) -> Option<HostStatus> {
        let id = self.hosted_job_id(sent);
        let (running, done) = records.task_counts(&id);
        Some(match records.job_state(&id)? {
            JobState::Done => HostStatus::Done,
            JobState::Cancelled => HostStatus::Withdrawn,
            JobState::Active if running + done > 0 => HostStatus::Running,
            JobState::Active => HostStatus::Pending,
        })
    }

    /// Whether a job is to be cancelled on these records. A job that began while the peer cell's request was
    /// under way stays, so that no work is done twice.
    pub fn should_cancel(&self, records: &RecordCache, sent: &str, unless_begun: bool) -> bool {
        match self.status(records, sent) {
            Some(HostStatus::Pending) => true,
            Some(HostStatus::Running) => !unless_begun,
            Some(HostStatus::Done | HostStatus::Withdrawn) | None => false,
        }
    }

    /// What to do about a submission.
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
            return Ok(Admission::Create(closed()));
        }
        let spec = self.adopt(submission);
        self.check(&spec, &HostedLoad::from_records(records, &self.cell))?;
        spec.can_ever_run(limits.catalog, limits.teams)
            .map_err(AdmissionError::Infeasible)?;
        Ok(Admission::Create(self.record(wall, spec)))
    }

    fn check(&self, spec: &JobSpec, load: &HostedLoad) -> Result<(), AdmissionError> {
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

    /// What the peer cell's job becomes here: it belongs to the team for delegated jobs and has the lowest priority.
    /// Its class is told apart from this cell's own, so that none of their aims counts for it.
    fn adopt(&self, submission: &Submission) -> JobSpec {
        let spec = JobSpec::clone(&submission.spec);
        JobSpec {
            class: format!("{}.{}", self.cell, spec.class),
            team: self.settings.team.clone(),
            priority: Priority::Low,
            deadline: submission.deadline,
            ..spec
        }
    }

    fn record(&self, submitted: Micros, spec: JobSpec) -> JobRecord {
        JobRecord {
            guest: Some(Box::new(Guest {
                cell: self.cell.clone(),
                may_rent: self.settings.may_rent,
            })),
            ..JobRecord::accepted(submitted, spec.into())
        }
    }
}

/// What the host cell has, for jobs that can never run in it.
#[derive(Clone, Copy, Debug)]
pub struct HostLimits<'a> {
    /// Its machine types.
    pub catalog: &'a Catalog,
    /// Its teams.
    pub teams: &'a [TeamLimits],
}

/// The record that a closing submission of an unknown job leaves: late copies of the submission find the
/// job withdrawn.
fn closed() -> JobRecord {
    JobRecord::final_record(JobState::Cancelled, None)
}
