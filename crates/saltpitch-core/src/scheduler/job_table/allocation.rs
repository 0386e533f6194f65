//! Where a task is, or is assumed to be.

use std::sync::Arc;

use crate::time::Micros;

/// A task's place on a machine.
#[derive(Clone, Debug)]
pub(crate) struct Allocation {
    /// The machine.
    pub machine: Arc<str>,
    /// The epoch of the machine's agent for which the task is placed.
    pub agent_epoch: u64,
    /// The attempt that is, or is to be, started there.
    pub attempt: u32,
    /// It is on record: from then on the start may be sent.
    pub committed: bool,
    /// It is part of the transaction in flight.
    pub in_transaction: bool,
    /// What the agent's heartbeats say of the task.
    pub observed: ObservedState,
    /// The sequence number of the heartbeat whose answer last carried the start.
    pub start_sequence: u64,
    /// The start was sent at least once: it may be executed any time later.
    pub start_sent: bool,
    /// When the task was placed.
    pub placed_at: Micros,
    /// When the task was first seen running.
    pub running_since: Option<Micros>,
    /// The task is to be stopped.
    pub stop: Option<StopRequest>,
}

/// What an agent's heartbeats say of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ObservedState {
    /// Nothing yet.
    Unseen,
    /// It waits for its image.
    Fetching,
    /// It waits for the other tasks of its gang.
    Waiting,
    /// It runs.
    Running,
    /// It was stopped and saves its progress.
    Saving,
}

/// The task is to be stopped.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopRequest {
    /// The time that it gets to save its progress.
    pub grace: Micros,
    /// When it was first asked to stop.
    pub requested_at: Micros,
}
