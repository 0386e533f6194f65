//! The jobs that are not over, and the indexes by which the scheduler finds them.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use super::{Class, Job, JobTimeline};
use crate::cluster::JobNumber;
use crate::time::Micros;

/// The jobs in memory.
#[derive(Default)]
pub(super) struct JobTable {
    pub(super) jobs: BTreeMap<JobNumber, Job>,
    pub(super) by_id: HashMap<Arc<str>, JobNumber>,
    /// Cancelled by a peer's acknowledgement, and not yet so in the records that this controller has.
    pub(super) cancelled_by_peer: HashSet<String>,
    /// Jobs that wait for others, by their dependencies.
    pub(super) dependents: HashMap<Arc<str>, Vec<JobNumber>>,
    pub(super) next_number: JobNumber,
    /// Active jobs, the oldest first.
    pub(super) active_by_age: BTreeSet<(Micros, JobNumber)>,
    /// Active jobs with tasks that are neither done nor placed.
    pub(super) unplaced: BTreeSet<JobNumber>,
    /// Tasks that failed, by when they are to be tried again.
    pub(super) retries: BTreeSet<(Micros, JobNumber, u32)>,
    /// Jobs found to be at fault that the log has not been told of.
    pub(super) newly_failing: Vec<Arc<str>>,
    /// Gangs that wait at the barrier.
    pub(super) gangs_at_barrier: BTreeSet<JobNumber>,
    pub(super) classes: Vec<Class>,
    /// Where the time went of jobs that ended last.
    pub(super) ended: VecDeque<(Arc<str>, JobTimeline)>,
}

impl JobTable {
    /// An empty table.
    pub(super) fn new() -> JobTable {
        JobTable {
            next_number: 1,
            ..JobTable::default()
        }
    }
}
