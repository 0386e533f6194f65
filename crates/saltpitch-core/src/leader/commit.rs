//! Records against memory: one transaction at a time, conditioned on the term and on the jobs.

use std::sync::Arc;

use serde::Serialize;

use super::{Effect, Leader, Write};
use crate::cluster::{JobNo, Phase};
use crate::gang::Gang;
use crate::job::{JobState, Kind};
use crate::records::{
    chunk_key, job_key, machine_key, ChunkRecord, JobRecord, MachineRecord, PlaceRecord, View,
    CHUNK, TERM_KEY,
};
use crate::time::Micros;

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    Done(u64),
    /// These keys were not as expected.
    Failed(Vec<String>),
    /// Not carried out: refused, throttled or no connection.
    Refused,
    /// No answer: it may have been carried out, or may yet be.
    Unknown,
}

/// The transaction under way.
#[derive(Default)]
pub(super) struct Pending {
    chunks: Vec<(JobNo, u32)>,
    finals: Vec<JobNo>,
    machines: Vec<(Arc<str>, bool)>,
    gone: Vec<Arc<str>>,
    leftovers: Vec<String>,
}

/// Collects a transaction's parts within its limits.
struct Batch {
    when: Vec<(String, u64)>,
    writes: Vec<Write>,
    bytes: usize,
}

impl Batch {
    fn fits(&self, ops: usize, writes: usize, bytes: usize, max: usize) -> bool {
        self.writes.len() + writes <= ops
            && self.when.len() + 2 * writes < ops * 4
            && self.bytes + bytes <= max
    }

    fn when(&mut self, key: String, rev: u64) {
        if !self.when.iter().any(|w| w.0 == key) {
            self.bytes += key.len() + 40;
            self.when.push((key, rev));
        }
    }

    fn write(&mut self, key: String, value: Option<String>) {
        self.bytes += key.len() + value.as_ref().map_or(0, String::len) + 40;
        self.writes.push(Write { key, value });
    }
}

fn json<T: Serialize>(v: &T) -> Option<String> {
    serde_json::to_string(v).ok()
}

impl Leader {
    pub(super) fn has_writes(&self) -> bool {
        self.txn.is_none()
            && !self.paused
            && !(self.dirty.is_empty()
                && self.final_jobs.is_empty()
                && self.dirty_machines.is_empty()
                && self.gone_machines.is_empty()
                && self.leftovers.is_empty())
    }

    /// Sends the next transaction if there is something to write and none is under way.
    pub(super) fn commit(&mut self, now: Micros) {
        if self.paused && !self.refresh_out && now >= self.next_txn {
            self.refresh_out = true;
            self.effects.push(Effect::Refresh);
        }
        if !self.has_writes() || now < self.next_txn {
            return;
        }
        let (ops, max) = (self.cfg.txn_ops, self.cfg.txn_bytes);
        let mut b = Batch {
            when: vec![(TERM_KEY.to_owned(), self.term_rev)],
            writes: Vec::new(),
            bytes: 100,
        };
        let mut p = Pending::default();
        self.add_finals(&mut b, &mut p, ops, max);
        self.add_machines(&mut b, &mut p, ops, max, now);
        self.add_chunks(&mut b, &mut p, ops, max);
        while let Some(key) = self.leftovers.front().cloned() {
            if !b.fits(ops, 1, 300, max) {
                break;
            }
            self.leftovers.pop_front();
            b.write(key.clone(), None);
            p.leftovers.push(key);
        }
        if b.writes.is_empty() {
            return;
        }
        self.txn = Some(p);
        self.effects.push(Effect::Txn {
            when: b.when,
            writes: b.writes,
        });
    }

    fn add_finals(&mut self, b: &mut Batch, p: &mut Pending, ops: usize, max: usize) {
        let finals: Vec<JobNo> = self.final_jobs.iter().copied().collect();
        for no in finals {
            let Some(job) = self.jobs.get(&no) else {
                self.final_jobs.remove(&no);
                continue;
            };
            if !b.fits(ops, 1, 400, max) {
                return;
            }
            let state = match job.state {
                JobState::Cancelled => JobState::Cancelled,
                _ => JobState::Done,
            };
            b.when(job_key(&job.id), job.rev);
            b.write(
                job_key(&job.id),
                json(&JobRecord {
                    state,
                    submitted: Micros::ZERO,
                    spec: None,
                }),
            );
            self.final_jobs.remove(&no);
            self.dirty.retain(|d| d.0 != no);
            p.finals.push(no);
        }
    }

    fn add_machines(
        &mut self,
        b: &mut Batch,
        p: &mut Pending,
        ops: usize,
        max: usize,
        now: Micros,
    ) {
        let names: Vec<Arc<str>> = self.dirty_machines.iter().cloned().collect();
        for name in names {
            if !b.fits(ops, 1, 700, max) {
                return;
            }
            self.dirty_machines.remove(&name);
            let Some(m) = self.machines.get(&name) else {
                continue;
            };
            let returning = matches!(m.phase, Phase::Returning(_));
            let rec = MachineRecord {
                type_name: m.kind.name.clone(),
                zone: m.zone.to_string(),
                spot: m.spot,
                addr: m.addr.clone(),
                returning,
                born: self.wall_of(m.born, now),
            };
            b.write(machine_key(&name), json(&rec));
            p.machines.push((name, returning));
        }
        let gone: Vec<Arc<str>> = self.gone_machines.iter().cloned().collect();
        for name in gone {
            if !b.fits(ops, 1, 300, max) {
                return;
            }
            self.gone_machines.remove(&name);
            b.write(machine_key(&name), None);
            p.gone.push(name);
        }
    }

    fn add_chunks(&mut self, b: &mut Batch, p: &mut Pending, ops: usize, max: usize) {
        let dirty: Vec<(JobNo, u32)> = self.dirty.iter().copied().collect();
        for (no, c) in dirty {
            let Some(job) = self.jobs.get_mut(&no) else {
                self.dirty.remove(&(no, c));
                continue;
            };
            // A gang's members go on record at quorum, not before.
            let lo = c * CHUNK;
            let hi = (lo + CHUNK).min(job.spec.tasks);
            let rec = chunk_record(&job.tasks[lo as usize..hi as usize], job.gang);
            let Some(value) = json(&rec) else { continue };
            if !b.fits(ops, 1, value.len() + 200, max) {
                return;
            }
            self.dirty.remove(&(no, c));
            b.when(job_key(&job.id), job.rev);
            let key = chunk_key(&job.id, c);
            b.when(key.clone(), job.chunk_revs[c as usize]);
            b.write(key, Some(value));
            let holding = matches!(job.gang, Gang::Holding { .. });
            for t in &mut job.tasks[lo as usize..hi as usize] {
                if let Some(place) = t.place.as_mut() {
                    place.in_txn = !holding || place.committed;
                }
            }
            p.chunks.push((no, c));
        }
    }

    /// The answer to [`Effect::Txn`].
    pub fn committed(&mut self, outcome: Outcome, now: Micros) {
        let Some(p) = self.txn.take() else {
            return;
        };
        match outcome {
            Outcome::Done(rev) => self.apply_commit(p, rev, now),
            _ => {
                let refused = outcome == Outcome::Refused;
                self.undo_commit(p);
                let wait = if refused { 300 } else { 20 };
                self.next_txn = now.plus(Micros::from_millis(wait));
                // Refused outright, nothing has changed; otherwise the revisions are in doubt.
                self.paused = !refused;
            }
        }
    }

    fn apply_commit(&mut self, p: Pending, rev: u64, now: Micros) {
        for no in p.finals {
            self.finish_job(no);
        }
        for (name, returning) in p.machines {
            if let Some(m) = self.machines.get_mut(&name) {
                m.recorded = true;
                if returning && m.phase == Phase::Returning(false) {
                    m.phase = Phase::Returning(true);
                }
            }
        }
        let mut stops = Vec::new();
        for (no, c) in p.chunks {
            let Some(job) = self.jobs.get_mut(&no) else {
                continue;
            };
            job.chunk_revs[c as usize] = rev;
            let cancelled = job.state != JobState::Active;
            let lo = c * CHUNK;
            let hi = (lo + CHUNK).min(job.spec.tasks);
            for t in &mut job.tasks[lo as usize..hi as usize] {
                if let Some(place) = t.place.as_mut() {
                    if place.in_txn {
                        place.in_txn = false;
                        place.committed = true;
                        self.push.insert(place.machine.clone());
                    }
                }
            }
            if job.spec.kind == Kind::Gang
                && job.gang == Gang::Committing
                && job
                    .tasks
                    .iter()
                    .all(|t| t.place.as_ref().is_some_and(|p| p.committed))
            {
                // The allow loop: every member's start is released at once.
                job.gang = Gang::Allowed;
                for t in &job.tasks {
                    if let Some(place) = &t.place {
                        self.push.insert(place.machine.clone());
                    }
                }
            }
            if cancelled {
                stops.push(no);
            }
            // Exits that are on record now may be forgotten by their workers.
            self.push_strays(no);
        }
        for no in stops {
            self.stop_all(no, Micros::ZERO, now);
        }
        self.next_txn = now.plus(Micros::from_millis(30));
        self.schedule_wanted = true;
    }

    fn undo_commit(&mut self, p: Pending) {
        for (no, c) in &p.chunks {
            if let Some(job) = self.jobs.get_mut(no) {
                for t in &mut job.tasks {
                    if let Some(place) = t.place.as_mut() {
                        place.in_txn = false;
                    }
                }
                self.dirty.insert((*no, *c));
            }
        }
        self.final_jobs.extend(p.finals);
        for (name, _) in p.machines {
            self.dirty_machines.insert(name);
        }
        self.gone_machines.extend(p.gone);
        self.leftovers.extend(p.leftovers);
    }

    /// The answer to [`Effect::Refresh`]: `None` when the store could not be read.
    pub fn refreshed(&mut self, view: Option<&View>, now: Micros, wall: Micros) {
        self.refresh_out = false;
        let Some(view) = view else {
            self.next_txn = now.plus(Micros::from_millis(300));
            return;
        };
        self.paused = false;
        self.next_txn = now;
        let mut touched: Vec<JobNo> = self.dirty.iter().map(|d| d.0).collect();
        touched.extend(self.final_jobs.iter());
        touched.dedup();
        for no in touched {
            let Some(job) = self.jobs.get_mut(&no) else {
                continue;
            };
            let id = job.id.clone();
            for (c, rev) in job.chunk_revs.iter_mut().enumerate() {
                let seen = view.chunks.get(&*id).and_then(|x| x.get(&(c as u32)));
                *rev = seen.map_or(0, |s| s.0);
            }
            // A final record that was written although its answer was lost.
            let over = view
                .jobs
                .get(&*id)
                .is_some_and(|e| e.record.spec.is_none() && e.record.state.is_final());
            if over {
                self.final_jobs.remove(&no);
                self.finish_job(no);
                self.dirty.retain(|d| d.0 != no);
            } else {
                self.job_changed(view, &id, now, wall);
            }
        }
        self.schedule_wanted = true;
    }

    /// The final record is written: the job leaves memory, its chunks are deleted by and by.
    fn finish_job(&mut self, no: JobNo) {
        self.push_strays(no);
        let Some(job) = self.jobs.remove(&no) else {
            return;
        };
        self.by_id.remove(&job.id);
        for (c, rev) in job.chunk_revs.iter().enumerate() {
            if *rev > 0 {
                self.leftovers.push_back(chunk_key(&job.id, c as u32));
            }
        }
    }

    /// Workers that still list exited tasks of this job are to be told to forget them.
    fn push_strays(&mut self, no: JobNo) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        for m in self.machines.values() {
            if m.strays.iter().any(|s| s.job == *job.id) {
                self.push.insert(m.name.clone());
            }
        }
    }

    /// Whether this chunk is part of the transaction under way.
    pub(super) fn in_flight(&self, no: JobNo, chunk: u32) -> bool {
        self.txn
            .as_ref()
            .is_some_and(|t| t.chunks.contains(&(no, chunk)) || t.finals.contains(&no))
    }

    fn wall_of(&self, at: Micros, now: Micros) -> Micros {
        // Ages only: the shell's time of day is not needed here beyond this offset.
        self.wall_offset.plus(now).since(now.since(at))
    }
}

fn chunk_record(tasks: &[super::Task], gang: Gang) -> ChunkRecord {
    let holding = matches!(gang, Gang::Holding { .. });
    let mut rec = ChunkRecord::default();
    for (i, t) in tasks.iter().enumerate() {
        rec.attempts.push(t.attempt);
        if t.done {
            rec.done |= 1 << i;
        }
        if let Some(p) = &t.place {
            if !holding || p.committed {
                rec.places
                    .push(PlaceRecord(i as u32, p.machine.to_string(), p.session));
            }
        }
    }
    rec
}
