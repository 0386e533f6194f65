//! Jobs that have ended. A controller keeps the outcomes of a bounded number of them: the most recent ones, and those
//! on which an active job depends. The record of any other ended job is read from the state service when it is needed.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::job::JobState;
use crate::time::Micros;

/// The number of recently ended jobs that a controller keeps unless its configuration says otherwise.
pub const DEFAULT_MAX_ENDED_JOBS: usize = 8_192;

/// The outcome of a job that has ended, which never changes any more.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndedJob {
    /// The revision of the job's record.
    pub revision: u64,
    /// Whether the job is done or was cancelled.
    pub state: JobState,
    /// Time of day at which the leader found the job to be done, if the record says so.
    pub done_at: Option<Micros>,
}

/// A bounded set of ended jobs. The jobs with the lowest revisions are evicted first.
#[derive(Clone, Debug)]
pub struct EndedJobs {
    max_recent: usize,
    by_id: HashMap<Arc<str>, EndedJob>,
    /// The jobs in `by_id` that count towards `max_recent`. The others are kept for the jobs that depend on them.
    recent: BTreeSet<(u64, Arc<str>)>,
    is_complete: bool,
}

impl Default for EndedJobs {
    fn default() -> EndedJobs {
        EndedJobs::new(DEFAULT_MAX_ENDED_JOBS)
    }
}

impl EndedJobs {
    /// Creates an empty set that keeps up to `max_recent` recently ended jobs.
    pub(super) fn new(max_recent: usize) -> EndedJobs {
        EndedJobs {
            max_recent,
            by_id: HashMap::new(),
            recent: BTreeSet::new(),
            is_complete: true,
        }
    }

    /// Changes how many recently ended jobs are kept.
    pub(super) fn set_max_recent(&mut self, max_recent: usize) {
        self.max_recent = max_recent;
    }

    /// Returns the outcome of a job, if it is kept.
    pub fn get(&self, id: &str) -> Option<&EndedJob> {
        self.by_id.get(id)
    }

    /// Returns the kept jobs, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &EndedJob)> {
        self.by_id.iter().map(|(id, job)| (&**id, job))
    }

    /// Returns the number of jobs that are kept.
    pub fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns whether no job is kept.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Returns whether every job that has ended is kept.
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Notes that a job may have ended that is not kept.
    pub(super) fn mark_incomplete(&mut self) {
        self.is_complete = false;
    }

    /// Adds a job that has ended, or replaces what is kept of it.
    pub(super) fn insert(&mut self, id: &str, job: EndedJob) {
        self.remove(id);
        let id: Arc<str> = id.into();
        self.recent.insert((job.revision, id.clone()));
        self.by_id.insert(id, job);
    }

    /// Removes a job because a newer record of it replaces what is kept.
    pub(super) fn remove(&mut self, id: &str) {
        if let Some((id, job)) = self.by_id.remove_entry(id) {
            self.recent.remove(&(job.revision, id));
        }
    }

    /// Evicts the jobs with the lowest revisions until at most `max_recent` recent ones are left. A job is only
    /// evicted if all changes up to its revision are known, since an older record of it would otherwise be taken for
    /// the latest one. A job that is needed stays, but no longer counts as recent.
    pub(super) fn evict(&mut self, known_revision: u64, is_needed: impl Fn(&str) -> bool) {
        while self.recent.len() > self.max_recent {
            let Some((revision, _)) = self.recent.first() else {
                return;
            };
            if *revision > known_revision {
                return;
            }
            let Some((_, id)) = self.recent.pop_first() else {
                return;
            };
            if !is_needed(&id) {
                self.by_id.remove(&id);
                self.is_complete = false;
            }
        }
    }

    /// Removes a job that no other job depends on any more, unless it is recent.
    pub(super) fn release(&mut self, id: &str) {
        let Some((id, job)) = self.by_id.get_key_value(id) else {
            return;
        };
        let (id, revision) = (id.clone(), job.revision);
        if !self.recent.contains(&(revision, id.clone())) {
            self.by_id.remove(&id);
            self.is_complete = false;
        }
    }
}
