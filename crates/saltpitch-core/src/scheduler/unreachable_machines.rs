//! Machines out of this leader's reach. As long as there are many of them, the leader does not know the
//! site's capacity well enough to scale out.
//!
//! Found in an incident: a leader that was cut off from its agents saw all capacity gone, and ordered 231
//! of the most expensive machines in the eight seconds before it resigned. Its successor, which had heard
//! no agent yet, went on with that.

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
#[derive(Debug)]
pub(super) struct UnreachableMachines {
    machines: BTreeSet<Arc<str>>,
    /// Since when there have been many.
    many_since: Option<Micros>,
    /// When the present leadership began.
    elected_at: Micros,
}

impl UnreachableMachines {
    /// None, for a leader that was elected at this time.
    pub(super) fn new(elected_at: Micros) -> UnreachableMachines {
        UnreachableMachines {
            machines: BTreeSet::new(),
            many_since: None,
            elected_at,
        }
    }

    /// Something about a machine changed that may have brought it into reach or out of it.
    pub(super) fn update(&mut self, name: &Arc<str>, machine: Option<&Machine>) {
        if machine.is_some_and(|machine| self.is_unreachable(machine)) {
            self.machines.insert(name.clone());
        } else {
            self.machines.remove(name);
        }
    }

    /// A machine is gone.
    pub(super) fn remove(&mut self, name: &Arc<str>) {
        self.machines.remove(name);
    }

    fn is_unreachable(&self, machine: &Machine) -> bool {
        match machine.lifecycle.phase() {
            MachinePhase::Up => !machine.connectivity.is_reachable(),
            MachinePhase::Unregistered => {
                let boot = machine.machine_type.boot.times(UP_AFTER_BOOTS);
                let up_at = machine.lifecycle.created_at().plus(boot);
                machine.lifecycle.is_recorded() && up_at < self.elected_at
            }
            MachinePhase::ReturnRequested | MachinePhase::Returning => false,
        }
    }

    /// Whether many of `all` machines have been out of reach for less than `period`.
    pub(super) fn too_many(&mut self, all: usize, period: Micros, now: Micros) -> bool {
        if self.machines.len() * MANY <= all {
            self.many_since = None;
            return false;
        }
        let since = *self.many_since.get_or_insert(now);
        now.since(since) <= period
    }
}

impl Scheduler {
    /// Whether many machines have been out of reach for less than a lease. After that what they held is
    /// lost and has to run elsewhere, whatever the reason.
    pub(super) fn too_many_unreachable(&mut self, now: Micros) -> bool {
        self.inventory
            .too_many_unreachable(self.config.agent_lease, now)
    }
}
