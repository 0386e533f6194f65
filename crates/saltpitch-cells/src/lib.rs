//! Batch work that one cell delegates to another, as a state machine without input or output.
//!
//! A cell is one deployment. The origin cell's leader hands over whole jobs and stays accountable for
//! them; the host cell runs them as delegated jobs. docs/cells.md has the design and why it is safe.
//!
//! # Modules
//!
//! - [`settings`]: the operators' file, checked field by field.
//! - [`origin`]: the origin cell's side: [`origin::Delegator`] decides what is offered, asked for, taken back and
//!   written. It lives as long as one leadership.
//! - [`host`]: the host cell's side: which delegated jobs are taken, and as what.
//! - [`link`]: what is asked over the link and what may be answered, [`peer_link`]: how a peer cell has
//!   answered, and when it may be called.
//! - [`ids`]: the ids under which a delegated job is known.
//! - [`notice`]: what the log is told.

pub mod host;
pub mod ids;
pub mod link;
pub mod notice;
pub mod origin;
pub mod peer_link;
pub mod settings;
