//! The rules of leadership, as pure functions and values: how a leader is elected, until when it may answer
//! agents, and when it is isolated. [`crate::controller`] applies them.

mod answer_bound;
mod election;
mod reachability;

use crate::time::Micros;

pub use answer_bound::{answer_bound, CancellationAcks};
pub use election::{
    campaign, election_delay, is_leaderless, resignation, EarlierLeaders, ElectionAttempt,
    ProcessIdentity,
};
pub use reachability::AgentReachability;

/// How long the leadership lease in the state service lasts without renewal.
pub const LEADERSHIP_LEASE: Micros = Micros::from_secs(3);
