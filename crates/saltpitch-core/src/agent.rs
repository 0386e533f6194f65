//! What agents and the scheduler say to each other: heartbeats one way, commands the other.
//!
//! An agent is the process that runs the tasks of one machine. These types are what the program's wire
//! module decodes and encodes; none of them is stored.

use std::sync::Arc;

use crate::time::Micros;

/// Why a task is no longer running on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCause {
    /// It completed, and its result is kept.
    Done,
    /// It was stopped by a command.
    Stopped,
    /// Another task of its gang is gone.
    PeerLost,
    /// Its gang was not complete in time.
    GangIncomplete,
    /// It failed, by a fault of the machine or of the job.
    Error,
    /// Its start was refused: too little is free on the machine.
    NoRoom,
    /// Its start was refused: another attempt of the task is still on the machine.
    Busy,
    /// Its start was refused: the agent could not find such a job or task.
    NotFound,
}

/// What a task does on a machine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskState {
    /// It waits for its image.
    Fetching,
    /// It waits for the other members of its gang.
    Waiting,
    /// It runs.
    Running,
    /// It was stopped and saves its progress.
    Saving,
    /// It is over. Listed until a command lets the agent forget it.
    Exited {
        /// Why it is over.
        cause: ExitCause,
        /// Whether its progress was saved.
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
    /// What the task does.
    pub state: TaskState,
}

/// The status of an agent and its machine: a heartbeat, or the answer to a direct call.
#[derive(Clone, Debug, PartialEq)]
pub struct Heartbeat {
    /// The machine's name.
    pub machine: String,
    /// Where the agent takes direct calls.
    pub addr: String,
    /// The machine's type.
    pub type_name: String,
    /// The machine's zone.
    pub zone: String,
    /// Whether the cloud may take the machine back.
    pub spot: bool,
    /// Increases when the agent starts again, and when its lease expires: everything that ran in an
    /// earlier epoch is gone.
    pub agent_epoch: u64,
    /// Orders the statuses of one epoch, whichever controller they were sent to.
    pub sequence: u64,
    /// The highest fencing token that the agent has seen.
    pub fencing_token: u64,
    /// How long until the cloud takes the machine back, once that is announced.
    pub spot_notice: Option<Micros>,
    /// Every task on the machine, those that exited included.
    pub tasks: Vec<TaskStatus>,
}

/// What an agent is to do. Each command is safe to repeat.
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
    /// No longer list an attempt that has exited.
    Forget {
        /// The job's id.
        job: Arc<str>,
        /// The task's index in its job.
        task: u32,
        /// The attempt that exited.
        attempt: u32,
    },
}
