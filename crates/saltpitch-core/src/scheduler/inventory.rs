//! The machines that the scheduler knows, and the indexes by which it finds them.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::unreachable_machines::UnreachableMachines;
use crate::machine::Machine;
use crate::machine_index::MachineIndex;
use crate::records::ReturnedMachines;
use crate::time::Micros;

/// The machines in memory.
#[derive(Default)]
pub(super) struct MachineInventory {
    pub(super) machines: BTreeMap<Arc<str>, Machine>,
    /// Free capacity by type, zone and kind.
    pub(super) index: MachineIndex,
    /// Machines without allocations.
    pub(super) idle: BTreeSet<Arc<str>>,
    /// Machines that are not yet heard from or not yet fenced by this leader's term.
    pub(super) provisioning: BTreeSet<Arc<str>>,
    /// Machines that were returned to the cloud in this leadership.
    pub(super) returned: ReturnedMachines,
    /// When each machine's health is checked next.
    pub(super) health_checks: BTreeSet<(Micros, Arc<str>)>,
    pub(super) unreachable: UnreachableMachines,
    /// When any machine was last heard from.
    pub(super) last_heard: Micros,
    /// When any machine last sent a heartbeat.
    pub(super) last_heartbeat: Micros,
    /// Zones in which a controller can be reached from here: an unresponsive machine there is no sign of
    /// a partition.
    pub(super) reachable_zones: BTreeSet<String>,
}
