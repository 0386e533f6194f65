//! Teams: what each is guaranteed and the most that it may use.

use std::collections::HashMap;

use crate::catalog::Res;

/// One team's guarantee and limit. Zero means none.
#[derive(Clone, Debug, PartialEq)]
pub struct TeamLimits {
    pub name: String,
    pub cpu: u64,
    pub gpu: u64,
    pub cpu_max: u64,
    pub gpu_max: u64,
}

impl TeamLimits {
    /// Whether this much at once keeps the limit.
    pub fn allows(&self, all: &Res) -> bool {
        (self.cpu_max == 0 || all.cpu <= self.cpu_max)
            && (self.gpu_max == 0 || all.gpu <= self.gpu_max)
    }

    /// Whether this much at once lies within the guarantee.
    pub fn guarantees(&self, all: &Res) -> bool {
        all.cpu <= self.cpu && all.gpu <= self.gpu
    }

    /// How many more tasks of `need` the limit allows on top of `used`.
    pub fn more(&self, used: &Res, need: &Res) -> u64 {
        let part = |max: u64, used: u64, need: u64| {
            if max == 0 || need == 0 {
                u64::MAX
            } else {
                max.saturating_sub(used) / need
            }
        };
        part(self.cpu_max, used.cpu, need.cpu).min(part(self.gpu_max, used.gpu, need.gpu))
    }
}

/// What each team's tasks may be using now: every task that is assumed, bound or not yet proven
/// gone counts, so that the limit holds whatever was lost on the way.
#[derive(Clone, Debug, Default)]
pub struct Quota {
    teams: Vec<TeamLimits>,
    used: HashMap<String, Res>,
}

impl Quota {
    pub fn new(teams: Vec<TeamLimits>) -> Quota {
        Quota {
            teams,
            used: HashMap::new(),
        }
    }

    pub fn team(&self, name: &str) -> Option<&TeamLimits> {
        self.teams.iter().find(|t| t.name == name)
    }

    pub fn used(&self, team: &str) -> Res {
        self.used.get(team).copied().unwrap_or_default()
    }

    pub fn add(&mut self, team: &str, need: &Res) {
        let used = self.used(team).plus(need);
        self.used.insert(team.to_owned(), used);
    }

    pub fn remove(&mut self, team: &str, need: &Res) {
        let used = self.used(team).minus(need);
        self.used.insert(team.to_owned(), used);
    }

    /// How many more tasks of this need the team may have now. None for an unknown team.
    pub fn more(&self, team: &str, need: &Res) -> u64 {
        self.team(team)
            .map_or(0, |t| t.more(&self.used(team), need))
    }
}
