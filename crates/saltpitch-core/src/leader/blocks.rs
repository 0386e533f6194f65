//! Machines on record: blocks of machines of one type, zone and kind, and how they are written.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use super::transaction::{json, Batch, Pending};
use super::{Config, Leader};
use crate::cluster::{Machine, Phase};
use crate::records::{block_key, BlockRecord, MachineRecord, View, BLOCK};
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
    heirs: Vec<u32>,
}

/// The machines' records.
pub(super) struct Blocks {
    all: BTreeMap<u32, Block>,
    /// The block that takes the next machine of a type, zone and kind.
    open: HashMap<(String, Arc<str>, bool), u32>,
    next: u32,
    due: BTreeMap<u32, Micros>,
    max_bytes: usize,
}

impl Blocks {
    pub fn new(view: &View, cfg: &Config) -> Blocks {
        let mut b = Blocks {
            all: BTreeMap::new(),
            open: HashMap::new(),
            next: 1,
            due: BTreeMap::new(),
            max_bytes: cfg.value_bytes * 3 / 4,
        };
        for (no, (rev, rec)) in &view.blocks {
            b.next = b.next.max(no + 1);
            let members = rec.machines.iter().map(|m| m.0.as_str().into()).collect();
            b.all.insert(
                *no,
                Block {
                    type_name: rec.type_name.clone(),
                    zone: rec.zone.as_str().into(),
                    spot: rec.spot,
                    members,
                    bytes: rec.machines.iter().map(|m| bytes_of(&m.0, &m.1)).sum(),
                    rev: *rev,
                    heirs: Vec::new(),
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
    pub fn written(&mut self, no: u32, rev: u64) {
        if let Some(block) = self.all.get_mut(&no) {
            block.rev = rev;
        }
    }

    pub fn drop_empty(&mut self, no: u32) {
        if self.all.get(&no).is_some_and(|b| b.members.is_empty()) {
            self.all.remove(&no);
        }
    }

    /// Takes the blocks' revisions from the records.
    pub fn read_anew(&mut self, view: &View) {
        for (no, block) in &mut self.all {
            block.rev = view.blocks.get(no).map_or(0, |b| b.0);
        }
    }

    /// Moves machines out of a block that is too large for one value, into new ones; says which
    /// machines went where.
    fn split(&mut self, no: u32, now: Micros) -> Vec<(Arc<str>, u32)> {
        let Some(old) = self.all.get_mut(&no) else {
            return Vec::new();
        };
        let mut bytes = 0;
        let mut part = no;
        let mut moves: Vec<(Arc<str>, u32)> = Vec::new();
        for name in old.members.iter() {
            let more = bytes_of(name, "255.255.255.255:65535");
            if bytes + more > self.max_bytes {
                part = if part == no { self.next } else { part + 1 };
                bytes = 0;
            }
            bytes += more;
            if part != no {
                moves.push((name.clone(), part));
            }
        }
        let (type_name, zone, spot) = (old.type_name.clone(), old.zone.clone(), old.spot);
        for (name, to) in &moves {
            old.members.remove(name);
            if !old.heirs.contains(to) {
                old.heirs.push(*to);
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
                heirs: Vec::new(),
            });
            block.members.insert(name.clone());
            block.bytes += bytes_of(name, "255.255.255.255:65535");
            self.mark(*to, now);
        }
        self.mark(no, now);
        moves
    }

    pub fn dirty(&self) -> usize {
        self.due.len()
    }

    pub fn mark(&mut self, no: u32, due: Micros) {
        let slot = self.due.entry(no).or_insert(due);
        *slot = (*slot).min(due);
    }

    /// The machine's record is to be written, together with others that change soon.
    pub fn changed(&mut self, m: &mut Machine, due: Micros) {
        let no = match m.block {
            Some(no) => no,
            None => {
                let no = self.place(m);
                m.block = Some(no);
                no
            }
        };
        self.mark(no, due);
    }

    fn place(&mut self, m: &Machine) -> u32 {
        let key = (m.kind.name.clone(), m.zone.clone(), m.spot);
        // The address is not known yet: a usual one's length is set aside.
        let bytes = bytes_of(&m.name, "255.255.255.255:65535");
        if let Some((no, b)) = self
            .open
            .get(&key)
            .and_then(|no| self.all.get_mut(no).map(|b| (*no, b)))
        {
            if b.members.len() < BLOCK && b.bytes + bytes <= self.max_bytes {
                b.members.insert(m.name.clone());
                b.bytes += bytes;
                return no;
            }
        }
        let no = self.next;
        self.next += 1;
        self.all.insert(
            no,
            Block {
                type_name: key.0.clone(),
                zone: key.1.clone(),
                spot: key.2,
                members: BTreeSet::from([m.name.clone()]),
                bytes,
                rev: 0,
                heirs: Vec::new(),
            },
        );
        self.open.insert(key, no);
        no
    }

    /// The machine is proven gone.
    pub fn leave(&mut self, m: &Machine, now: Micros) {
        let Some(no) = m.block else { return };
        if let Some(b) = self.all.get_mut(&no) {
            b.members.remove(&m.name);
            // What was freed is not counted on: addresses differ in length.
            self.mark(no, now.plus(Micros::from_secs(1)));
        }
    }
}

fn bytes_of(name: &str, addr: &str) -> usize {
    name.len() + addr.len() + 40
}

impl Leader {
    pub(super) fn add_blocks(
        &mut self,
        b: &mut Batch,
        p: &mut Pending,
        ops: usize,
        max: usize,
        now: Micros,
    ) {
        let due: Vec<u32> = (self.blocks.due.iter())
            .filter(|d| *d.1 <= now)
            .map(|d| *d.0)
            .rev()
            .collect();
        // The newest first: a block that was split comes after those that took over its machines.
        for no in due {
            let Some(block) = self.blocks.all.get(&no) else {
                self.blocks.due.remove(&no);
                continue;
            };
            let waits = (block.heirs.iter()).any(|h| {
                let there = self.blocks.all.get(h).is_none_or(|x| x.rev > 0);
                !there && !p.blocks.iter().any(|w| w.0 == *h)
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
            for m in block.members.iter().filter_map(|n| self.machines.get(n)) {
                let returning = matches!(m.phase, Phase::Returning(_));
                let (name, addr) = (m.name.to_string(), m.addr.clone());
                rec.machines.push(MachineRecord(
                    name,
                    addr,
                    returning,
                    self.wall_of(m.born, now),
                ));
                members.push((m.name.clone(), returning));
            }
            let value = if rec.machines.is_empty() {
                None
            } else {
                json(&rec)
            };
            let bytes = value.as_ref().map_or(0, String::len);
            if self.narrow && bytes > self.cfg.value_bytes && rec.machines.len() > 1 {
                for (name, to) in self.blocks.split(no, now) {
                    if let Some(m) = self.machines.get_mut(&name) {
                        m.block = Some(to);
                    }
                }
                self.next_txn = now;
                continue;
            }
            if !b.fits(ops, 1, bytes + 200, max) {
                return;
            }
            self.blocks.due.remove(&no);
            // A transaction of ours that is applied late must not undo a later one.
            b.when(block_key(no), block.rev);
            if value.is_none() {
                let key = (block.type_name.clone(), block.zone.clone(), block.spot);
                if self.blocks.open.get(&key) == Some(&no) {
                    self.blocks.open.remove(&key);
                }
            }
            b.write(block_key(no), value);
            p.blocks.push((no, members));
        }
    }
}
