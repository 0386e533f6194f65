//! Machines on record: blocks of machines of one type, zone and kind that share a record.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::machine_block::{expected_bytes, planned_moves, Block, BlockKind, BlockMove};
use super::transaction::{CommittedMachine, WrittenBlock};
use super::RecordSources;
use crate::machine::Machine;
use crate::records::{MachineBlockRecord, MachineRecord, RecordCache};
use crate::scheduler::SchedulerConfig;
use crate::time::Micros;

/// How long the record of a block waits for other changes after a machine has left it.
const DEPARTURE_DELAY: Micros = Micros::from_secs(1);

/// A block's record as it is to be written.
pub(super) struct BlockDraft {
    /// The record.
    pub(super) record: MachineBlockRecord,
    /// The revision that the block's key has.
    pub(super) revision: u64,
    /// The block and its machines.
    pub(super) written: WrittenBlock,
}

/// The machines' records.
pub(super) struct MachineBlocks {
    blocks: BTreeMap<u32, Block>,
    /// The block that takes the next machine of a kind.
    unfilled: HashMap<BlockKind, u32>,
    next_number: u32,
    /// When each block that differs from its record is to be written.
    due_times: BTreeMap<u32, Micros>,
    /// The size up to which blocks are filled.
    max_bytes: usize,
}

impl MachineBlocks {
    /// The blocks on record.
    pub(super) fn new(records: &RecordCache, config: &SchedulerConfig) -> MachineBlocks {
        let on_record = records.machine_blocks.iter();
        let last_number = records.machine_blocks.keys().next_back();
        MachineBlocks {
            blocks: on_record
                .map(|(number, block)| (*number, Block::from_record(block)))
                .collect(),
            unfilled: HashMap::new(),
            next_number: last_number.map_or(1, |number| number + 1),
            due_times: BTreeMap::new(),
            max_bytes: config.max_value_bytes * 3 / 4,
        }
    }

    /// A machine is found in two blocks: a leader ended while it split the first. The second has it.
    pub(super) fn remove_duplicate(&mut self, name: &Arc<str>, block: u32, due: Micros) {
        if let Some(first) = self.blocks.get_mut(&block) {
            first.machines.remove(name);
            self.mark(block, due);
        }
    }

    /// When the first block is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.due_times.values().min().copied()
    }

    /// How many blocks differ from their records.
    pub(super) fn unsaved_count(&self) -> usize {
        self.due_times.len()
    }

    /// A block's record was written, or deleted if no machine is left in it.
    pub(super) fn written(&mut self, block: &WrittenBlock, revision: u64) {
        let known = self.blocks.get(&block.number);
        if block.machines.is_empty() && known.is_some_and(|known| known.machines.is_empty()) {
            self.blocks.remove(&block.number);
        }
        if let Some(known) = self.blocks.get_mut(&block.number) {
            known.revision = revision;
        }
    }

    /// Takes the blocks' revisions from the records.
    pub(super) fn reload(&mut self, records: &RecordCache) {
        for (number, block) in &mut self.blocks {
            let on_record = records.machine_blocks.get(number);
            block.revision = on_record.map_or(0, |on_record| on_record.revision);
        }
    }

    /// Marks a block for writing at `due`, or earlier if it is due earlier already.
    pub(super) fn mark(&mut self, number: u32, due: Micros) {
        let known = self.due_times.entry(number).or_insert(due);
        *known = (*known).min(due);
    }

    /// The machine's record is to be written, together with others that change soon.
    pub(super) fn machine_changed(&mut self, machine: &mut Machine, due: Micros) {
        let number = machine.block.unwrap_or_else(|| self.assign(machine));
        machine.block = Some(number);
        self.mark(number, due);
    }

    /// Puts a machine into a block with room, or into a new one.
    fn assign(&mut self, machine: &Machine) -> u32 {
        let kind = BlockKind::of(machine);
        let bytes = expected_bytes(&machine.name);
        let unfilled = self.unfilled.get(&kind).copied().filter(|number| {
            let block = self.blocks.get(number);
            block.is_some_and(|block| block.has_room_for(bytes, self.max_bytes))
        });
        let number = unfilled.unwrap_or_else(|| self.open_block(kind));
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
        self.unfilled.insert(kind, number);
        number
    }

    /// The machine is proven gone. The bytes that it leaves are not counted on: addresses differ in
    /// length.
    pub(super) fn machine_gone(&mut self, machine: &Machine, now: Micros) {
        let Some(number) = machine.block else { return };
        if let Some(block) = self.blocks.get_mut(&number) {
            block.machines.remove(&machine.name);
            self.mark(number, now.plus(DEPARTURE_DELAY));
        }
    }

    /// The blocks that are due, the newest first: a block that was split comes after those that took
    /// over its machines.
    pub(super) fn due(&self, now: Micros) -> Vec<u32> {
        let due = self.due_times.iter().filter(|(_, due)| **due <= now);
        due.map(|(number, _)| *number).rev().collect()
    }

    /// Whether a block that took over machines of this one has yet to be written, and is not among
    /// those that are being written.
    pub(super) fn awaits_successor(&self, number: u32, being_written: &[WrittenBlock]) -> bool {
        let Some(block) = self.blocks.get(&number) else {
            return false;
        };
        block.successors.iter().any(|successor| {
            let on_record = self
                .blocks
                .get(successor)
                .is_none_or(|block| block.revision > 0);
            !on_record && !being_written.iter().any(|block| block.number == *successor)
        })
    }

    /// The block's record as it is to be written; `None` if there is no such block.
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

    /// The block's record is part of a transaction, or there is no such block.
    pub(super) fn unmark(&mut self, number: u32) {
        self.due_times.remove(&number);
    }

    /// The block's record is to be deleted: it takes no more machines.
    pub(super) fn close_block(&mut self, number: u32) {
        self.unfilled.retain(|_, unfilled| *unfilled != number);
    }

    /// Moves machines out of a block that is too large for one value, into new ones.
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
            successor.bytes += expected_bytes(machine);
            self.mark(*to, now);
        }
        self.mark(number, now);
        moves
    }
}
