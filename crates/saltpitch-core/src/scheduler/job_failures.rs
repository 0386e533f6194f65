//! What the scheduler does about failed tasks: it retries them after a backoff, and cordons machines on
//! which several jobs fail.
//!
//! Owns which tasks wait for their retry. A job at fault is tried with one task at a time and ever less
//! often, and makes no claims on machines.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::failure_history::Failure;
use super::{Job, Scheduler};
use crate::job::JobNumber;
use crate::time::Micros;

/// Failures of this many jobs speak against the machine.
const JOBS_AGAINST_MACHINE: usize = 2;
/// Tasks of a job at fault that may be placed at a time.
const MAX_PLACED_AT_FAULT: u64 = 1;
/// How long nothing of a job is placed after a machine refused a task of it.
const PAUSE_AFTER_REFUSAL: Micros = Micros::from_secs(1);

/// Failed tasks that wait for their retry, and failing jobs that the log has not been told of.
#[derive(Default)]
pub(super) struct RetryQueue {
    due: BTreeSet<(Micros, JobNumber, u32)>,
    newly_failing: Vec<Arc<str>>,
}

impl RetryQueue {
    fn push(&mut self, due: Micros, job: JobNumber, task: u32) {
        self.due.insert((due, job, task));
    }

    /// The next task whose wait is over.
    fn pop_due(&mut self, now: Micros) -> Option<(JobNumber, u32)> {
        let (due, job, task) = *self.due.first()?;
        if due > now {
            return None;
        }
        self.due.pop_first();
        Some((job, task))
    }
}

impl Job {
    /// Whether the job itself seems to be at fault, and not the machines on which it failed.
    pub(super) fn is_at_fault(&self) -> bool {
        self.failures.is_at_fault(self.spec.tasks)
    }

    /// Tasks for which machines may be scaled out or others preempted: those of a job at fault, and those
    /// that failed on several machines, take what is left over.
    pub(super) fn idle_tasks_not_at_fault(&self) -> u64 {
        if self.is_at_fault() {
            return 0;
        }
        let at_fault = self.failures.tasks_at_fault();
        let suspect = at_fault
            .filter(|task| self.tasks.idle().contains(task))
            .count();
        self.tasks.idle().len().saturating_sub(suspect) as u64
    }

    /// How many more tasks may be placed as far as earlier failures go.
    pub(super) fn placeable(&self) -> u64 {
        if self.is_at_fault() {
            MAX_PLACED_AT_FAULT.saturating_sub(u64::from(self.tasks.placed()))
        } else {
            u64::MAX
        }
    }
}

impl Scheduler {
    /// A task failed on its machine. Returns the wait before the task is retried.
    pub(super) fn task_failed(&mut self, number: JobNumber, task: u32, now: Micros) -> Micros {
        let Some(job) = self.job_table.get_mut(number) else {
            return Micros::ZERO;
        };
        let Some(allocation) = job.allocation(task) else {
            return Micros::ZERO;
        };
        let running_since = allocation.running_since;
        let failure = Failure {
            task,
            task_count: job.spec.tasks,
            kind: job.spec.kind,
            machine: allocation.machine.clone(),
            placed_at: allocation.placed_at,
            ran: running_since.map_or(Micros::ZERO, |at| now.since(at)),
        };
        let verdict = job.failures.record_failure(&failure, now);
        if let Some(wait) = verdict.job_backoff {
            job.backoff.place_after = now.plus(wait);
        }
        if verdict.newly_at_fault {
            self.retries.newly_failing.push(job.id.clone());
        }
        if verdict.counts_against_machine {
            self.set_failed_job(number, &failure.machine, true);
        }
        for machine in &verdict.cleared_machines {
            self.set_failed_job(number, machine, false);
        }
        verdict.task_backoff
    }

    /// A job's failure counts or no longer counts against a machine, which is cordoned for several.
    fn set_failed_job(&mut self, number: JobNumber, name: &Arc<str>, counts: bool) {
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        let cordon = &mut machine.cordon;
        if cordon.set_failed_job(number, counts, JOBS_AGAINST_MACHINE) {
            self.inventory.update(name);
        }
    }

    /// A machine refused a task of this job: it goes elsewhere for the moment.
    pub(super) fn task_refused(&mut self, number: JobNumber, machine: &Arc<str>, now: Micros) {
        if let Some(job) = self.job_table.get_mut(number) {
            job.failures.record_refusal(machine, now);
            job.backoff.place_after = job.backoff.place_after.max(now.plus(PAUSE_AFTER_REFUSAL));
        }
    }

    /// Takes a task that failed out of the job's idle tasks for this long.
    pub(super) fn defer_task(&mut self, number: JobNumber, task: u32, wait: Micros, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        if !job.tasks.defer(task) {
            return;
        }
        self.job_table.update_unplaced(number);
        self.retries.push(now.plus(wait), number, task);
    }

    /// Makes the tasks idle whose backoff is over.
    pub(super) fn retry_deferred(&mut self, now: Micros) {
        while let Some((number, task)) = self.retries.pop_due(now) {
            self.steps += 1;
            let Some(job) = self.job_table.get_mut(number) else {
                continue;
            };
            if job.tasks.end_deferral(task) && job.is_active() {
                self.job_table.update_unplaced(number);
                self.placement_pass.request();
            }
        }
    }

    /// Jobs that were found to be at fault since the last call, for the log.
    pub fn take_failing_jobs(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.retries.newly_failing)
    }
}
