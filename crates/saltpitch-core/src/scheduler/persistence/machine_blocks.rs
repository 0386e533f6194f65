//! Machines on record: blocks of machines of one type, zone and kind, and how they are written.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::transaction::{json, TransactionBuilder, TransactionContents};
use crate::cluster::{Machine, MachinePhase};
use crate::records::{block_key, BlockRecord, MachineRecord, RecordCache, BLOCK};
use crate::scheduler::{Scheduler, SchedulerConfig};
use crate::time::Micros;

/// Machines of one type, zone and kind that share a record.
struct Block {
    type_name: String,
    zone: Arc<str>,
    spot: bool,
    members: BTreeSet<Arc<str>>,
    bytes: usize,
    rev: u64,
    /// Blocks that took over machines of this one: they must be on record before this one is written
    /// without those, or else a leader that comes in between would take them for gone.
    successors: Vec<u32>,
}

/// The machines' records.
pub(in crate::scheduler) struct MachineBlocks {
    all: BTreeMap<u32, Block>,
    /// The block that takes the next machine of a type, zone and kind.
    unfilled: HashMap<(String, Arc<str>, bool), u32>,
    next: u32,
    due: BTreeMap<u32, Micros>,
    max_bytes: usize,
}

impl MachineBlocks {
    pub fn new(records: &RecordCache, config: &SchedulerConfig) -> MachineBlocks {
        let mut b = MachineBlocks {
            all: BTreeMap::new(),
            unfilled: HashMap::new(),
            next: 1,
            due: BTreeMap::new(),
            max_bytes: config.max_value_bytes * 3 / 4,
        };
        for (number, (rev, rec)) in &records.machine_blocks {
            b.next = b.next.max(number + 1);
            let members = rec
                .machines
                .iter()
                .map(|machine| machine.0.as_str().into())
                .collect();
            b.all.insert(
                *number,
                Block {
                    type_name: rec.type_name.clone(),
                    zone: rec.zone.as_str().into(),
                    spot: rec.spot,
                    members,
                    bytes: rec
                        .machines
                        .iter()
                        .map(|machine| bytes_of(&machine.0, &machine.1))
                        .sum(),
                    rev: *rev,
                    successors: Vec::new(),
                },
            );
        }
        b
    }

    /// A machine is found in two blocks: a leader ended while it split the first. The second has it.
    pub fn moved(&mut self, name: &Arc<str>, from: u32, due: Micros) {
        if let Some(b) = self.all.get_mut(&from) {
            b.members.remove(name);
            self.mark(from, due);
        }
    }

    pub fn next_due(&self) -> Option<Micros> {
        self.due.values().min().copied()
    }

    /// A block's record was written.
    pub fn written(&mut self, number: u32, rev: u64) {
        if let Some(block) = self.all.get_mut(&number) {
            block.rev = rev;
        }
    }

    pub fn drop_empty(&mut self, number: u32) {
        if self.all.get(&number).is_some_and(|b| b.members.is_empty()) {
            self.all.remove(&number);
        }
    }

    /// Takes the blocks' revisions from the records.
    pub fn read_anew(&mut self, records: &RecordCache) {
        for (number, block) in &mut self.all {
            block.rev = records.machine_blocks.get(number).map_or(0, |b| b.0);
        }
    }

    /// Moves machines out of a block that is too large for one value, into new ones; says which
    /// machines went where.
    fn split(&mut self, number: u32, now: Micros) -> Vec<(Arc<str>, u32)> {
        let Some(old) = self.all.get_mut(&number) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let mut part = number;
        let mut moves: Vec<(Arc<str>, u32)> = Vec::new();
        for name in old.members.iter() {
            let more = bytes_of(name, "255.255.255.255:65535");
            if bytes + more > self.max_bytes {
                part = if part == number { self.next } else { part + 1 };
                bytes = 0;
            }
            bytes += more;
            if part != number {
                moves.push((name.clone(), part));
            }
        }
        let (type_name, zone, spot) = (old.type_name.clone(), old.zone.clone(), old.spot);
        for (name, to) in &moves {
            old.members.remove(name);
            if !old.successors.contains(to) {
                old.successors.push(*to);
            }
        }
        old.bytes = old.members.len() * bytes_of("vm-000000", "255.255.255.255:65535");
        for (name, to) in &moves {
            self.next = self.next.max(to + 1);
            let block = self.all.entry(*to).or_insert_with(|| Block {
                type_name: type_name.clone(),
                zone: zone.clone(),
                spot,
                members: BTreeSet::new(),
                bytes: 0,
                rev: 0,
                successors: Vec::new(),
            });
            block.members.insert(name.clone());
            block.bytes += bytes_of(name, "255.255.255.255:65535");
            self.mark(*to, now);
        }
        self.mark(number, now);
        moves
    }

    pub fn unsaved(&self) -> usize {
        self.due.len()
    }

    pub fn mark(&mut self, number: u32, due: Micros) {
        let slot = self.due.entry(number).or_insert(due);
        *slot = (*slot).min(due);
    }

    /// The machine's record is to be written, together with others that change soon.
    pub fn changed(&mut self, machine: &mut Machine, due: Micros) {
        let number = match machine.block {
            Some(number) => number,
            None => {
                let number = self.assign(machine);
                machine.block = Some(number);
                number
            }
        };
        self.mark(number, due);
    }

    fn assign(&mut self, machine: &Machine) -> u32 {
        let key = (
            machine.kind.name.clone(),
            machine.zone.clone(),
            machine.spot,
        );
        // The address is not known yet: a usual one's length is set aside.
        let bytes = bytes_of(&machine.name, "255.255.255.255:65535");
        if let Some((number, b)) = self
            .unfilled
            .get(&key)
            .and_then(|number| self.all.get_mut(number).map(|b| (*number, b)))
        {
            if b.members.len() < BLOCK && b.bytes + bytes <= self.max_bytes {
                b.members.insert(machine.name.clone());
                b.bytes += bytes;
                return number;
            }
        }
        let number = self.next;
        self.next += 1;
        self.all.insert(
            number,
            Block {
                type_name: key.0.clone(),
                zone: key.1.clone(),
                spot: key.2,
                members: BTreeSet::from([machine.name.clone()]),
                bytes,
                rev: 0,
                successors: Vec::new(),
            },
        );
        self.unfilled.insert(key, number);
        number
    }

    /// The machine is proven gone.
    pub fn leave(&mut self, machine: &Machine, now: Micros) {
        let Some(number) = machine.block else { return };
        if let Some(b) = self.all.get_mut(&number) {
            b.members.remove(&machine.name);
            // What was freed is not counted on: addresses differ in length.
            self.mark(number, now.plus(Micros::from_secs(1)));
        }
    }
}

fn bytes_of(name: &str, addr: &str) -> usize {
    name.len() + addr.len() + 40
}

impl Scheduler {
    pub(in crate::scheduler) fn add_blocks(
        &mut self,
        b: &mut TransactionBuilder,
        p: &mut TransactionContents,
        ops: usize,
        max: usize,
        now: Micros,
    ) {
        let due: Vec<u32> = (self.persistence.machine_blocks.due.iter())
            .filter(|d| *d.1 <= now)
            .map(|d| *d.0)
            .rev()
            .collect();
        // The newest first: a block that was split comes after those that took over its machines.
        for number in due {
            let Some(block) = self.persistence.machine_blocks.all.get(&number) else {
                self.persistence.machine_blocks.due.remove(&number);
                continue;
            };
            let waits = (block.successors.iter()).any(|h| {
                let there = self
                    .persistence
                    .machine_blocks
                    .all
                    .get(h)
                    .is_none_or(|x| x.rev > 0);
                !there && !p.machine_blocks.iter().any(|w| w.0 == *h)
            });
            if waits {
                continue;
            }
            let mut rec = BlockRecord {
                type_name: block.type_name.clone(),
                zone: block.zone.to_string(),
                spot: block.spot,
                machines: Vec::with_capacity(block.members.len()),
            };
            let mut members = Vec::with_capacity(block.members.len());
            for machine in block
                .members
                .iter()
                .filter_map(|n| self.inventory.machines.get(n))
            {
                let returning = matches!(machine.phase, MachinePhase::Returning(_));
                let (name, addr) = (machine.name.to_string(), machine.addr.clone());
                rec.machines.push(MachineRecord(
                    name,
                    addr,
                    returning,
                    self.wall_of(machine.created_at, now),
                ));
                members.push((machine.name.clone(), returning));
            }
            let value = if rec.machines.is_empty() {
                None
            } else {
                json(&rec)
            };
            let bytes = value.as_ref().map_or(0, String::len);
            if self.persistence.reduced_limits
                && bytes > self.config.max_value_bytes
                && rec.machines.len() > 1
            {
                for (name, to) in self.persistence.machine_blocks.split(number, now) {
                    if let Some(machine) = self.inventory.machines.get_mut(&name) {
                        machine.block = Some(to);
                    }
                }
                self.persistence.next_transaction_at = now;
                continue;
            }
            if !b.fits(ops, 1, bytes + 200, max) {
                return;
            }
            self.persistence.machine_blocks.due.remove(&number);
            // A transaction of ours that is applied late must not undo a later one.
            b.require(block_key(number), block.rev);
            if value.is_none() {
                let key = (block.type_name.clone(), block.zone.clone(), block.spot);
                if self.persistence.machine_blocks.unfilled.get(&key) == Some(&number) {
                    self.persistence.machine_blocks.unfilled.remove(&key);
                }
            }
            b.write(block_key(number), value);
            p.machine_blocks.push((number, members));
        }
    }
}
