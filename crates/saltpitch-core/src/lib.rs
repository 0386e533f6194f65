//! The core of the scheduler. It takes events and the current time as input and returns effects.
//!
//! Nothing here opens a socket, reads a clock or draws a random number, so that a test can simulate a whole
//! site from one seed.
//!
//! # Modules
//!
//! - [`controller`]: one controller as a state machine: its copy of the records, elections, and the answers
//!   to peers and agents. It owns the [`scheduler`] while it leads.
//! - [`scheduler`]: jobs, machines and the control loops that compare the desired with the observed state.
//! - [`records`]: the records in the state service, and a controller's copy of them.
//! - [`leadership`]: elections, and the time until which a leader may answer agents.
//! - [`agent`]: heartbeats and commands.
//! - [`machine`], [`machine_index`]: the known state of machines and their agents, and the index of their
//!   free capacity.
//! - [`job`], [`gang`], [`quota`], [`placement`], [`preemption`], [`catalog`], [`images`], [`policy`]: the
//!   types and rules from which the scheduler makes its decisions.
//! - [`messages`]: the messages between controllers. [`time`]: times and spans in microseconds.
//!   [`token_bucket`]: rate limits.
//!
//! # The life cycle of a job
//!
//! A user's submission creates the job's record. The leader receives it as a change of the records
//! (`Controller::apply_changes`, then [`scheduler::Scheduler::job_changed`]) and queues the job once its
//! dependencies are done. A placement pass over the queue finds machines for its tasks and assumes the
//! allocations; where there is no free capacity, the scheduler scales out. The allocations are put on record
//! before any start is sent. The starts are sent with the answers to the agents' heartbeats or in direct
//! calls. A heartbeat that shows the end of a task releases its allocation, and the outcome is put on record
//! before the agent is told to forget the task. The job is done when all of its tasks are done, and its record
//! then shrinks to a few bytes.

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
