//! Reconciliation of the tasks that an agent lists with the allocations of its machine.
//!
//! Updates the observed state of the tasks, and finds those that are proven to be off the machine.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::dispatch::Dispatch;
use super::inventory::MachineInventory;
use super::job_table::JobTable;
use super::task_exits::EndedTask;
use super::{Allocation, ObservedState, Scheduler};
use crate::agent::{Heartbeat, TaskState, TaskStatus};
use crate::job::{JobNumber, JobSpec};
use crate::machine::Machine;
use crate::time::Micros;

/// What a status shows about a machine's tasks.
#[derive(Default)]
struct TaskFindings {
    /// Allocated tasks that the agent lists.
    listed: BTreeSet<(JobNumber, u32)>,
    /// Tasks that the agent lists without a matching allocation, and tasks that exited.
    unowned: Vec<TaskStatus>,
    /// Tasks that are proven to be off the machine.
    ended: Vec<EndedTask>,
    /// Jobs with a task whose state implies that the machine has the job's image.
    image_users: BTreeMap<JobNumber, Arc<JobSpec>>,
}

/// The position of a status in the order of the agent's statuses.
#[derive(Clone, Copy)]
struct StatusOrder {
    agent_epoch: u64,
    sequence: u64,
    /// Whether the status came in a heartbeat and not in an answer to a direct call.
    is_heartbeat: bool,
}

impl Scheduler {
    /// Reconciles the tasks that an agent lists with the machine's allocations.
    pub(super) fn reconcile_tasks(
        &mut self,
        name: &Arc<str>,
        status: Heartbeat,
        is_heartbeat: bool,
        now: Micros,
    ) {
        let Some(machine) = self.inventory.get(name) else {
            return;
        };
        self.steps += 1;
        let order = StatusOrder {
            agent_epoch: status.agent_epoch,
            sequence: status.sequence,
            is_heartbeat,
        };
        let mut findings = TaskFindings::default();
        findings.process_listed_tasks(machine, status, &mut self.job_table, now);
        findings.process_allocations(machine, order, &self.job_table);
        findings.update_machine(name, &mut self.inventory, &mut self.dispatch, now);
        for ended in findings.ended {
            self.task_exited(ended, name, now);
        }
    }
}

impl TaskFindings {
    /// Updates the allocations of the tasks that the agent lists, and collects the tasks without one.
    fn process_listed_tasks(
        &mut self,
        machine: &Machine,
        status: Heartbeat,
        job_table: &mut JobTable,
        now: Micros,
    ) {
        // The tasks of a job are adjacent in a heartbeat, so the last look-up of a job number is reused.
        let mut last_lookup: Option<(String, JobNumber)> = None;
        for task in status.tasks {
            let number = match &last_lookup {
                Some((id, number)) if *id == task.job => Some(*number),
                _ => job_table.number_of(&task.job),
            };
            let number = number.filter(|number| machine.allocations.contains(*number, task.task));
            let Some(number) = number else {
                self.unowned.push(task);
                continue;
            };
            if last_lookup
                .as_ref()
                .is_none_or(|(_, known)| *known != number)
            {
                last_lookup = Some((task.job.clone(), number));
            }
            let job = job_table.get_mut(number);
            let allocation = job.and_then(|job| job.allocation_mut(task.task));
            let is_same_attempt = |allocation: &&mut Allocation| {
                allocation.agent_epoch == status.agent_epoch && allocation.attempt == task.attempt
            };
            match allocation.filter(is_same_attempt) {
                Some(allocation) => self.process_listed_task(number, task, allocation, now),
                None => self.unowned.push(task),
            }
        }
    }

    /// Applies the state of a listed task to its allocation.
    fn process_listed_task(
        &mut self,
        number: JobNumber,
        task: TaskStatus,
        allocation: &mut Allocation,
        now: Micros,
    ) {
        self.listed.insert((number, task.task));
        allocation.start_sent = true;
        allocation.observed = match task.state {
            TaskState::Exited { cause, .. } => {
                self.ended.push(EndedTask {
                    job: number,
                    task: task.task,
                    cause: Some(cause),
                });
                // The agent lists the task until a command tells it to forget it, which is sent once the
                // outcome is on record.
                self.unowned.push(task);
                return;
            }
            TaskState::Fetching => ObservedState::Fetching,
            TaskState::Waiting => ObservedState::Waiting,
            TaskState::Saving => ObservedState::Saving,
            TaskState::Running => {
                if allocation.observed != ObservedState::Running {
                    allocation.running_since = Some(now);
                }
                ObservedState::Running
            }
        };
    }

    /// Goes through the machine's allocations. Listed tasks show that the machine has their job's image;
    /// tasks that are not listed are collected if they are proven to be off the machine.
    fn process_allocations(&mut self, machine: &Machine, order: StatusOrder, job_table: &JobTable) {
        let start_is_settled = order.is_heartbeat
            && machine.agent.is_fenced()
            && !machine.commands.has_unacknowledged_start()
            && !machine.commands.is_in_flight();
        for (number, task) in machine.allocations.iter() {
            let Some(job) = job_table.get(number) else {
                continue;
            };
            let Some(allocation) = job.allocation(task) else {
                continue;
            };
            if self.listed.contains(&(number, task)) {
                if has_image(allocation) {
                    let spec = || job.spec.clone();
                    self.image_users.entry(number).or_insert_with(spec);
                }
            } else if is_lost(allocation, order, start_is_settled) {
                self.ended.push(EndedTask {
                    job: number,
                    task,
                    cause: None,
                });
            }
        }
    }

    /// Updates the machine's images and unowned tasks, and requests a direct call if commands are due.
    fn update_machine(
        &mut self,
        name: &Arc<str>,
        inventory: &mut MachineInventory,
        dispatch: &mut Dispatch,
        now: Micros,
    ) {
        for spec in self.image_users.values() {
            inventory.image_used(name, &spec.image, spec.image_mb, now);
        }
        let Some(machine) = inventory.get_mut(name) else {
            return;
        };
        let allocations = &mut machine.allocations;
        let unowned_before = allocations.replace_unowned(std::mem::take(&mut self.unowned));
        // Unowned tasks that still run are stopped by a direct call at once; commands to forget exited ones
        // can wait for the answer to a heartbeat. When no unowned tasks are left, starts may be possible.
        let all_unowned_gone = !unowned_before.is_empty() && allocations.unowned().is_empty();
        if allocations.has_running_unowned() || all_unowned_gone {
            dispatch.request(name);
        }
    }
}

/// Returns whether the task's observed state implies that its image is on the machine.
fn has_image(allocation: &Allocation) -> bool {
    !matches!(
        allocation.observed,
        ObservedState::Unseen | ObservedState::Fetching
    )
}

/// Returns whether a task that the agent does not list is proven to be off the machine.
///
/// `start_is_settled` says that no start can still reach the agent, except one in the answer to this
/// heartbeat or a later one.
fn is_lost(allocation: &Allocation, order: StatusOrder, start_is_settled: bool) -> bool {
    if allocation.agent_epoch < order.agent_epoch {
        // The agent killed and forgot all tasks of that epoch when it began the present one.
        return true;
    }
    if allocation.observed != ObservedState::Unseen {
        return true;
    }
    let never_starts =
        !allocation.start_sent || (start_is_settled && allocation.start_sequence < order.sequence);
    allocation.stop.is_some() && never_starts
}
