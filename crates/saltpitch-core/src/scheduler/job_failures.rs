//! Handles failed tasks: retries them after a backoff, and cordons machines on which several jobs fail.
//!
//! Owns which tasks wait for their retry. A job at fault is tried with one task at a time and at
//! growing intervals, and no machines are scaled out and no tasks preempted for it.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::failure_history::Failure;
use super::{Job, Scheduler};
use crate::job::JobNumber;
use crate::time::Micros;

/// A machine is at fault once tasks of this many jobs have failed on it.
const FAILED_JOBS_PER_FAULTY_MACHINE: usize = 2;
/// The most tasks of a job at fault that may be placed at a time.
const MAX_PLACED_AT_FAULT: u64 = 1;
/// How long no task of a job is placed after a machine refused one of its tasks.
const PAUSE_AFTER_REFUSAL: Micros = Micros::from_secs(1);

/// Failed tasks that wait for their retry, and jobs newly at fault that are still to be logged.
#[derive(Default)]
pub(super) struct RetryQueue {
    due: BTreeSet<(Micros, JobNumber, u32)>,
    newly_at_fault: Vec<Arc<str>>,
}

impl RetryQueue {
    fn push(&mut self, due: Micros, job: JobNumber, task: u32) {
        self.due.insert((due, job, task));
    }

    /// Removes and returns the next task whose backoff is over.
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
    /// Whether the job itself seems to be at fault, rather than the machines on which it failed.
    pub(super) fn is_at_fault(&self) -> bool {
        self.failures.is_at_fault(self.spec.tasks)
    }

    /// Returns the number of idle tasks for which machines may be scaled out or other tasks preempted.
    /// Jobs at fault, and tasks that failed on several machines, only use capacity that is left over.
    pub(super) fn idle_tasks_not_at_fault(&self) -> u64 {
        if self.is_at_fault() {
            return 0;
        }
        let at_fault = self.failures.tasks_at_fault();
        let idle_at_fault = at_fault
            .filter(|task| self.tasks.idle().contains(task))
            .count();
        self.tasks.idle().len().saturating_sub(idle_at_fault) as u64
    }

    /// Returns how many more tasks earlier failures allow to be placed.
    pub(super) fn max_placeable(&self) -> u64 {
        if self.is_at_fault() {
            MAX_PLACED_AT_FAULT.saturating_sub(u64::from(self.tasks.placed()))
        } else {
            u64::MAX
        }
    }
}

impl Scheduler {
    /// Handles the failure of a task on its machine. Returns the wait before the task is retried.
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
            run_time: running_since.map_or(Micros::ZERO, |at| now.since(at)),
        };
        let response = job.failures.record_failure(&failure, now);
        if let Some(wait) = response.job_backoff {
            job.backoff.place_after = now.plus(wait);
        }
        if response.newly_at_fault {
            self.retries.newly_at_fault.push(job.id.clone());
        }
        if response.counts_against_machine {
            self.set_failed_job(number, &failure.machine, true);
        }
        for machine in &response.cleared_machines {
            self.set_failed_job(number, machine, false);
        }
        response.task_backoff
    }

    /// Sets whether a job's failure counts against a machine. The machine is cordoned while the
    /// failures of several jobs do.
    fn set_failed_job(&mut self, number: JobNumber, name: &Arc<str>, counts: bool) {
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        let cordon = &mut machine.cordon;
        if cordon.set_failed_job(number, counts, FAILED_JOBS_PER_FAULTY_MACHINE) {
            self.inventory.update(name);
        }
    }

    /// Handles a machine's refusal of a task of this job: the job avoids the machine for a while, and
    /// none of its tasks is placed for a moment.
    pub(super) fn task_refused(&mut self, number: JobNumber, machine: &Arc<str>, now: Micros) {
        if let Some(job) = self.job_table.get_mut(number) {
            job.failures.record_refusal(machine, now);
            job.backoff.place_after = job.backoff.place_after.max(now.plus(PAUSE_AFTER_REFUSAL));
        }
    }

    /// Removes a task that failed from the job's idle tasks for the time `wait`.
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

    /// Makes deferred tasks idle again whose backoff is over.
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

    /// Returns the jobs that were found to be at fault since the last call, for the log.
    pub fn take_failing_jobs(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.retries.newly_at_fault)
    }
}
