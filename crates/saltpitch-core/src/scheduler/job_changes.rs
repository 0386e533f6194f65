//! Handles changes of jobs on record: jobs that are submitted, cancelled, or restored by a new leader.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::allocations::Assignment;
use super::delegation::JobOwner;
use super::failure_history::FailureHistory;
use super::{Job, JobBackoff, JobTimeline, JobTimes, Scheduler, TaskSet};
use crate::gang::GangState;
use crate::job::{JobKind, JobNumber, JobSpec, JobState};
use crate::records::{
    Checkpoint, EndedJob, JobEntry, RecordCache, RecordedJob, TASKS_PER_CHECKPOINT,
};
use crate::time::Micros;

/// The allocation of a task as the records show it.
struct RecordedAllocation {
    task: u32,
    machine: String,
    agent_epoch: u64,
}

impl Scheduler {
    /// Returns the timeline of a job that waits, runs or has ended recently.
    pub fn timeline(&self, id: &str) -> Option<JobTimeline> {
        let current = self.job_table.find(id).map(JobTimeline::of);
        current.or_else(|| self.job_table.ended.get(id))
    }

    /// Handles a cancellation that a peer has acknowledged and that this controller's copy of the records
    /// doesn't show yet. The job's tasks are stopped and no more are placed; the record follows later.
    pub fn cancelled_by_peer(&mut self, id: &str, now: Micros) {
        match self.job_table.number_of(id) {
            Some(number) => self.cancel_if_active(number, now),
            // The job was accepted and cancelled after this controller last read the records.
            None => self.job_table.record_early_cancellation(id),
        }
    }

    /// Handles the replacement of the records by a new listing: a cancellation that a peer has acknowledged is no
    /// longer needed once the job has ended there.
    pub fn records_replaced(&mut self, records: &RecordCache) {
        let has_ended = |id: &str| matches!(records.job(id), Some(RecordedJob::Ended(_)));
        self.job_table.retain_early_cancellations(has_ended);
    }

    /// Handles a new or changed record of a job.
    pub fn job_changed(&mut self, records: &RecordCache, id: &str, now: Micros, wall: Micros) {
        match records.job(id) {
            Some(RecordedJob::Ended(ended)) => self.job_ended(id, ended, now, wall),
            Some(RecordedJob::Live(entry)) => {
                if entry.record.state == JobState::Cancelled {
                    self.dependency_cancelled(id, now);
                }
                match self.job_table.number_of(id) {
                    Some(number) => self.known_job_changed(number, entry, now),
                    None => self.add_job(id, entry, records, now, wall),
                }
            }
            None => {}
        }
    }

    fn known_job_changed(&mut self, number: JobNumber, entry: &JobEntry, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        if entry.revision <= job.revision {
            return;
        }
        job.revision = entry.revision;
        if entry.record.state == JobState::Cancelled {
            self.cancel_if_active(number, now);
        }
        self.job_owner_changed(number, &entry.record, now);
    }

    /// Handles the final record of a job.
    fn job_ended(&mut self, id: &str, ended: &EndedJob, now: Micros, wall: Micros) {
        self.job_table.take_early_cancellation(id);
        if ended.state == JobState::Cancelled {
            self.dependency_cancelled(id, now);
        } else {
            let done_at = ended.done_at.map(|at| now.since(wall.since(at)));
            self.dependency_completed(id, done_at.unwrap_or(now), now);
        }
        if let Some(number) = self.job_table.number_of(id) {
            self.known_job_ended(number, ended, now);
        }
    }

    fn known_job_ended(&mut self, number: JobNumber, ended: &EndedJob, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        if ended.revision <= job.revision {
            return;
        }
        job.revision = ended.revision;
        job.has_final_record = true;
        if ended.state == JobState::Cancelled {
            self.cancel_if_active(number, now);
        } else {
            self.completed_by_host(number, now);
        }
    }

    /// Adds a job that this scheduler did not know: newly submitted, or restored from the records.
    fn add_job(
        &mut self,
        id: &str,
        entry: &JobEntry,
        records: &RecordCache,
        now: Micros,
        wall: Micros,
    ) {
        let Some(spec) = entry.record.spec.clone() else {
            return;
        };
        let number = self.job_table.next_number();
        let mut job = self.new_job(id, spec, entry, records, now, wall);
        let allocations = restore_tasks(&mut job, id, records);
        if job.state == JobState::Active {
            self.resolve_dependencies(&mut job, number, records, now, wall);
        }
        let is_released = job.unmet_dependencies.is_empty();
        self.job_table.insert(number, job);
        if is_released {
            self.enqueue(number, now);
        }
        self.inherit_urgency(number);
        // Jobs that depend on this one may have been read before it.
        for dependent in self.dependencies.dependents_of(id) {
            self.inherit_urgency(dependent);
        }
        let has_lost_tasks = self.restore_allocations(number, allocations, now);
        self.restore_gang(number, has_lost_tasks, now);
        if self.job_table.get(number).is_some_and(Job::is_cancelled) {
            self.apply_cancellation(number, now);
        } else {
            self.finish_if_over(number);
        }
        self.placement_pass.request();
    }

    /// Returns the job as its record describes it, with no task placed or done.
    fn new_job(
        &mut self,
        id: &str,
        spec: Arc<JobSpec>,
        entry: &JobEntry,
        records: &RecordCache,
        now: Micros,
        wall: Micros,
    ) -> Job {
        let is_cancelled = self.job_table.take_early_cancellation(id)
            || records.job_state(id) == Some(JobState::Cancelled);
        let classes = &mut self.job_table.classes;
        let class = classes.number_of(&spec.class, &self.config.objectives);
        classes.job_added(class, spec.tasks);
        let tasks = spec.tasks as usize;
        let submitted = now.since(wall.since(entry.record.submitted_at));
        Job {
            class,
            team: self.quota.team_index(&spec.team),
            id: id.into(),
            revision: entry.revision,
            has_final_record: false,
            state: match is_cancelled {
                true => JobState::Cancelled,
                false => entry.record.state,
            },
            owner: match entry.record.is_delegated() {
                true => JobOwner::Remote,
                false => JobOwner::Local,
            },
            guest: entry.record.guest.clone(),
            times: JobTimes::new(submitted),
            backoff: JobBackoff::default(),
            unmet_dependencies: BTreeSet::new(),
            priority: spec.priority,
            dependents_deadline: None,
            tasks: TaskSet::new(spec.tasks),
            checkpoints: vec![Checkpoint::default(); tasks.div_ceil(TASKS_PER_CHECKPOINT as usize)],
            gang: GangState::default(),
            failures: FailureHistory::default(),
            rank: u8::MAX,
            spec,
        }
    }

    /// Restores the allocations of the job's tasks. Returns whether some of the tasks are lost.
    fn restore_allocations(
        &mut self,
        number: JobNumber,
        allocations: Vec<RecordedAllocation>,
        now: Micros,
    ) -> bool {
        let mut has_lost_tasks = false;
        for recorded in allocations {
            // A machine's record is written before any task is placed on it and deleted only once the
            // machine is proven gone. So without that record the task is gone, too.
            let machine = self.inventory.get(recorded.machine.as_str());
            let name = machine.map(|machine| machine.name.clone());
            let job = self.job_table.get(number);
            let attempt = job.and_then(|job| job.tasks.get(recorded.task));
            let attempt = attempt.map(|task| task.attempt);
            let Some((name, attempt)) = name.zip(attempt) else {
                has_lost_tasks = true;
                self.persistence.task_ended(number, recorded.task, now);
                continue;
            };
            let assignment = Assignment {
                job: number,
                task: recorded.task,
                machine: name,
                agent_epoch: recorded.agent_epoch,
                attempt,
                committed: true,
            };
            self.allocate(assignment, now);
        }
        has_lost_tasks
    }

    /// Restores the state of a gang: it continues if every member is still placed; otherwise the
    /// members that are left are stopped.
    fn restore_gang(&mut self, number: JobNumber, has_lost_tasks: bool, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        if job.spec.kind != JobKind::Gang || job.tasks.placed() == 0 {
            return;
        }
        if has_lost_tasks || job.tasks.placed() < job.spec.tasks {
            job.gang = GangState::Stopping;
            self.stop_all(number, Micros::ZERO, now);
        } else {
            job.gang = GangState::Allowed;
        }
    }

    /// Cancels the job unless it is over.
    pub(super) fn cancel_if_active(&mut self, number: JobNumber, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        if job.state == JobState::Active {
            job.state = JobState::Cancelled;
            self.apply_cancellation(number, now);
        }
    }

    /// Applies the cancellation of a job: allocations whose start was never sent are released, other
    /// tasks are stopped, and the jobs that depend on it are cancelled as well.
    pub(super) fn apply_cancellation(&mut self, number: JobNumber, now: Micros) {
        self.job_table.dequeue(number);
        self.stop_all(number, Micros::ZERO, now);
        self.finish_if_over(number);
        self.placement_pass.request();
        if let Some(id) = self.job_table.get(number).map(|job| job.id.clone()) {
            self.dependency_cancelled(&id, now);
        }
    }
}

/// Restores what the records say about a job's tasks. Returns the allocations of those that were placed.
fn restore_tasks(job: &mut Job, id: &str, records: &RecordCache) -> Vec<RecordedAllocation> {
    for (&index, on_record) in records.checkpoints.get(id).into_iter().flatten() {
        if let Some(checkpoint) = job.checkpoints.get_mut(index as usize) {
            *checkpoint = *on_record;
        }
    }
    let mut allocations = Vec::new();
    let recorded = records.tasks.get(id).map_or(&[][..], |known| &known.tasks);
    for (number, recorded) in (0..job.spec.tasks).zip(recorded) {
        job.tasks.restore(number, recorded.attempt, recorded.done);
        if let Some(allocation) = &recorded.allocation {
            allocations.push(RecordedAllocation {
                task: number,
                machine: allocation.machine.clone(),
                agent_epoch: allocation.agent_epoch,
            });
        }
    }
    if job.spec.kind == JobKind::Array && job.tasks.done() == 0 {
        let attempts = job.tasks.iter().map(|task| task.attempt);
        job.failures.restore_from_attempts(attempts);
    }
    allocations
}
