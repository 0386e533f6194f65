//! The scheduler's core: events and the present time go in, effects come out.
//!
//! Nothing here opens a socket, reads a clock or draws a random number, so that a whole site can
//! be played in a test from one seed.
//!
//! # Modules
//!
//! - [`controller`]: one controller as a state machine: its copy of the records, elections, what peers
//!   and agents are answered. It owns the [`leader`] while it leads.
//! - [`leader`]: the scheduler: jobs, machines and the loops that compare what is wanted with what is.
//! - [`records`]: what the state service holds, and a controller's copy of it.
//! - [`leadership`]: bids for the leadership, and until when a leader may answer agents.
//! - [`agent`]: heartbeats and commands. [`machine`], [`machine_index`]: machines, what is known of their
//!   agents, and the index of their free capacity.
//! - [`job`], [`gang`], [`quota`], [`placement`], [`preemption`], [`catalog`], [`images`], [`policy`]: the
//!   parts that decisions are made of.
//! - [`messages`]: what controllers say to each other. [`time`]: microseconds.
//!
//! # The path of a job
//!
//! A user's submission creates the job's record. The leader learns of it as a change
//! (`Controller::apply_changes`, then [`leader::Scheduler::job_changed`]) and queues it, once the jobs that it
//! waits on are done. A pass over the waiting jobs finds machines for its tasks and assumes their room;
//! where there is none, machines are rented. The places go on record before any start is sent; the starts
//! go out with the answers to the machines' heartbeats or as direct commands. A heartbeat that shows a task's end
//! clears its place; the outcome goes on record before the machine is told to forget it. When all tasks are
//! done, so is the job, and its record shrinks to a few bytes.

#[warn(missing_docs)]
pub mod agent;
pub mod catalog;
#[warn(missing_docs)]
pub mod controller;
pub mod gang;
#[warn(missing_docs)]
pub mod images;
pub mod job;
#[warn(missing_docs)]
pub mod leadership;
pub mod machine;
pub mod machine_index;
#[warn(missing_docs)]
pub mod messages;
pub mod placement;
pub mod policy;
pub mod preemption;
pub mod quota;
#[warn(missing_docs)]
pub mod records;
pub mod scheduler;
pub mod time;
pub mod token_bucket;

pub use time::Micros;
