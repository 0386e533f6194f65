//! The failures of one job, and what they say: whether the job, one of its tasks or a machine is at fault.
//!
//! One task that fails proves nothing. A job that fails on several machines while none of its tasks
//! completes is at fault itself. A machine on which several jobs fail that work elsewhere is at fault.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::job::JobKind;
use crate::time::Micros;

/// How long a job avoids a machine on which a task of it failed.
const AVOID_AFTER_FAILURE: Micros = Micros::from_secs(120);
/// How long a job avoids a machine that refused a task of it.
const AVOID_AFTER_REFUSAL: Micros = Micros::from_secs(10);
/// Failures on this many machines speak against the job, or the task, and not against the machines.
const MACHINES_AGAINST_JOB: usize = 3;
/// Tasks of an array that must have failed before the whole array is at fault.
const TASKS_AGAINST_JOB: usize = 2;
/// The first failures are retried at once: mostly the machine is faulty.
const RETRIES_AT_ONCE: u32 = 1;
const FIRST_BACKOFF: Micros = Micros::from_secs(1);
/// The longest wait is [`FIRST_BACKOFF`] doubled this often.
const MAX_BACKOFF_DOUBLINGS: u32 = 6;
/// A replica that ran for this long failed for a passing reason.
const PROVEN_REPLICA: Micros = Micros::from_secs(60);
/// Attempts of an array's tasks, none of which has completed, after which a new leader takes the array
/// to be at fault until a task completes.
const RESTORED_ATTEMPTS: u32 = 4;
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
    fn is_at_fault(&self) -> bool {
        self.machines.len() >= MACHINES_AGAINST_JOB
    }
}

/// A task of the job failed.
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
    pub(super) ran: Micros,
}

/// What follows from a failure.
pub(super) struct Verdict {
    /// How long to wait before the task is retried.
    pub(super) task_backoff: Micros,
    /// How long to wait before anything of the job is placed again, if this failure says so.
    pub(super) job_backoff: Option<Micros>,
    /// The job is at fault, which it was not before this failure.
    pub(super) newly_at_fault: bool,
    /// The failure counts against its machine.
    pub(super) counts_against_machine: bool,
    /// Machines against which earlier failures of the job no longer count.
    pub(super) cleared_machines: Vec<Arc<str>>,
}

/// Whom a failure counts against.
struct Blame {
    counts_against_machine: bool,
    cleared_machines: Vec<Arc<str>>,
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

impl FailureHistory {
    /// Whether the job itself seems to be at fault.
    pub(super) fn is_at_fault(&self, task_count: u32) -> bool {
        let several_tasks = self.failed_tasks.len() >= TASKS_AGAINST_JOB.min(task_count as usize);
        self.restored || (several_tasks && self.machines.len() >= MACHINES_AGAINST_JOB)
    }

    /// Whether the job avoids this machine now.
    pub(super) fn avoids(&self, machine: &str, now: Micros) -> bool {
        self.avoided.get(machine).is_some_and(|until| *until > now)
    }

    /// Tasks that failed on several machines.
    pub(super) fn tasks_at_fault(&self) -> impl Iterator<Item = u32> + '_ {
        let at_fault = self.tasks.iter().filter(|(_, task)| task.is_at_fault());
        at_fault.map(|(task, _)| *task)
    }

    /// A task failed on its machine.
    pub(super) fn record_failure(&mut self, failure: &Failure, now: Micros) -> Verdict {
        if failure.kind == JobKind::Service && failure.ran >= PROVEN_REPLICA {
            self.record_completion(failure.task);
        }
        let was_at_fault = self.is_at_fault(failure.task_count);
        self.avoid(&failure.machine, now.plus(AVOID_AFTER_FAILURE), now);
        let blame = self.blame(failure);
        let at_fault = self.is_at_fault(failure.task_count);
        let job_backoff = self.job_backoff(failure, now);
        if !blame.counts_against_machine && !at_fault {
            // One task fails wherever it runs: the others may go there.
            for machine in &blame.cleared_machines {
                self.avoided.remove(machine);
            }
            self.avoided.remove(&failure.machine);
        }
        let failures = self.tasks.get(&failure.task).map_or(0, |task| task.count);
        Verdict {
            task_backoff: match failure.kind {
                JobKind::Gang => Micros::ZERO,
                JobKind::Array | JobKind::Service => backoff(failures),
            },
            job_backoff,
            newly_at_fault: at_fault && !was_at_fault,
            counts_against_machine: blame.counts_against_machine,
            cleared_machines: blame.cleared_machines,
        }
    }

    /// A machine refused a task of this job: it goes elsewhere for the moment.
    pub(super) fn record_refusal(&mut self, machine: &Arc<str>, now: Micros) {
        self.avoid(machine, now.plus(AVOID_AFTER_REFUSAL), now);
    }

    /// A task completed: the job works, and what failed before was not its fault.
    pub(super) fn record_completion(&mut self, task: u32) {
        self.tasks.remove(&task);
        self.machines.clear();
        self.failed_tasks.clear();
        self.rounds = 0;
        self.round_at = Micros::ZERO;
        self.restored = false;
    }

    /// What the records show of an array's earlier attempts.
    pub(super) fn restore_from_attempts(&mut self, attempts: impl Iterator<Item = u32>) {
        let many = attempts.filter(|attempt| *attempt >= RESTORED_ATTEMPTS);
        self.restored = many.take(TASKS_AGAINST_JOB).count() == TASKS_AGAINST_JOB;
    }

    fn avoid(&mut self, machine: &Arc<str>, until: Micros, now: Micros) {
        if self.avoided.len() >= MAX_AVOIDED {
            self.avoided.retain(|_, until| *until > now);
        }
        self.avoided.insert(machine.clone(), until);
    }

    fn blame(&mut self, failure: &Failure) -> Blame {
        let machine = &failure.machine;
        if self.machines.len() < MACHINES_AGAINST_JOB {
            self.machines.insert(machine.clone());
        }
        if self.failed_tasks.len() < TASKS_AGAINST_JOB {
            self.failed_tasks.insert(failure.task);
        }
        let task = self.tasks.entry(failure.task).or_default();
        task.count += 1;
        if task.machines.len() < MACHINES_AGAINST_JOB && !task.machines.contains(machine) {
            task.machines.push(machine.clone());
        }
        let task_at_fault = task.is_at_fault();
        let machines_of_task = match task_at_fault {
            true => task.machines.clone(),
            false => Vec::new(),
        };
        if self.is_at_fault(failure.task_count) {
            let all = self.tasks.values().flat_map(|task| &task.machines);
            return Blame {
                counts_against_machine: false,
                cleared_machines: all.cloned().collect(),
            };
        }
        Blame {
            counts_against_machine: !task_at_fault,
            cleared_machines: machines_of_task,
        }
    }

    /// Failures of tasks that were placed together count as one round.
    fn job_backoff(&mut self, failure: &Failure, now: Micros) -> Option<Micros> {
        let of_job = self.is_at_fault(failure.task_count) || failure.kind == JobKind::Gang;
        if !of_job || failure.placed_at < self.round_at {
            return None;
        }
        self.rounds += 1;
        self.round_at = now;
        Some(backoff(self.rounds))
    }
}

/// The wait before the next retry after so many failures.
fn backoff(failures: u32) -> Micros {
    if failures <= RETRIES_AT_ONCE {
        return Micros::ZERO;
    }
    let doublings = (failures - RETRIES_AT_ONCE - 1).min(MAX_BACKOFF_DOUBLINGS);
    FIRST_BACKOFF.times(f64::from(1u32 << doublings))
}
