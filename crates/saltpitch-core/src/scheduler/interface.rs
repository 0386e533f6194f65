//! What the scheduler is told by the settings, and what it wants done.

use std::sync::Arc;

use crate::agent::Command;
use crate::policy::Policy;
use crate::quota::TeamLimits;
use crate::time::Micros;

/// What the settings say, as far as the core needs it.
#[derive(Clone, Debug)]
pub struct SchedulerConfig {
    /// The interval between an agent's heartbeats.
    pub heartbeat_interval: Micros,
    /// An agent's lease.
    pub agent_lease: Micros,
    /// How long a gang's task runs on after another one is gone.
    pub gang_peer_timeout: Micros,
    /// The time within which the tasks of a cancelled job must be gone.
    pub cancel_timeout: Micros,
    /// Controllers in all.
    pub controller_count: usize,
    /// Direct commands, and probes, that may be under way at a time: they must not crowd out heartbeats
    /// and users, and yet reach the many machines that may be lost at once.
    pub max_concurrent_calls: usize,
    /// The most changes in one transaction.
    pub max_transaction_writes: usize,
    /// Changes a second that a leader may write.
    pub write_rate: f64,
    /// The same once the store's next limits are in force.
    pub next_write_rate: f64,
    /// The smaller of the store's present and next limits: nothing larger is written.
    pub max_value_bytes: usize,
    /// Rentals a second that a leader may ask the cloud for; twice as many at once.
    pub scale_out_rate: f64,
    /// Keys that the log's segments go round in: at ten segments a second, most batch jobs should
    /// be over before what was said of them has to be said again in a checkpoint.
    pub log_segments: u64,
    /// Bytes that one transaction may hold, with room to spare.
    pub max_transaction_bytes: usize,
    /// Guarantees and limits of the teams.
    pub teams: Vec<TeamLimits>,
    /// What is expected of classes of jobs.
    pub objectives: Vec<Objective>,
    /// Work within a team's guarantee is to be started within this time.
    pub guarantee_start_target: Micros,
    /// The operators' rules.
    pub policy: Policy,
}

/// What is expected of a class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The class.
    pub class: String,
    /// When its jobs should start or be done.
    pub target: ObjectiveTarget,
}

/// When a job should start or be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ObjectiveTarget {
    /// Started within this time.
    Started(Micros),
    /// Done within this time.
    Finished(Micros),
    /// Done by this many times the job's own deadline.
    Deadline(f64),
}

/// The revision that a key must have for a transaction to be carried out; 0: the key must not exist.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Precondition {
    /// The key.
    pub key: String,
    /// Its expected revision.
    pub revision: u64,
}

impl Precondition {
    /// The key must have this revision.
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
    /// What must hold.
    pub preconditions: Vec<Precondition>,
    /// What is written then.
    pub writes: Vec<Write>,
}

/// One write of a transaction; no value deletes the key.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    /// The key.
    pub key: String,
    /// The new value, as JSON.
    pub value: Option<String>,
}

/// What the shell round the core is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer with [`super::Scheduler::transaction_ended`].
    Commit(Transaction),
    /// Read the records anew and answer with [`super::Scheduler::records_reloaded`].
    ReloadRecords,
    /// Answer with [`super::Scheduler::command_ended`].
    SendCommands {
        /// The machine.
        machine: Arc<str>,
        /// Its address.
        addr: String,
        /// The epoch that the commands are for.
        agent_epoch: u64,
        /// The fencing token.
        fencing_token: u64,
        /// The commands, to be executed in this sequence.
        commands: Vec<Command>,
    },
    /// Ask a machine for its heartbeat; what it says goes to [`super::Scheduler::probe_answered`].
    Probe {
        /// The machine.
        machine: Arc<str>,
        /// Its address.
        addr: String,
    },
    /// Answer with [`super::Scheduler::scale_out_ended`].
    ScaleOut {
        /// The id of the request; a repetition rents nothing more.
        request: String,
        /// The type.
        type_name: String,
        /// The zone.
        zone: String,
        /// Whether spot machines are meant.
        spot: bool,
        /// How many.
        count: u32,
    },
    /// Answer with [`super::Scheduler::scale_in_confirmed`].
    ScaleIn {
        /// The machines.
        names: Vec<Arc<str>>,
    },
    /// Take the next term, to end doubts about starts that may still be under way.
    RaiseTerm,
}
