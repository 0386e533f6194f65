//! Delegation of batch jobs from one cell to another, as a state machine that does no I/O.
//!
//! A cell is one deployment. The leader of the origin cell, to which a job was submitted, delegates whole jobs
//! and stays responsible for them. The host cell runs them as delegated jobs. See docs/cells.md for the design
//! and for why it is safe.
//!
//! # Modules
//!
//! - [`settings`]: the operators' cells file and its validation.
//! - [`origin`]: the origin cell's side: [`origin::Delegator`] decides which jobs to offer, query and reclaim and
//!   which records to write. It exists as long as its
//!   controller leads.
//! - [`host`]: the host cell's side: admission of delegated jobs.
//! - [`link`]: the requests and answers of the link between two cells.
//! - [`peer_link`]: the state of the link to one peer cell: backoff, rate limit and readiness.
//! - [`ids`]: the ids of a delegated job at the origin, on the link and at the host.
//! - [`notice`]: log messages about delegations.

pub mod host;
pub mod ids;
pub mod link;
pub mod notice;
pub mod origin;
pub mod peer_link;
pub mod settings;
