//! Jobs that are implicitly cancelled because a job that they depend on is cancelled, before their own records
//! show it.

use std::collections::{HashMap, HashSet};

use super::JobEntry;
use crate::job::JobState;

/// The implicitly cancelled jobs, and the dependencies that may still cancel further jobs.
#[derive(Clone, Debug, Default)]
pub(super) struct ImplicitCancellations {
    /// The active jobs that depend on a job, by that job's id.
    dependents: HashMap<String, Vec<String>>,
    /// The jobs that depend on a cancelled job, directly or indirectly, and are not recorded as cancelled yet. None
    /// of them has started a task or will start one, because their dependencies are never all done.
    implicitly_cancelled: HashSet<String>,
}

impl ImplicitCancellations {
    /// Returns a job's state as users see it: cancelled if it is implicitly cancelled, otherwise the recorded state.
    pub(super) fn job_state(&self, id: &str, jobs: &HashMap<String, JobEntry>) -> Option<JobState> {
        let recorded_state = jobs.get(id)?.record.state;
        Some(if self.implicitly_cancelled.contains(id) {
            JobState::Cancelled
        } else {
            recorded_state
        })
    }

    /// Returns the ids of the implicitly cancelled jobs.
    pub(super) fn job_ids(&self) -> impl Iterator<Item = &str> {
        self.implicitly_cancelled.iter().map(String::as_str)
    }

    /// Applies the new or changed record of a job, which is already in `jobs`. The result does not depend on whether
    /// a job's record is applied before or after those of its dependencies, as in a listing sorted by keys.
    pub(super) fn job_changed(
        &mut self,
        id: &str,
        state: JobState,
        dependencies: &[String],
        jobs: &HashMap<String, JobEntry>,
    ) {
        let is_active = state == JobState::Active;
        let depends_on_cancelled = is_active && self.track_dependencies(id, dependencies, jobs);
        if !is_active {
            self.implicitly_cancelled.remove(id);
        }
        if state == JobState::Cancelled || depends_on_cancelled {
            self.cancel_dependents(id, jobs);
        }
        if !is_active {
            // Its dependents are implicitly cancelled by now, or need not wait for this job any more.
            self.dependents.remove(id);
        }
    }

    /// Registers an active job with its unfinished dependencies. Returns whether one of its dependencies is
    /// cancelled, in which case the job is implicitly cancelled as well.
    fn track_dependencies(
        &mut self,
        id: &str,
        dependencies: &[String],
        jobs: &HashMap<String, JobEntry>,
    ) -> bool {
        let mut depends_on_cancelled = false;
        for dependency in dependencies {
            match self.job_state(dependency, jobs) {
                Some(JobState::Done) => {}
                Some(JobState::Cancelled) => {
                    self.implicitly_cancelled.insert(id.to_owned());
                    depends_on_cancelled = true;
                }
                Some(JobState::Active) | None => {
                    let dependents = self.dependents.entry(dependency.clone()).or_default();
                    if !dependents.iter().any(|dependent| dependent == id) {
                        dependents.push(id.to_owned());
                    }
                }
            }
        }
        depends_on_cancelled
    }

    /// Implicitly cancels the active jobs that depend on this one, directly or indirectly.
    fn cancel_dependents(&mut self, id: &str, jobs: &HashMap<String, JobEntry>) {
        let mut cancelled = vec![id.to_owned()];
        while let Some(id) = cancelled.pop() {
            for dependent in self.dependents.get(&id).into_iter().flatten() {
                let entry = jobs.get(dependent);
                let is_active = entry.is_some_and(|entry| entry.record.state == JobState::Active);
                if is_active && self.implicitly_cancelled.insert(dependent.clone()) {
                    cancelled.push(dependent.clone());
                }
            }
        }
    }
}
