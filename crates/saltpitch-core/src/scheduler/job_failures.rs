//! Failures of tasks: whether the job or a machine is at fault, and when to try again.
//!
//! One task that fails proves nothing. A job that fails on several machines while none of its tasks
//! completes is at fault itself: it is tried with one task at a time and ever less often, and makes no
//! claims on machines. A machine on which several jobs fail that work elsewhere is at fault.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::{Job, Scheduler};
use crate::cluster::JobNumber;
use crate::job::JobKind;
use crate::time::Micros;

/// How long a job avoids a machine on which a task of it failed.
const AVOID_AFTER_FAILURE: Micros = Micros::from_secs(120);
/// Failures on this many machines speak against the job, or the task, and not against the machines.
const MACHINES_AGAINST_JOB: usize = 3;
/// Tasks of an array that must have failed before the whole array is at fault.
const TASKS_AGAINST_JOB: usize = 2;
/// Failures of this many jobs speak against the machine.
const JOBS_AGAINST_MACHINE: usize = 2;
/// The first failures are tried again at once: mostly the machine is faulty.
const RETRIES_AT_ONCE: u32 = 1;
const FIRST_BACKOFF: Micros = Micros::from_secs(1);
/// The longest wait is [`FIRST_BACKOFF`] doubled this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// A replica that ran for this long failed for a reason of the moment.
const PROVEN_REPLICA: Micros = Micros::from_secs(60);
/// Tasks of a job at fault that may be placed at a time.
const PROBES: u64 = 1;
/// Attempts of an array's tasks, none of which has completed, after which a new leader takes the array
/// to be at fault until a task completes.
const RECALLED_ATTEMPTS: u32 = 4;
/// More machines than this are not kept beyond the time for which they are avoided.
const MAX_AVOIDED: usize = 64;

/// The failures of one task.
#[derive(Clone, Debug, Default)]
struct TaskFailures {
    count: u32,
    /// The machines of the first failures.
    machines: Vec<Arc<str>>,
}

impl TaskFailures {
    fn at_fault(&self) -> bool {
        self.machines.len() >= MACHINES_AGAINST_JOB
    }
}

/// The failures of one job.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureHistory {
    /// Machines where a task failed or was refused, and until when to avoid them.
    avoided: BTreeMap<Arc<str>, Micros>,
    tasks: BTreeMap<u32, TaskFailures>,
    /// Since a task of the job completed last: machines on which tasks failed, and the tasks; no more of
    /// each than it takes to speak against the job.
    machines: BTreeSet<Arc<str>>,
    failed_tasks: BTreeSet<u32>,
    /// Rounds of failures since a task of the job completed last.
    rounds: u32,
    /// When the last round was noticed: what was placed before that belongs to it.
    round_at: Micros,
    /// The records show many attempts and no task that completed.
    restored: bool,
}

/// What a failure says.
struct Blame {
    /// Machines that are not at fault after all.
    cleared: Vec<Arc<str>>,
    /// Whether the machine may be at fault.
    machine: bool,
}

impl FailureHistory {
    /// Whether the job itself seems to be at fault.
    pub fn at_fault(&self, tasks: u32) -> bool {
        let several_tasks = self.failed_tasks.len() >= TASKS_AGAINST_JOB.min(tasks as usize);
        self.restored || (several_tasks && self.machines.len() >= MACHINES_AGAINST_JOB)
    }

    /// Whether the job avoids this machine now.
    pub fn avoids(&self, machine: &str, now: Micros) -> bool {
        self.avoided.get(machine).is_some_and(|until| *until > now)
    }

    /// The job does not go to this machine for a while.
    fn avoid(&mut self, machine: &Arc<str>, until: Micros, now: Micros) {
        if self.avoided.len() >= MAX_AVOIDED {
            self.avoided.retain(|_, until| *until > now);
        }
        self.avoided.insert(machine.clone(), until);
    }

    /// Tasks that failed on several machines.
    fn tasks_at_fault(&self) -> impl Iterator<Item = u32> + '_ {
        let at_fault = self.tasks.iter().filter(|(_, task)| task.at_fault());
        at_fault.map(|(task, _)| *task)
    }

    fn note(&mut self, task: u32, tasks: u32, machine: &Arc<str>) -> Blame {
        if self.machines.len() < MACHINES_AGAINST_JOB {
            self.machines.insert(machine.clone());
        }
        if self.failed_tasks.len() < TASKS_AGAINST_JOB {
            self.failed_tasks.insert(task);
        }
        let of_task = self.tasks.entry(task).or_default();
        of_task.count += 1;
        if of_task.machines.len() < MACHINES_AGAINST_JOB && !of_task.machines.contains(machine) {
            of_task.machines.push(machine.clone());
        }
        let task_at_fault = of_task.at_fault();
        if self.at_fault(tasks) {
            let all = self.tasks.values().flat_map(|task| &task.machines);
            return Blame {
                cleared: all.cloned().collect(),
                machine: false,
            };
        }
        let own = self.tasks.get(&task).map(|task| task.machines.clone());
        Blame {
            cleared: own.filter(|_| task_at_fault).unwrap_or_default(),
            machine: !task_at_fault,
        }
    }

    /// A task completed: the job works, and what failed before was not its fault.
    pub fn completed(&mut self, task: u32) {
        self.tasks.remove(&task);
        self.machines.clear();
        self.failed_tasks.clear();
        self.rounds = 0;
        self.round_at = Micros::ZERO;
        self.restored = false;
    }

    /// What the records show of an array's earlier attempts.
    pub fn restore(&mut self, attempts: impl Iterator<Item = u32>) {
        let many = attempts.filter(|attempt| *attempt >= RECALLED_ATTEMPTS);
        self.restored = many.take(TASKS_AGAINST_JOB).count() == TASKS_AGAINST_JOB;
    }
}

/// The wait before the next try after so many failures.
fn backoff(failures: u32) -> Micros {
    if failures <= RETRIES_AT_ONCE {
        return Micros::ZERO;
    }
    let doublings = (failures - RETRIES_AT_ONCE - 1).min(MAX_BACKOFF_DOUBLINGS);
    FIRST_BACKOFF.times(f64::from(1u32 << doublings))
}

impl Job {
    /// Whether the job itself seems to be at fault, and not the machines on which it failed.
    pub(super) fn at_fault(&self) -> bool {
        self.failures.at_fault(self.spec.tasks)
    }

    /// Tasks for which machines may be rented or cleared: those of a job at fault, and those that failed
    /// on several machines, take what is left over.
    pub(super) fn idle_in_good_standing(&self) -> u64 {
        if self.at_fault() {
            return 0;
        }
        let at_fault = self.failures.tasks_at_fault();
        let suspect = at_fault.filter(|task| self.idle.contains(task)).count();
        self.idle.len().saturating_sub(suspect) as u64
    }

    /// How many more tasks may be placed as far as earlier failures go.
    pub(super) fn placeable(&self) -> u64 {
        if self.at_fault() {
            PROBES.saturating_sub(u64::from(self.placed))
        } else {
            u64::MAX
        }
    }
}

impl Scheduler {
    /// A task failed on its machine. The wait before the task is tried again.
    pub(super) fn task_failed(&mut self, number: JobNumber, task: u32, now: Micros) -> Micros {
        let Some(job) = self.job_table.jobs.get_mut(&number) else {
            return Micros::ZERO;
        };
        let Some(allocation) = job.tasks[task as usize].allocation.as_deref() else {
            return Micros::ZERO;
        };
        let machine = allocation.machine.clone();
        let placed_at = allocation.since;
        let ran = allocation
            .running_since
            .map_or(Micros::ZERO, |at| now.since(at));
        if job.spec.kind == JobKind::Service && ran >= PROVEN_REPLICA {
            job.failures.completed(task);
        }
        let was_at_fault = job.at_fault();
        job.failures
            .avoid(&machine, now.plus(AVOID_AFTER_FAILURE), now);
        let blame = job.failures.note(task, job.spec.tasks, &machine);
        let of_job = job.at_fault() || job.spec.kind == JobKind::Gang;
        if of_job && placed_at >= job.failures.round_at {
            job.failures.rounds += 1;
            job.failures.round_at = now;
            job.not_before = now.plus(backoff(job.failures.rounds));
        }
        if job.at_fault() && !was_at_fault {
            self.job_table.newly_failing.push(job.id.clone());
        }
        let failures = job.failures.tasks.get(&task).map_or(0, |t| t.count);
        let wait = match job.spec.kind {
            JobKind::Gang => Micros::ZERO,
            _ => backoff(failures),
        };
        if !blame.machine && !job.at_fault() {
            // One task fails wherever it runs: the others may go there.
            for cleared in &blame.cleared {
                job.failures.avoided.remove(cleared);
            }
            job.failures.avoided.remove(&machine);
        }
        if blame.machine {
            self.set_failed_job(number, &machine, true);
        }
        for cleared in &blame.cleared {
            self.set_failed_job(number, cleared, false);
        }
        wait
    }

    /// A job's failure counts for or no longer counts against a machine.
    fn set_failed_job(&mut self, number: JobNumber, machine: &Arc<str>, counts: bool) {
        let Some(m) = self.inventory.machines.get_mut(machine) else {
            return;
        };
        let was_at_fault = m.failed_jobs.len() >= JOBS_AGAINST_MACHINE;
        if counts {
            m.failed_jobs.insert(number);
        } else {
            m.failed_jobs.remove(&number);
        }
        let at_fault = m.failed_jobs.len() >= JOBS_AGAINST_MACHINE;
        if was_at_fault != at_fault {
            m.cordoned = at_fault;
            self.reindex(machine);
        }
    }

    /// A machine refused a task of this job: it goes elsewhere for the moment.
    pub(super) fn task_refused(&mut self, number: JobNumber, machine: &Arc<str>, now: Micros) {
        if let Some(job) = self.job_table.jobs.get_mut(&number) {
            let until = now.plus(Micros::from_secs(10));
            job.failures.avoid(machine, until, now);
            job.not_before = job.not_before.max(now.plus(Micros::from_secs(1)));
        }
    }

    /// Takes a task that failed out of the job's idle tasks for this long.
    pub(super) fn defer_task(&mut self, number: JobNumber, task: u32, wait: Micros, now: Micros) {
        let Some(job) = self.job_table.jobs.get_mut(&number) else {
            return;
        };
        if !job.idle.remove(&task) {
            return;
        }
        job.deferred.insert(task);
        if job.idle.is_empty() {
            self.job_table.unplaced.remove(&number);
        }
        self.job_table
            .retries
            .insert((now.plus(wait), number, task));
    }

    /// Makes the tasks idle whose wait after a failure is over.
    pub(super) fn retry_deferred(&mut self, now: Micros) {
        while let Some(&(due, number, task)) = self.job_table.retries.first() {
            if due > now {
                return;
            }
            self.job_table.retries.pop_first();
            self.steps += 1;
            let Some(job) = self.job_table.jobs.get_mut(&number) else {
                continue;
            };
            let waits = job.deferred.remove(&task);
            let state = &job.tasks[task as usize];
            if !waits || state.done || state.allocation.is_some() {
                continue;
            }
            job.idle.insert(task);
            if job.active() {
                self.job_table.unplaced.insert(number);
                self.placement_pass.requested = true;
            }
        }
    }

    /// Jobs that were found to be at fault since this was asked last, for the log.
    pub fn take_failing_jobs(&mut self) -> Vec<Arc<str>> {
        std::mem::take(&mut self.job_table.newly_failing)
    }
}
