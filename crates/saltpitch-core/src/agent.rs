//! Messages between agents and the scheduler: heartbeats from the agents, and commands to them.
//!
//! An agent is the process that runs the tasks of one machine. The wire module of the `saltpitch` program
//! decodes and encodes these types; none of them is stored.

use std::sync::Arc;

use crate::time::Micros;

/// Why a task is no longer running on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    /// The task completed, and its result is kept.
    Done,
    /// The task was stopped by a command.
    Stopped,
    /// Another task of its gang is gone.
    PeerLost,
    /// The task's gang was not complete in time.
    GangIncomplete,
    /// The task failed, because of the machine or of the job.
    Error,
    /// The start was refused because the machine has too few free resources.
    NoRoom,
    /// The start was refused because another attempt of the task is still on the machine.
    Busy,
    /// The start was refused because the agent found no such job or task.
    NotFound,
}

/// The state of a task on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// The task waits for its image.
    Fetching,
    /// The task waits for the other members of its gang.
    Waiting,
    /// The task runs.
    Running,
    /// The task was stopped and saves its progress.
    Saving,
    /// The task has exited. The agent lists it until a command tells the agent to forget it.
    Exited {
        /// Why the task exited.
        cause: ExitCause,
        /// Whether the task's progress was saved.
        saved: bool,
    },
}

/// One task in an agent's heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskStatus {
    /// The job's id.
    pub job: String,
    /// The task's index in its job.
    pub task: u32,
    /// The attempt, which distinguishes repeated starts of the task.
    pub attempt: u32,
    /// The state of the attempt.
    pub state: TaskState,
}

/// The status of an agent and its machine: a heartbeat, or the answer to a direct call.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The machine's name.
    pub machine: String,
    /// The address at which the agent accepts direct calls.
    pub addr: String,
    /// The machine's type.
    pub type_name: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the cloud may reclaim the machine.
    pub spot: bool,
    /// The agent's epoch. It increases when the agent restarts and when its lease expires; every task of an
    /// earlier epoch is gone.
    pub agent_epoch: u64,
    /// The sequence number, which orders the statuses of one epoch across all controllers they are sent to.
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    pub fencing_token: u64,
    /// The time left until the cloud reclaims the machine, if the cloud has announced that.
    pub spot_notice: Option<Micros>,
    /// All tasks on the machine, including those that exited and are not forgotten yet.
    pub tasks: Vec<TaskStatus>,
}

/// A command to an agent. Commands are idempotent.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Start an attempt of a task.
    Start {
        /// The job's id.
        job: Arc<str>,
        /// The task's index in its job.
        task: u32,
        /// The attempt to start.
        attempt: u32,
    },
    /// Stop an attempt of a task.
    Stop {
        /// The job's id.
        job: Arc<str>,
        /// The task's index in its job.
        task: u32,
        /// The attempt to stop.
        attempt: u32,
        /// How long the task may take to save its progress.
        grace: Micros,
    },
    /// Forget an attempt that has exited, so that heartbeats no longer list it.
    Forget {
        /// The job's id.
        job: Arc<str>,
        /// The task's index in its job.
        task: u32,
        /// The attempt that exited.
        attempt: u32,
    },
}
