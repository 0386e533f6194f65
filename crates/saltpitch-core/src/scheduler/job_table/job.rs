//! A job and its tasks as the scheduler keeps them in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::gang::Gang;
use crate::job::{JobKind, JobSpec, JobState, Priority};
use crate::records::{Checkpoint, Guest};
use crate::scheduler::delegation::JobOwner;
use crate::scheduler::failure_history::FailureHistory;
use crate::time::Micros;

/// Where a task is, or is assumed to be.
#[derive(Clone, Debug)]
pub(crate) struct Allocation {
    pub machine: Arc<str>,
    pub agent_epoch: u64,
    pub attempt: u32,
    /// On record.
    pub committed: bool,
    /// Part of the transaction under way.
    pub in_transaction: bool,
    pub observed: ObservedState,
    /// The heartbeat whose answer last carried the start.
    pub start_sequence: u64,
    pub start_sent: bool,
    pub since: Micros,
    pub running_since: Option<Micros>,
    pub stop: Option<StopRequest>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ObservedState {
    Unseen,
    Fetching,
    Waiting,
    Running,
    Saving,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct StopRequest {
    pub grace: Micros,
    pub since: Micros,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub attempt: u32,
    pub done: bool,
    pub allocation: Option<Box<Allocation>>,
}

pub(crate) struct Job {
    pub id: Arc<str>,
    pub spec: Arc<JobSpec>,
    /// Its class and its team in the leader's tables.
    pub class: usize,
    pub team: usize,
    pub rev: u64,
    pub state: JobState,
    /// Which cell it is with.
    pub owner: JobOwner,
    /// When it last came back from another cell.
    pub came_back_at: Micros,
    /// The cell that it is run for, if that is another one.
    pub guest: Option<Box<Guest>>,
    /// On this node's steady clock.
    pub submitted: Micros,
    /// When its waits began: submitted, or released by the last job that it needs.
    pub queued: Micros,
    /// Jobs that it needs and that are not done yet. As long as there are any, it is in no queue and
    /// holds nothing of its team's limit or guarantee.
    pub unmet_dependencies: BTreeSet<Arc<str>>,
    /// The highest priority of this job and of those that need it, and until when it must be done for
    /// their deadlines.
    pub priority: Priority,
    pub due: Option<Micros>,
    /// When its last task was found done.
    pub done_at: Option<Micros>,
    pub tasks: Vec<Task>,
    /// Neither done nor placed.
    pub idle: BTreeSet<u32>,
    pub placed: u32,
    pub done: u32,
    /// The checkpoint of each range of tasks; of revision 0 if it is not on record.
    pub checkpoints: Vec<Checkpoint>,
    pub gang: Gang,
    pub not_before: Micros,
    /// When it became idle as a whole again.
    pub parked_at: Micros,
    /// When a task of it was placed last.
    pub served_at: Micros,
    pub failures: FailureHistory,
    /// Tasks that failed and wait before they are tried again: neither idle nor placed.
    pub deferred: BTreeSet<u32>,
    /// Not before then is room to be made for it again.
    pub search_after: Micros,
    /// Room is being made where its image is: it waits for that until then.
    pub room_awaited_until: Option<Micros>,
    /// All tasks were placed at one time.
    pub started: bool,
    pub zones: BTreeMap<Arc<str>, u32>,
    /// Its place in the order of service, as of the last pass; the last as long as there was none.
    pub rank: u8,
}

impl Job {
    /// Its user has cancelled it, or something that it depends on is cancelled.
    pub(in crate::scheduler) fn is_cancelled(&self) -> bool {
        self.state == JobState::Cancelled
    }

    /// Every task has completed.
    pub(in crate::scheduler) fn is_complete(&self) -> bool {
        self.spec.kind != JobKind::Service && self.done == self.spec.tasks
    }

    /// Its tasks may be placed: it is neither over nor delegated, and its dependencies are done.
    pub(in crate::scheduler) fn is_active(&self) -> bool {
        self.owner == JobOwner::Here
            && self.state == JobState::Active
            && !self.is_complete()
            && self.unmet_dependencies.is_empty()
    }

    /// The task's allocation, if it is placed.
    pub(in crate::scheduler) fn allocation(&self, task: u32) -> Option<&Allocation> {
        self.tasks.get(task as usize)?.allocation.as_deref()
    }

    /// The task's allocation, if it is placed.
    pub(in crate::scheduler) fn allocation_mut(&mut self, task: u32) -> Option<&mut Allocation> {
        self.tasks.get_mut(task as usize)?.allocation.as_deref_mut()
    }

    /// The highest attempt of any task.
    pub(in crate::scheduler) fn highest_attempt(&self) -> u32 {
        let attempts = self.tasks.iter().map(|task| task.attempt);
        attempts.max().unwrap_or(0)
    }

    /// The attempt number of the task's next start. The tasks of a gang share theirs.
    pub(in crate::scheduler) fn next_attempt(&self, task: u32) -> u32 {
        match self.spec.kind {
            JobKind::Gang => self.highest_attempt() + 1,
            JobKind::Array | JobKind::Service => self.tasks[task as usize].attempt + 1,
        }
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
            self.served_at = now;
        }
        let state = &mut self.tasks[task as usize];
        state.attempt = allocation.attempt;
        state.allocation = Some(Box::new(allocation));
        self.idle.remove(&task);
        self.placed += 1;
        self.started |= self.idle.is_empty() && self.deferred.is_empty();
        *self.zones.entry(zone.clone()).or_default() += 1;
    }

    /// The task is not placed any more. `zone` is where it was, if its machine is still known.
    pub(in crate::scheduler) fn unplace(
        &mut self,
        task: u32,
        zone: Option<&Arc<str>>,
    ) -> Option<Box<Allocation>> {
        let state = self.tasks.get_mut(task as usize)?;
        let allocation = state.allocation.take()?;
        let unused = !allocation.committed && !allocation.start_sent;
        if unused && state.attempt == allocation.attempt {
            // Its start was never sent: the attempt number was not used.
            state.attempt -= 1;
        }
        if !state.done {
            self.idle.insert(task);
        }
        self.placed -= 1;
        if let Some(zone) = zone {
            self.leave_zone(zone);
        }
        Some(allocation)
    }

    fn leave_zone(&mut self, zone: &Arc<str>) {
        if let Some(tasks) = self.zones.get_mut(zone) {
            *tasks -= 1;
            if *tasks == 0 {
                self.zones.remove(zone);
            }
        }
    }

    /// The task has completed. Returns whether that is news; services have no outcome.
    pub(in crate::scheduler) fn complete_task(&mut self, task: u32, now: Micros) -> bool {
        let state = &mut self.tasks[task as usize];
        if self.spec.kind == JobKind::Service || state.done {
            return false;
        }
        state.done = true;
        self.failures.completed(task);
        self.done += 1;
        if self.done == self.spec.tasks {
            self.done_at = Some(now);
        }
        self.idle.remove(&task);
        true
    }
}
