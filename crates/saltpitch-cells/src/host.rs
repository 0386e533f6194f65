//! The host cell's side: which of a neighbour's jobs are taken, and as what.
//!
//! Every controller decides on its own copy of the records, which the caller has made as new as the
//! request. Two controllers asked at the same moment may exceed a bound by one job each.

use saltpitch_core::job::{JobSpec, JobState, Kind, Priority};
use saltpitch_core::records::{Guest, JobRecord, View};
use saltpitch_core::Micros;

use crate::settings::GuestSettings;

/// How soon a neighbour may ask again when there is no room.
const RETRY_AFTER: Micros = Micros::from_secs(5);

/// Why a neighbour's job is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GuestError {
    /// Services stay where they are.
    #[error("services are not taken from other cells")]
    Service,
    /// It waits on other jobs, which this cell does not know.
    #[error("jobs that wait on others are not taken from other cells")]
    Dependencies,
    /// It would never fit into the bounds.
    #[error("the job has more tasks than are taken from the cell at a time")]
    TooLarge,
    /// There is no room at present.
    #[error("no room to spare at present")]
    NoRoom,
}

impl GuestError {
    /// When to come back; `None`: the answer will not change.
    pub fn retry_after(self) -> Option<Micros> {
        (self == GuestError::NoRoom).then_some(RETRY_AFTER)
    }
}

/// What a neighbour's jobs take of this cell at present.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct GuestLoad {
    /// Active jobs.
    pub jobs: usize,
    /// Their tasks.
    pub tasks: u64,
    /// Those of which nothing is placed.
    pub waiting: usize,
}

impl GuestLoad {
    /// What `cell`'s jobs take according to the records.
    pub fn of(view: &View, cell: &str) -> GuestLoad {
        let mut load = GuestLoad::default();
        for id in view.guests() {
            let Some(record) = view.jobs.get(id).map(|entry| &entry.record) else {
                continue;
            };
            let from_cell = record
                .guest
                .as_ref()
                .is_some_and(|guest| guest.cell == cell);
            let Some(spec) = record.spec.as_ref().filter(|_| from_cell) else {
                continue;
            };
            let (running, done) = view.counts(id);
            load.jobs += 1;
            load.tasks += u64::from(spec.tasks);
            load.waiting += usize::from(running == 0 && done == 0);
        }
        load
    }

    /// Whether the neighbour may send a job now.
    pub fn has_room(&self, settings: &GuestSettings) -> bool {
        self.jobs < settings.max_jobs
            && self.tasks < settings.max_tasks
            && self.waiting < settings.max_waiting
    }
}

/// Whether a job is taken.
pub fn admit(spec: &JobSpec, load: &GuestLoad, settings: &GuestSettings) -> Result<(), GuestError> {
    if spec.kind == Kind::Service {
        return Err(GuestError::Service);
    }
    if !spec.needs.is_empty() {
        return Err(GuestError::Dependencies);
    }
    let tasks = u64::from(spec.tasks);
    if tasks > settings.max_tasks {
        return Err(GuestError::TooLarge);
    }
    if !load.has_room(settings) || load.tasks + tasks > settings.max_tasks {
        return Err(GuestError::NoRoom);
    }
    Ok(())
}

/// What a neighbour's job becomes here: it belongs to the team for guests and has the lowest priority. Its class is
/// told apart from this cell's own, so that none of their aims counts for it.
pub fn adopt(spec: JobSpec, cell: &str, settings: &GuestSettings) -> JobSpec {
    JobSpec {
        class: format!("{cell}.{}", spec.class),
        team: settings.team.clone(),
        priority: Priority::Low,
        ..spec
    }
}

/// The record of a neighbour's job.
pub fn record(submitted: Micros, spec: JobSpec, cell: &str, settings: &GuestSettings) -> JobRecord {
    JobRecord {
        guest: Some(Guest {
            cell: cell.to_owned(),
            may_rent: settings.may_rent,
        }),
        ..JobRecord::accepted(submitted, spec.into())
    }
}

/// The record that a closing submission of an unknown job leaves: late copies of the submission find the
/// job withdrawn.
pub fn closed() -> JobRecord {
    JobRecord::over(JobState::Cancelled, None)
}
