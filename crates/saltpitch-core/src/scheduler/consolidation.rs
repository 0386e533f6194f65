//! After a peak: replicas move off expensive or nearly empty machines, so that these can be returned.

use std::sync::Arc;

use super::{Job, ObservedState, Scheduler};
use crate::catalog::Resources;
use crate::job::{JobKind, JobSpec, Priority};
use crate::machine::Machine;
use crate::time::Micros;

/// Machines of one group looked at in one pass.
const MACHINES_PER_PASS: usize = 48;
/// Machines emptied in one pass.
const MOVES_PER_PASS: usize = 2;
/// A replica that was placed this recently is left where it is.
const SETTLED_AFTER: Micros = Micros::from_secs(60);
/// Nothing has waited for this long: the peak is over.
const CALM: Micros = Micros::from_secs(20);
/// A place for a replica is looked for on this many machines of a group.
const TARGETS: usize = 24;
/// A machine of which a larger part is used, in tenths, is left as it is.
const MAX_USED_TENTHS: u64 = 7;
/// Scales prices so that the price of a processor keeps its digits.
const PRICE_SCALE: u64 = 1_000_000;

/// A machine from which replicas may move, and what a processor in use costs there.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Source {
    unit_price: u64,
    machine: Arc<str>,
}

/// Where a replica would move to.
struct PlannedMove {
    target: Arc<str>,
    need: Resources,
}

impl Scheduler {
    /// Empties the machines whose replicas cost most, a few at a time, if they fit on others that
    /// have their images. Nothing may be waiting: free capacity is not taken from anybody.
    pub(super) fn consolidate(&mut self, now: Micros) {
        if !self.job_table.unplaced().is_empty() {
            self.placement_pass.jobs_wait(now);
        }
        if now.since(self.placement_pass.last_waiting_at()) < CALM || !self.consolidates() {
            return;
        }
        let sources = self.consolidation_sources(now);
        let mut spare = self.spare_above_warm_pool(now);
        for source in sources.into_iter().rev().take(MOVES_PER_PASS) {
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

    /// The next part of the machines from which replicas may move, the most expensive last.
    fn consolidation_sources(&mut self, now: Micros) -> Vec<Source> {
        let groups = self.inventory.groups_mut().iter_mut();
        let members = groups.flat_map(|group| group.next_members(MACHINES_PER_PASS));
        let names: Vec<Arc<str>> = members.collect();
        self.steps += names.len() as u64;
        let machines = names.iter().filter_map(|name| self.inventory.get(name));
        let movable = machines.filter(|machine| self.is_movable(machine, now));
        let mut sources: Vec<Source> = movable
            .map(|machine| Source {
                unit_price: unit_price(machine),
                machine: machine.name.clone(),
            })
            .collect();
        sources.sort();
        sources
    }

    /// Whether only replicas that have run for a while are on the machine, and leave much of it free.
    fn is_movable(&self, machine: &Machine, now: Micros) -> bool {
        let allocations = &machine.allocations;
        machine.is_schedulable()
            && !allocations.is_empty()
            && allocations.used().cpu * 10 <= machine.machine_type.size.cpu * MAX_USED_TENTHS
            && allocations.iter().all(|(number, task)| {
                let job = self.job_table.get(number);
                job.is_some_and(|job| is_settled_replica(job, task, now))
            })
    }

    /// Whether every replica of this machine fits, with its image, on machines that are in use anyway and are
    /// better used or cheaper.
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

    /// A machine for one more replica beside the moves that are planned. In the same zone: what is spread
    /// stays spread.
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
                || self.contested_for(spec, &group.machine_type.size)
            {
                continue;
            }
            let group = &mut self.inventory.groups_mut()[number];
            let search = group.search(&spec.need, TARGETS);
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

/// Whether the machine is in use, has the image, costs less than the source, and has capacity left
/// beside the moves that are planned.
fn is_target(machine: &Machine, spec: &JobSpec, source: &Source, moves: &[PlannedMove]) -> bool {
    let planned_here = moves
        .iter()
        .filter(|planned| planned.target == machine.name);
    let free = planned_here.fold(machine.free(), |free, planned| free.minus(&planned.need));
    !machine.allocations.is_empty()
        && spec.need.fits(&free)
        && machine.images.contains(&spec.image)
        && unit_price(machine) < source.unit_price
}

/// What a processor in use costs on this machine.
fn unit_price(machine: &Machine) -> u64 {
    let price = machine.machine_type.price_of(machine.spot) * PRICE_SCALE;
    price / machine.allocations.used().cpu.max(1)
}
