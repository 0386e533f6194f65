//! Jobs that depend on others (DAG dependencies): one more gate before the queue, in the spirit of the
//! source's PreEnqueue.
//!
//! Owns which jobs wait for which. A gated job holds nothing of the queue, of its team's quota or of any
//! machine; the event that its last dependency is done releases it, nothing is polled.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use super::{Job, Scheduler};
use crate::job::{JobNumber, JobState, Priority};
use crate::records::RecordCache;
use crate::time::Micros;

/// How much longer than its estimate a dependency is expected to run.
const RUN_TIME_MARGIN: f64 = 1.3;
/// Between two jobs of a chain: the outcome goes on record, the next is placed and fetches its image.
const HANDOVER: Micros = Micros::from_secs(5);

/// The jobs that wait for others, by the id of what they depend on.
#[derive(Default)]
pub(super) struct DependencyGate {
    dependents: HashMap<Arc<str>, Vec<JobNumber>>,
}

impl DependencyGate {
    /// The job waits for this dependency.
    fn wait_for(&mut self, dependency: Arc<str>, job: JobNumber) {
        self.dependents.entry(dependency).or_default().push(job);
    }

    /// The jobs that wait for this one.
    pub(super) fn dependents_of(&self, id: &str) -> Vec<JobNumber> {
        self.dependents.get(id).cloned().unwrap_or_default()
    }

    /// The jobs that wait for this one, which is over: they are not kept any longer.
    fn take_dependents(&mut self, id: &str) -> Vec<JobNumber> {
        self.dependents.remove(id).unwrap_or_default()
    }
}

impl Scheduler {
    /// The job is in the queue from now on, or again after a change of leader.
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

    /// Notes which of the job's dependencies are not done on record. Done is final, so that much may be
    /// believed of any copy of the records; what is not known there is not done.
    pub(super) fn resolve_dependencies(
        &mut self,
        job: &mut Job,
        number: JobNumber,
        records: &RecordCache,
        now: Micros,
        wall: Micros,
    ) {
        for id in &job.spec.dependencies {
            let record = records.jobs.get(id).map(|entry| &entry.record);
            let done = record.filter(|record| record.state == JobState::Done);
            if let Some(done) = done {
                let done_at = done.done_at.map(|at| now.since(wall.since(at)));
                job.times.queued_at = job.times.queued_at.max(done_at.unwrap_or_default());
                continue;
            }
            let dependency: Arc<str> = id.as_str().into();
            job.unmet_dependencies.insert(dependency.clone());
            self.dependencies.wait_for(dependency, number);
        }
    }

    /// This job is done on record since `at`: those that waited for it alone are released.
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

    /// This job is cancelled: so is whatever depends on it, directly or through others. None of them has
    /// started.
    pub(super) fn dependency_cancelled(&mut self, id: &str, now: Micros) {
        for number in self.dependencies.take_dependents(id) {
            self.cancel_if_active(number, now);
        }
    }

    /// Users set priority and deadline on the last job of a chain. Each of its dependencies, direct or
    /// through others, counts as urgent as it is, and is due when the rest of the chain still has to
    /// start.
    pub(super) fn inherit_urgency(&mut self, number: JobNumber) {
        let mut next = BTreeSet::from([number]);
        while let Some(number) = next.pop_last() {
            let job = self.job_table.get(number);
            let Some(job) = job.filter(|job| job.state == JobState::Active) else {
                continue;
            };
            let priority = job.priority;
            let due = self.due_before(job);
            let dependencies = job.unmet_dependencies.iter();
            let dependencies: Vec<JobNumber> = dependencies
                .filter_map(|id| self.job_table.number_of(id))
                .collect();
            for dependency in dependencies {
                if self.raise_urgency(dependency, priority, due) {
                    next.insert(dependency);
                }
            }
        }
    }

    /// When the dependencies of this job must be done for its sake.
    fn due_before(&self, job: &Job) -> Option<Micros> {
        let run_time = self.estimate(job).times(RUN_TIME_MARGIN).plus(HANDOVER);
        let own = job
            .spec
            .deadline
            .map(|within| job.times.submitted_at.plus(within));
        let due = own.into_iter().chain(job.dependents_deadline).min();
        due.map(|due| due.since(run_time))
    }

    /// Returns whether the job has become more urgent.
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
