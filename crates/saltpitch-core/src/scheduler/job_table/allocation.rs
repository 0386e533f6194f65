//! The allocation of a task to a machine.

use std::sync::Arc;

use crate::time::Micros;

/// The allocation of a task to a machine, assumed or on record.
#[derive(Clone, Debug)]
pub(crate) struct Allocation {
    /// The name of the machine.
    pub machine: Arc<str>,
    /// The epoch of the machine's agent for which the task is placed.
    pub agent_epoch: u64,
    /// The number of the attempt to start on the machine.
    pub attempt: u32,
    /// Whether the allocation is on record. The start may only be sent afterwards.
    pub committed: bool,
    /// Whether the allocation is part of the transaction in flight.
    pub in_transaction: bool,
    /// The state of the task according to the agent's heartbeats.
    pub observed: ObservedState,
    /// The sequence number of the heartbeat whose answer last contained the start.
    pub start_sequence: u64,
    /// Whether the start was sent at least once. The agent may then execute it at any later time.
    pub start_sent: bool,
    /// When the task was placed.
    pub placed_at: Micros,
    /// When a heartbeat first showed the task running.
    pub running_since: Option<Micros>,
    /// The request to stop the task, if there is one.
    pub stop: Option<StopRequest>,
}

/// The state of a task according to its agent's heartbeats.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ObservedState {
    /// No heartbeat has shown the task yet.
    Unseen,
    /// The task waits for its image to be fetched.
    Fetching,
    /// The task waits for the other tasks of its gang.
    Waiting,
    /// The task runs.
    Running,
    /// The task was told to stop and saves its progress.
    Saving,
}

/// A request to stop a task.
#[derive(Clone, Copy, Debug)]
pub(crate) struct StopRequest {
    /// The time that the task has to save its progress.
    pub grace: Micros,
    /// When the stop was first requested.
    pub requested_at: Micros,
}
