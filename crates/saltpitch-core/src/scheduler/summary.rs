//! The summary line that the leader writes to the log.

use std::collections::BTreeMap;

use super::Scheduler;
use crate::catalog::Resources;

/// One processor or accelerator in the unit of [`Resources`], which counts thousandths.
const MILLIS_PER_UNIT: u64 = 1_000;

/// The number of machines of one type, and the use of their resources.
#[derive(Default)]
struct TypeUsage<'a> {
    name: &'a str,
    machines: u64,
    used: Resources,
    total: Resources,
}

impl std::fmt::Display for TypeUsage<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let used = self.used.cpu / MILLIS_PER_UNIT;
        let total = self.total.cpu / MILLIS_PER_UNIT;
        write!(f, "{} {}: {used}/{total}", self.name, self.machines)?;
        if self.total.gpu > 0 {
            let used = self.used.gpu / MILLIS_PER_UNIT;
            let total = self.total.gpu / MILLIS_PER_UNIT;
            write!(f, " and {used}/{total} accelerators")?;
        }
        Ok(())
    }
}

/// The number of machines that are up, and the use of their resources by type.
#[derive(Default)]
struct MachineUsage<'a> {
    up: usize,
    /// The number of machines that are up but take no new tasks.
    unschedulable: usize,
    by_type: BTreeMap<&'a str, TypeUsage<'a>>,
}

impl Scheduler {
    /// Counts the machines that are up, their resources and how much of these is in use.
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
            of_type.total = of_type.total.plus(&machine.machine_type.size);
        }
        usage
    }

    /// Returns a one-line summary of jobs, machines and records for the log.
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
