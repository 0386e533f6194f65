//! One block: machines of one type, zone and kind that share a record.

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::machine::Machine;
use crate::records::{MachineBlockRecord, Versioned, MACHINES_PER_BLOCK};

/// Set aside for an address that is not known yet.
const LONGEST_USUAL_ADDRESS: &str = "255.255.255.255:65535";
/// Stands for the name of a machine where only its length matters.
const USUAL_MACHINE_NAME: &str = "vm-000000";
/// Bytes of a machine's record beside its name and address.
const MACHINE_RECORD_BYTES: usize = 40;

/// What the machines of a block have in common.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct BlockKind {
    pub(super) type_name: String,
    pub(super) zone: Arc<str>,
    pub(super) spot: bool,
}

impl BlockKind {
    /// The kind of block that a machine belongs to.
    pub(super) fn of(machine: &Machine) -> BlockKind {
        BlockKind {
            type_name: machine.machine_type.name.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
        }
    }
}

/// Machines of one type, zone and kind that share a record.
pub(super) struct Block {
    pub(super) kind: BlockKind,
    pub(super) machines: BTreeSet<Arc<str>>,
    /// The size of the record, at the most.
    pub(super) bytes: usize,
    /// The record's revision, 0 if it is not there.
    pub(super) revision: u64,
    /// Blocks that took over machines of this one: they must be on record before this one is written
    /// without those, or else a leader that comes in between would take them for gone.
    pub(super) successors: Vec<u32>,
}

impl Block {
    /// A block without machines, which is not on record.
    pub(super) fn empty(kind: BlockKind) -> Block {
        Block {
            kind,
            machines: BTreeSet::new(),
            bytes: 0,
            revision: 0,
            successors: Vec::new(),
        }
    }

    /// A block as it is on record.
    pub(super) fn from_record(on_record: &Versioned<MachineBlockRecord>) -> Block {
        let record = &on_record.value;
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
            revision: on_record.revision,
            successors: Vec::new(),
        }
    }

    /// Whether another machine's record of this size fits.
    pub(super) fn has_room_for(&self, bytes: usize, max_bytes: usize) -> bool {
        self.machines.len() < MACHINES_PER_BLOCK && self.bytes + bytes <= max_bytes
    }

    /// Estimates the size of the record after machines have moved to other blocks.
    pub(super) fn estimate_bytes(&mut self) {
        self.bytes = self.machines.len() * expected_bytes(USUAL_MACHINE_NAME);
    }
}

/// A machine that is moved to another block.
pub(super) struct BlockMove {
    /// The machine.
    pub(super) machine: Arc<str>,
    /// The block that it is moved to.
    pub(super) to: u32,
}

/// Which machines of a block go into new ones, numbered from `next_number` on, so that none is larger than
/// `max_bytes`.
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
        let bytes = expected_bytes(name);
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

/// The size of a machine's record, at the most.
fn machine_bytes(name: &str, address: &str) -> usize {
    name.len() + address.len() + MACHINE_RECORD_BYTES
}

/// The size of the record of a machine whose address is not known yet, at the most.
pub(super) fn expected_bytes(name: &str) -> usize {
    machine_bytes(name, LONGEST_USUAL_ADDRESS)
}
