//! The scheduler's configuration, and the effects that it requests from the code around the core.

use std::sync::Arc;

use crate::agent::Command;
use crate::policy::Policy;
use crate::quota::TeamLimits;
use crate::time::Micros;

/// The configuration of the scheduler, as derived from the settings.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The interval between an agent's heartbeats.
    pub heartbeat_interval: Micros,
    /// The duration of an agent's lease.
    pub agent_lease: Micros,
    /// How long a gang's task continues to run after another task of the gang is gone.
    pub gang_peer_timeout: Micros,
    /// The time within which the tasks of a cancelled job must be gone.
    pub cancel_timeout: Micros,
    /// The number of controllers, including this one.
    pub controller_count: usize,
    /// The highest number of concurrent direct calls with commands, and likewise of concurrent probes. It
    /// must be low enough to leave connections for heartbeats and users, yet high enough to reach the many
    /// machines that may be lost at once.
    pub max_concurrent_calls: usize,
    /// The highest number of writes in one transaction.
    pub max_transaction_writes: usize,
    /// The number of writes per second that a leader may make.
    pub write_rate: f64,
    /// The same number once the state service's announced next limits are in force.
    pub next_write_rate: f64,
    /// The size limit of a value: the smaller of the state service's present and next limits.
    pub max_value_bytes: usize,
    /// The number of scale-out requests per second that a leader may send to the cloud, each for up to a fixed
    /// number of machines. A burst may have twice as many requests.
    pub scale_out_rate: f64,
    /// The number of keys that the placement log's segments reuse in turn. At ten segments per second, most
    /// batch jobs should have ended before their entries are overwritten and have to be written again in a
    /// checkpoint.
    pub log_segments: u64,
    /// The size limit of one transaction, below the state service's own limit.
    pub max_transaction_bytes: usize,
    /// The guarantees and limits of the teams.
    pub teams: Vec<TeamLimits>,
    /// The service-level objectives of classes of jobs.
    pub objectives: Vec<Objective>,
    /// The time within which work within a team's guarantee should start.
    pub guarantee_start_target: Micros,
    /// The operators' policy.
    pub policy: Policy,
}

/// A service-level objective of a class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The name of the class.
    pub class: String,
    /// When the jobs of the class should start or be done.
    pub target: ObjectiveTarget,
}

/// The target of a service-level objective.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ObjectiveTarget {
    /// The job starts within this time.
    Started(Micros),
    /// The job is done within this time.
    Finished(Micros),
    /// The job is done within its own deadline, multiplied by this factor.
    Deadline(f64),
}

/// A precondition of a transaction: the revision that a key must have, or 0 if the key must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// The revision that the key must have.
    pub revision: u64,
}

impl Precondition {
    /// Creates the precondition that `key` has this revision.
    pub fn new(key: impl Into<String>, revision: u64) -> Precondition {
        Precondition {
            key: key.into(),
            revision,
        }
    }
}

/// A compare-and-swap: all writes are carried out if all preconditions hold, and none otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Transaction {
    /// The conditions under which the writes are carried out.
    pub preconditions: Vec<Precondition>,
    /// The writes.
    pub writes: Vec<Write>,
}

/// One write of a transaction.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value as JSON, or `None` to delete the key.
    pub value: Option<String>,
}

/// An effect that the code around the core executes for the scheduler.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Commit a transaction. [`super::Scheduler::transaction_ended`] receives the outcome.
    Commit(Transaction),
    /// Read the records again. [`super::Scheduler::records_reloaded`] receives the result.
    ReloadRecords,
    /// Send commands to an agent. [`super::Scheduler::command_ended`] receives the outcome.
    SendCommands {
        /// The name of the machine.
        machine: Arc<str>,
        /// The address of the machine's agent.
        addr: String,
        /// The epoch of the agent for which the commands are meant.
        agent_epoch: u64,
        /// The fencing token of the call.
        fencing_token: u64,
        /// The commands, in the order of their execution.
        commands: Vec<Command>,
    },
    /// Request a heartbeat from an agent. [`super::Scheduler::probe_answered`] receives it.
    Probe {
        /// The name of the machine.
        machine: Arc<str>,
        /// The address of the machine's agent.
        addr: String,
    },
    /// Rent machines. [`super::Scheduler::scale_out_ended`] receives the outcome.
    ScaleOut {
        /// The id of the request. A request that is repeated with the same id rents no further machines.
        request: String,
        /// The name of the machine type.
        type_name: String,
        /// The zone.
        zone: String,
        /// Whether to rent spot machines.
        spot: bool,
        /// The number of machines.
        count: u32,
    },
    /// Return machines. [`super::Scheduler::scale_in_confirmed`] receives the confirmation.
    ScaleIn {
        /// The names of the machines.
        names: Vec<Arc<str>>,
    },
    /// Take the next term, so that agents ignore starts sent earlier that may still be in flight.
    RaiseTerm,
}
