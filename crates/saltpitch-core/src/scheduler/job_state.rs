//! A job and its tasks as the leader keeps them in memory.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use super::delegation::JobOwner;
use super::job_failures::FailureHistory;
use crate::gang::Gang;
use crate::job::{JobKind, JobSpec, JobState, Priority};
use crate::records::{Checkpoint, Guest};
use crate::time::Micros;

/// A place that a task has, or is assumed to have.
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
    /// Every task has completed.
    pub(super) fn complete(&self) -> bool {
        self.spec.kind != JobKind::Service && self.done == self.spec.tasks
    }

    pub(super) fn active(&self) -> bool {
        let here = self.owner == JobOwner::Here;
        here && self.state == JobState::Active
            && !self.complete()
            && self.unmet_dependencies.is_empty()
    }

    /// Started work, or work to come, per task.
    pub(super) fn next_attempt(&self, task: u32) -> u32 {
        match self.spec.kind {
            JobKind::Gang => self.tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1,
            _ => self.tasks[task as usize].attempt + 1,
        }
    }
}
