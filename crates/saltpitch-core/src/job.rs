//! Jobs as users submit them: the description, whether the job can ever run, and its state.

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, MachineType, Resources};
use crate::quota::TeamLimits;
use crate::time::Micros;

/// The most tasks one job may have.
pub const MAX_TASKS: u32 = 100_000;

/// The number of a job in the memory of one leader; it is never stored or sent.
pub type JobNumber = u32;

/// How the tasks of a job belong together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// A job array: independent tasks, each of which runs to completion.
    Array,
    /// A gang: all tasks run at the same time or none does.
    Gang,
    /// A service: replicas that run until the job is cancelled.
    Service,
}

/// The priority of a job, the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    /// Below normal.
    Low,
    /// The usual priority.
    Normal,
    /// Above normal.
    High,
    /// For work that serves customers: it is placed before everything else, and a warm pool is kept for it.
    Production,
}

/// A job's description. It never changes once the job is accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// The job's class; service-level objectives are set for each class.
    pub class: String,
    /// The team whose quota the job counts against.
    pub team: String,
    /// How the tasks belong together.
    pub kind: JobKind,
    /// The priority.
    pub priority: Priority,
    /// How many tasks the job has.
    pub tasks: u32,
    /// The resources that each task needs on its machine.
    pub need: Resources,
    /// The machine types that tasks may run on; `None` if they may run on all.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The zone that tasks have to run in; `None` if they may run in any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks have to run in the same zone.
    #[serde(default)]
    pub one_zone: bool,
    /// Whether the tasks have to be spread over zones, with at most half of them in one.
    #[serde(default)]
    pub spread: bool,
    /// Whether tasks may run on spot machines.
    #[serde(default)]
    pub spot: bool,
    /// The image that tasks are started from.
    pub image: String,
    /// The image's size, in thousandths of a gigabyte.
    pub image_mb: u64,
    /// How long a task runs, as estimated by its owner.
    pub estimate: Micros,
    /// The interval between a task's checkpoints; zero if it writes none.
    #[serde(rename = "checkpoint")]
    pub checkpoint_interval: Micros,
    /// How long a task takes to save its progress when it is stopped.
    #[serde(rename = "save")]
    pub save_time: Micros,
    /// The time from submission within which the job should be done.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Micros>,
    /// The ids of jobs that have to be done before any task of this one starts. The field is omitted if
    /// there are none, since earlier versions don't know it.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

/// Why a job can never run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Infeasible {
    /// The team is not in the settings.
    #[error("unknown team")]
    UnknownTeam,
    /// No machine type that the job allows is large enough for a task.
    #[error("no allowed machine type holds a task")]
    TaskTooLarge,
    /// The tasks that have to run at the same time need more than the team's limit.
    #[error("the job needs more than its team's limit")]
    ExceedsTeamLimit,
}

impl JobSpec {
    /// Whether a task of this job may run on a machine of this type in this zone, a spot machine or not.
    pub fn allows(&self, type_name: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot) && self.allows_zone(zone) && self.allows_type(type_name)
    }

    fn allows_type(&self, type_name: &str) -> bool {
        let allowed = self.types.as_ref();
        allowed.is_none_or(|types| types.iter().any(|allowed| allowed == type_name))
    }

    fn allows_zone(&self, zone: &str) -> bool {
        self.zone.as_deref().is_none_or(|allowed| allowed == zone)
    }

    /// Checks whether the job could run on an empty site with every machine that the catalog offers.
    pub fn can_ever_run(&self, catalog: &Catalog, teams: &[TeamLimits]) -> Result<(), Infeasible> {
        let team = teams.iter().find(|team| team.name == self.team);
        let team = team.ok_or(Infeasible::UnknownTeam)?;
        let mut types = catalog.types.iter();
        if !types.any(|machine_type| self.fits_type(machine_type)) {
            return Err(Infeasible::TaskTooLarge);
        }
        let concurrent_need = match self.kind {
            JobKind::Array => self.need,
            JobKind::Gang | JobKind::Service => self.need.times(u64::from(self.tasks)),
        };
        if !team.allows(&concurrent_need) {
            return Err(Infeasible::ExceedsTeamLimit);
        }
        Ok(())
    }

    /// Whether the job allows this machine type in one of its zones and a task fits on it.
    fn fits_type(&self, machine_type: &MachineType) -> bool {
        let mut zones = machine_type.zones.iter();
        self.need.fits(&machine_type.size)
            && self.allows_type(&machine_type.name)
            && zones.any(|zone| self.allows_zone(zone))
    }

    /// Returns the most tasks that may be in one zone at a time.
    pub fn max_tasks_per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether a stopped task can save its progress.
    pub fn can_save(&self) -> bool {
        self.checkpoint_interval > Micros::ZERO
    }
}

/// A job's state, as users see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// The job waits or runs.
    Active,
    /// All tasks have completed.
    Done,
    /// The job was cancelled by a user, or together with a job that it depends on.
    Cancelled,
}

impl JobState {
    /// Whether the state can't change any more.
    pub fn is_final(self) -> bool {
        self != JobState::Active
    }
}
