//! Jobs that depend on others (DAG dependencies): a further gate before the queue, modelled on the
//! PreEnqueue gate of gangs.
//!
//! Owns which jobs wait for which. A gated job takes no place in the queue, no quota of its team and no
//! capacity of a machine. The event that its last dependency is done releases it; nothing is polled.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::{Job, Scheduler};
use crate::job::{JobNumber, JobState, Priority};
use crate::records::RecordCache;
use crate::time::Micros;

/// The run time that is allowed for a job of a chain, as a multiple of its estimate.
const RUN_TIME_MARGIN: f64 = 1.3;
/// The time that is allowed between two jobs of a chain: the outcome of the first is written to the
/// records, and the second is placed and fetches its image.
const HANDOVER_TIME: Micros = Micros::from_secs(5);

/// The jobs that wait for others, by the id of the job that they depend on.
#[derive(Default)]
pub(super) struct DependencyGate {
    dependents: HashMap<Arc<str>, Vec<JobNumber>>,
}

impl DependencyGate {
    /// Adds a job that waits for this dependency.
    fn add_dependent(&mut self, dependency: Arc<str>, job: JobNumber) {
        self.dependents.entry(dependency).or_default().push(job);
    }

    /// Removes a job that waits for this dependency no longer.
    fn remove_dependent(&mut self, dependency: &str, job: JobNumber) {
        let Some(dependents) = self.dependents.get_mut(dependency) else {
            return;
        };
        dependents.retain(|dependent| *dependent != job);
        if dependents.is_empty() {
            self.dependents.remove(dependency);
        }
    }

    /// Removes a job that has ended from the dependents of all jobs that it still waited for.
    pub(super) fn job_removed(&mut self, number: JobNumber, job: &Job) {
        for dependency in &job.unmet_dependencies {
            self.remove_dependent(dependency, number);
        }
    }

    /// Returns the jobs that wait for this one.
    pub(super) fn dependents_of(&self, id: &str) -> Vec<JobNumber> {
        self.dependents.get(id).cloned().unwrap_or_default()
    }

    /// Removes and returns the jobs that wait for this one, which is over.
    fn take_dependents(&mut self, id: &str) -> Vec<JobNumber> {
        self.dependents.remove(id).unwrap_or_default()
    }
}

impl Scheduler {
    /// Puts an active job into the queue, for the first time or again after a change of leader.
    pub(super) fn enqueue(&mut self, number: JobNumber, now: Micros) {
        let job = self.job_table.get(number);
        let Some(job) = job.filter(|job| job.is_active()) else {
            return;
        };
        let (spec, queued) = (job.spec.clone(), job.times.queued_at);
        self.autoscaler.job_queued(&spec, queued, now);
        self.job_table.enqueue(number);
        self.placement_pass.request();
    }

    /// Notes which of the job's dependencies are not done on record. Since that state is final, a job
    /// that is done in any copy of the records is done, even if the copy is out of date. The copy keeps the
    /// outcomes of all dependencies of active jobs, so a job that is missing there was not read yet and counts as not
    /// done.
    pub(super) fn resolve_dependencies(
        &mut self,
        job: &mut Job,
        number: JobNumber,
        records: &RecordCache,
        now: Micros,
        wall: Micros,
    ) {
        for id in &job.spec.dependencies {
            let ended = records.ended_jobs().get(id);
            if let Some(done) = ended.filter(|ended| ended.state == JobState::Done) {
                let done_at = done.done_at.map(|at| now.since(wall.since(at)));
                job.times.queued_at = job.times.queued_at.max(done_at.unwrap_or_default());
                continue;
            }
            let dependency: Arc<str> = id.as_str().into();
            job.unmet_dependencies.insert(dependency.clone());
            self.dependencies.add_dependent(dependency, number);
        }
    }

    /// Handles the completion of a job, which is done on record since `at`: dependents that wait for no
    /// other job are released.
    pub(super) fn dependency_completed(&mut self, id: &str, at: Micros, now: Micros) {
        for number in self.dependencies.take_dependents(id) {
            let Some(job) = self.job_table.get_mut(number) else {
                continue;
            };
            if !job.unmet_dependencies.remove(id) {
                continue;
            }
            job.times.queued_at = job.times.queued_at.max(at);
            if job.unmet_dependencies.is_empty() {
                self.enqueue(number, now);
            }
        }
    }

    /// Handles the cancellation of a job: all jobs that depend on it, directly or through others, are
    /// cancelled as well. None of them has started.
    pub(super) fn dependency_cancelled(&mut self, id: &str, now: Micros) {
        for number in self.dependencies.take_dependents(id) {
            self.cancel_if_active(number, now);
        }
    }

    /// Passes the job's priority and deadline on to its dependencies, since users set them on the last
    /// job of a chain. Each of its direct and indirect dependencies counts as urgent as the job itself,
    /// and is due by the time at which the rest of the chain has to start.
    pub(super) fn inherit_urgency(&mut self, number: JobNumber) {
        let mut pending = BTreeSet::from([number]);
        while let Some(number) = pending.pop_last() {
            let job = self.job_table.get(number);
            let Some(job) = job.filter(|job| job.state == JobState::Active) else {
                continue;
            };
            let priority = job.priority;
            let due = self.dependencies_due(job);
            let dependencies = job.unmet_dependencies.iter();
            let dependencies: Vec<JobNumber> = dependencies
                .filter_map(|id| self.job_table.number_of(id))
                .collect();
            for dependency in dependencies {
                if self.raise_urgency(dependency, priority, due) {
                    pending.insert(dependency);
                }
            }
        }
    }

    /// Returns when the dependencies of this job must be done so that it can be in time.
    fn dependencies_due(&self, job: &Job) -> Option<Micros> {
        let run_time = self
            .estimate(job)
            .times(RUN_TIME_MARGIN)
            .plus(HANDOVER_TIME);
        let own_deadline = job
            .spec
            .deadline
            .map(|within| job.times.submitted_at.plus(within));
        let due = own_deadline
            .into_iter()
            .chain(job.dependents_deadline)
            .min();
        due.map(|due| due.since(run_time))
    }

    /// Raises a job's priority and brings its due time forward. Returns whether it has become more urgent.
    fn raise_urgency(
        &mut self,
        number: JobNumber,
        priority: Priority,
        due: Option<Micros>,
    ) -> bool {
        let Some(job) = self.job_table.get_mut(number) else {
            return false;
        };
        let sooner = due.filter(|due| job.dependents_deadline.is_none_or(|known| *due < known));
        if priority <= job.priority && sooner.is_none() {
            return false;
        }
        job.priority = job.priority.max(priority);
        job.dependents_deadline = sooner.or(job.dependents_deadline);
        true
    }
}

#[cfg(test)]
mod tests;
