//! Allocations: how they are assumed, released, stopped and completed. Each allocation is counted at
//! the same time in the job, on the machine, in the machine index, in the team's quota and in the
//! autoscaler's load.

use std::sync::Arc;

use super::{Allocation, ObservedState, Scheduler, StopRequest};
use crate::job::{JobNumber, JobState};
use crate::time::Micros;

/// A task and the machine on which it is placed.
pub(super) struct Assignment {
    pub(super) job: JobNumber,
    pub(super) task: u32,
    pub(super) machine: Arc<str>,
    /// The epoch of the machine's agent for which the task is placed.
    pub(super) agent_epoch: u64,
    pub(super) attempt: u32,
    /// Whether the allocation is on record already.
    pub(super) committed: bool,
}

impl Scheduler {
    /// Places a task: it counts as allocated from now on.
    pub(super) fn allocate(&mut self, assignment: Assignment, now: Micros) {
        let Assignment {
            job: number,
            task,
            machine: name,
            agent_epoch,
            attempt,
            committed,
        } = assignment;
        let (Some(job), Some(machine)) = (
            self.job_table.get_mut(number),
            self.inventory.get_mut(&name),
        ) else {
            return;
        };
        let allocation = Allocation {
            machine: name.clone(),
            agent_epoch,
            attempt,
            committed,
            in_transaction: false,
            observed: ObservedState::Unseen,
            start_sequence: 0,
            // An earlier leader may have sent the start. That is uncertain until the agent has this
            // leader's fencing token.
            start_sent: committed,
            placed_at: now,
            running_since: None,
            stop: None,
        };
        job.place(task, allocation, &machine.zone, now);
        if committed {
            // Heartbeats of an earlier epoch are older than this allocation.
            machine.agent.epoch_recorded(agent_epoch);
            self.dispatch.await_effect(&name);
        }
        self.autoscaler.task_placed(&job.spec);
        self.quota.add(job.team, &job.spec.need);
        self.inventory.task_placed(&name, number, task, &job.spec);
        self.job_table.update_unplaced(number);
    }

    /// Releases the allocation of a task that is proven gone from its machine or whose start was never
    /// sent.
    pub(super) fn release(&mut self, number: JobNumber, task: u32, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        let machine_of = |allocation: &Allocation| allocation.machine.clone();
        let Some(name) = job.allocation(task).map(machine_of) else {
            return;
        };
        let machine = self.inventory.get(&name);
        let zone = machine.map(|machine| machine.zone.clone());
        let Some(allocation) = job.tasks.unplace(task, zone.as_ref()) else {
            return;
        };
        self.quota.remove(job.team, &job.spec.need);
        self.autoscaler.task_released(&job.spec);
        self.inventory
            .task_released(&name, number, task, &job.spec, now);
        self.job_table.update_unplaced(number);
        // If the allocation is in a transaction whose outcome is unknown, the record is written again:
        // it must not keep an allocation that is gone from memory.
        if allocation.committed || allocation.in_transaction {
            self.persistence.task_ended(number, task, now);
        }
        self.placement_pass.request();
    }

    /// Stops every placed task of a job. Tasks whose start was never sent are released at once.
    pub(super) fn stop_all(&mut self, number: JobNumber, grace: Micros, now: Micros) {
        let Some(job) = self.job_table.get(number) else {
            return;
        };
        let placed: Vec<u32> = (0..job.spec.tasks)
            .filter(|task| job.allocation(*task).is_some())
            .collect();
        for task in placed {
            self.stop(number, task, grace, now);
        }
    }

    /// Stops a task, which gets the time `grace` to save its progress; a shorter time replaces a longer
    /// one.
    pub(super) fn stop(&mut self, number: JobNumber, task: u32, grace: Micros, now: Micros) {
        let job = self.job_table.get_mut(number);
        let Some(allocation) = job.and_then(|job| job.allocation_mut(task)) else {
            return;
        };
        if !allocation.start_sent {
            self.release(number, task, now);
            return;
        }
        let is_sooner = allocation.stop.is_none_or(|earlier| grace < earlier.grace);
        if is_sooner {
            let requested_at = allocation.stop.map_or(now, |earlier| earlier.requested_at);
            allocation.stop = Some(StopRequest {
                grace,
                requested_at,
            });
        }
        let name = allocation.machine.clone();
        self.dispatch.request_until_effect(&name);
    }

    /// If the job is over and none of its tasks is left on a machine, takes it out of the queue and
    /// marks it for its final record.
    pub(super) fn finish_if_over(&mut self, number: JobNumber) {
        let Some(job) = self.job_table.get(number) else {
            return;
        };
        let is_over = match job.state {
            JobState::Cancelled => true,
            JobState::Active | JobState::Done => job.is_complete(),
        };
        if is_over && job.tasks.placed() == 0 {
            self.job_table.dequeue(number);
            self.persistence.job_finished(number);
        }
    }

    /// Marks a task as done: it completed, and its result is kept.
    pub(super) fn task_done(&mut self, number: JobNumber, task: u32, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        if job.complete_task(task, now) {
            self.job_table.update_unplaced(number);
            self.persistence.task_ended(number, task, now);
        }
    }
}
