//! What users ask for: a job's description, its checks and its life.

use serde::{Deserialize, Serialize};

use crate::catalog::{Catalog, Resources};
use crate::quota::TeamLimits;
use crate::time::Micros;

/// The most tasks one job may have.
pub const MAX_TASKS: u32 = 100_000;

/// A job's number within the memory of one leader; never stored or sent.
pub type JobNumber = u32;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobKind {
    /// Independent tasks, each of which runs to completion.
    Array,
    /// All tasks run at the same time or none does.
    Gang,
    /// Replicas that run until the job is cancelled.
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Priority {
    Low,
    Normal,
    High,
    Production,
}

/// A job's description. It never changes once the job is accepted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    pub class: String,
    pub team: String,
    pub kind: JobKind,
    pub priority: Priority,
    pub tasks: u32,
    /// What each task takes of its machine.
    pub need: Resources,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    #[serde(default)]
    pub one_zone: bool,
    #[serde(default)]
    pub spread: bool,
    #[serde(default)]
    pub spot: bool,
    pub image: String,
    /// Thousandths of a gigabyte.
    pub image_mb: u64,
    pub estimate: Micros,
    pub checkpoint: Micros,
    pub save: Micros,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub deadline: Option<Micros>,
    /// Jobs that have to be done before any task of this one starts. Left out where there are none:
    /// earlier versions don't know the field.
    #[serde(rename = "needs", default, skip_serializing_if = "Vec::is_empty")]
    pub dependencies: Vec<String>,
}

/// Why a job can never run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Infeasible {
    #[error("unknown team")]
    Team,
    #[error("no allowed machine type holds a task")]
    Size,
    #[error("the job needs more than its team's limit")]
    Limit,
}

impl JobSpec {
    /// Whether a machine of this type, zone and kind may run a task of this job.
    pub fn allows(&self, type_name: &str, zone: &str, spot: bool) -> bool {
        (self.spot || !spot)
            && self.zone.as_deref().is_none_or(|z| z == zone)
            && self
                .types
                .as_ref()
                .is_none_or(|ts| ts.iter().any(|t| t == type_name))
    }

    /// Whether the job could run on an empty site with every machine there is.
    pub fn can_ever_run(&self, catalog: &Catalog, teams: &[TeamLimits]) -> Result<(), Infeasible> {
        let team = teams
            .iter()
            .find(|t| t.name == self.team)
            .ok_or(Infeasible::Team)?;
        let held = catalog.types.iter().any(|t| {
            self.need.fits(&t.size)
                && self.types.as_ref().is_none_or(|ts| ts.contains(&t.name))
                && t.zones
                    .iter()
                    .any(|z| self.zone.as_ref().is_none_or(|want| want == z))
        });
        if !held {
            return Err(Infeasible::Size);
        }
        let whole = match self.kind {
            JobKind::Array => self.need,
            JobKind::Gang | JobKind::Service => self.need.times(u64::from(self.tasks)),
        };
        if team.allows(&whole) {
            Ok(())
        } else {
            Err(Infeasible::Limit)
        }
    }

    /// The most tasks that may be in one zone at a time.
    pub fn per_zone(&self) -> u32 {
        if self.spread {
            self.tasks.div_ceil(2)
        } else {
            self.tasks
        }
    }

    /// Whether a stopped task can save its progress.
    pub fn saves(&self) -> bool {
        self.checkpoint > Micros::ZERO
    }
}

/// Where a job stands, as users are told.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    Active,
    Done,
    Cancelled,
}

impl JobState {
    pub fn is_final(self) -> bool {
        self != JobState::Active
    }
}
