//! Team quotas: what each team is guaranteed, the most that it may use, and what it uses.

use crate::catalog::Resources;

/// One team's guarantee and limit, in the units of [`Resources`]. Zero means no guarantee and no limit.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLimits {
    /// The team's name.
    pub name: String,
    /// The processors that it is guaranteed.
    pub cpu: u64,
    /// The accelerators that it is guaranteed.
    pub gpu: u64,
    /// The most processors that it may use.
    pub cpu_max: u64,
    /// The most accelerators that it may use.
    pub gpu_max: u64,
}

impl TeamLimits {
    /// Whether the limit allows the team to use `total` at the same time.
    pub fn allows(&self, total: &Resources) -> bool {
        (self.cpu_max == 0 || total.cpu <= self.cpu_max)
            && (self.gpu_max == 0 || total.gpu <= self.gpu_max)
    }

    /// Whether `total`, used at the same time, is within the team's guarantee.
    pub fn guarantees(&self, total: &Resources) -> bool {
        total.cpu <= self.cpu && total.gpu <= self.gpu
    }

    /// Returns how many more tasks with this need the limit allows in addition to what is used.
    pub fn tasks_allowed(&self, used: &Resources, need: &Resources) -> u64 {
        let by_cpu = tasks_within(self.cpu_max, used.cpu, need.cpu);
        let by_gpu = tasks_within(self.gpu_max, used.gpu, need.gpu);
        by_cpu.min(by_gpu)
    }
}

/// Returns how many more tasks with this need one limit allows.
fn tasks_within(limit: u64, used: u64, need: u64) -> u64 {
    if limit == 0 || need == 0 {
        return u64::MAX;
    }
    limit.saturating_sub(used) / need
}

/// A team's limits and what its tasks may be using now.
#[derive(Clone, Debug)]
struct TeamUsage {
    limits: TeamLimits,
    used: Resources,
}

/// What each team's tasks may be using now. Every task that is assumed, bound or not yet proven gone
/// counts, so that the limit holds whichever messages are lost. Jobs store the index of their team, so
/// that no placement pass has to look up a name.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    teams: Vec<TeamUsage>,
}

/// The index of every team that is not in the settings; no task of such a team is placed.
pub const UNKNOWN_TEAM: usize = usize::MAX;

impl Quota {
    /// Creates the quota of teams that use nothing yet.
    pub fn new(teams: Vec<TeamLimits>) -> Quota {
        let unused = |limits| TeamUsage {
            limits,
            used: Resources::default(),
        };
        Quota {
            teams: teams.into_iter().map(unused).collect(),
        }
    }

    /// Returns the index of the team with this name, or [`UNKNOWN_TEAM`].
    pub fn team_index(&self, name: &str) -> usize {
        let index = self.teams.iter().position(|team| team.limits.name == name);
        index.unwrap_or(UNKNOWN_TEAM)
    }

    /// Returns the number of teams.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether there are no teams.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// Returns a team's guarantee and limit.
    pub fn team(&self, index: usize) -> Option<&TeamLimits> {
        self.teams.get(index).map(|team| &team.limits)
    }

    /// Returns the resources that a team's tasks may be using now.
    pub fn used(&self, index: usize) -> Resources {
        let team = self.teams.get(index);
        team.map(|team| team.used).unwrap_or_default()
    }

    /// Adds a task of the team, which is assumed to run from now on.
    pub fn add(&mut self, index: usize, need: &Resources) {
        if let Some(team) = self.teams.get_mut(index) {
            team.used = team.used.plus(need);
        }
    }

    /// Removes a task of the team, which is proven gone or was never started.
    pub fn remove(&mut self, index: usize, need: &Resources) {
        if let Some(team) = self.teams.get_mut(index) {
            team.used = team.used.minus(need);
        }
    }

    /// Returns how many more tasks with this need the team may have now; zero if the team is unknown.
    pub fn tasks_allowed(&self, index: usize, need: &Resources) -> u64 {
        let team = self.teams.get(index);
        team.map_or(0, |team| team.limits.tasks_allowed(&team.used, need))
    }
}
