//! The jobs that have not ended, and the indexes by which the scheduler finds them.
//!
//! The table owns each [`Job`], the index of active jobs by age, and the index of jobs with tasks to place.
//! Invariant: a job is in `active_by_age` from [`JobTable::enqueue`] to [`JobTable::dequeue`], and in
//! `unplaced` only while it has idle tasks.

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

/// The rank of a job that no placement pass has ranked yet, or that is in no queue.
const UNRANKED: u8 = u8::MAX;

/// The jobs in memory.
#[derive(Default)]
pub(super) struct JobTable {
    jobs: BTreeMap<JobNumber, Job>,
    by_id: HashMap<Arc<str>, JobNumber>,
    last_number: JobNumber,
    active_by_age: BTreeSet<(Micros, JobNumber)>,
    unplaced: BTreeSet<JobNumber>,
    /// The ids of jobs whose cancellation a peer has acknowledged before this controller's copy of the records
    /// has the jobs.
    early_cancellations: HashSet<String>,
    pub(super) classes: ClassTable,
    pub(super) ended: EndedJobs,
}

impl JobTable {
    /// Returns the job with this number.
    pub(super) fn get(&self, number: JobNumber) -> Option<&Job> {
        self.jobs.get(&number)
    }

    /// Returns the job with this number for modification.
    pub(super) fn get_mut(&mut self, number: JobNumber) -> Option<&mut Job> {
        self.jobs.get_mut(&number)
    }

    /// Returns the number of the job with this id.
    pub(super) fn number_of(&self, id: &str) -> Option<JobNumber> {
        self.by_id.get(id).copied()
    }

    /// Returns the job with this id.
    pub(super) fn find(&self, id: &str) -> Option<&Job> {
        self.get(self.number_of(id)?)
    }

    /// Returns all jobs that have not ended.
    pub(super) fn values(&self) -> impl Iterator<Item = &Job> {
        self.jobs.values()
    }

    /// Returns the number of jobs that have not ended.
    pub(super) fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Returns a new number that no job has had.
    pub(super) fn next_number(&mut self) -> JobNumber {
        self.last_number += 1;
        self.last_number
    }

    /// Adds a job without queueing it.
    pub(super) fn insert(&mut self, number: JobNumber, job: Job) {
        self.by_id.insert(job.id.clone(), number);
        self.jobs.insert(number, job);
    }

    /// Removes a job whose final record is written.
    pub(super) fn remove(&mut self, number: JobNumber) -> Option<Job> {
        self.dequeue(number);
        let job = self.jobs.remove(&number)?;
        self.by_id.remove(&job.id);
        self.classes.job_removed(job.class);
        self.ended.push(&job);
        Some(job)
    }

    /// Queues a job, so that its tasks may be placed from now on.
    pub(super) fn enqueue(&mut self, number: JobNumber) {
        if let Some(job) = self.jobs.get(&number) {
            self.active_by_age.insert((job.times.queued_at, number));
            self.update_unplaced(number);
        }
    }

    /// Takes a job out of the queue, so that no more of its tasks are placed.
    pub(super) fn dequeue(&mut self, number: JobNumber) {
        self.unplaced.remove(&number);
        if let Some(job) = self.jobs.get_mut(&number) {
            job.rank = UNRANKED;
            self.active_by_age.remove(&(job.times.queued_at, number));
        }
    }

    /// Updates the index of jobs with idle tasks after the job's idle tasks have changed.
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

    /// Returns the active jobs, starting with the oldest.
    pub(super) fn active_by_age(&self) -> impl ExactSizeIterator<Item = JobNumber> + '_ {
        self.active_by_age.iter().map(|(_, number)| *number)
    }

    /// Returns the active jobs with idle tasks.
    pub(super) fn unplaced(&self) -> &BTreeSet<JobNumber> {
        &self.unplaced
    }

    /// Records that a peer acknowledged the cancellation of a job that this controller's copy of the records
    /// does not have yet.
    pub(super) fn record_early_cancellation(&mut self, id: &str) {
        self.early_cancellations.insert(id.to_owned());
    }

    /// Drops the early cancellations of jobs that have ended.
    pub(super) fn retain_early_cancellations(&mut self, has_ended: impl Fn(&str) -> bool) {
        self.early_cancellations.retain(|id| !has_ended(id));
    }

    /// Returns whether a peer acknowledged the cancellation of this job before the job was known here, and
    /// removes the entry.
    pub(super) fn take_early_cancellation(&mut self, id: &str) -> bool {
        self.early_cancellations.remove(id)
    }
}
