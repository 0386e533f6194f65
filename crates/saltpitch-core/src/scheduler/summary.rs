//! The leader's line in the log.

use std::collections::BTreeMap;

use super::Scheduler;
use crate::catalog::Resources;

/// Processors and accelerators are counted in thousandths.
const UNIT: u64 = 1_000;

/// The machines of one type, for the log.
#[derive(Default)]
struct TypeUsage<'a> {
    name: &'a str,
    machines: u64,
    used: Resources,
    all: Resources,
}

impl std::fmt::Display for TypeUsage<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let (used, all) = (self.used.cpu / UNIT, self.all.cpu / UNIT);
        write!(f, "{} {}: {used}/{all}", self.name, self.machines)?;
        if self.all.gpu > 0 {
            let (used, all) = (self.used.gpu / UNIT, self.all.gpu / UNIT);
            write!(f, " and {used}/{all} accelerators")?;
        }
        Ok(())
    }
}

/// The machines that are up, for the log.
#[derive(Default)]
struct MachineUsage<'a> {
    up: usize,
    /// Those on which nothing new is placed.
    unschedulable: usize,
    by_type: BTreeMap<&'a str, TypeUsage<'a>>,
}

impl Scheduler {
    /// How many machines are up, what they give and how much of it is in use.
    fn machine_usage(&self) -> MachineUsage<'_> {
        let mut usage = MachineUsage::default();
        for machine in self.inventory.iter().filter(|machine| machine.is_up()) {
            usage.up += 1;
            usage.unschedulable += usize::from(!machine.is_schedulable());
            let name = machine.machine_type.name.as_str();
            let of_type = usage.by_type.entry(name).or_default();
            of_type.name = name;
            of_type.machines += 1;
            of_type.used = of_type.used.plus(&machine.allocations.used());
            of_type.all = of_type.all.plus(&machine.machine_type.size);
        }
        usage
    }

    /// One line for the log.
    pub fn summary(&self) -> String {
        let active = self.job_table.values().filter(|job| job.is_active());
        let waiting: usize = active.map(|job| job.tasks.idle().len()).sum();
        let placed: u32 = self.job_table.values().map(|job| job.tasks.placed()).sum();
        let usage = self.machine_usage();
        let by_type: Vec<String> = usage.by_type.values().map(TypeUsage::to_string).collect();
        format!(
            "term {} jobs {} waiting {waiting} placed {placed} machines {} up {} ({} unschedulable) [{}] \
             unsaved {} segment {} free {} paused {}",
            self.leader_term.term(),
            self.job_table.len(),
            self.inventory.len(),
            usage.up,
            usage.unschedulable,
            by_type.join(", "),
            self.persistence.unsaved_count(),
            self.persistence.next_segment(),
            self.persistence.free_segments(),
            self.persistence.is_outcome_unknown()
        )
    }
}
