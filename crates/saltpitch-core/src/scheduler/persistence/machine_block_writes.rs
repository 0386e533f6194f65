//! Adds the records of machine blocks to a transaction.

use super::machine_blocks::BlockDraft;
use super::transaction::TransactionBuilder;
use super::{to_json, Persistence, RecordSources};
use crate::records::machine_block_key;

/// Bytes reserved for a block's precondition and key.
const BLOCK_OVERHEAD_BYTES: usize = 200;

impl Persistence {
    /// Adds the records of the machine blocks that are due.
    pub(super) fn add_machine_blocks(
        &mut self,
        builder: &mut TransactionBuilder,
        sources: &mut RecordSources,
    ) {
        for number in self.machine_blocks.due_blocks(sources.now) {
            let being_written = &builder.contents.machine_blocks;
            if self.machine_blocks.awaits_successor(number, being_written) {
                continue;
            }
            let Some(draft) = self.machine_blocks.draft(number, sources) else {
                self.machine_blocks.unmark(number);
                continue;
            };
            let is_empty = draft.record.machines.is_empty();
            let value = to_json(&draft.record).filter(|_| !is_empty);
            let bytes = value.as_ref().map_or(0, String::len);
            if self.reduced_limits
                && bytes > sources.config.max_value_bytes
                && draft.record.machines.len() > 1
            {
                self.split_machine_block(number, sources);
                continue;
            }
            if !builder.fits(builder.max_writes(), bytes + BLOCK_OVERHEAD_BYTES) {
                return;
            }
            self.add_machine_block(draft, value, builder);
        }
    }

    /// Adds one block's record. A precondition requires the block's key to be unchanged, so that a transaction of
    /// this leader that the store applies late cannot overwrite a later one.
    fn add_machine_block(
        &mut self,
        draft: BlockDraft,
        value: Option<String>,
        builder: &mut TransactionBuilder,
    ) {
        let number = draft.written.number;
        self.machine_blocks.unmark(number);
        if value.is_none() {
            self.machine_blocks.close_block(number);
        }
        builder.require(machine_block_key(number), draft.revision);
        builder.write(machine_block_key(number), value);
        builder.contents.machine_blocks.push(draft.written);
    }

    /// Splits a block whose record the store no longer accepts because of its size. The resulting blocks are
    /// written with the next transaction.
    fn split_machine_block(&mut self, number: u32, sources: &mut RecordSources) {
        for block_move in self.machine_blocks.split(number, sources.now) {
            if let Some(machine) = sources.machines.get_mut(&block_move.machine) {
                machine.block = Some(block_move.to);
            }
        }
        self.next_transaction_at = sources.now;
    }
}
