//! Jobs that are implicitly cancelled because a job that they depend on is cancelled, before their own records
//! show it.

use std::collections::{HashMap, HashSet};

use super::JobEntry;
use crate::job::JobState;
use crate::records::EndedJobs;

/// The recorded states of jobs.
#[derive(Clone, Copy)]
pub(super) struct RecordedStates<'a> {
    /// The jobs that have not ended.
    pub(super) live: &'a HashMap<String, JobEntry>,
    /// The ended jobs that are kept.
    pub(super) ended: &'a EndedJobs,
}

impl RecordedStates<'_> {
    /// Returns the recorded state of a job, if it is known.
    fn get(&self, id: &str) -> Option<JobState> {
        let live = self.live.get(id).map(|entry| entry.record.state);
        live.or_else(|| self.ended.get(id).map(|job| job.state))
    }
}

/// The dependencies of active jobs, and the jobs that are implicitly cancelled by them.
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
    pub(super) fn job_state(&self, id: &str, recorded: RecordedStates<'_>) -> Option<JobState> {
        let recorded_state = recorded.get(id)?;
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

    /// Returns the ids of the jobs that an active job depends on.
    pub(super) fn dependencies(&self) -> impl Iterator<Item = &str> {
        self.dependents.keys().map(String::as_str)
    }

    /// Returns whether an active job depends on this one.
    pub(super) fn is_dependency(&self, id: &str) -> bool {
        self.dependents.contains_key(id)
    }

    /// Applies the new or changed record of a job, which is already among the recorded ones. The result does not
    /// depend on whether a job's record is applied before or after those of its dependencies, as in a listing sorted
    /// by keys.
    pub(super) fn job_changed(
        &mut self,
        id: &str,
        state: JobState,
        dependencies: &[String],
        recorded: RecordedStates<'_>,
    ) {
        let is_active = state == JobState::Active;
        let depends_on_cancelled = is_active && self.track_dependencies(id, dependencies, recorded);
        if !is_active {
            self.implicitly_cancelled.remove(id);
        }
        if state == JobState::Cancelled || depends_on_cancelled {
            self.cancel_dependents(id, recorded);
        }
    }

    /// Removes a job that is no longer active from the dependents of its dependencies. Returns those that no active
    /// job depends on any more.
    pub(super) fn release_dependencies<'a>(
        &mut self,
        id: &str,
        dependencies: &'a [String],
    ) -> Vec<&'a str> {
        let mut released = Vec::new();
        for dependency in dependencies {
            let Some(dependents) = self.dependents.get_mut(dependency) else {
                continue;
            };
            dependents.retain(|dependent| dependent != id);
            if dependents.is_empty() {
                self.dependents.remove(dependency);
                released.push(dependency.as_str());
            }
        }
        released
    }

    /// Registers an active job with its dependencies. Returns whether one of them is cancelled, in which case the job
    /// is implicitly cancelled as well.
    fn track_dependencies(
        &mut self,
        id: &str,
        dependencies: &[String],
        recorded: RecordedStates<'_>,
    ) -> bool {
        let mut depends_on_cancelled = false;
        for dependency in dependencies {
            let dependents = self.dependents.entry(dependency.clone()).or_default();
            if !dependents.iter().any(|dependent| dependent == id) {
                dependents.push(id.to_owned());
            }
            if self.job_state(dependency, recorded) == Some(JobState::Cancelled) {
                self.implicitly_cancelled.insert(id.to_owned());
                depends_on_cancelled = true;
            }
        }
        depends_on_cancelled
    }

    /// Implicitly cancels the active jobs that depend on this one, directly or indirectly.
    fn cancel_dependents(&mut self, id: &str, recorded: RecordedStates<'_>) {
        let mut cancelled = vec![id.to_owned()];
        while let Some(id) = cancelled.pop() {
            for dependent in self.dependents.get(&id).into_iter().flatten() {
                let is_active = recorded.get(dependent) == Some(JobState::Active);
                if is_active && self.implicitly_cancelled.insert(dependent.clone()) {
                    cancelled.push(dependent.clone());
                }
            }
        }
    }
}
