//! The tasks on a machine: those that are placed there, and those that the agent lists besides.

use std::collections::BTreeSet;

use crate::agent::{TaskState, TaskStatus};
use crate::catalog::Resources;
use crate::job::{JobKind, JobNumber, JobSpec};
use crate::time::Micros;

/// The tasks that are or may be on a machine, and the resources that they take.
#[derive(Debug)]
pub struct AllocationSet {
    tasks: BTreeSet<(JobNumber, u32)>,
    used: Resources,
    /// Processors used by work that is not batch.
    steady_cpu: u64,
    /// Listed by the agent without an allocation here: to be stopped or forgotten.
    unowned: Vec<TaskStatus>,
    idle_since: Micros,
    /// When a task that needs what this machine is kept for was last here.
    last_intended_use: Micros,
}

impl AllocationSet {
    /// Of a machine that is empty.
    pub fn new(now: Micros) -> AllocationSet {
        AllocationSet {
            tasks: BTreeSet::new(),
            used: Resources::default(),
            steady_cpu: 0,
            unowned: Vec::new(),
            idle_since: now,
            last_intended_use: now,
        }
    }

    /// Whether no task is placed here.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Whether this task is placed here.
    pub fn contains(&self, number: JobNumber, task: u32) -> bool {
        self.tasks.contains(&(number, task))
    }

    /// The tasks that are placed here, in order.
    pub fn iter(&self) -> impl Iterator<Item = (JobNumber, u32)> + '_ {
        self.tasks.iter().copied()
    }

    /// A copy of the tasks that are placed here, in order: for callers that release some of them.
    pub fn to_vec(&self) -> Vec<(JobNumber, u32)> {
        self.iter().collect()
    }

    /// What the tasks take.
    pub fn used(&self) -> Resources {
        self.used
    }

    /// Processors used by work that is not batch.
    pub fn steady_cpu(&self) -> u64 {
        self.steady_cpu
    }

    /// Since when no task has been placed here, if none is.
    pub fn idle_since(&self) -> Micros {
        self.idle_since
    }

    /// When a task that needs what this machine is kept for was last here.
    pub fn last_intended_use(&self) -> Micros {
        self.last_intended_use
    }

    /// Tasks that the agent lists without an allocation here.
    pub fn unowned(&self) -> &[TaskStatus] {
        &self.unowned
    }

    /// Whether a task without an allocation has not exited: its need is unknown, so nothing is added.
    pub fn has_running_unowned(&self) -> bool {
        let runs = |task: &TaskStatus| !matches!(task.state, TaskState::Exited { .. });
        self.unowned.iter().any(runs)
    }

    /// A task is placed here.
    pub fn add(&mut self, number: JobNumber, task: u32, spec: &JobSpec) {
        self.tasks.insert((number, task));
        self.used = self.used.plus(&spec.need);
        if spec.kind != JobKind::Array {
            self.steady_cpu += spec.need.cpu;
        }
    }

    /// A task is no longer placed here. `wanted`: it needs what the machine is kept for.
    pub fn remove(
        &mut self,
        number: JobNumber,
        task: u32,
        spec: &JobSpec,
        wanted: bool,
        now: Micros,
    ) {
        self.tasks.remove(&(number, task));
        self.used = self.used.minus(&spec.need);
        if spec.kind != JobKind::Array {
            self.steady_cpu = self.steady_cpu.saturating_sub(spec.need.cpu);
        }
        if wanted {
            self.last_intended_use = now;
        }
        if self.tasks.is_empty() {
            self.idle_since = now;
        }
    }

    /// The machine came up: the time that it is idle counts from now.
    pub fn machine_registered(&mut self, now: Micros) {
        self.idle_since = now;
        self.last_intended_use = now;
    }

    /// The agent's newest list of tasks without an allocation here. Returns the one before.
    pub fn replace_unowned(&mut self, unowned: Vec<TaskStatus>) -> Vec<TaskStatus> {
        std::mem::replace(&mut self.unowned, unowned)
    }
}
