//! The key of a machine pool.

use crate::machine::Machine;

/// Identifies a machine pool: the machines of one type in one zone that are either all spot machines or all
/// ordinary ones.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(in crate::scheduler) struct MachinePoolKey {
    /// The name of the machine type.
    pub(in crate::scheduler) type_name: String,
    /// The zone.
    pub(in crate::scheduler) zone: String,
    /// Whether these are spot machines.
    pub(in crate::scheduler) spot: bool,
}

impl MachinePoolKey {
    /// Creates the key of a pool.
    pub(in crate::scheduler) fn new(type_name: &str, zone: &str, spot: bool) -> MachinePoolKey {
        MachinePoolKey {
            type_name: type_name.to_owned(),
            zone: zone.to_owned(),
            spot,
        }
    }

    /// Returns the key of the pool that a machine belongs to.
    pub(in crate::scheduler) fn of(machine: &Machine) -> MachinePoolKey {
        MachinePoolKey::new(&machine.machine_type.name, &machine.zone, machine.spot)
    }
}
