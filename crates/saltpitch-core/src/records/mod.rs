//! The records in the state service, and a controller's copy of them.
//!
//! All keys share one prefix, and every controller follows them with a single watch. A controller that sees a
//! change of a job has therefore also seen each earlier change of the term.

mod cancellations;
mod delegation;
mod ended_jobs;
mod keys;
mod listing;
mod record_cache;
mod recorded_tasks;
mod returned_machines;
mod stored;
mod versioned;

use serde_json::value::RawValue;

pub use cancellations::{AckCursor, CancellationAck, Cancellations};
pub use delegation::{CancelStep, Delegation, DelegationState, Guest};
pub use ended_jobs::{EndedJob, EndedJobs, DEFAULT_MAX_ENDED_JOBS};
pub use keys::{
    checkpoint_key, job_id, job_key, machine_block_key, node_key, segment_key, CATALOG_KEY,
    LEADER_KEY, MACHINES_PER_BLOCK, PREFIX, TASKS_PER_CHECKPOINT, TERM_KEY,
};
pub use listing::{RecordChanges, RecordListing, RecordPage, UnreadableRecord};
pub use record_cache::{Change, JobEntry, RecordCache, RecordError, RecordedJob};
pub use recorded_tasks::{
    AllocatedMachine, Checkpoint, RecordedRange, RecordedSegment, TaskState, TaskStates,
};
pub use returned_machines::ReturnedMachines;
pub use stored::{
    AllocationRecord, CheckpointRecord, JobRecord, LeaderRecord, MachineBlockRecord, MachineRecord,
    NodeRecord, SegmentEntry, SegmentRecord, TermRecord,
};
pub use versioned::Versioned;

/// A change of one key in the state service, or one row of a listing.
#[derive(Clone, Debug)]
pub struct RecordChange {
    /// The key that changed.
    pub key: String,
    /// The new value; `None` if the key was deleted.
    pub value: Option<Box<RawValue>>,
    /// The revision of the change.
    pub revision: u64,
}

/// A record of a job that this process wrote and the state service confirmed. Only records of jobs, which are never
/// deleted, are applied ahead of the changes that report them.
#[derive(Clone, Debug)]
pub struct JobWrite {
    /// The job's id.
    pub id: String,
    /// The record.
    pub record: Box<RawValue>,
    /// The revision of the transaction.
    pub revision: u64,
}

/// The record of a job as it was read by its key.
#[derive(Clone, Debug)]
pub struct JobRead {
    /// The job's id.
    pub id: String,
    /// The record and its revision; `None` if the job was never accepted.
    pub record: Option<(Box<RawValue>, u64)>,
}
