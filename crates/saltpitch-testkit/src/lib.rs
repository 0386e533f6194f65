//! Seeded stand-ins for everything that the service meets: the state service, the cloud, agents,
//! users and the network between them. Time is virtual; one seed gives one history.
//!
//! The stand-ins are written from the published protocol alone. [`Simulation::step`] plays one moment
//! and checks every rule after it.

pub mod agents;
pub mod cells;
pub mod histories;
pub mod invariants;
pub mod nodes;
pub mod previous_version;
pub mod simulation;
pub mod store;
pub mod trace;

pub use simulation::{Faults, Simulation};
