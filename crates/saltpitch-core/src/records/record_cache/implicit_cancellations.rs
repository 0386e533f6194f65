//! Jobs that are cancelled with one that they depend on, before their own records say so.

use std::collections::{HashMap, HashSet};

use super::JobEntry;
use crate::job::JobState;

/// Dependencies between jobs as far as they may still withdraw a job.
#[derive(Clone, Debug, Default)]
pub(super) struct ImplicitCancellations {
    /// Jobs that wait for others, by those that they depend on.
    dependents: HashMap<String, Vec<String>>,
    /// Jobs not yet cancelled on record that depend on a cancelled one, directly or through others. None
    /// of them has ever started a task, since what it depends on was never done; none of them ever will.
    withdrawn: HashSet<String>,
}

impl ImplicitCancellations {
    /// A job's state, as users see it: on record, or cancelled with one that it depends on.
    pub(super) fn job_state(&self, id: &str, jobs: &HashMap<String, JobEntry>) -> Option<JobState> {
        let on_record = jobs.get(id)?.record.state;
        Some(if self.withdrawn.contains(id) {
            JobState::Cancelled
        } else {
            on_record
        })
    }

    /// The withdrawn jobs.
    pub(super) fn iter(&self) -> impl Iterator<Item = &str> {
        self.withdrawn.iter().map(String::as_str)
    }

    /// A job's record, which is in `jobs` already, is new or has changed. Whether a job comes before or
    /// after those that it depends on, as in a list by keys, makes no difference.
    pub(super) fn job_changed(
        &mut self,
        id: &str,
        state: JobState,
        dependencies: &[String],
        jobs: &HashMap<String, JobEntry>,
    ) {
        let is_active = state == JobState::Active;
        let depends_on_cancelled = is_active && self.note_dependencies(id, dependencies, jobs);
        if !is_active {
            self.withdrawn.remove(id);
        }
        if state == JobState::Cancelled || depends_on_cancelled {
            self.withdraw_dependents(id, jobs);
        }
        if !is_active {
            // Its dependents are withdrawn by now, or need not wait for it any more.
            self.dependents.remove(id);
        }
    }

    /// Notes what an active job waits for. True if one of these is cancelled, and the job with it.
    fn note_dependencies(
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
                    self.withdrawn.insert(id.to_owned());
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

    /// Withdraws the active jobs that depend on this one, directly or through others.
    fn withdraw_dependents(&mut self, id: &str, jobs: &HashMap<String, JobEntry>) {
        let mut cancelled = vec![id.to_owned()];
        while let Some(id) = cancelled.pop() {
            for dependent in self.dependents.get(&id).into_iter().flatten() {
                let entry = jobs.get(dependent);
                let is_active = entry.is_some_and(|entry| entry.record.state == JobState::Active);
                if is_active && self.withdrawn.insert(dependent.clone()) {
                    cancelled.push(dependent.clone());
                }
            }
        }
    }
}
