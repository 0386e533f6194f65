//! Records against memory: one transaction at a time, conditioned on the term and on the jobs.

use super::transaction::{TransactionBuilder, TransactionContents, TransactionOutcome};
use crate::cluster::{JobNumber, MachinePhase};
use crate::gang::Gang;
use crate::job::{JobKind, JobState};
use crate::records::{chunk_key, RecordCache, CHUNK};
use crate::scheduler::{Effect, Scheduler, Transaction};
use crate::time::Micros;

/// Between two transactions, so that changes gather and requests stay within the store's rate.
const GAP: Micros = Micros::from_millis(50);
/// Changes that are waited for when nothing is urgent.
const GATHERED: f64 = 4.0;
/// Refusals within ten seconds that are taken for a lower limit.
const THROTTLES: usize = 5;

impl Scheduler {
    /// When there is something to write, none being under way.
    pub(in crate::scheduler) fn writes_due(&self) -> Option<Micros> {
        if self.persistence.in_flight.is_some()
            || (self.persistence.outcome_unknown && self.persistence.reload_in_flight)
        {
            return None;
        }
        if self.persistence.outcome_unknown
            || !self.persistence.finished_jobs.is_empty()
            || !self.persistence.obsolete_keys.is_empty()
        {
            return Some(Micros::ZERO);
        }
        let task = self.persistence.unsaved_tasks.queue.first().map(|d| d.0);
        let block = self.persistence.machine_blocks.next_due();
        task.into_iter().chain(block).min()
    }

    /// Sends the next transaction if there is something to write and none is under way.
    pub(in crate::scheduler) fn commit(&mut self, now: Micros) {
        if now < self.persistence.next_transaction_at
            || self.writes_due().is_none_or(|due| due > now)
        {
            return;
        }
        if self.persistence.outcome_unknown {
            self.persistence.reload_in_flight = true;
            self.effects.push(Effect::ReloadRecords);
            return;
        }
        let level = self
            .persistence
            .write_budget
            .level(self.config.max_transaction_writes as f64, now);
        let ops = self.config.max_transaction_writes.min(level as usize);
        // Changes gather while they are scarce; what is urgent does not wait for others.
        let least = if self.persistence.unsaved_tasks.urgent(now) {
            1.0
        } else {
            GATHERED
        };
        if level < least {
            let ready = self.persistence.write_budget.ready(least);
            self.persistence.next_transaction_at = ready.max(now.plus(Micros::from_millis(10)));
            return;
        }
        let max = self.config.max_transaction_bytes;
        let mut b = TransactionBuilder::new(
            self.leader_term.revision,
            self.config.max_transaction_writes * 4,
        );
        let mut p = TransactionContents::default();
        self.add_segment(&mut b, &mut p, ops, max, now);
        let half = |b: &TransactionBuilder| b.writes.len() + (ops - b.writes.len()).div_ceil(2);
        // A log without a free segment would hold up every placement: rather finals and machines wait.
        if self.persistence.placement_log.room() < self.persistence.placement_log.ring / 8 {
            let some = half(&b);
            self.add_checkpoints(&mut b, &mut p, some, max);
        }
        let some = half(&b);
        self.add_finals(&mut b, &mut p, some, max);
        self.add_blocks(&mut b, &mut p, ops, max, now);
        self.add_checkpoints(&mut b, &mut p, ops, max);
        self.add_finals(&mut b, &mut p, ops, max);
        while let Some(key) = self.persistence.obsolete_keys.front().cloned() {
            if !b.fits(ops, 1, 300, max) {
                break;
            }
            self.persistence.obsolete_keys.pop_front();
            b.write(key.clone(), None);
            p.obsolete_keys.push(key);
        }
        if b.writes.is_empty() {
            // Nothing that is due fits: more changes are needed at once than may be written now.
            self.persistence.next_transaction_at = self.persistence.write_budget.ready(level + 1.0);
            return;
        }
        self.persistence.write_budget.spend(b.writes.len() as f64);
        self.persistence.in_flight = Some(p);
        self.effects.push(Effect::Commit(Transaction {
            preconditions: b.preconditions,
            writes: b.writes,
        }));
    }

    /// The answer to [`Effect::Commit`].
    pub fn committed(&mut self, outcome: TransactionOutcome, now: Micros) {
        let Some(p) = self.persistence.in_flight.take() else {
            return;
        };
        match outcome {
            TransactionOutcome::Committed(rev) => self.apply_commit(p, rev, now),
            _ => {
                self.revert_commit(p, now);
                let wait = match outcome {
                    TransactionOutcome::Unavailable | TransactionOutcome::RateLimited => 300,
                    TransactionOutcome::TooLarge => 1_000,
                    _ => 20,
                };
                match outcome {
                    TransactionOutcome::RateLimited => self.rate_limited(now),
                    // The next limits are in force: what is stored larger has to be split first.
                    TransactionOutcome::TooLarge => self.persistence.reduced_limits = true,
                    _ => {}
                }
                self.persistence.next_transaction_at = now.plus(Micros::from_millis(wait));
                // Turned down, nothing has changed; otherwise the revisions are in doubt.
                self.persistence.outcome_unknown = matches!(
                    outcome,
                    TransactionOutcome::Unknown | TransactionOutcome::Conflict(_)
                );
            }
        }
    }

    fn apply_commit(&mut self, p: TransactionContents, rev: u64, now: Micros) {
        for number in p.finished {
            self.finish_job(number, now);
        }
        for (number, members) in p.machine_blocks {
            if members.is_empty() {
                self.persistence.machine_blocks.drop_empty(number);
            }
            self.persistence.machine_blocks.written(number, rev);
            for (name, returning) in members {
                let Some(machine) = self.inventory.machines.get_mut(&name) else {
                    continue;
                };
                let news = !machine.recorded;
                machine.recorded = true;
                if returning && machine.phase == MachinePhase::Returning(false) {
                    machine.phase = MachinePhase::Returning(true);
                    self.schedule_health_check(&name, now);
                } else if news {
                    self.reindex(&name);
                }
            }
        }
        if let Some(slot) = p.segment {
            self.persistence.placement_log.revs.insert(slot, rev);
            let mut chunks: Vec<(JobNumber, u32)> =
                p.tasks.iter().map(|t| (t.0, t.1 / CHUNK)).collect();
            chunks.dedup();
            self.persistence
                .placement_log
                .live
                .insert(self.persistence.placement_log.next, chunks);
            self.persistence.placement_log.next += 1;
        }
        let mut tasks = p.tasks;
        let upto = self.persistence.placement_log.next - 1;
        for (number, c) in p.chunks {
            if let Some(job) = self.job_table.jobs.get_mut(&number) {
                job.chunks[c as usize] = (rev, upto);
                let hi = (c * CHUNK + CHUNK).min(job.spec.tasks);
                tasks.extend((c * CHUNK..hi).map(|t| (number, t)));
            }
        }
        let mut stops = Vec::new();
        let mut calls = Vec::new();
        let mut jobs: Vec<JobNumber> = tasks.iter().map(|t| t.0).collect();
        jobs.dedup();
        for number in jobs {
            let Some(job) = self.job_table.jobs.get_mut(&number) else {
                continue;
            };
            let cancelled = job.state != JobState::Active;
            for (_, task) in tasks.range((number, 0)..=(number, u32::MAX)) {
                if let Some(allocation) = job.tasks[*task as usize].allocation.as_mut() {
                    if allocation.in_transaction {
                        allocation.in_transaction = false;
                        allocation.committed = true;
                        if job.spec.kind != JobKind::Gang {
                            calls.push(allocation.machine.clone());
                        }
                    }
                }
            }
            if job.spec.kind == JobKind::Gang
                && job.gang == Gang::Committing
                && job
                    .tasks
                    .iter()
                    .all(|t| t.allocation.as_ref().is_some_and(|p| p.committed))
            {
                // The allow loop: every member's start is released at once.
                job.gang = Gang::Allowed;
                for t in &job.tasks {
                    if let Some(allocation) = &t.allocation {
                        calls.push(allocation.machine.clone());
                    }
                }
            }
            if cancelled {
                stops.push(number);
            }
        }
        for name in calls {
            self.dispatch_soon(&name);
        }
        for number in stops {
            self.stop_all(number, Micros::ZERO, now);
        }
        self.persistence.next_transaction_at = now.plus(GAP);
        self.placement_pass.requested = true;
    }

    fn revert_commit(&mut self, p: TransactionContents, now: Micros) {
        let mut tasks = p.tasks;
        for (number, c) in p.chunks {
            if let Some(job) = self.job_table.jobs.get(&number) {
                let hi = (c * CHUNK + CHUNK).min(job.spec.tasks);
                tasks.extend((c * CHUNK..hi).map(|t| (number, t)));
            }
        }
        for (number, task) in tasks {
            if let Some(job) = self.job_table.jobs.get_mut(&number) {
                if let Some(allocation) = job.tasks[task as usize].allocation.as_mut() {
                    allocation.in_transaction = false;
                }
                self.persistence
                    .unsaved_tasks
                    .placement(number, task, &job.spec, now);
            }
        }
        self.persistence.finished_jobs.extend(p.finished);
        for (number, _) in p.machine_blocks {
            self.persistence.machine_blocks.mark(number, now);
        }
        self.persistence.obsolete_keys.extend(p.obsolete_keys);
    }

    /// The store takes fewer changes than it did: one refusal may be a burst of users' requests, many
    /// are its next limit.
    fn rate_limited(&mut self, now: Micros) {
        let recent = now.since(Micros::from_secs(10));
        self.persistence.rate_limit_refusals.push_back(now);
        self.persistence
            .rate_limit_refusals
            .retain(|at| *at >= recent);
        if self.persistence.rate_limit_refusals.len() >= THROTTLES {
            self.persistence
                .write_budget
                .lower(self.config.next_write_rate);
        }
    }

    /// The answer to [`Effect::ReloadRecords`]: `None` when the store could not be read.
    pub fn refreshed(&mut self, records: Option<&RecordCache>, now: Micros, wall: Micros) {
        self.persistence.reload_in_flight = false;
        let Some(records) = records else {
            self.persistence.next_transaction_at = now.plus(Micros::from_millis(300));
            return;
        };
        self.persistence.outcome_unknown = false;
        self.persistence.next_transaction_at = now;
        // What a transaction without an answer did, if it was carried out.
        self.persistence.placement_log.revs = records
            .segments
            .iter()
            .map(|(slot, s)| (*slot, s.rev))
            .collect();
        for s in records
            .segments
            .values()
            .filter(|s| s.number >= self.persistence.placement_log.next)
        {
            let known = s.chunks.iter();
            let known =
                known.filter_map(|(id, c)| Some((*self.job_table.by_id.get(id.as_str())?, *c)));
            self.persistence
                .placement_log
                .live
                .insert(s.number, known.collect());
        }
        self.persistence.placement_log.next = self
            .persistence
            .placement_log
            .next
            .max(records.last_segment + 1);
        self.persistence.machine_blocks.read_anew(records);
        let mut touched: Vec<JobNumber> = self.persistence.unsaved_tasks.jobs();
        touched.extend(self.persistence.finished_jobs.iter());
        touched.sort_unstable();
        touched.dedup();
        for number in touched {
            let Some(job) = self.job_table.jobs.get_mut(&number) else {
                continue;
            };
            let id = job.id.clone();
            for (c, at) in job.chunks.iter_mut().enumerate() {
                let observed = records.chunks.get(&*id).and_then(|x| x.get(&(c as u32)));
                *at = observed.map_or((0, 0), |s| (s.rev, s.upto));
            }
            // A final record that was written although its answer was lost.
            let over = records
                .jobs
                .get(&*id)
                .is_some_and(|e| e.record.spec.is_none() && e.record.state.is_final());
            if over {
                self.persistence.finished_jobs.remove(&number);
                self.finish_job(number, now);
            } else {
                self.job_changed(records, &id, now, wall);
            }
        }
        self.placement_pass.requested = true;
    }

    /// The final record is written: the job leaves memory, its chunks are deleted by and by.
    pub(in crate::scheduler) fn finish_job(&mut self, number: JobNumber, now: Micros) {
        let Some(job) = self.job_table.remove(number) else {
            return;
        };
        if job.state == JobState::Active {
            // Done is on record, so nobody can cancel it any more: what needs it may start.
            self.dependency_completed(&job.id, job.done_at.unwrap_or(now), now);
        }
        self.gang_barrier.leave(number);
        for task in 0..job.spec.tasks {
            self.persistence.unsaved_tasks.remove(number, task);
        }
        for (c, (rev, _)) in job.chunks.iter().enumerate() {
            if *rev > 0 {
                self.persistence
                    .obsolete_keys
                    .push_back(chunk_key(&job.id, c as u32));
            }
        }
    }

    /// Whether this task's state is part of the transaction under way.
    pub(in crate::scheduler) fn is_in_flight(&self, number: JobNumber, task: u32) -> bool {
        self.persistence.in_flight.as_ref().is_some_and(|t| {
            t.tasks.contains(&(number, task))
                || t.chunks.contains(&(number, task / CHUNK))
                || t.finished.contains(&number)
        })
    }

    pub(in crate::scheduler) fn wall_of(&self, at: Micros, now: Micros) -> Micros {
        // Ages only: the shell's time of day is not needed here beyond this offset.
        self.clock.wall(now).since(now.since(at))
    }
}
