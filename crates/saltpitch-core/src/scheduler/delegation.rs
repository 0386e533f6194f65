//! Jobs that this cell delegates to another one, and jobs that it runs for others.
//!
//! A delegated job is in no queue: no machine is ordered and no task is placed or preempted for it. Its record
//! alone makes a job delegated, no matter which controller wrote it; [`Scheduler::reserve_for_delegation`] only
//! keeps the job from being placed while that record is being written.

use std::sync::Arc;

use super::autoscaler::MachinePoolKey;
use super::{Job, Scheduler};
use crate::job::{JobKind, JobNumber, JobSpec, JobState, Priority};
use crate::machine::Machine;
use crate::records::JobRecord;
use crate::time::Micros;

/// The maximum number of waiting jobs that a search considers.
const MAX_JOBS_CONSIDERED: usize = 1_000;
/// The maximum number of machines per group that are considered to find capacity for a job.
const MAX_MACHINES_CONSIDERED: usize = 64;
/// The longest wait of a job of this cell's own with which the cell still counts as having capacity for a
/// delegated job.
const MAX_WAIT_OF_SHORT_QUEUE: Micros = Micros::from_secs(5);

/// The cell that owns a job, as far as this leader knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum JobOwner {
    /// This cell owns the job.
    #[default]
    Local,
    /// This cell owns the job, but the record that delegates it is being written.
    Reserved,
    /// Another cell may own the job.
    Remote,
}

/// A waiting job that may be delegated.
#[derive(Clone, Debug)]
pub struct DelegationCandidate {
    /// The job's id.
    pub id: Arc<str>,
    /// The job's specification.
    pub spec: Arc<JobSpec>,
    /// When the job was submitted.
    pub submitted: Micros,
    /// The time that a machine of this cell takes to fetch the job's image.
    pub fetch: Micros,
}

impl Job {
    /// Returns whether the job may be delegated: it is active batch work of this cell's own below production
    /// priority, none of its tasks is placed, done or deferred, and it does not seem to be at fault for
    /// failures.
    fn may_be_delegated(&self) -> bool {
        let is_batch =
            self.spec.kind != JobKind::Service && self.spec.priority < Priority::Production;
        is_batch
            && self.is_active()
            && self.tasks.is_all_idle()
            && self.guest.is_none()
            && !self.is_at_fault()
    }

    /// Returns since when the job has waited in this cell.
    fn waiting_locally_since(&self) -> Micros {
        self.times.queued_at.max(self.times.last_returned_at)
    }
}

impl Scheduler {
    /// Returns up to `limit` jobs that have waited in this cell for at least `min_wait` and may be delegated,
    /// the oldest first.
    pub fn delegation_candidates(
        &self,
        min_wait: Micros,
        limit: usize,
        now: Micros,
    ) -> Vec<DelegationCandidate> {
        let oldest = self.job_table.active_by_age();
        let oldest = oldest.take(MAX_JOBS_CONSIDERED);
        let jobs = oldest.filter_map(|number| self.job_table.get(number));
        let has_waited = |job: &&Job| now.since(job.waiting_locally_since()) >= min_wait;
        jobs.filter(|job| job.may_be_delegated())
            .filter(has_waited)
            .take(limit)
            .map(|job| DelegationCandidate {
                id: job.id.clone(),
                spec: job.spec.clone(),
                submitted: job.times.submitted_at,
                fetch: self.fetch_time(&job.spec),
            })
            .collect()
    }

    /// Returns the shortest time in which a machine type that fits the job's tasks can fetch its image.
    fn fetch_time(&self, spec: &JobSpec) -> Micros {
        let types = self.catalog.types.iter();
        let suitable = types.filter(|kind| spec.need.fits(&kind.size));
        let times = suitable.map(|kind| kind.fetch_time(spec.image_mb));
        times.min().unwrap_or_default()
    }

    /// Takes a job out of the queue while the record that delegates it is written. Returns the revision of
    /// the job's present record, or `None` if the job can't be delegated or has a task that is placed, on
    /// record or being written.
    pub fn reserve_for_delegation(&mut self, id: &str) -> Option<u64> {
        let number = self.job_table.number_of(id)?;
        let job = self.job_table.get(number)?;
        let is_unsaved = |task: u32| self.persistence.is_task_unsaved(number, task);
        if !job.may_be_delegated() || (0..job.spec.tasks).any(is_unsaved) {
            return None;
        }
        self.job_table.dequeue(number);
        let job = self.job_table.get_mut(number)?;
        job.owner = JobOwner::Reserved;
        Some(job.revision)
    }

    /// Returns a job to the queue after its delegation was not written.
    pub fn release_reservation(&mut self, id: &str, now: Micros) {
        let Some(number) = self.job_table.number_of(id) else {
            return;
        };
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        if job.owner == JobOwner::Reserved {
            job.owner = JobOwner::Local;
            job.times.last_returned_at = now;
            self.enqueue(number, now);
        }
    }

    /// Returns whether a job that is with another cell could start here now.
    ///
    /// That holds if no job of this cell's own waits for long, the team's limit allows the job, and there are
    /// machines for all of its tasks or the cloud is not known to refuse them.
    pub fn could_start_locally(&mut self, id: &str, now: Micros) -> bool {
        let job = self.job_table.find(id);
        let Some((spec, team)) = job.map(|job| (job.spec.clone(), job.team)) else {
            return false;
        };
        let min_tasks = match spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => u64::from(spec.tasks),
        };
        if self.is_queue_long(now) || self.quota.tasks_allowed(team, &spec.need) < min_tasks {
            return false;
        }
        self.has_free_capacity(&spec) || self.cloud_may_have_capacity(&spec, now)
    }

    /// Returns whether a job of this cell's own has waited for longer than [`MAX_WAIT_OF_SHORT_QUEUE`].
    fn is_queue_long(&self, now: Micros) -> bool {
        let unplaced = self.job_table.unplaced().iter().take(MAX_JOBS_CONSIDERED);
        let mut jobs = unplaced.filter_map(|number| self.job_table.get(*number));
        let has_waited =
            |job: &Job| now.since(job.waiting_locally_since()) > MAX_WAIT_OF_SHORT_QUEUE;
        jobs.any(|job| {
            job.is_active() && job.guest.is_none() && !job.is_at_fault() && has_waited(job)
        })
    }

    /// Returns whether the machines found have free resources for all tasks of the job.
    fn has_free_capacity(&mut self, spec: &JobSpec) -> bool {
        let mut capacity = 0;
        for number in 0..self.inventory.groups().len() {
            let group = &mut self.inventory.groups_mut()[number];
            if !spec.allows(&group.machine_type.name, &group.zone, group.spot) {
                continue;
            }
            let search = group.search(&spec.need, MAX_MACHINES_CONSIDERED);
            self.steps += search.steps;
            let machines = search
                .machines
                .iter()
                .filter_map(|name| self.inventory.get(name));
            let tasks = machines.map(|machine| spec.need.count_in(&machine.free()));
            capacity += tasks.sum::<u64>();
        }
        capacity >= u64::from(spec.tasks)
    }

    /// Returns whether the cloud is not known to refuse every pool of machines that the job may use.
    fn cloud_may_have_capacity(&self, spec: &JobSpec, now: Micros) -> bool {
        let is_refused = |name: &str, zone: &str, spot: bool| {
            let pool = MachinePoolKey::new(name, zone, spot);
            self.autoscaler.is_refused(&pool, now)
        };
        let mut types = self.catalog.types.iter();
        types.any(|kind| {
            spec.need.fits(&kind.size)
                && kind.zones.iter().any(|zone| {
                    [true, false].into_iter().any(|spot| {
                        spec.allows(&kind.name, zone, spot) && !is_refused(&kind.name, zone, spot)
                    })
                })
        })
    }

    /// Updates the owner of a job whose record changed: the job may have been delegated to another cell, or
    /// may have returned from one.
    pub(super) fn job_owner_changed(&mut self, number: JobNumber, record: &JobRecord, now: Micros) {
        let Some(job) = self.job_table.get_mut(number) else {
            return;
        };
        if record.state != JobState::Active {
            return;
        }
        let before = job.owner;
        if record.is_delegated() {
            job.owner = JobOwner::Remote;
            self.job_table.dequeue(number);
        } else if before == JobOwner::Remote {
            job.owner = JobOwner::Local;
            job.times.last_returned_at = now;
            self.enqueue(number, now);
        }
    }

    /// Finishes a job that the host cell completed and whose final record is written, which removes it from
    /// memory.
    pub(super) fn completed_by_host(&mut self, number: JobNumber, now: Micros) {
        let job = self.job_table.get(number);
        if job.is_some_and(|job| job.owner == JobOwner::Remote) {
            self.finish_job(number, now);
        }
    }

    /// Returns whether the rules for guests allow the job on this machine.
    ///
    /// A guest for which no machine may be rented must not keep a machine in use either, so it is placed only
    /// on machines that have tasks of this cell's own.
    pub(super) fn admits_guest(&self, job: &Job, machine: &Machine) -> bool {
        let Some(guest) = &job.guest else {
            return true;
        };
        let is_own = |number: JobNumber| {
            let job = self.job_table.get(number);
            job.is_some_and(|job| job.guest.is_none())
        };
        guest.may_rent || machine.allocations.iter().any(|(number, _)| is_own(number))
    }
}
