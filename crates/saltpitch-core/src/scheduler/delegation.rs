//! Jobs that another cell may run for this one, and jobs that this cell runs for others.
//!
//! A delegated job is in no queue: nothing is scaled out, placed or preempted for it. It becomes so by its
//! record alone, whoever wrote it; [`Scheduler::reserve_for_delegation`] only keeps the job from being placed while
//! that record is under way.

use std::sync::Arc;

use super::autoscaler::MachinePoolKey;
use super::{Job, Scheduler};
use crate::job::{JobKind, JobNumber, JobSpec, JobState, Priority};
use crate::machine::Machine;
use crate::records::{JobRecord, RecordCache};
use crate::time::Micros;

/// Waiting jobs that one search for candidates considers, the oldest first.
const MAX_JOBS_CONSIDERED: usize = 1_000;
/// Machines of one group that are considered to see whether there is capacity for a job.
const MAX_MACHINES_CONSIDERED: usize = 64;
/// This cell counts as having capacity for a delegated job only while nothing waits here for longer.
const MAX_WAIT_OF_SHORT_QUEUE: Micros = Micros::from_secs(5);

/// Which cell a job is with, as far as this leader knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum JobOwner {
    /// This one.
    #[default]
    Local,
    /// This one, until a record under way says otherwise.
    Reserved,
    /// Another one may own it.
    Remote,
}

/// A waiting job that could be delegated.
#[derive(Clone, Debug)]
pub struct DelegationCandidate {
    /// The job.
    pub id: Arc<str>,
    /// Its description.
    pub spec: Arc<JobSpec>,
    /// When it was submitted.
    pub submitted: Micros,
    /// The time that its image takes to fetch here.
    pub fetch: Micros,
}

impl Job {
    fn may_be_delegated(&self) -> bool {
        let batch = self.spec.kind != JobKind::Service && self.spec.priority < Priority::Production;
        batch
            && self.is_active()
            && self.tasks.is_all_idle()
            && self.guest.is_none()
            && !self.is_at_fault()
    }

    /// Since when it has waited here.
    fn waits_locally_since(&self) -> Micros {
        self.times.queued_at.max(self.times.last_returned_at)
    }
}

impl Scheduler {
    /// Up to `limit` jobs that have waited here for at least `waited` and could be delegated, the oldest
    /// first.
    pub fn delegation_candidates(
        &self,
        waited: Micros,
        limit: usize,
        now: Micros,
    ) -> Vec<DelegationCandidate> {
        let oldest = self.job_table.active_by_age();
        let oldest = oldest.take(MAX_JOBS_CONSIDERED);
        let jobs = oldest.filter_map(|number| self.job_table.get(number));
        let long_enough = |job: &&Job| now.since(job.waits_locally_since()) >= waited;
        jobs.filter(|job| job.may_be_delegated())
            .filter(long_enough)
            .take(limit)
            .map(|job| DelegationCandidate {
                id: job.id.clone(),
                spec: job.spec.clone(),
                submitted: job.times.submitted_at,
                fetch: self.fetch_time(&job.spec),
            })
            .collect()
    }

    /// How long the job's image takes to fetch on the types that it may use.
    fn fetch_time(&self, spec: &JobSpec) -> Micros {
        let types = self.catalog.types.iter();
        let suitable = types.filter(|kind| spec.need.fits(&kind.size));
        let times = suitable.map(|kind| kind.fetch_time(spec.image_mb));
        times.min().unwrap_or_default()
    }

    /// Takes a job out of the queue while its delegation is written. Returns the revision of its record;
    /// `None` if something of it is placed, on record or on its way there.
    pub fn reserve_for_delegation(&mut self, id: &str) -> Option<u64> {
        let number = self.job_table.number_of(id)?;
        let job = self.job_table.get(number)?;
        let written = |task: u32| self.persistence.is_task_unsaved(number, task);
        if !job.may_be_delegated() || (0..job.spec.tasks).any(written) {
            return None;
        }
        self.job_table.dequeue(number);
        let job = self.job_table.get_mut(number)?;
        job.owner = JobOwner::Reserved;
        Some(job.revision)
    }

    /// The delegation was not written: the job goes back to the queue.
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

    /// Whether a job that is with another cell could begin here now: nothing else waits, its team's limit
    /// has room, and there are machines for all of it or the cloud is not known to refuse them.
    pub fn could_start_locally(&mut self, id: &str, now: Micros) -> bool {
        let job = self.job_table.find(id);
        let Some((spec, team)) = job.map(|job| (job.spec.clone(), job.team)) else {
            return false;
        };
        let at_a_time = match spec.kind {
            JobKind::Array => 1,
            JobKind::Gang | JobKind::Service => u64::from(spec.tasks),
        };
        if self.queue_is_long(now) || self.quota.tasks_allowed(team, &spec.need) < at_a_time {
            return false;
        }
        self.has_free_room(&spec) || self.cloud_may_have_room(&spec, now)
    }

    /// Whether a job of this cell's own waits for longer than a moment.
    fn queue_is_long(&self, now: Micros) -> bool {
        let open = self.job_table.unplaced().iter().take(MAX_JOBS_CONSIDERED);
        let mut jobs = open.filter_map(|number| self.job_table.get(*number));
        let waits = |job: &Job| now.since(job.waits_locally_since()) > MAX_WAIT_OF_SHORT_QUEUE;
        jobs.any(|job| job.is_active() && job.guest.is_none() && !job.is_at_fault() && waits(job))
    }

    fn has_free_room(&mut self, spec: &JobSpec) -> bool {
        let mut room = 0;
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
            room += tasks.sum::<u64>();
        }
        room >= u64::from(spec.tasks)
    }

    fn cloud_may_have_room(&self, spec: &JobSpec, now: Micros) -> bool {
        let refused = |name: &str, zone: &str, spot: bool| {
            let pool = MachinePoolKey::new(name, zone, spot);
            self.autoscaler.is_refused(&pool, now)
        };
        let mut types = self.catalog.types.iter();
        types.any(|kind| {
            spec.need.fits(&kind.size)
                && kind.zones.iter().any(|zone| {
                    [true, false].into_iter().any(|spot| {
                        spec.allows(&kind.name, zone, spot) && !refused(&kind.name, zone, spot)
                    })
                })
        })
    }

    /// A job's record changed: it may have gone to another cell, or come back.
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

    /// The host cell completed the job and its final record is written: it leaves memory.
    pub(super) fn completed_by_host(
        &mut self,
        number: JobNumber,
        records: &RecordCache,
        now: Micros,
    ) {
        let elsewhere = |job: &&Job| job.owner == JobOwner::Remote;
        let Some(job) = self.job_table.get(number).filter(elsewhere) else {
            return;
        };
        let record = records.jobs.get(&*job.id).map(|entry| &entry.record);
        if record.is_some_and(|record| record.state == JobState::Done && record.spec.is_none()) {
            self.finish_job(number, now);
        }
    }

    /// Whether a job may use this machine as far as guests go. A guest for which nothing may be ordered
    /// keeps no machine either: it goes only where work of this cell's own is.
    pub(super) fn admits_guest(&self, job: &Job, machine: &Machine) -> bool {
        let Some(guest) = &job.guest else {
            return true;
        };
        let own = |number: JobNumber| {
            let job = self.job_table.get(number);
            job.is_some_and(|job| job.guest.is_none())
        };
        guest.may_rent || machine.allocations.iter().any(|(number, _)| own(number))
    }
}
