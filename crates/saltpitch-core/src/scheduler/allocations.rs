//! Tasks and their places: assumed, cleared, stopped and completed.

use std::sync::Arc;

use super::{batch_seconds, Allocation, ObservedState, Scheduler, StopRequest};
use crate::cluster::JobNumber;
use crate::job::{JobKind, JobState};
use crate::time::Micros;

impl Scheduler {
    /// Records a place in memory: its room is held from now on.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn allocate(
        &mut self,
        number: JobNumber,
        task: u32,
        machine_name: Arc<str>,
        agent_epoch: u64,
        attempt: u32,
        committed: bool,
        now: Micros,
    ) {
        let (Some(job), Some(machine)) = (
            self.job_table.jobs.get_mut(&number),
            self.inventory.machines.get_mut(&machine_name),
        ) else {
            return;
        };
        let t = &mut job.tasks[task as usize];
        t.attempt = attempt;
        t.allocation = Some(Box::new(Allocation {
            machine: machine_name.clone(),
            agent_epoch,
            attempt,
            committed,
            in_transaction: false,
            observed: ObservedState::Unseen,
            start_sequence: 0,
            // A leader before us may have sent it; its doubts end with our token.
            start_sent: committed,
            since: now,
            running_since: None,
            stop: None,
        }));
        job.idle.remove(&task);
        if job.idle.is_empty() {
            self.job_table.unplaced.remove(&number);
        }
        job.placed += 1;
        // What is assumed at the gang barrier may have to be given back.
        if committed || job.spec.kind != JobKind::Gang {
            job.served_at = now;
        }
        job.started |= job.idle.is_empty() && job.deferred.is_empty();
        *job.zones.entry(machine.zone.clone()).or_default() += 1;
        machine.allocations.insert((number, task));
        machine.used = machine.used.plus(&job.spec.need);
        if committed {
            // What an earlier epoch says is older than this.
            machine.agent_epoch = machine.agent_epoch.max(agent_epoch);
            self.dispatch.awaiting_effect.insert(machine_name.clone());
        }
        if job.spec.kind == JobKind::Array {
            self.autoscaler.batch_placed += batch_seconds(&job.spec);
        } else {
            machine.steady_cpu += job.spec.need.cpu;
        }
        self.quota.add(job.team, &job.spec.need);
        self.inventory
            .index
            .loaded(machine, job.spec.priority, true);
        self.inventory.index.update(machine);
        self.inventory.idle.remove(&machine_name);
    }

    /// A task's place is proven to be free, or was never sent.
    pub(super) fn release(&mut self, number: JobNumber, task: u32, now: Micros) {
        let Some(job) = self.job_table.jobs.get_mut(&number) else {
            return;
        };
        let Some(allocation) = job.tasks[task as usize].allocation.take() else {
            return;
        };
        job.placed -= 1;
        if !allocation.committed
            && !allocation.start_sent
            && job.tasks[task as usize].attempt == allocation.attempt
        {
            // Never sent: the number was not used.
            job.tasks[task as usize].attempt -= 1;
        }
        if !job.tasks[task as usize].done {
            job.idle.insert(task);
            if job.active() {
                self.job_table.unplaced.insert(number);
            }
        }
        self.quota.remove(job.team, &job.spec.need);
        if job.spec.kind == JobKind::Array {
            self.autoscaler.batch_placed -= batch_seconds(&job.spec);
        }
        if let Some(machine) = self.inventory.machines.get_mut(&allocation.machine) {
            if let Some(n) = job.zones.get_mut(&machine.zone) {
                *n -= 1;
                if *n == 0 {
                    let zone = machine.zone.clone();
                    job.zones.remove(&zone);
                }
            }
            machine.allocations.remove(&(number, task));
            machine.used = machine.used.minus(&job.spec.need);
            if job.spec.kind != JobKind::Array {
                machine.steady_cpu = machine.steady_cpu.saturating_sub(job.spec.need.cpu);
            }
            if job.spec.need.gpu > 0 || machine.kind.size.gpu == 0 {
                machine.wanted_at = now;
            }
            if machine.allocations.is_empty() {
                machine.idle_since = now;
                self.inventory.idle.insert(allocation.machine.clone());
            }
            self.inventory
                .index
                .loaded(machine, job.spec.priority, false);
            self.inventory.index.update(machine);
        }
        // In doubt, the record is written again: it must not keep a place that memory has dropped.
        if allocation.committed || allocation.in_transaction {
            self.persistence.task_ended(number, task, now);
        }
        self.placement_pass.requested = true;
    }

    /// Stops every placed task of a job; those whose start was never sent are dropped at once.
    pub(super) fn stop_all(&mut self, number: JobNumber, grace: Micros, now: Micros) {
        let Some(job) = self.job_table.jobs.get(&number) else {
            return;
        };
        let placed: Vec<u32> = (0..job.spec.tasks)
            .filter(|t| job.tasks[*t as usize].allocation.is_some())
            .collect();
        for t in placed {
            self.stop(number, t, grace, now);
        }
    }

    pub(super) fn stop(&mut self, number: JobNumber, task: u32, grace: Micros, now: Micros) {
        let Some(allocation) = self
            .job_table
            .jobs
            .get_mut(&number)
            .and_then(|job| job.tasks[task as usize].allocation.as_mut())
        else {
            return;
        };
        if !allocation.start_sent {
            self.release(number, task, now);
            return;
        }
        let sooner = allocation.stop.is_none_or(|s| grace < s.grace);
        if sooner {
            let since = allocation.stop.map_or(now, |s| s.since);
            allocation.stop = Some(StopRequest { grace, since });
        }
        let name = allocation.machine.clone();
        self.dispatch_soon(&name);
    }

    /// Marks a job that is over, and of which nothing is left on any machine, for its final record.
    pub(super) fn check_complete(&mut self, number: JobNumber) {
        let Some(job) = self.job_table.jobs.get(&number) else {
            return;
        };
        let over = match job.state {
            JobState::Cancelled => job.placed == 0,
            _ => job.complete() && job.placed == 0,
        };
        if over {
            self.dequeue(number);
            self.persistence.job_finished(number);
        }
    }

    /// A task ended with its result kept.
    pub(super) fn task_done(&mut self, number: JobNumber, task: u32, now: Micros) {
        let Some(job) = self.job_table.jobs.get_mut(&number) else {
            return;
        };
        if job.spec.kind == JobKind::Service {
            return;
        }
        let t = &mut job.tasks[task as usize];
        if !t.done {
            job.failures.completed(task);
            t.done = true;
            job.done += 1;
            if job.done == job.spec.tasks {
                job.done_at = Some(now);
            }
            job.idle.remove(&task);
            if job.idle.is_empty() {
                self.job_table.unplaced.remove(&number);
            }
            self.persistence.task_ended(number, task, now);
        }
    }
}
