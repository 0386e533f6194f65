//! Machines that this leader can't reach. While there are too many of them, the leader does not know the
//! site's capacity well enough to scale out.
//!
//! This guards against a fault seen in an incident: a leader that was partitioned from its agents
//! considered all capacity lost, and ordered 231 of the most expensive machines in the eight seconds before it
//! resigned. Its successor, which had not heard any agent yet, continued to order.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::Scheduler;
use crate::machine::{Machine, MachinePhase};
use crate::time::Micros;

/// If more than one in this many machines is unreachable, the likely cause is this leader's links and not the
/// machines.
const TOO_MANY_DIVISOR: usize = 4;
/// A machine should be up if it was ordered this many boot times before the leadership began.
const EXPECTED_UP_BOOT_TIMES: f64 = 1.5;

/// The unreachable machines among those that are up or should be.
#[derive(Debug)]
pub(super) struct UnreachableMachines {
    machines: BTreeSet<Arc<str>>,
    /// Since when too many machines have been unreachable.
    too_many_since: Option<Micros>,
    /// When the present leadership began.
    elected_at: Micros,
}

impl UnreachableMachines {
    /// Creates an empty set for a leader that was elected at this time.
    pub(super) fn new(elected_at: Micros) -> UnreachableMachines {
        UnreachableMachines {
            machines: BTreeSet::new(),
            too_many_since: None,
            elected_at,
        }
    }

    /// Updates whether the machine is unreachable after a change of its state. `machine` is `None` if it no
    /// longer exists.
    pub(super) fn update(&mut self, name: &Arc<str>, machine: Option<&Machine>) {
        if machine.is_some_and(|machine| self.is_unreachable(machine)) {
            self.machines.insert(name.clone());
        } else {
            self.machines.remove(name);
        }
    }

    /// Removes a machine that is gone.
    pub(super) fn remove(&mut self, name: &Arc<str>) {
        self.machines.remove(name);
    }

    /// Returns whether the machine is up or should be, and cannot be reached.
    fn is_unreachable(&self, machine: &Machine) -> bool {
        match machine.lifecycle.phase() {
            MachinePhase::Up => !machine.connectivity.is_reachable(),
            MachinePhase::Unregistered => {
                let boot = machine.machine_type.boot.times(EXPECTED_UP_BOOT_TIMES);
                let expected_up_at = machine.lifecycle.created_at().plus(boot);
                machine.lifecycle.is_recorded() && expected_up_at < self.elected_at
            }
            MachinePhase::ReturnRequested | MachinePhase::Returning => false,
        }
    }

    /// Returns whether too many of `total` machines are unreachable, and have been for at most `period`.
    pub(super) fn too_many(&mut self, total: usize, period: Micros, now: Micros) -> bool {
        if self.machines.len() * TOO_MANY_DIVISOR <= total {
            self.too_many_since = None;
            return false;
        }
        let since = *self.too_many_since.get_or_insert(now);
        now.since(since) <= period
    }
}

impl Scheduler {
    /// Returns whether too many machines are unreachable, and have been for at most the duration of a lease.
    /// After that their tasks are lost regardless of the cause, and must run on other machines.
    pub(super) fn too_many_unreachable(&mut self, now: Micros) -> bool {
        self.inventory
            .too_many_unreachable(self.config.agent_lease, now)
    }
}
