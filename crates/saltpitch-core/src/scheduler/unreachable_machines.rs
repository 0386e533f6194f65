//! Machines out of this leader's reach: as long as there are many, what it knows of the site's room is not
//! worth renting for.
//!
//! Found in an incident: a leader that was cut off from its agents saw all room gone, and rented 231 of
//! the dearest machines in the eight seconds before it resigned. Its successor, which had heard nobody
//! yet, went on with that.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::Scheduler;
use crate::machine::{Machine, MachinePhase};
use crate::time::Micros;

/// More than one in so many machines out of reach speaks against this leader's links, not the machines.
const MANY: usize = 4;
/// A machine that was ordered this many boot times before the leadership began should be up.
const UP_AFTER_BOOTS: f64 = 1.5;

/// The machines that are up, or should be, and out of reach.
#[derive(Debug, Default)]
pub(super) struct UnreachableMachines {
    machines: BTreeSet<Arc<str>>,
    /// Since when there have been many.
    many_since: Option<Micros>,
}

impl Scheduler {
    /// Something about a machine changed that may have brought it into reach or out of it.
    pub(super) fn update_reachability(&mut self, name: &Arc<str>) {
        let machine = self.inventory.machines.get(name);
        if machine.is_some_and(|machine| self.is_unreachable(machine)) {
            self.inventory.unreachable.machines.insert(name.clone());
        } else {
            self.inventory.unreachable.machines.remove(name);
        }
    }

    fn is_unreachable(&self, machine: &Machine) -> bool {
        match machine.phase {
            MachinePhase::Up => {
                machine.unresponsive
                    || machine.outbound_partition
                    || machine.inbound_partition.is_suspected()
            }
            MachinePhase::Unregistered => {
                let up_at = machine
                    .created_at
                    .plus(machine.kind.boot.times(UP_AFTER_BOOTS));
                machine.recorded && up_at < self.leader_term.elected_at
            }
            MachinePhase::Returning(_) => false,
        }
    }

    /// Whether many machines have been out of reach for less than a lease. After that what they held is
    /// lost and has to run elsewhere, whatever the reason.
    pub(super) fn too_many_unreachable(&mut self, now: Micros) -> bool {
        let state = &mut self.inventory.unreachable;
        if state.machines.len() * MANY <= self.inventory.machines.len() {
            state.many_since = None;
            return false;
        }
        let since = *state.many_since.get_or_insert(now);
        now.since(since) <= self.config.lease
    }
}
