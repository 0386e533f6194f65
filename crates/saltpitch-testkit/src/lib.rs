//! Seeded stand-ins for everything that the service meets: the state service, the cloud, workers,
//! users and the network between them. Time is virtual; one seed gives one history.
//!
//! The stand-ins are written from the published protocol alone. [`World::step`] plays one moment
//! and checks every rule after it.

pub mod cells;
pub mod histories;
pub mod nodes;
pub mod rules;
pub mod store;
pub mod trace;
pub mod version_zero;
pub mod workers;
pub mod world;

pub use world::{Faults, World};
