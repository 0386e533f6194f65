//! The scheduler's core: events and the present time go in, effects come out.
//!
//! Nothing here opens a socket, reads a clock or draws a random number, so that a whole site can
//! be played in a test from one seed.
//!
//! # Modules
//!
//! - [`controller`]: one controller as a state machine: its copy of the records, elections, what peers
//!   and agents are answered. It owns the [`scheduler`] while it leads.
//! - [`scheduler`]: jobs, machines and the loops that compare what is wanted with what is.
//! - [`records`]: what the state service holds, and a controller's copy of it.
//! - [`leadership`]: elections, and until when a leader may answer agents.
//! - [`agent`]: heartbeats and commands.
//! - [`machine`], [`machine_index`]: what is known of machines and their agents, and the index of their free
//!   capacity.
//! - [`job`], [`gang`], [`quota`], [`placement`], [`preemption`], [`catalog`], [`images`], [`policy`]: the
//!   parts that decisions are made of.
//! - [`messages`]: what controllers say to each other. [`time`]: microseconds.
//!
//! # The path of a job
//!
//! A user's submission creates the job's record. The leader receives it as a change of the records
//! (`Controller::apply_changes`, then [`scheduler::Scheduler::job_changed`]) and queues the job once its
//! dependencies are done. A placement pass over the queue finds machines for its tasks and assumes the
//! allocations; where there is no free capacity, the scheduler scales out. The allocations go on record before
//! any start is sent; the starts go out with the answers to the agents' heartbeats or in direct calls. A
//! heartbeat that shows a task's end releases its allocation; the outcome goes on record before the agent is
//! commanded to forget the task. When all tasks are done, so is the job, and its record shrinks to a few
//! bytes.

pub mod agent;
pub mod catalog;
pub mod controller;
pub mod gang;
pub mod images;
pub mod job;
pub mod leadership;
pub mod machine;
pub mod machine_index;
pub mod messages;
pub mod placement;
pub mod policy;
pub mod preemption;
pub mod quota;
pub mod records;
pub mod scheduler;
pub mod time;
pub mod token_bucket;

pub use time::Micros;
