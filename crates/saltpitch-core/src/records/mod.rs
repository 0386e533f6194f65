//! What the state service holds, and a controller's copy of it.
//!
//! All keys share one prefix and every controller follows them with one watch, so that whoever sees a
//! job has also seen each earlier change of term.

mod cancellations;
mod delegation;
mod keys;
mod record_cache;
mod recorded_tasks;
mod returned_machines;
mod stored;

use serde_json::value::RawValue;

pub use cancellations::{AckCursor, CancellationAck, Cancellations};
pub use delegation::{CancelStep, Delegation, DelegationState, Guest};
pub use keys::{
    block_key, chunk_key, job_id, job_key, log_key, node_key, BLOCK, CATALOG_KEY, CHUNK,
    LEADER_KEY, PREFIX, TERM_KEY,
};
pub use record_cache::{Change, JobEntry, RecordCache, RecordError};
pub use recorded_tasks::{Checkpoint, RecordedSegment, TaskState, TaskStates};
pub use returned_machines::ReturnedMachines;
pub use stored::{
    AllocationRecord, BlockRecord, ChunkRecord, Entry, JobRecord, LeaderRecord, LogRecord,
    MachineRecord, NodeRecord, TermRecord,
};

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
