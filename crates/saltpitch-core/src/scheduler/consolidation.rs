//! After a rush: replicas move off dear or nearly empty machines, so that these can go back.

use std::sync::Arc;

use super::{ObservedState, Scheduler};
use crate::catalog::Resources;
use crate::job::{JobKind, Priority};
use crate::machine::Machine;
use crate::time::Micros;

/// Machines of one group looked at in one go, and machines emptied in one go.
const LOOKS: usize = 48;
const MOVES: usize = 2;
/// A replica that started this recently is left where it is.
const SETTLED: Micros = Micros::from_secs(60);
/// Nothing has waited for this long: the rush is over.
const CALM: Micros = Micros::from_secs(20);
/// Room for a replica is looked for on this many machines of a group.
const TARGETS: usize = 24;

impl Scheduler {
    /// Empties the machines whose replicas cost most, a few at a time, if the others have room for
    /// them where their images are. Nothing may be waiting: room is not taken from anybody.
    pub(super) fn consolidate(&mut self, now: Micros) {
        if !self.job_table.unplaced().is_empty() {
            self.placement_pass.last_waiting_at = now;
        }
        if now.since(self.placement_pass.last_waiting_at) < CALM || !self.consolidates() {
            return;
        }
        let mut parts = Vec::new();
        for g in 0..self.inventory.index.groups.len() {
            parts.extend(self.inventory.index.groups[g].next_part(LOOKS));
        }
        self.steps += parts.len() as u64;
        let mut worst: Vec<(u64, Arc<str>)> = parts
            .into_iter()
            .filter_map(|name| {
                let machine = self.inventory.machines.get(&name)?;
                self.movable(machine, now)
                    .then(|| (unit_price(machine), name))
            })
            .collect();
        worst.sort();
        let mut spare = self.spare_above_warm_pool(now);
        for (price, name) in worst.into_iter().rev().take(MOVES) {
            let size = self
                .inventory
                .machines
                .get(&name)
                .map_or(0, |machine| machine.kind.size.cpu);
            if spare < size || !self.fits_elsewhere(&name, price) {
                continue;
            }
            spare -= size;
            let Some(machine) = self.inventory.machines.get_mut(&name) else {
                continue;
            };
            machine.cordoned = true;
            let allocated: Vec<_> = machine.allocations.iter().copied().collect();
            self.reindex(&name);
            for (number, task) in allocated {
                self.stop(number, task, Micros::ZERO, now);
            }
        }
    }

    /// Only replicas that have run for a while are here.
    fn movable(&self, machine: &Machine, now: Micros) -> bool {
        machine.takes_tasks()
            && !machine.allocations.is_empty()
            && machine.used.cpu * 10 <= machine.kind.size.cpu * 7
            && machine.allocations.iter().all(|(number, task)| {
                self.job_table.jobs.get(number).is_some_and(|job| {
                    let allocation = job.tasks[*task as usize].allocation.as_deref();
                    job.spec.kind == JobKind::Service
                        && job.spec.priority == Priority::Production
                        && allocation.is_some_and(|p| {
                            p.observed == ObservedState::Running
                                && p.stop.is_none()
                                && now.since(p.since) > SETTLED
                        })
                })
            })
    }

    /// Whether every replica of this machine has a place, with its image, on machines that are in
    /// use anyway and are better used or cheaper.
    fn fits_elsewhere(&mut self, name: &Arc<str>, price: u64) -> bool {
        let Some(machine) = self.inventory.machines.get(name) else {
            return false;
        };
        let allocated: Vec<_> = machine.allocations.iter().copied().collect();
        let zone = machine.zone.clone();
        let mut taken: Vec<(Arc<str>, Resources)> = Vec::new();
        for (number, _) in allocated {
            let Some(spec) = self.job_table.jobs.get(&number).map(|job| job.spec.clone()) else {
                return false;
            };
            let mut found = None;
            for g in 0..self.inventory.index.groups.len() {
                let group = &mut self.inventory.index.groups[g];
                // In the same zone: what is spread stays spread.
                if group.zone != zone
                    || !spec.need.fits(&group.kind.size)
                    || !spec.allows(&group.kind.name, &group.zone, group.spot)
                    || self.contested_for(&spec, &self.inventory.index.groups[g].kind.size)
                {
                    continue;
                }
                let group = &mut self.inventory.index.groups[g];
                let search = group.search(&spec.need, TARGETS);
                self.steps += search.steps;
                found = search.fits.into_iter().find(|n| {
                    let Some(t) = self.inventory.machines.get(n).filter(|_| n != name) else {
                        return false;
                    };
                    let allocated = taken.iter().filter(|x| x.0 == *n);
                    let free = allocated.fold(t.free(), |free, x| free.minus(&x.1));
                    !t.allocations.is_empty()
                        && spec.need.fits(&free)
                        && t.has_image(&spec.image)
                        && unit_price(t) < price
                });
                if found.is_some() {
                    break;
                }
            }
            match found {
                Some(n) => taken.push((n, spec.need)),
                None => return false,
            }
        }
        true
    }
}

/// What a processor in use costs on this machine.
fn unit_price(machine: &Machine) -> u64 {
    machine.kind.price_of(machine.spot) * 1_000_000 / machine.used.cpu.max(1)
}
