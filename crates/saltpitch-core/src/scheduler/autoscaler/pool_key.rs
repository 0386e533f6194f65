//! The key of a machine pool.

use crate::machine::Machine;

/// A machine pool: the machines of one type in one zone, spot machines apart from ordinary ones.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(in crate::scheduler) struct MachinePoolKey {
    /// The machine type.
    pub(in crate::scheduler) type_name: String,
    /// The zone.
    pub(in crate::scheduler) zone: String,
    /// Whether these are spot machines.
    pub(in crate::scheduler) spot: bool,
}

impl MachinePoolKey {
    /// The key of a pool.
    pub(in crate::scheduler) fn new(type_name: &str, zone: &str, spot: bool) -> MachinePoolKey {
        MachinePoolKey {
            type_name: type_name.to_owned(),
            zone: zone.to_owned(),
            spot,
        }
    }

    /// The pool that a machine belongs to.
    pub(in crate::scheduler) fn of(machine: &Machine) -> MachinePoolKey {
        MachinePoolKey::new(&machine.machine_type.name, &machine.zone, machine.spot)
    }
}
