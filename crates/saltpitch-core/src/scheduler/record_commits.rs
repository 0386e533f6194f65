//! Commits the scheduler's changes to the records: sends transactions and applies their outcomes.

use std::sync::Arc;

use super::persistence::{CommittedMachine, RecordSources};
use super::{Alert, Scheduler, TransactionOutcome};
use crate::job::{JobNumber, JobState};
use crate::records::{RecordCache, RecordedJob};
use crate::time::Micros;

impl Scheduler {
    /// Requests the next transaction if there are changes to write and no transaction is in flight.
    pub(super) fn commit(&mut self, now: Micros) {
        let mut sources = RecordSources {
            config: &self.config,
            jobs: &mut self.job_table,
            machines: &mut self.inventory,
            clock: &self.clock,
            now,
        };
        let term_revision = self.leader_term.revision();
        let effect = self.persistence.next_effect(&mut sources, term_revision);
        self.effects.extend(effect);
    }

    /// Handles the outcome of [`super::Effect::Commit`].
    pub fn transaction_ended(&mut self, outcome: TransactionOutcome, now: Micros) {
        let jobs = &mut self.job_table;
        let committed = self
            .persistence
            .transaction_ended(outcome, jobs, &self.config, now);
        let Some(transaction) = committed else { return };
        for number in &transaction.contents.finished_jobs {
            self.finish_job(*number, now);
        }
        let jobs = &mut self.job_table;
        let changes = self.persistence.apply_commit(transaction, jobs, now);
        for machine in &changes.machines {
            self.machine_committed(machine, now);
        }
        for name in &changes.dispatch_targets {
            self.dispatch.request_until_effect(name);
        }
        for number in changes.cancelled_jobs {
            self.stop_all(number, Micros::ZERO, now);
        }
        self.placement_pass.request();
    }

    /// Handles a machine whose record is now written: tasks may be placed on it, or it may be returned.
    fn machine_committed(&mut self, committed: &CommittedMachine, now: Micros) {
        let name = &committed.name;
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        let is_new = machine.lifecycle.set_recorded();
        if committed.is_returning && machine.lifecycle.confirm_return() {
            self.inventory.schedule_health_check(name, now);
        } else if is_new {
            self.inventory.update(name);
        }
    }

    /// Handles the answer to [`super::Effect::ReloadRecords`]. `records` is `None` if the state service could
    /// not be read.
    pub fn records_reloaded(&mut self, records: Option<&RecordCache>, now: Micros, wall: Micros) {
        let Some(records) = records else {
            self.persistence.reload_failed(now);
            return;
        };
        let jobs = &self.job_table;
        let unsaved_jobs = self.persistence.records_reloaded(records, jobs, now);
        for number in unsaved_jobs {
            self.reload_job(number, records, now, wall);
        }
        self.placement_pass.request();
    }

    /// Updates a job from its records after a transaction with unknown outcome.
    fn reload_job(&mut self, number: JobNumber, records: &RecordCache, now: Micros, wall: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        let id: Arc<str> = job.id.clone();
        let on_record = records.checkpoints.get(&*id);
        for (index, checkpoint) in (0..).zip(&mut job.checkpoints) {
            let found = on_record.and_then(|checkpoints| checkpoints.get(&index));
            *checkpoint = found.copied().unwrap_or_default();
        }
        // A final record may have been written although the answer was lost.
        let has_ended = matches!(records.job(&id), Some(RecordedJob::Ended(_)));
        if job.has_final_record || has_ended {
            self.persistence.final_record_found(number);
            self.finish_job(number, now);
        } else {
            self.job_changed(records, &id, now, wall);
        }
    }

    /// Removes a job from memory after its final record is written.
    pub(super) fn finish_job(&mut self, number: JobNumber, now: Micros) {
        let Some(job) = self.job_table.remove(number) else {
            return;
        };
        if job.state == JobState::Active {
            // The record says that the job is done, so it cannot be cancelled any more, and its dependents may
            // start.
            self.dependency_completed(&job.id, job.times.done_at.unwrap_or(now), now);
        }
        self.dependencies.job_removed(number, &job);
        self.gang_barrier.leave(number);
        self.persistence.job_removed(number, &job);
    }

    /// Takes the alerts that have not been reported yet, or not recently.
    pub fn take_alerts(&mut self, now: Micros) -> Vec<Alert> {
        let policy_faults = self.config.policy.take_faults();
        let mut alerts: Vec<Alert> = policy_faults.into_iter().map(Alert::Policy).collect();
        alerts.extend(self.persistence.take_log_alert(&self.config, now));
        alerts
    }
}
