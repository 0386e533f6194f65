//! The records of machines: machines of one [`BlockKind`] share a block, and each block is one record.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::machine_block::{max_machine_bytes, planned_moves, Block, BlockKind, BlockMove};
use super::transaction::{CommittedMachine, WrittenBlock};
use super::RecordSources;
use crate::machine::Machine;
use crate::records::{MachineBlockRecord, MachineRecord, RecordCache};
use crate::scheduler::SchedulerConfig;
use crate::time::Micros;

/// Delay before a block is written after a machine has been removed from it, so that other changes share the
/// write.
const REMOVAL_DELAY: Micros = Micros::from_secs(1);

/// The record of a block, ready to be written.
pub(super) struct BlockDraft {
    /// The record.
    pub(super) record: MachineBlockRecord,
    /// The present revision of the block's key.
    pub(super) revision: u64,
    /// The block and its machines, for the transaction's contents.
    pub(super) written: WrittenBlock,
}

/// The blocks of machines, and which of them differ from their records.
pub(super) struct MachineBlocks {
    blocks: BTreeMap<u32, Block>,
    /// The block that the next machine of each kind is added to.
    open_blocks: HashMap<BlockKind, u32>,
    next_number: u32,
    /// When each block that differs from its record is to be written.
    due_times: BTreeMap<u32, Micros>,
    /// The size up to which machines are added to a block.
    max_bytes: usize,
}

impl MachineBlocks {
    /// Creates the blocks from the records.
    pub(super) fn new(records: &RecordCache, config: &SchedulerConfig) -> MachineBlocks {
        let recorded_blocks = records.machine_blocks.iter();
        let last_number = records.machine_blocks.keys().next_back();
        MachineBlocks {
            blocks: recorded_blocks
                .map(|(number, block)| (*number, Block::from_record(block)))
                .collect(),
            open_blocks: HashMap::new(),
            next_number: last_number.map_or(1, |number| number + 1),
            due_times: BTreeMap::new(),
            max_bytes: config.max_value_bytes * 3 / 4,
        }
    }

    /// Removes a machine from a block because another block contains it as well: a leader stopped while it was
    /// splitting this block.
    pub(super) fn remove_duplicate(&mut self, name: &Arc<str>, block: u32, due: Micros) {
        if let Some(split) = self.blocks.get_mut(&block) {
            split.machines.remove(name);
            self.mark(block, due);
        }
    }

    /// Returns when the first block is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.due_times.values().min().copied()
    }

    /// Returns how many blocks differ from their records.
    pub(super) fn unsaved_count(&self) -> usize {
        self.due_times.len()
    }

    /// Updates a block after its record was written, or deleted because no machine is left in it.
    pub(super) fn block_committed(&mut self, block: &WrittenBlock, revision: u64) {
        let known = self.blocks.get(&block.number);
        if block.machines.is_empty() && known.is_some_and(|known| known.machines.is_empty()) {
            self.blocks.remove(&block.number);
        }
        if let Some(known) = self.blocks.get_mut(&block.number) {
            known.revision = revision;
        }
    }

    /// Updates the blocks' revisions from reloaded records.
    pub(super) fn reload(&mut self, records: &RecordCache) {
        for (number, block) in &mut self.blocks {
            let recorded = records.machine_blocks.get(number);
            block.revision = recorded.map_or(0, |recorded| recorded.revision);
        }
    }

    /// Marks a block to be written at `due`, unless it is due earlier already.
    pub(super) fn mark(&mut self, number: u32, due: Micros) {
        let known = self.due_times.entry(number).or_insert(due);
        *known = (*known).min(due);
    }

    /// Marks the machine's block to be written at `due`, together with other changes until then.
    pub(super) fn machine_changed(&mut self, machine: &mut Machine, due: Micros) {
        let number = machine.block.unwrap_or_else(|| self.assign_block(machine));
        machine.block = Some(number);
        self.mark(number, due);
    }

    /// Adds a machine to a block with room, or to a new one, and returns the block's number.
    fn assign_block(&mut self, machine: &Machine) -> u32 {
        let kind = BlockKind::of(machine);
        let bytes = max_machine_bytes(&machine.name);
        let open_block = self.open_blocks.get(&kind).copied().filter(|number| {
            let block = self.blocks.get(number);
            block.is_some_and(|block| block.has_room_for(bytes, self.max_bytes))
        });
        let number = open_block.unwrap_or_else(|| self.open_block(kind));
        if let Some(block) = self.blocks.get_mut(&number) {
            block.machines.insert(machine.name.clone());
            block.bytes += bytes;
        }
        number
    }

    fn open_block(&mut self, kind: BlockKind) -> u32 {
        let number = self.next_number;
        self.next_number += 1;
        self.blocks.insert(number, Block::empty(kind.clone()));
        self.open_blocks.insert(kind, number);
        number
    }

    /// Removes a machine that is proven gone from its block. The block's estimated size is not reduced, because
    /// addresses differ in length.
    pub(super) fn machine_gone(&mut self, machine: &Machine, now: Micros) {
        let Some(number) = machine.block else { return };
        if let Some(block) = self.blocks.get_mut(&number) {
            block.machines.remove(&machine.name);
            self.mark(number, now.plus(REMOVAL_DELAY));
        }
    }

    /// Returns the blocks that are due, the newest first, so that a block that was split comes after those that
    /// its machines were moved to.
    pub(super) fn due_blocks(&self, now: Micros) -> Vec<u32> {
        let due = self.due_times.iter().filter(|(_, due)| **due <= now);
        due.map(|(number, _)| *number).rev().collect()
    }

    /// Returns whether a block that machines of this one were moved to is neither recorded nor among those in the
    /// transaction being composed.
    pub(super) fn awaits_successor(&self, number: u32, being_written: &[WrittenBlock]) -> bool {
        let Some(block) = self.blocks.get(&number) else {
            return false;
        };
        block.successors.iter().any(|successor| {
            let is_recorded = self
                .blocks
                .get(successor)
                .is_none_or(|block| block.revision > 0);
            !is_recorded && !being_written.iter().any(|block| block.number == *successor)
        })
    }

    /// Returns the block's record, ready to be written, or `None` if there is no such block.
    pub(super) fn draft(&self, number: u32, sources: &RecordSources) -> Option<BlockDraft> {
        let block = self.blocks.get(&number)?;
        let mut record = MachineBlockRecord {
            type_name: block.kind.type_name.clone(),
            zone: block.kind.zone.to_string(),
            spot: block.kind.spot,
            machines: Vec::with_capacity(block.machines.len()),
        };
        let mut written = WrittenBlock {
            number,
            machines: Vec::with_capacity(block.machines.len()),
        };
        let machines = block.machines.iter();
        for machine in machines.filter_map(|name| sources.machines.get(name)) {
            let is_returning = machine.lifecycle.is_returning();
            record.machines.push(MachineRecord(
                machine.name.to_string(),
                machine.addr.clone(),
                is_returning,
                sources.wall_time(machine.lifecycle.created_at()),
            ));
            written.machines.push(CommittedMachine {
                name: machine.name.clone(),
                is_returning,
            });
        }
        Some(BlockDraft {
            record,
            revision: block.revision,
            written,
        })
    }

    /// Clears the mark of a block that is part of a transaction or does not exist.
    pub(super) fn unmark(&mut self, number: u32) {
        self.due_times.remove(&number);
    }

    /// Stops adding machines to a block, because its record is to be deleted.
    pub(super) fn close_block(&mut self, number: u32) {
        self.open_blocks
            .retain(|_, open_block| *open_block != number);
    }

    /// Moves machines from a block that is too large for one value into new blocks, and returns the moves.
    pub(super) fn split(&mut self, number: u32, now: Micros) -> Vec<BlockMove> {
        let next_number = self.next_number;
        let max_bytes = self.max_bytes;
        let Some(block) = self.blocks.get_mut(&number) else {
            return Vec::new();
        };
        let moves = planned_moves(block, number, next_number, max_bytes);
        for BlockMove { machine, to } in &moves {
            block.machines.remove(machine);
            if !block.successors.contains(to) {
                block.successors.push(*to);
            }
        }
        block.estimate_bytes();
        let kind = block.kind.clone();
        for BlockMove { machine, to } in &moves {
            self.next_number = self.next_number.max(to + 1);
            let successor = self.blocks.entry(*to);
            let successor = successor.or_insert_with(|| Block::empty(kind.clone()));
            successor.machines.insert(machine.clone());
            successor.bytes += max_machine_bytes(machine);
            self.mark(*to, now);
        }
        self.mark(number, now);
        moves
    }
}
