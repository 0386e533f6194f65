//! Consolidation: after a peak, moves replicas off expensive or nearly empty machines, so that these can be
//! returned.

use std::sync::Arc;

use super::{Job, ObservedState, Scheduler};
use crate::catalog::Resources;
use crate::job::{JobKind, JobSpec, Priority};
use crate::machine::Machine;
use crate::time::Micros;

/// Machines of one group that are examined in one pass.
const MACHINES_PER_PASS: usize = 48;
/// The most machines that are emptied in one pass.
const MAX_EMPTIED_MACHINES: usize = 2;
/// A replica is moved only once it has been placed for longer than this.
const SETTLED_AFTER: Micros = Micros::from_secs(60);
/// The peak is over once no job has waited for this long.
const PEAK_OVER_AFTER: Micros = Micros::from_secs(20);
/// Machines of one group that are searched for capacity for a replica.
const TARGETS_PER_GROUP: usize = 24;
/// The largest used share of a machine's processors, in tenths, at which the machine may be emptied.
const MAX_USED_TENTHS: u64 = 7;
/// Factor for prices, so that the integer price of a processor keeps enough digits.
const PRICE_SCALE: u64 = 1_000_000;

/// A machine from which replicas may be moved, and the price of a used processor there.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Source {
    price_per_used_cpu: u64,
    machine: Arc<str>,
}

/// The machine that a replica would be moved to, and what the replica needs there.
struct PlannedMove {
    target: Arc<str>,
    need: Resources,
}

impl Scheduler {
    /// Empties the machines whose replicas cost the most, a few at a time, if the replicas fit on other
    /// machines that have their images. This is done only while no job waits, so that no job loses free
    /// capacity to it.
    pub(super) fn consolidate(&mut self, now: Micros) {
        if !self.job_table.unplaced().is_empty() {
            self.placement_pass.note_waiting_jobs(now);
        }
        let calm_for = now.since(self.placement_pass.last_waiting_at());
        if calm_for < PEAK_OVER_AFTER || !self.is_consolidation_enabled() {
            return;
        }
        let sources = self.consolidation_sources(now);
        let mut spare = self.spare_above_warm_pool(now);
        for source in sources.into_iter().rev().take(MAX_EMPTIED_MACHINES) {
            let machine = self.inventory.get(&source.machine);
            let size = machine.map_or(0, |machine| machine.machine_type.size.cpu);
            if spare < size || !self.fits_elsewhere(&source) {
                continue;
            }
            spare -= size;
            for (number, task) in self.cordon(&source.machine) {
                self.stop(number, task, Micros::ZERO, now);
            }
        }
    }

    /// Examines the next part of each group. Returns the machines from which replicas may be moved, the
    /// most expensive last.
    fn consolidation_sources(&mut self, now: Micros) -> Vec<Source> {
        let groups = self.inventory.groups_mut().iter_mut();
        let members = groups.flat_map(|group| group.next_members(MACHINES_PER_PASS));
        let names: Vec<Arc<str>> = members.collect();
        self.steps += names.len() as u64;
        let machines = names.iter().filter_map(|name| self.inventory.get(name));
        let to_empty = machines.filter(|machine| self.can_be_emptied(machine, now));
        let mut sources: Vec<Source> = to_empty
            .map(|machine| Source {
                price_per_used_cpu: price_per_used_cpu(machine),
                machine: machine.name.clone(),
            })
            .collect();
        sources.sort();
        sources
    }

    /// Whether the machine holds only replicas that may be moved, and much of it is free.
    fn can_be_emptied(&self, machine: &Machine, now: Micros) -> bool {
        let allocations = &machine.allocations;
        machine.is_schedulable()
            && !allocations.is_empty()
            && allocations.used().cpu * 10 <= machine.machine_type.size.cpu * MAX_USED_TENTHS
            && allocations.iter().all(|(number, task)| {
                let job = self.job_table.get(number);
                job.is_some_and(|job| is_settled_replica(job, task, now))
            })
    }

    /// Whether every replica of this machine fits on machines that are in use anyway, have its image,
    /// and are better used or cheaper.
    fn fits_elsewhere(&mut self, source: &Source) -> bool {
        let Some(machine) = self.inventory.get(&source.machine) else {
            return false;
        };
        let zone = machine.zone.clone();
        let mut moves: Vec<PlannedMove> = Vec::new();
        for (number, _) in machine.allocations.to_vec() {
            let Some(job) = self.job_table.get(number) else {
                return false;
            };
            let spec = job.spec.clone();
            let Some(target) = self.find_target(&spec, &zone, source, &moves) else {
                return false;
            };
            moves.push(PlannedMove {
                target,
                need: spec.need,
            });
        }
        true
    }

    /// Returns a machine that has room for one more replica in addition to the planned moves. It is in
    /// the same zone, so that jobs that are spread over zones stay spread.
    fn find_target(
        &mut self,
        spec: &JobSpec,
        zone: &Arc<str>,
        source: &Source,
        moves: &[PlannedMove],
    ) -> Option<Arc<str>> {
        for number in 0..self.inventory.groups().len() {
            let group = &self.inventory.groups()[number];
            if group.zone != *zone
                || !spec.need.fits(&group.machine_type.size)
                || !spec.allows(&group.machine_type.name, &group.zone, group.spot)
                || self.is_contested_for(spec, &group.machine_type.size)
            {
                continue;
            }
            let group = &mut self.inventory.groups_mut()[number];
            let search = group.search(&spec.need, TARGETS_PER_GROUP);
            self.steps += search.steps;
            let found = search.machines.into_iter().find(|name| {
                let machine = self.inventory.get(name);
                *name != source.machine
                    && machine.is_some_and(|machine| is_target(machine, spec, source, moves))
            });
            if found.is_some() {
                return found;
            }
        }
        None
    }
}

/// Whether the task is a production replica that runs and was not placed or stopped just now.
fn is_settled_replica(job: &Job, task: u32, now: Micros) -> bool {
    let Some(allocation) = job.allocation(task) else {
        return false;
    };
    job.spec.kind == JobKind::Service
        && job.spec.priority == Priority::Production
        && allocation.observed == ObservedState::Running
        && allocation.stop.is_none()
        && now.since(allocation.placed_at) > SETTLED_AFTER
}

/// Whether the machine is in use, has the image, costs less per used processor than the source, and has
/// capacity left in addition to the planned moves.
fn is_target(machine: &Machine, spec: &JobSpec, source: &Source, moves: &[PlannedMove]) -> bool {
    let planned_here = moves
        .iter()
        .filter(|planned| planned.target == machine.name);
    let free = planned_here.fold(machine.free(), |free, planned| free.minus(&planned.need));
    !machine.allocations.is_empty()
        && spec.need.fits(&free)
        && machine.images.contains(&spec.image)
        && price_per_used_cpu(machine) < source.price_per_used_cpu
}

/// Returns the price of a used processor on this machine, scaled by `PRICE_SCALE`.
fn price_per_used_cpu(machine: &Machine) -> u64 {
    let price = machine.machine_type.price_of(machine.spot) * PRICE_SCALE;
    price / machine.allocations.used().cpu.max(1)
}
