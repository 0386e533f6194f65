//! The leader's line in the log.

use std::collections::BTreeMap;

use super::Scheduler;
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

impl Scheduler {
    /// What the machines that are up give and how much of it is in use, by type.
    fn usage(&self) -> BTreeMap<&str, TypeUsage<'_>> {
        let mut by_type: BTreeMap<&str, TypeUsage> = BTreeMap::new();
        for machine in self
            .inventory
            .machines
            .values()
            .filter(|machine| machine.is_up())
        {
            let usage = by_type.entry(&machine.kind.name).or_insert(TypeUsage {
                name: &machine.kind.name,
                machines: 0,
                used: Resources::default(),
                all: Resources::default(),
            });
            usage.machines += 1;
            usage.used = usage.used.plus(&machine.used);
            usage.all = usage.all.plus(&machine.kind.size);
        }
        by_type
    }

    /// One line for the log.
    pub fn summary(&self) -> String {
        let idle: usize = self
            .job_table
            .values()
            .filter(|job| job.is_active())
            .map(|job| job.idle.len())
            .sum();
        let placed: u32 = self.job_table.values().map(|job| job.placed).sum();
        let lost = self
            .inventory
            .machines
            .values()
            .filter(|machine| machine.is_up() && !machine.takes_tasks());
        let up = self
            .inventory
            .machines
            .values()
            .filter(|machine| machine.is_up())
            .count();
        let room: Vec<String> = self.usage().values().map(TypeUsage::to_string).collect();
        format!(
            "term {} jobs {} waiting {} placed {} machines {} up {} ({} closed) [{}] dirty {} log {} free {} paused {}",
            self.leader_term.term,
            self.job_table.len(),
            idle,
            placed,
            self.inventory.machines.len(),
            up,
            lost.count(),
            room.join(", "),
            self.persistence.unsaved_count(),
            self.persistence.next_segment(),
            self.persistence.free_segments(),
            self.persistence.is_outcome_unknown()
        )
    }
}
