//! The scheduler's core: events and the present time go in, effects come out.
//!
//! Nothing here opens a socket, reads a clock or draws a random number, so that a whole site can
//! be played in a test from one seed.

pub mod catalog;
pub mod cluster;
#[warn(missing_docs)]
pub mod controller;
pub mod fleet;
pub mod gang;
#[warn(missing_docs)]
pub mod images;
pub mod job;
pub mod leader;
#[warn(missing_docs)]
pub mod leadership;
#[warn(missing_docs)]
pub mod messages;
pub mod placement;
pub mod policy;
pub mod preemption;
pub mod quota;
#[warn(missing_docs)]
pub mod records;
pub mod time;

pub use time::Micros;
