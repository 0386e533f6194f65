//! The jobs that are not over, and the indexes by which the scheduler finds them.
//!
//! Owns each [`Job`] and which of them are active, by age, and which have tasks to place. Invariant: a job
//! is in `active_by_age` from [`JobTable::enqueue`] to [`JobTable::dequeue`], and in `unplaced` only
//! while it has idle tasks.

pub(super) mod allocation;
pub(super) mod classes;
pub(super) mod job;
pub(super) mod task_set;
pub(super) mod timelines;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::sync::Arc;

use crate::job::JobNumber;
use crate::time::Micros;

use classes::ClassTable;
use job::Job;
use timelines::EndedJobs;

/// The rank of a job that no pass has ranked yet, or that is in no queue.
const UNRANKED: u8 = u8::MAX;

/// The jobs in memory.
#[derive(Default)]
pub(super) struct JobTable {
    jobs: BTreeMap<JobNumber, Job>,
    by_id: HashMap<Arc<str>, JobNumber>,
    last_number: JobNumber,
    active_by_age: BTreeSet<(Micros, JobNumber)>,
    unplaced: BTreeSet<JobNumber>,
    /// Jobs whose cancellation a peer has acknowledged and that this controller's copy of the records
    /// does not have yet.
    early_cancellations: HashSet<String>,
    pub(super) classes: ClassTable,
    pub(super) ended: EndedJobs,
}

impl JobTable {
    /// The job with this number.
    pub(super) fn get(&self, number: JobNumber) -> Option<&Job> {
        self.jobs.get(&number)
    }

    /// The job with this number.
    pub(super) fn get_mut(&mut self, number: JobNumber) -> Option<&mut Job> {
        self.jobs.get_mut(&number)
    }

    /// The number of the job with this id.
    pub(super) fn number_of(&self, id: &str) -> Option<JobNumber> {
        self.by_id.get(id).copied()
    }

    /// The job with this id.
    pub(super) fn find(&self, id: &str) -> Option<&Job> {
        self.get(self.number_of(id)?)
    }

    /// All jobs that are not over.
    pub(super) fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// How many jobs are not over.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// A number that no job has had.
    pub(super) fn next_number(&mut self) -> JobNumber {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a job. It is in no queue yet.
    pub(super) fn insert(&mut self, number: JobNumber, job: Job) {
        self.by_id.insert(job.id.clone(), number);
        self.jobs.insert(number, job);
    }

    /// Removes a job whose final record is written.
    pub(super) fn remove(&mut self, number: JobNumber) -> Option<Job> {
        self.dequeue(number);
        let job = self.jobs.remove(&number)?;
        self.by_id.remove(&job.id);
        self.ended.remember(&job);
        Some(job)
    }

    /// The job's tasks may be placed from now on.
    pub(super) fn enqueue(&mut self, number: JobNumber) {
        if let Some(job) = self.jobs.get(&number) {
            self.active_by_age.insert((job.times.queued_at, number));
            self.update_unplaced(number);
        }
    }

    /// Nothing more of this job is to be placed.
    pub(super) fn dequeue(&mut self, number: JobNumber) {
        self.unplaced.remove(&number);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.rank = UNRANKED;
            self.active_by_age.remove(&(job.times.queued_at, number));
        }
    }

    /// The job's idle tasks have changed.
    pub(super) fn update_unplaced(&mut self, number: JobNumber) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        if job.tasks.idle().is_empty() {
            self.unplaced.remove(&number);
        } else if job.is_active() {
            self.unplaced.insert(number);
        }
    }

    /// Active jobs, the oldest first.
    pub(super) fn active_by_age(&self) -> impl ExactSizeIterator<Item = JobNumber> + '_ {
        self.active_by_age.iter().map(|(_, number)| *number)
    }

    /// Active jobs with tasks that are neither done nor placed.
    pub(super) fn unplaced(&self) -> &BTreeSet<JobNumber> {
        &self.unplaced
    }

    /// A peer acknowledged the cancellation of a job that is not known here yet.
    pub(super) fn record_early_cancellation(&mut self, id: &str) {
        self.early_cancellations.insert(id.to_owned());
    }

    /// Whether a peer acknowledged the cancellation of this job, which becomes known now.
    pub(super) fn take_early_cancellation(&mut self, id: &str) -> bool {
        self.early_cancellations.remove(id)
    }
}
