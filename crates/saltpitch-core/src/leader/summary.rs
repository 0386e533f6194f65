//! The leader's line in the log.

use std::collections::BTreeMap;

use super::Leader;
use crate::catalog::Resources;

/// The machines of one type, for the log.
struct TypeUsage<'a> {
    name: &'a str,
    machines: u64,
    used: Resources,
    all: Resources,
}

impl std::fmt::Display for TypeUsage<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (used, all) = (self.used.cpu / 1_000, self.all.cpu / 1_000);
        write!(f, "{} {}: {used}/{all}", self.name, self.machines)?;
        if self.all.gpu > 0 {
            let (used, all) = (self.used.gpu / 1_000, self.all.gpu / 1_000);
            write!(f, " and {used}/{all} accelerators")?;
        }
        Ok(())
    }
}

impl Leader {
    /// What the machines that are up give and how much of it is in use, by type.
    fn usage(&self) -> BTreeMap<&str, TypeUsage<'_>> {
        let mut by_type: BTreeMap<&str, TypeUsage> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.is_up()) {
            let usage = by_type.entry(&m.kind.name).or_insert(TypeUsage {
                name: &m.kind.name,
                machines: 0,
                used: Resources::default(),
                all: Resources::default(),
            });
            usage.machines += 1;
            usage.used = usage.used.plus(&m.used);
            usage.all = usage.all.plus(&m.kind.size);
        }
        by_type
    }

    /// One line for the log.
    pub fn summary(&self) -> String {
        let idle: usize = self
            .jobs
            .values()
            .filter(|j| j.active())
            .map(|j| j.idle.len())
            .sum();
        let placed: u32 = self.jobs.values().map(|j| j.placed).sum();
        let lost = self
            .machines
            .values()
            .filter(|m| m.is_up() && !m.takes_tasks());
        let up = self.machines.values().filter(|m| m.is_up()).count();
        let room: Vec<String> = self.usage().values().map(TypeUsage::to_string).collect();
        format!(
            "term {} jobs {} waiting {} placed {} machines {} up {} ({} closed) [{}] dirty {} log {} free {} paused {}",
            self.term,
            self.jobs.len(),
            idle,
            placed,
            self.machines.len(),
            up,
            lost.count(),
            room.join(", "),
            self.dirty.len() + self.final_jobs.len() + self.blocks.dirty(),
            self.log.next(),
            self.log.room(),
            self.paused
        )
    }
}
