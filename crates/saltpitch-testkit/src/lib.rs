//! Deterministic simulation of a whole site: the controllers run their own code, while the state service, the
//! cloud, the agents, the users and the network are simulated. Time is virtual; one seed gives one history.
//!
//! The simulated parts are written from the published protocol alone. [`Simulation::step`] plays one event or
//! tick and checks every invariant after it; [`cells::Cells`] plays two sites and the link between them on one
//! clock.
//!
//! # Writing a history
//!
//! A history submits jobs, runs the simulation, injects faults at chosen times, and asserts what must hold at
//! the end. The invariants are checked after each step:
//!
//! ```
//! use saltpitch_core::Micros;
//! use saltpitch_testkit::{Faults, Simulation};
//!
//! let mut simulation = Simulation::new(1, Faults::default(), Micros::ZERO);
//! simulation.run(Micros::from_secs(10))?;
//! let spec = simulation.draw_job();
//! assert!(simulation.submit("job-0010", spec));
//! let leader = simulation.leader().expect("a leader is elected within ten seconds");
//! simulation.crash_for(leader, Micros::from_secs(3));
//! simulation.run(Micros::from_secs(60))?;
//! assert!(simulation.leader().is_some());
//! # Ok::<(), saltpitch_testkit::invariants::InvariantViolation>(())
//! ```
//!
//! The histories in [`histories`] draw everything from the seed.
//!
//! # Replaying a seed
//!
//! A failing test reports its seed and the time. The same call with the same seed and [`Faults`] gives the same
//! history up to that time: run it to just before the violation, then call [`Simulation::step`] and look at
//! the public fields. [`InvariantViolation`](invariants::InvariantViolation) names the invariant, the job and the
//! machine.
//!
//! # Adding a fault
//!
//! Add a field to [`Faults`] and a method to `simulation/fault_injection.rs`, called after all others. A fault
//! must draw no random number while it is switched off, so that the histories of existing seeds stay as they
//! are; histories with [`Faults::all`] change, and so do their fingerprints.
//!
//! # Late copies
//!
//! In every history the network also delivers some requests that were carried out once more: direct commands,
//! transactions, requests to the cloud and heartbeats between controllers, milliseconds to minutes later. They are no
//! field of [`Faults`], since no part may rely on their absence. [`Simulation::late_copies`] counts them.
//!
//! # Reads that take time
//!
//! A history reads the records at once unless it calls [`Simulation::delay_record_reads`] before its first step. Then
//! requests and answers are on their way for a drawn time, a watch or listing and a read of the latest changes at once in
//! one process, the state service refuses controllers, and users ask about the newest jobs.
//! [`Simulation::read_counts`] says how often an answer was older than the copy: a history without any shows nothing.
//!
//! # Adding an invariant
//!
//! Add a variant to [`Invariant`](invariants::Invariant) and a check to `invariants.rs`, or to `cells/history.rs` if
//! it concerns two cells. An invariant is checked against the agents, the users and the store, never against
//! a controller's own state. Add a test which shows that a violation is reported.
//!
//! # Comparing fingerprints
//!
//! [`Simulation::fingerprint`] is a hash over everything that the controllers did and answered. A change of the
//! code that does not change its behaviour leaves all fingerprints as they are: run `examples/trace_hashes.rs`
//! before and after the change and compare the output. See [`trace`] for what is recorded.

pub mod agents;
pub mod cells;
pub mod histories;
pub mod invariants;
pub mod nodes;
pub mod previous_version;
pub mod simulation;
pub mod store;
pub mod trace;

pub use simulation::{CopyCounts, Faults, ReadCounts, Simulation};
