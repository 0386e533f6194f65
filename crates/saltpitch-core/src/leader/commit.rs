//! Records against memory: one transaction at a time, conditioned on the term and on the jobs.

use super::transaction::{Batch, Outcome, Pending};
use super::{Effect, Leader};
use crate::cluster::{JobNo, Phase};
use crate::gang::Gang;
use crate::job::{JobState, Kind};
use crate::records::{chunk_key, View, CHUNK};
use crate::time::Micros;

/// Between two transactions, so that changes gather and requests stay within the store's rate.
const GAP: Micros = Micros::from_millis(50);
/// Changes that are waited for when nothing is urgent.
const GATHERED: f64 = 4.0;
/// Refusals within ten seconds that are taken for a lower limit.
const THROTTLES: usize = 5;

impl Leader {
    /// When there is something to write, none being under way.
    pub(super) fn writes_due(&self) -> Option<Micros> {
        if self.txn.is_some() || (self.paused && self.refresh_out) {
            return None;
        }
        if self.paused || !self.final_jobs.is_empty() || !self.leftovers.is_empty() {
            return Some(Micros::ZERO);
        }
        let task = self.dirty.queue.first().map(|d| d.0);
        let block = self.blocks.next_due();
        task.into_iter().chain(block).min()
    }

    /// Sends the next transaction if there is something to write and none is under way.
    pub(super) fn commit(&mut self, now: Micros) {
        if now < self.next_txn || self.writes_due().is_none_or(|due| due > now) {
            return;
        }
        if self.paused {
            self.refresh_out = true;
            self.effects.push(Effect::Refresh);
            return;
        }
        let level = self.pace.level(self.cfg.txn_ops as f64, now);
        let ops = self.cfg.txn_ops.min(level as usize);
        // Changes gather while they are scarce; what is urgent does not wait for others.
        let least = if self.dirty.urgent(now) {
            1.0
        } else {
            GATHERED
        };
        if level < least {
            let ready = self.pace.ready(least);
            self.next_txn = ready.max(now.plus(Micros::from_millis(10)));
            return;
        }
        let max = self.cfg.txn_bytes;
        let mut b = Batch::new(self.term_rev, self.cfg.txn_ops * 4);
        let mut p = Pending::default();
        self.add_segment(&mut b, &mut p, ops, max, now);
        let half = |b: &Batch| b.writes.len() + (ops - b.writes.len()).div_ceil(2);
        // A log without a free segment would hold up every placement: rather finals and machines wait.
        if self.log.room() < self.log.ring / 8 {
            let some = half(&b);
            self.add_checkpoints(&mut b, &mut p, some, max);
        }
        let some = half(&b);
        self.add_finals(&mut b, &mut p, some, max);
        self.add_blocks(&mut b, &mut p, ops, max, now);
        self.add_checkpoints(&mut b, &mut p, ops, max);
        self.add_finals(&mut b, &mut p, ops, max);
        while let Some(key) = self.leftovers.front().cloned() {
            if !b.fits(ops, 1, 300, max) {
                break;
            }
            self.leftovers.pop_front();
            b.write(key.clone(), None);
            p.leftovers.push(key);
        }
        if b.writes.is_empty() {
            // Nothing that is due fits: more changes are needed at once than may be written now.
            self.next_txn = self.pace.ready(level + 1.0);
            return;
        }
        self.pace.spend(b.writes.len() as f64);
        self.txn = Some(p);
        self.effects.push(Effect::Txn {
            when: b.when,
            writes: b.writes,
        });
    }

    /// The answer to [`Effect::Txn`].
    pub fn committed(&mut self, outcome: Outcome, now: Micros) {
        let Some(p) = self.txn.take() else {
            return;
        };
        match outcome {
            Outcome::Done(rev) => self.apply_commit(p, rev, now),
            _ => {
                self.undo_commit(p, now);
                let wait = match outcome {
                    Outcome::Refused | Outcome::Throttled => 300,
                    Outcome::Rejected => 1_000,
                    _ => 20,
                };
                match outcome {
                    Outcome::Throttled => self.throttled(now),
                    // The next limits are in force: what is stored larger has to be split first.
                    Outcome::Rejected => self.narrow = true,
                    _ => {}
                }
                self.next_txn = now.plus(Micros::from_millis(wait));
                // Turned down, nothing has changed; otherwise the revisions are in doubt.
                self.paused = matches!(outcome, Outcome::Unknown | Outcome::Failed(_));
            }
        }
    }

    fn apply_commit(&mut self, p: Pending, rev: u64, now: Micros) {
        for no in p.finals {
            self.finish_job(no, now);
        }
        for (no, members) in p.blocks {
            if members.is_empty() {
                self.blocks.drop_empty(no);
            }
            self.blocks.written(no, rev);
            for (name, returning) in members {
                let Some(m) = self.machines.get_mut(&name) else {
                    continue;
                };
                let news = !m.recorded;
                m.recorded = true;
                if returning && m.phase == Phase::Returning(false) {
                    m.phase = Phase::Returning(true);
                    self.look_at(&name, now);
                } else if news {
                    self.reindex(&name);
                }
            }
        }
        if let Some(slot) = p.segment {
            self.log.revs.insert(slot, rev);
            let mut chunks: Vec<(JobNo, u32)> =
                p.tasks.iter().map(|t| (t.0, t.1 / CHUNK)).collect();
            chunks.dedup();
            self.log.live.insert(self.log.next, chunks);
            self.log.next += 1;
        }
        let mut tasks = p.tasks;
        let upto = self.log.next - 1;
        for (no, c) in p.chunks {
            if let Some(job) = self.jobs.get_mut(&no) {
                job.chunks[c as usize] = (rev, upto);
                let hi = (c * CHUNK + CHUNK).min(job.spec.tasks);
                tasks.extend((c * CHUNK..hi).map(|t| (no, t)));
            }
        }
        let mut stops = Vec::new();
        let mut calls = Vec::new();
        let mut jobs: Vec<JobNo> = tasks.iter().map(|t| t.0).collect();
        jobs.dedup();
        for no in jobs {
            let Some(job) = self.jobs.get_mut(&no) else {
                continue;
            };
            let cancelled = job.state != JobState::Active;
            for (_, task) in tasks.range((no, 0)..=(no, u32::MAX)) {
                if let Some(place) = job.tasks[*task as usize].place.as_mut() {
                    if place.in_txn {
                        place.in_txn = false;
                        place.committed = true;
                        if job.spec.kind != Kind::Gang {
                            calls.push(place.machine.clone());
                        }
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
                        calls.push(place.machine.clone());
                    }
                }
            }
            if cancelled {
                stops.push(no);
            }
        }
        for name in calls {
            self.call(&name);
        }
        for no in stops {
            self.stop_all(no, Micros::ZERO, now);
        }
        self.next_txn = now.plus(GAP);
        self.schedule_wanted = true;
    }

    fn undo_commit(&mut self, p: Pending, now: Micros) {
        let mut tasks = p.tasks;
        for (no, c) in p.chunks {
            if let Some(job) = self.jobs.get(&no) {
                let hi = (c * CHUNK + CHUNK).min(job.spec.tasks);
                tasks.extend((c * CHUNK..hi).map(|t| (no, t)));
            }
        }
        for (no, task) in tasks {
            if let Some(job) = self.jobs.get_mut(&no) {
                if let Some(place) = job.tasks[task as usize].place.as_mut() {
                    place.in_txn = false;
                }
                self.dirty.placement(no, task, &job.spec, now);
            }
        }
        self.final_jobs.extend(p.finals);
        for (no, _) in p.blocks {
            self.blocks.mark(no, now);
        }
        self.leftovers.extend(p.leftovers);
    }

    /// The store takes fewer changes than it did: one refusal may be a burst of users' requests, many
    /// are its next limit.
    fn throttled(&mut self, now: Micros) {
        let recent = now.since(Micros::from_secs(10));
        self.throttles.push_back(now);
        self.throttles.retain(|at| *at >= recent);
        if self.throttles.len() >= THROTTLES {
            self.pace.lower(self.cfg.next_write_rate);
        }
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
        // What a transaction without an answer did, if it was carried out.
        self.log.revs = view.log.iter().map(|(slot, s)| (*slot, s.rev)).collect();
        for s in view.log.values().filter(|s| s.no >= self.log.next) {
            let known = s.chunks.iter();
            let known = known.filter_map(|(id, c)| Some((*self.by_id.get(id.as_str())?, *c)));
            self.log.live.insert(s.no, known.collect());
        }
        self.log.next = self.log.next.max(view.last_segment + 1);
        self.blocks.read_anew(view);
        let mut touched: Vec<JobNo> = self.dirty.jobs();
        touched.extend(self.final_jobs.iter());
        touched.sort_unstable();
        touched.dedup();
        for no in touched {
            let Some(job) = self.jobs.get_mut(&no) else {
                continue;
            };
            let id = job.id.clone();
            for (c, at) in job.chunks.iter_mut().enumerate() {
                let seen = view.chunks.get(&*id).and_then(|x| x.get(&(c as u32)));
                *at = seen.map_or((0, 0), |s| (s.rev, s.upto));
            }
            // A final record that was written although its answer was lost.
            let over = view
                .jobs
                .get(&*id)
                .is_some_and(|e| e.record.spec.is_none() && e.record.state.is_final());
            if over {
                self.final_jobs.remove(&no);
                self.finish_job(no, now);
            } else {
                self.job_changed(view, &id, now, wall);
            }
        }
        self.schedule_wanted = true;
    }

    /// The final record is written: the job leaves memory, its chunks are deleted by and by.
    pub(super) fn finish_job(&mut self, no: JobNo, now: Micros) {
        self.close(no);
        let Some(job) = self.jobs.remove(&no) else {
            return;
        };
        if job.state == JobState::Active {
            // Done is on record, so nobody can cancel it any more: what needs it may start.
            self.need_met(&job.id, job.done_at.unwrap_or(now), now);
        }
        self.remember_timeline(&job);
        self.by_id.remove(&job.id);
        self.at_barrier.remove(&no);
        for task in 0..job.spec.tasks {
            self.dirty.remove(no, task);
        }
        for (c, (rev, _)) in job.chunks.iter().enumerate() {
            if *rev > 0 {
                self.leftovers.push_back(chunk_key(&job.id, c as u32));
            }
        }
    }

    /// Whether this task's state is part of the transaction under way.
    pub(super) fn in_flight(&self, no: JobNo, task: u32) -> bool {
        self.txn.as_ref().is_some_and(|t| {
            t.tasks.contains(&(no, task))
                || t.chunks.contains(&(no, task / CHUNK))
                || t.finals.contains(&no)
        })
    }

    pub(super) fn wall_of(&self, at: Micros, now: Micros) -> Micros {
        // Ages only: the shell's time of day is not needed here beyond this offset.
        self.wall_offset.plus(now).since(now.since(at))
    }
}
