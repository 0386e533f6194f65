//! The rules of leadership as pure functions and values: how a leader is elected, until when it may answer
//! agents, and when it counts as isolated from them. [`crate::controller`] applies these rules.

mod answer_bound;
mod election;
mod fencing_tokens;
mod reachability;

use crate::time::Micros;

pub use answer_bound::{answer_bound, CancellationAcks};
pub use election::{
    campaign, election_delay, is_leaderless, resignation, EarlierLeaders, ElectionAttempt,
    ProcessIdentity,
};
pub use fencing_tokens::{has_earlier_term, next_term, TokenRange, TOKENS_PER_TERM};
pub use reachability::AgentReachability;

/// The time after which the leadership lease in the state service expires unless the leader renews it.
pub const LEADERSHIP_LEASE: Micros = Micros::from_secs(3);
