//! One block: machines that share a record because they have the same type and zone and are all spot machines or
//! all on demand.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::machine::Machine;
use crate::records::{MachineBlockRecord, Versioned, MACHINES_PER_BLOCK};

/// The longest IPv4 address; its length is reserved for an address that is not known yet.
const LONGEST_IPV4_ADDRESS: &str = "255.255.255.255:65535";
/// A machine name of typical length, for estimates of sizes.
const TYPICAL_MACHINE_NAME: &str = "vm-000000";
/// Maximum bytes of a machine's record in addition to its name and address.
const MACHINE_OVERHEAD_BYTES: usize = 40;

/// The properties that all machines of a block share.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct BlockKind {
    pub(super) type_name: String,
    pub(super) zone: Arc<str>,
    pub(super) spot: bool,
}

impl BlockKind {
    /// Returns the kind of block that a machine belongs to.
    pub(super) fn of(machine: &Machine) -> BlockKind {
        BlockKind {
            type_name: machine.machine_type.name.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        }
    }
}

/// Machines of one [`BlockKind`] that share a record.
pub(super) struct Block {
    pub(super) kind: BlockKind,
    pub(super) machines: BTreeSet<Arc<str>>,
    /// Estimated size of the record; an upper bound unless machines have been moved to other blocks.
    pub(super) bytes: usize,
    /// The record's revision, or 0 if the block is not recorded.
    pub(super) revision: u64,
    /// Blocks that machines of this one were moved to. They must be recorded before this block is written
    /// without these machines; otherwise, a leader elected in between would assume that the machines are gone.
    pub(super) successors: Vec<u32>,
}

impl Block {
    /// Creates a block without machines that is not recorded yet.
    pub(super) fn empty(kind: BlockKind) -> Block {
        Block {
            kind,
            machines: BTreeSet::new(),
            bytes: 0,
            revision: 0,
            successors: Vec::new(),
        }
    }

    /// Creates a block from its record.
    pub(super) fn from_record(stored: &Versioned<MachineBlockRecord>) -> Block {
        let record = &stored.value;
        let names = record.machines.iter().map(|machine| machine.0.as_str());
        let sizes = record
            .machines
            .iter()
            .map(|machine| machine_bytes(&machine.0, &machine.1));
        Block {
            kind: BlockKind {
                type_name: record.type_name.clone(),
                zone: record.zone.as_str().into(),
                spot: record.spot,
            },
            machines: names.map(Arc::from).collect(),
            bytes: sizes.sum(),
            revision: stored.revision,
            successors: Vec::new(),
        }
    }

    /// Returns whether another machine's record of this size fits.
    pub(super) fn has_room_for(&self, bytes: usize, max_bytes: usize) -> bool {
        self.machines.len() < MACHINES_PER_BLOCK && self.bytes + bytes <= max_bytes
    }

    /// Estimates the size of the record again after machines have been moved to other blocks.
    pub(super) fn estimate_bytes(&mut self) {
        self.bytes = self.machines.len() * max_machine_bytes(TYPICAL_MACHINE_NAME);
    }
}

/// A machine that is moved to another block.
pub(super) struct BlockMove {
    /// The machine's name.
    pub(super) machine: Arc<str>,
    /// The number of the block that it is moved to.
    pub(super) to: u32,
}

/// Returns the moves that split a block so that no block is larger than `max_bytes`. The first machines stay in the
/// block with this `number`; the others are moved to new blocks, numbered from `next_number` on.
pub(super) fn planned_moves(
    block: &Block,
    number: u32,
    next_number: u32,
    max_bytes: usize,
) -> Vec<BlockMove> {
    let mut moves = Vec::new();
    let mut target = number;
    let mut target_bytes = 0;
    for name in &block.machines {
        let bytes = max_machine_bytes(name);
        if target_bytes + bytes > max_bytes {
            target = if target == number {
                next_number
            } else {
                target + 1
            };
            target_bytes = 0;
        }
        target_bytes += bytes;
        if target != number {
            moves.push(BlockMove {
                machine: name.clone(),
                to: target,
            });
        }
    }
    moves
}

/// Returns an upper bound of the size of a machine's record.
fn machine_bytes(name: &str, address: &str) -> usize {
    name.len() + address.len() + MACHINE_OVERHEAD_BYTES
}

/// Returns an upper bound of the size of the record of a machine whose address is not known yet.
pub(super) fn max_machine_bytes(name: &str) -> usize {
    machine_bytes(name, LONGEST_IPV4_ADDRESS)
}
