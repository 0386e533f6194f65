//! The machines in the cache.

use std::collections::HashSet;

use serde_json::value::RawValue;

use super::{parse, Change, RecordCache, RecordError};
use crate::records::stored::MachineBlockRecord;
use crate::records::Versioned;

impl RecordCache {
    pub(super) fn put_machine_block(
        &mut self,
        number: u32,
        raw: &RawValue,
        revision: u64,
    ) -> Result<Change, RecordError> {
        let known = self.machine_blocks.get(&number);
        if known.is_some_and(|known| known.covers(revision)) {
            return Ok(Change::None);
        }
        let record: MachineBlockRecord = parse(raw)?;
        for machine in &record.machines {
            self.returned_machines.remove(&machine.0);
        }
        let names = record.machines.iter().map(|machine| machine.0.clone());
        let remaining: HashSet<String> = names.collect();
        let block = Versioned::new(revision, record);
        let old = self.machine_blocks.insert(number, block);
        let old_machines = old.iter().flat_map(|old| &old.value.machines);
        for machine in old_machines.filter(|machine| !remaining.contains(&machine.0)) {
            self.machine_left_block(&machine.0);
        }
        Ok(Change::Machines)
    }

    pub(super) fn delete_machine_block(&mut self, number: u32, revision: u64) -> Change {
        let known = self.machine_blocks.get(&number);
        if known.is_none_or(|known| known.covers(revision)) {
            return Change::None;
        }
        if let Some(old) = self.machine_blocks.remove(&number) {
            for machine in &old.value.machines {
                self.machine_left_block(&machine.0);
            }
        }
        Change::Machines
    }

    /// Returns the names of the recorded machines.
    pub(super) fn machine_names(&self) -> impl Iterator<Item = &str> {
        let blocks = self.machine_blocks.values();
        let machines = blocks.flat_map(|block| &block.value.machines);
        machines.map(|machine| machine.0.as_str())
    }

    /// Registers a machine that a block no longer has as returned, unless it was moved to another block when that one
    /// was split.
    fn machine_left_block(&mut self, name: &str) {
        if !self.is_machine_recorded(name) {
            self.machine_gone(name);
        }
    }

    fn is_machine_recorded(&self, name: &str) -> bool {
        self.machine_names().any(|recorded| recorded == name)
    }

    /// Registers a machine as returned, so that its late heartbeats and cloud listings are ignored.
    pub(super) fn machine_gone(&mut self, name: &str) {
        self.returned_machines.insert(name);
        self.images.remove_machine(name);
    }
}
