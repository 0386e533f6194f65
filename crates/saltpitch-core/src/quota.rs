//! Quotas of teams: what each is guaranteed, the most that it may use, and what it uses.

use crate::catalog::Resources;

/// One team's guarantee and limit, in the units of [`Resources`]. Zero means none.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLimits {
    /// The team.
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
    /// Whether the team may use this much at the same time.
    pub fn allows(&self, total: &Resources) -> bool {
        (self.cpu_max == 0 || total.cpu <= self.cpu_max)
            && (self.gpu_max == 0 || total.gpu <= self.gpu_max)
    }

    /// Whether this much at the same time lies within the guarantee.
    pub fn guarantees(&self, total: &Resources) -> bool {
        total.cpu <= self.cpu && total.gpu <= self.gpu
    }

    /// How many more tasks of this need the limit allows on top of what is used.
    pub fn tasks_allowed(&self, used: &Resources, need: &Resources) -> u64 {
        let by_cpu = tasks_below(self.cpu_max, used.cpu, need.cpu);
        let by_gpu = tasks_below(self.gpu_max, used.gpu, need.gpu);
        by_cpu.min(by_gpu)
    }
}

/// How many more tasks of this need one limit allows.
fn tasks_below(limit: u64, used: u64, need: u64) -> u64 {
    if limit == 0 || need == 0 {
        return u64::MAX;
    }
    limit.saturating_sub(used) / need
}

/// A team and what its tasks may be using now.
#[derive(Clone, Debug)]
struct TeamUsage {
    limits: TeamLimits,
    used: Resources,
}

/// What each team's tasks may be using now: every task that is assumed, bound or not yet proven
/// gone counts, so that the limit holds whatever message was lost. Jobs keep their team's index, so that no
/// name is looked up in a pass.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    teams: Vec<TeamUsage>,
}

/// The index of a team that the settings don't name: it gets nothing.
pub const NO_TEAM: usize = usize::MAX;

impl Quota {
    /// Teams that use nothing yet.
    pub fn new(teams: Vec<TeamLimits>) -> Quota {
        let unused = |limits| TeamUsage {
            limits,
            used: Resources::default(),
        };
        Quota {
            teams: teams.into_iter().map(unused).collect(),
        }
    }

    /// The index of the team with this name, or [`NO_TEAM`].
    pub fn team_index(&self, name: &str) -> usize {
        let index = self.teams.iter().position(|team| team.limits.name == name);
        index.unwrap_or(NO_TEAM)
    }

    /// How many teams there are.
    pub fn len(&self) -> usize {
        self.teams.len()
    }

    /// Whether there are no teams.
    pub fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// A team's guarantee and limit.
    pub fn team(&self, index: usize) -> Option<&TeamLimits> {
        self.teams.get(index).map(|team| &team.limits)
    }

    /// What a team's tasks may be using now.
    pub fn used(&self, index: usize) -> Resources {
        let team = self.teams.get(index);
        team.map(|team| team.used).unwrap_or_default()
    }

    /// A task of the team is assumed to run.
    pub fn add(&mut self, index: usize, need: &Resources) {
        if let Some(team) = self.teams.get_mut(index) {
            team.used = team.used.plus(need);
        }
    }

    /// A task of the team is proven gone.
    pub fn remove(&mut self, index: usize, need: &Resources) {
        if let Some(team) = self.teams.get_mut(index) {
            team.used = team.used.minus(need);
        }
    }

    /// How many more tasks of this need the team may have now; none if the team is unknown.
    pub fn tasks_allowed(&self, index: usize, need: &Resources) -> u64 {
        let team = self.teams.get(index);
        team.map_or(0, |team| team.limits.tasks_allowed(&team.used, need))
    }
}
