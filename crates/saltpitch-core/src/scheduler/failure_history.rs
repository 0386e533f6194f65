//! The failures of one job, from which it is inferred whether the job, one of its tasks or a machine is
//! at fault.
//!
//! A single failed task proves nothing. A job that fails on several machines while none of its tasks
//! completes is at fault itself. A machine is at fault if several jobs fail on it that work elsewhere.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::job::JobKind;
use crate::time::Micros;

/// How long a job avoids a machine on which one of its tasks failed.
const AVOID_AFTER_FAILURE: Micros = Micros::from_secs(120);
/// How long a job avoids a machine that refused one of its tasks.
const AVOID_AFTER_REFUSAL: Micros = Micros::from_secs(10);
/// After failures on this many machines the job or the task is at fault, and not the machines.
const FAILED_MACHINES_LIMIT: usize = 3;
/// A job with more than one task is at fault only once this many of its tasks have failed.
const FAILED_TASKS_LIMIT: usize = 2;
/// The first failures are retried without a backoff, since usually the machine is faulty.
const IMMEDIATE_RETRIES: u32 = 1;
const FIRST_BACKOFF: Micros = Micros::from_secs(1);
/// The longest backoff is [`FIRST_BACKOFF`] doubled this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// A replica that ran for this long works: its failure counts as temporary.
const MIN_WORKING_RUN_TIME: Micros = Micros::from_secs(60);
/// If tasks of an array have had this many attempts and none has completed, a new leader treats the
/// array as at fault until a task completes.
const MIN_ATTEMPTS_AT_FAULT: u32 = 4;
/// Once this many machines are listed as avoided, those that need not be avoided any more are dropped.
const MAX_AVOIDED_MACHINES: usize = 64;

/// The failures of one task.
#[derive(Clone, Debug, Default)]
struct TaskFailures {
    count: u32,
    /// The machines on which it failed, up to the number that puts it at fault.
    machines: Vec<Arc<str>>,
}

impl TaskFailures {
    fn is_at_fault(&self) -> bool {
        self.machines.len() >= FAILED_MACHINES_LIMIT
    }
}

/// A failure of one of the job's tasks.
pub(super) struct Failure {
    /// The task.
    pub(super) task: u32,
    /// How many tasks the job has.
    pub(super) task_count: u32,
    /// The kind of the job.
    pub(super) kind: JobKind,
    /// The machine on which it failed.
    pub(super) machine: Arc<str>,
    /// When the task was placed there.
    pub(super) placed_at: Micros,
    /// How long it ran.
    pub(super) run_time: Micros,
}

/// How the scheduler has to respond to a failure.
pub(super) struct FailureResponse {
    /// How long to wait before the task is retried.
    pub(super) task_backoff: Micros,
    /// How long to wait before any task of the job is placed again; `None` if the failure doesn't
    /// change that.
    pub(super) job_backoff: Option<Micros>,
    /// Whether the job is at fault and was not before this failure.
    pub(super) newly_at_fault: bool,
    /// Whether the failure counts against its machine.
    pub(super) counts_against_machine: bool,
    /// Machines against which earlier failures of the job no longer count.
    pub(super) cleared_machines: Vec<Arc<str>>,
}

/// What a failure means for the machines: whether it counts against its own, and against which machines
/// earlier failures of the job no longer count.
struct MachineFaults {
    counts_against_machine: bool,
    cleared_machines: Vec<Arc<str>>,
}

/// The failures of one job.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureHistory {
    /// Machines on which a task failed or was refused, and until when to avoid them.
    avoided: BTreeMap<Arc<str>, Micros>,
    tasks: BTreeMap<u32, TaskFailures>,
    /// Machines on which tasks failed since a task of the job last completed, no more than put the job
    /// at fault.
    failed_machines: BTreeSet<Arc<str>>,
    /// Tasks that failed since a task of the job last completed, no more than put the job at fault.
    failed_tasks: BTreeSet<u32>,
    /// Rounds of failures since a task of the job last completed.
    rounds: u32,
    /// When the first failure of the last round was seen. Tasks that were placed before belong to that
    /// round.
    round_at: Micros,
    /// Whether the records show many attempts and no completed task.
    restored_at_fault: bool,
}

impl FailureHistory {
    /// Whether the job itself seems to be at fault.
    pub(super) fn is_at_fault(&self, task_count: u32) -> bool {
        let several_tasks = self.failed_tasks.len() >= FAILED_TASKS_LIMIT.min(task_count as usize);
        let several_machines = self.failed_machines.len() >= FAILED_MACHINES_LIMIT;
        self.restored_at_fault || (several_tasks && several_machines)
    }

    /// Whether the job has to avoid this machine now.
    pub(super) fn should_avoid(&self, machine: &str, now: Micros) -> bool {
        self.avoided.get(machine).is_some_and(|until| *until > now)
    }

    /// Returns the tasks that failed on several machines.
    pub(super) fn tasks_at_fault(&self) -> impl Iterator<Item = u32> + '_ {
        let at_fault = self.tasks.iter().filter(|(_, task)| task.is_at_fault());
        at_fault.map(|(task, _)| *task)
    }

    /// Records a failure and returns how to respond to it.
    pub(super) fn record_failure(&mut self, failure: &Failure, now: Micros) -> FailureResponse {
        if failure.kind == JobKind::Service && failure.run_time >= MIN_WORKING_RUN_TIME {
            self.record_completion(failure.task);
        }
        let was_at_fault = self.is_at_fault(failure.task_count);
        self.avoid(&failure.machine, now.plus(AVOID_AFTER_FAILURE), now);
        let faults = self.count_failure(failure);
        let is_at_fault = self.is_at_fault(failure.task_count);
        let job_backoff = self.job_backoff(failure, now);
        if !faults.counts_against_machine && !is_at_fault {
            // This one task fails wherever it runs: the job's other tasks may be placed on these machines.
            for machine in &faults.cleared_machines {
                self.avoided.remove(machine);
            }
            self.avoided.remove(&failure.machine);
        }
        let failures = self.tasks.get(&failure.task).map_or(0, |task| task.count);
        FailureResponse {
            task_backoff: match failure.kind {
                JobKind::Gang => Micros::ZERO,
                JobKind::Array | JobKind::Service => backoff(failures),
            },
            job_backoff,
            newly_at_fault: is_at_fault && !was_at_fault,
            counts_against_machine: faults.counts_against_machine,
            cleared_machines: faults.cleared_machines,
        }
    }

    /// Records that a machine refused a task of the job, which avoids the machine for a while.
    pub(super) fn record_refusal(&mut self, machine: &Arc<str>, now: Micros) {
        self.avoid(machine, now.plus(AVOID_AFTER_REFUSAL), now);
    }

    /// Records that a task completed: the job works, and earlier failures were not its fault.
    pub(super) fn record_completion(&mut self, task: u32) {
        self.tasks.remove(&task);
        self.failed_machines.clear();
        self.failed_tasks.clear();
        self.rounds = 0;
        self.round_at = Micros::ZERO;
        self.restored_at_fault = false;
    }

    /// Infers from the attempts on record of an array's tasks whether the array is at fault.
    pub(super) fn restore_from_attempts(&mut self, attempts: impl Iterator<Item = u32>) {
        let often_tried = attempts.filter(|attempt| *attempt >= MIN_ATTEMPTS_AT_FAULT);
        let count = often_tried.take(FAILED_TASKS_LIMIT).count();
        self.restored_at_fault = count == FAILED_TASKS_LIMIT;
    }

    fn avoid(&mut self, machine: &Arc<str>, until: Micros, now: Micros) {
        if self.avoided.len() >= MAX_AVOIDED_MACHINES {
            self.avoided.retain(|_, until| *until > now);
        }
        self.avoided.insert(machine.clone(), until);
    }

    /// Counts a failure. Returns whether it counts against its machine, and which machines it clears.
    fn count_failure(&mut self, failure: &Failure) -> MachineFaults {
        let machine = &failure.machine;
        if self.failed_machines.len() < FAILED_MACHINES_LIMIT {
            self.failed_machines.insert(machine.clone());
        }
        if self.failed_tasks.len() < FAILED_TASKS_LIMIT {
            self.failed_tasks.insert(failure.task);
        }
        let task = self.tasks.entry(failure.task).or_default();
        task.count += 1;
        if task.machines.len() < FAILED_MACHINES_LIMIT && !task.machines.contains(machine) {
            task.machines.push(machine.clone());
        }
        let task_at_fault = task.is_at_fault();
        let machines_of_task = match task_at_fault {
            true => task.machines.clone(),
            false => Vec::new(),
        };
        if self.is_at_fault(failure.task_count) {
            let all = self.tasks.values().flat_map(|task| &task.machines);
            return MachineFaults {
                counts_against_machine: false,
                cleared_machines: all.cloned().collect(),
            };
        }
        MachineFaults {
            counts_against_machine: !task_at_fault,
            cleared_machines: machines_of_task,
        }
    }

    /// Returns the backoff of the whole job if this failure begins a new round. Failures of tasks that
    /// were placed together count as one round.
    fn job_backoff(&mut self, failure: &Failure, now: Micros) -> Option<Micros> {
        let concerns_job = self.is_at_fault(failure.task_count) || failure.kind == JobKind::Gang;
        if !concerns_job || failure.placed_at < self.round_at {
            return None;
        }
        self.rounds += 1;
        self.round_at = now;
        Some(backoff(self.rounds))
    }
}

/// Returns the wait before the next retry after this number of failures.
fn backoff(failures: u32) -> Micros {
    if failures <= IMMEDIATE_RETRIES {
        return Micros::ZERO;
    }
    let doublings = (failures - IMMEDIATE_RETRIES - 1).min(MAX_BACKOFF_DOUBLINGS);
    FIRST_BACKOFF.times(f64::from(1u32 << doublings))
}
