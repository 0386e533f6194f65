//! Jobs that need others to be done first: one more gate before the queue, in the spirit of the source's
//! PreEnqueue. A gated job holds nothing; the event that the last job it needs is done releases it.

use std::collections::BTreeSet;
use std::sync::Arc;

use super::{Job, Scheduler, FADE};
use crate::cluster::JobNumber;
use crate::job::JobState;
use crate::records::RecordCache;
use crate::time::Micros;

/// Between two jobs of a pipeline: the outcome goes on record, the next is placed and has its image.
const HANDOVER: Micros = Micros::from_secs(5);

impl Scheduler {
    /// The job is in the queue from now on, or again after a change of leader.
    pub(super) fn enqueue(&mut self, number: JobNumber, now: Micros) {
        let Some(job) = self.job_table.jobs.get(&number).filter(|job| job.active()) else {
            return;
        };
        let (spec, queued) = (job.spec.clone(), job.queued);
        let idle = !job.idle.is_empty();
        if spec.need.gpu > 0 {
            self.autoscaler.accelerator_demands.insert(spec.need);
            self.autoscaler.accelerators_requested_at =
                self.autoscaler.accelerators_requested_at.max(queued);
        }
        if now.since(queued) < FADE {
            self.note_demand(&spec, now);
        }
        self.job_table.active_by_age.insert((queued, number));
        if idle {
            self.job_table.unplaced.insert(number);
        }
        self.placement_pass.requested = true;
    }

    /// Which of the jobs that this one needs are not done on record. Done is final, so that much may be
    /// believed of any copy of the records; what is not known there is not done.
    pub(super) fn resolve_dependencies(
        &mut self,
        job: &mut Job,
        number: JobNumber,
        records: &RecordCache,
        now: Micros,
        wall: Micros,
    ) {
        for need in &job.spec.dependencies {
            let record = records.jobs.get(need).map(|e| &e.record);
            match record.filter(|r| r.state == JobState::Done) {
                Some(r) => {
                    let at = r
                        .finished
                        .map_or(Micros::ZERO, |f| now.since(wall.since(f)));
                    job.queued = job.queued.max(at);
                }
                None => {
                    let need: Arc<str> = need.as_str().into();
                    job.unmet_dependencies.insert(need.clone());
                    self.job_table
                        .dependents
                        .entry(need)
                        .or_default()
                        .push(number);
                }
            }
        }
    }

    /// This job is done on record since `at`: those that waited for it alone are released.
    pub(super) fn dependency_completed(&mut self, id: &str, at: Micros, now: Micros) {
        for number in self.job_table.dependents.remove(id).unwrap_or_default() {
            let Some(job) = self.job_table.jobs.get_mut(&number) else {
                continue;
            };
            if job.unmet_dependencies.remove(id) {
                job.queued = job.queued.max(at);
                if job.unmet_dependencies.is_empty() {
                    self.enqueue(number, now);
                }
            }
        }
    }

    /// This job is cancelled: so is whatever needs it, directly or through others. None of them has
    /// started.
    pub(super) fn dependency_cancelled(&mut self, id: &str, now: Micros) {
        for number in self.job_table.dependents.remove(id).unwrap_or_default() {
            let Some(job) = self.job_table.jobs.get_mut(&number) else {
                continue;
            };
            if job.state == JobState::Active {
                job.state = JobState::Cancelled;
                self.cancel(number, now);
            }
        }
    }

    /// Users set priority and deadline on the last job of a pipeline. Each job that it needs, directly
    /// or through others, counts as urgent as it is, and is due when the rest of the chain still has to
    /// begin.
    pub(super) fn inherit_urgency(&mut self, number: JobNumber) {
        let mut next = BTreeSet::from([number]);
        while let Some(number) = next.pop_last() {
            let Some(job) = self
                .job_table
                .jobs
                .get(&number)
                .filter(|job| job.state == JobState::Active)
            else {
                continue;
            };
            let run = self.estimate(job).times(1.3).plus(HANDOVER);
            let own = job.spec.deadline.map(|d| job.submitted.plus(d));
            let due = own.into_iter().chain(job.due).min().map(|d| d.since(run));
            let priority = job.priority;
            let dependencies: Vec<JobNumber> = (job.unmet_dependencies.iter())
                .filter_map(|id| self.job_table.by_id.get(id).copied())
                .collect();
            for need in dependencies {
                let Some(job) = self.job_table.jobs.get_mut(&need) else {
                    continue;
                };
                let sooner = due.filter(|d| job.due.is_none_or(|old| *d < old));
                if priority > job.priority || sooner.is_some() {
                    job.priority = job.priority.max(priority);
                    job.due = sooner.or(job.due);
                    next.insert(need);
                }
            }
        }
    }
}
