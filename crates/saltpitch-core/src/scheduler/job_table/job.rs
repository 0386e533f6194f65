//! The in-memory state of a job.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::allocation::Allocation;
use super::task_set::TaskSet;
use crate::gang::GangState;
use crate::job::{JobKind, JobSpec, JobState, Priority};
use crate::records::{Checkpoint, Guest};
use crate::scheduler::delegation::JobOwner;
use crate::scheduler::failure_history::FailureHistory;
use crate::time::Micros;

/// The times of events in a job's life, on this controller's steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobTimes {
    /// When the job was submitted.
    pub submitted_at: Micros,
    /// When the job started to wait for placement: its submission, or the end of its last dependency.
    pub queued_at: Micros,
    /// When a task of the job was last placed.
    pub last_placed_at: Micros,
    /// When the last placed task of a gang was removed from its machine, so that the whole gang was idle.
    pub last_idle_at: Micros,
    /// When the job last returned from another cell.
    pub last_returned_at: Micros,
    /// When the last of its tasks was found done.
    pub done_at: Option<Micros>,
}

impl JobTimes {
    /// Creates the times of a job that was submitted at this time.
    pub(in crate::scheduler) fn new(submitted_at: Micros) -> JobTimes {
        JobTimes {
            submitted_at,
            queued_at: submitted_at,
            ..JobTimes::default()
        }
    }

    /// Returns since when the job has waited for a placement.
    pub(in crate::scheduler) fn waiting_since(&self) -> Micros {
        self.last_placed_at.max(self.queued_at)
    }
}

/// The times before which the scheduler does not retry certain actions for a job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobBackoff {
    /// When the job's tasks may be placed again.
    pub place_after: Micros,
    /// When tasks may be preempted for the job again.
    pub preempt_after: Micros,
    /// Until when the job waits for capacity that is being freed on machines that have its image.
    pub near_image_until: Option<Micros>,
}

/// A job that has not ended.
pub(crate) struct Job {
    /// The job's id.
    pub id: Arc<str>,
    /// The specification that its user submitted.
    pub spec: Arc<JobSpec>,
    /// The number of its class.
    pub class: usize,
    /// The number of its team.
    pub team: usize,
    /// The revision of its record.
    pub revision: u64,
    /// Whether the records have shown the job's final record, although this leader does not know yet that it wrote it.
    pub has_final_record: bool,
    /// Whether the job is active or was cancelled.
    pub state: JobState,
    /// Which cell the job currently belongs to.
    pub owner: JobOwner,
    /// The origin cell and its terms, if another cell delegated the job to this one.
    pub guest: Option<Box<Guest>>,
    /// The dependencies that are not done yet. While there are any, the job is in no queue and uses nothing of
    /// its team's limit or quota.
    pub unmet_dependencies: BTreeSet<Arc<str>>,
    /// The highest priority of this job and of the jobs that depend on it.
    pub priority: Priority,
    /// When the job must be done so that the jobs that depend on it can meet their deadlines.
    pub dependents_deadline: Option<Micros>,
    /// The rank of the job in the queue as of the last pass, or the last rank if there was no pass yet.
    pub rank: u8,
    /// The job's tasks.
    pub tasks: TaskSet,
    /// The checkpoint of each range of tasks. Its revision is 0 if it is not on record.
    pub checkpoints: Vec<Checkpoint>,
    /// The state of a gang between submission and start.
    pub gang: GangState,
    /// The failures of the job's tasks, and what they show about the job and its machines.
    pub failures: FailureHistory,
    /// The times of events in the job's life.
    pub times: JobTimes,
    /// The times before which certain actions are not retried.
    pub backoff: JobBackoff,
}

impl Job {
    /// Returns whether the job was cancelled, either by its user or with a job that it depends on.
    pub(in crate::scheduler) fn is_cancelled(&self) -> bool {
        self.state == JobState::Cancelled
    }

    /// Returns whether every task has completed. A service never completes.
    pub(in crate::scheduler) fn is_complete(&self) -> bool {
        self.spec.kind != JobKind::Service && self.tasks.done() == self.spec.tasks
    }

    /// Returns whether the job's tasks may be placed: it has neither ended nor been delegated, and its
    /// dependencies are done.
    pub(in crate::scheduler) fn is_active(&self) -> bool {
        self.owner == JobOwner::Local
            && self.state == JobState::Active
            && !self.is_complete()
            && self.unmet_dependencies.is_empty()
    }

    /// Returns the task's allocation, if it is placed.
    pub(in crate::scheduler) fn allocation(&self, task: u32) -> Option<&Allocation> {
        self.tasks.allocation(task)
    }

    /// Returns the task's allocation for modification, if it is placed.
    pub(in crate::scheduler) fn allocation_mut(&mut self, task: u32) -> Option<&mut Allocation> {
        self.tasks.allocation_mut(task)
    }

    /// Returns the attempt number of the task's next start. All tasks of a gang have the same attempt number.
    pub(in crate::scheduler) fn next_attempt(&self, task: u32) -> u32 {
        let last = match self.spec.kind {
            JobKind::Gang => self.tasks.highest_attempt(),
            JobKind::Array | JobKind::Service => {
                self.tasks.get(task).map_or(0, |task| task.attempt)
            }
        };
        last + 1
    }

    /// Records that the task is placed in this zone.
    pub(in crate::scheduler) fn place(
        &mut self,
        task: u32,
        allocation: Allocation,
        zone: &Arc<str>,
        now: Micros,
    ) {
        // An allocation that is only assumed at the gang barrier may be released again, so it does not count
        // as placed yet.
        if allocation.committed || self.spec.kind != JobKind::Gang {
            self.times.last_placed_at = now;
        }
        self.tasks.place(task, allocation, zone);
    }

    /// Records that the task has completed. Returns whether that is new. The tasks of services have no
    /// outcome, so the result is false for them.
    pub(in crate::scheduler) fn complete_task(&mut self, task: u32, now: Micros) -> bool {
        if self.spec.kind == JobKind::Service || !self.tasks.complete(task) {
            return false;
        }
        self.failures.record_completion(task);
        if self.tasks.done() == self.spec.tasks {
            self.times.done_at = Some(now);
        }
        true
    }
}
