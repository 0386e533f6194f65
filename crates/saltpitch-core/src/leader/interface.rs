//! What the scheduler is told by the settings, and what it wants done.

#![warn(missing_docs)]

use std::sync::Arc;

use crate::cluster::Order;
use crate::policy::Policy;
use crate::quota::TeamLimits;
use crate::time::Micros;

/// What the settings say, as far as the core needs it.
#[derive(Clone, Debug)]
pub struct Config {
    /// The interval between a worker's reports.
    pub report: Micros,
    /// A worker's lease.
    pub lease: Micros,
    /// How long a gang's task runs on after another one is gone.
    pub gang_peer: Micros,
    /// The time within which the tasks of a cancelled job must be gone.
    pub cancel: Micros,
    /// Controllers in all.
    pub nodes: usize,
    /// Direct orders, and probes, that may be under way at a time: they must not crowd out reports
    /// and users, and yet reach the many machines that may be lost at once.
    pub calls: usize,
    /// The most changes in one transaction.
    pub txn_ops: usize,
    /// Changes a second that a leader may write.
    pub write_rate: f64,
    /// The same once the store's next limits are in force.
    pub next_write_rate: f64,
    /// The smaller of the store's present and next limits: nothing larger is written.
    pub value_bytes: usize,
    /// Rentals a second that a leader may ask the cloud for; twice as many at once.
    pub rent_rate: f64,
    /// Keys that the log's segments go round in: at ten segments a second, most batch jobs should
    /// be over before what was said of them has to be said again in a checkpoint.
    pub log_ring: u64,
    /// Bytes that one transaction may hold, with room to spare.
    pub txn_bytes: usize,
    /// Guarantees and limits of the teams.
    pub teams: Vec<TeamLimits>,
    /// What is expected of classes of jobs.
    pub objectives: Vec<Objective>,
    /// Work within a team's guarantee is to be started within this time.
    pub guarantee_within: Micros,
    /// The operators' rules.
    pub policy: Policy,
}

/// What is expected of a class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The class.
    pub class: String,
    /// When its jobs should start or be done.
    pub aim: Aim,
}

/// When a job should start or be done.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Aim {
    /// Started within this time.
    Wait(Micros),
    /// Done within this time.
    Finished(Micros),
    /// Done by this many times the job's own deadline.
    Deadline(f64),
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
    /// Answer with [`super::Leader::committed`].
    Txn {
        /// Conditions: keys and their revisions.
        when: Vec<(String, u64)>,
        /// The writes.
        writes: Vec<Write>,
    },
    /// Read the records anew and answer with [`super::Leader::refreshed`].
    Refresh,
    /// Answer with [`super::Leader::ordered`].
    Orders {
        /// The machine.
        machine: Arc<str>,
        /// Its address.
        addr: String,
        /// The session that the orders are for.
        session: u64,
        /// The fencing token.
        token: u64,
        /// The orders, to be executed in this sequence.
        orders: Vec<Order>,
    },
    /// Ask a machine for its report; what it says goes to [`super::Leader::heard_directly`].
    Probe {
        /// The machine.
        machine: Arc<str>,
        /// Its address.
        addr: String,
    },
    /// Answer with [`super::Leader::rented`].
    Rent {
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
    /// Answer with [`super::Leader::returned`].
    Return {
        /// The machines.
        names: Vec<Arc<str>>,
    },
    /// Take the next term, to end doubts about starts that may still be under way.
    RaiseTerm,
}
