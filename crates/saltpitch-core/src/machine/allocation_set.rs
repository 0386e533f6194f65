//! The tasks on a machine: those that are allocated to it, and those that its agent lists besides.

use std::collections::BTreeSet;

use crate::agent::{TaskState, TaskStatus};
use crate::catalog::Resources;
use crate::job::{JobKind, JobNumber, JobSpec};
use crate::time::Micros;

/// The tasks that are or may be on a machine, and the resources that the allocated ones use.
#[derive(Debug)]
pub struct AllocationSet {
    tasks: BTreeSet<(JobNumber, u32)>,
    used: Resources,
    /// The processors used by services and gangs, in thousandths.
    non_batch_cpu: u64,
    /// The tasks that the agent lists without an allocation here, which are to be stopped or forgotten.
    unowned: Vec<TaskStatus>,
    idle_since: Micros,
    /// When the machine last had a task of the kind that it is intended for.
    last_intended_use: Micros,
}

impl AllocationSet {
    /// Creates the set of an empty machine.
    pub fn new(now: Micros) -> AllocationSet {
        AllocationSet {
            tasks: BTreeSet::new(),
            used: Resources::default(),
            non_batch_cpu: 0,
            unowned: Vec::new(),
            idle_since: now,
            last_intended_use: now,
        }
    }

    /// Returns whether no task is allocated to the machine.
    pub fn is_empty(&self) -> bool {
        self.tasks.is_empty()
    }

    /// Returns whether this task is allocated to the machine.
    pub fn contains(&self, number: JobNumber, task: u32) -> bool {
        self.tasks.contains(&(number, task))
    }

    /// Returns the allocated tasks, ordered by job number and task index.
    pub fn iter(&self) -> impl Iterator<Item = (JobNumber, u32)> + '_ {
        self.tasks.iter().copied()
    }

    /// Returns a copy of the allocated tasks in the same order, for callers that release some of them.
    pub fn to_vec(&self) -> Vec<(JobNumber, u32)> {
        self.iter().collect()
    }

    /// Returns the resources that the allocated tasks use.
    pub fn used(&self) -> Resources {
        self.used
    }

    /// Returns the processors used by services and gangs, in thousandths.
    pub fn non_batch_cpu(&self) -> u64 {
        self.non_batch_cpu
    }

    /// Returns since when the machine has had no allocated task. Meaningless while it has one.
    pub fn idle_since(&self) -> Micros {
        self.idle_since
    }

    /// Returns when the machine last had a task of the kind that it is intended for.
    pub fn last_intended_use(&self) -> Micros {
        self.last_intended_use
    }

    /// Returns the tasks that the agent lists without an allocation here.
    pub fn unowned(&self) -> &[TaskStatus] {
        &self.unowned
    }

    /// Returns whether a task without an allocation has not exited yet. The resources that it uses are
    /// unknown, so no new tasks are placed here.
    pub fn has_running_unowned(&self) -> bool {
        let is_running = |task: &TaskStatus| !matches!(task.state, TaskState::Exited { .. });
        self.unowned.iter().any(is_running)
    }

    /// Adds a task's allocation.
    pub fn add(&mut self, number: JobNumber, task: u32, spec: &JobSpec) {
        self.tasks.insert((number, task));
        self.used = self.used.plus(&spec.need);
        if spec.kind != JobKind::Array {
            self.non_batch_cpu += spec.need.cpu;
        }
    }

    /// Removes a task's allocation. `is_intended_use` says whether the task is of the kind that the machine is
    /// intended for.
    pub fn remove(
        &mut self,
        number: JobNumber,
        task: u32,
        spec: &JobSpec,
        is_intended_use: bool,
        now: Micros,
    ) {
        self.tasks.remove(&(number, task));
        self.used = self.used.minus(&spec.need);
        if spec.kind != JobKind::Array {
            self.non_batch_cpu = self.non_batch_cpu.saturating_sub(spec.need.cpu);
        }
        if is_intended_use {
            self.last_intended_use = now;
        }
        if self.tasks.is_empty() {
            self.idle_since = now;
        }
    }

    /// Starts the machine's idle time when its agent is first heard.
    pub fn machine_registered(&mut self, now: Micros) {
        self.idle_since = now;
        self.last_intended_use = now;
    }

    /// Replaces the list of tasks without an allocation with that of a newer status. Returns the previous one.
    pub fn replace_unowned(&mut self, unowned: Vec<TaskStatus>) -> Vec<TaskStatus> {
        std::mem::replace(&mut self.unowned, unowned)
    }
}
