//! A job as the scheduler keeps it in memory.

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

/// When what happened to a job, on this controller's steady clock.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobTimes {
    /// When it was submitted.
    pub submitted_at: Micros,
    /// When its waits began: submitted, or released by its last dependency.
    pub queued_at: Micros,
    /// When a task of it was placed last.
    pub last_placed_at: Micros,
    /// When it became idle as a whole again.
    pub last_idle_at: Micros,
    /// When it last came back from another cell.
    pub last_returned_at: Micros,
    /// When its last task was found done.
    pub done_at: Option<Micros>,
}

impl JobTimes {
    /// Of a job that was submitted at this time.
    pub(in crate::scheduler) fn new(submitted_at: Micros) -> JobTimes {
        JobTimes {
            submitted_at,
            queued_at: submitted_at,
            ..JobTimes::default()
        }
    }

    /// Since when the job has waited to be served.
    pub(in crate::scheduler) fn waiting_since(&self) -> Micros {
        self.last_placed_at.max(self.queued_at)
    }
}

/// Until when what is not tried for a job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct JobBackoff {
    /// Nothing of it is placed before then.
    pub place_after: Micros,
    /// No tasks are preempted for it before then.
    pub preempt_after: Micros,
    /// Capacity is being made where its image is, and awaited until then.
    pub near_image_until: Option<Micros>,
}

/// A job that is not over.
pub(crate) struct Job {
    /// Its id.
    pub id: Arc<str>,
    /// Its description.
    pub spec: Arc<JobSpec>,
    /// The number of its class.
    pub class: usize,
    /// The number of its team.
    pub team: usize,
    /// The revision of its record.
    pub revision: u64,
    /// Whether it was cancelled.
    pub state: JobState,
    /// Which cell it is with.
    pub owner: JobOwner,
    /// The cell that it is run for, if that is another one.
    pub guest: Option<Box<Guest>>,
    /// Dependencies that are not done yet. As long as there are any, it is in no queue and holds nothing of
    /// its team's limit or quota.
    pub unmet_dependencies: BTreeSet<Arc<str>>,
    /// The highest priority of this job and of those that depend on it.
    pub priority: Priority,
    /// Until when it must be done for the deadlines of those that depend on it.
    pub dependents_deadline: Option<Micros>,
    /// Its rank in the queue, as of the last pass; the last as long as there was none.
    pub rank: u8,
    /// Its tasks.
    pub tasks: TaskSet,
    /// The checkpoint of each range of tasks; of revision 0 if it is not on record.
    pub checkpoints: Vec<Checkpoint>,
    /// Where it stands between submission and start, if it is a gang.
    pub gang: GangState,
    /// What failed, and what that says.
    pub failures: FailureHistory,
    /// When what happened to it.
    pub times: JobTimes,
    /// Until when what is not tried for it.
    pub backoff: JobBackoff,
}

impl Job {
    /// Its user has cancelled it, or something that it depends on is cancelled.
    pub(in crate::scheduler) fn is_cancelled(&self) -> bool {
        self.state == JobState::Cancelled
    }

    /// Every task has completed.
    pub(in crate::scheduler) fn is_complete(&self) -> bool {
        self.spec.kind != JobKind::Service && self.tasks.done() == self.spec.tasks
    }

    /// Its tasks may be placed: it is neither over nor delegated, and its dependencies are done.
    pub(in crate::scheduler) fn is_active(&self) -> bool {
        self.owner == JobOwner::Local
            && self.state == JobState::Active
            && !self.is_complete()
            && self.unmet_dependencies.is_empty()
    }

    /// The task's allocation, if it is placed.
    pub(in crate::scheduler) fn allocation(&self, task: u32) -> Option<&Allocation> {
        self.tasks.allocation(task)
    }

    /// The task's allocation, if it is placed.
    pub(in crate::scheduler) fn allocation_mut(&mut self, task: u32) -> Option<&mut Allocation> {
        self.tasks.allocation_mut(task)
    }

    /// The attempt number of the task's next start. The tasks of a gang share theirs.
    pub(in crate::scheduler) fn next_attempt(&self, task: u32) -> u32 {
        let last = match self.spec.kind {
            JobKind::Gang => self.tasks.highest_attempt(),
            JobKind::Array | JobKind::Service => {
                self.tasks.get(task).map_or(0, |task| task.attempt)
            }
        };
        last + 1
    }

    /// The task is placed in this zone.
    pub(in crate::scheduler) fn place(
        &mut self,
        task: u32,
        allocation: Allocation,
        zone: &Arc<str>,
        now: Micros,
    ) {
        // What is assumed at the gang barrier may have to be given back.
        if allocation.committed || self.spec.kind != JobKind::Gang {
            self.times.last_placed_at = now;
        }
        self.tasks.place(task, allocation, zone);
    }

    /// The task has completed. Returns whether that is news; services have no outcome.
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
