//! The placement pass: goes through the waiting jobs in queue order and places their tasks one by one, all
//! on the same snapshot of the machines.

use std::sync::Arc;

use super::allocations::Assignment;
use super::gang_barrier::ReservedQuota;
use super::preemption::MAX_SEARCHES_PER_PASS;
use super::queue_order::QueuedJob;
use super::{Job, Scheduler};
use crate::job::JobNumber;
use crate::job::{JobKind, JobSpec, Priority};
use crate::machine::Machine;
use crate::placement;
use crate::time::Micros;

/// The shortest time between two passes over the waiting jobs.
const MIN_PASS_INTERVAL: Micros = Micros::from_millis(100);
/// How long a gang waits for machines that have its image, as a fraction of the time that a fetch takes.
const IMAGE_WAIT_RATIO: f64 = 0.6;
/// Machines of one group that a pass examines for one job, in addition to one for each task to place.
const EXTRA_MACHINES: usize = 48;
/// The most machines of one group that are examined for the tasks to place of one job.
const MAX_MACHINES_FOR_TASKS: u64 = 1_000;

/// When the next pass is due, and what the current one may still do.
pub(super) struct PlacementPass {
    requested: bool,
    next_at: Micros,
    /// The quota that is reserved for starved gangs in this pass.
    reserved_quota: Vec<ReservedQuota>,
    /// How many more searches for tasks to preempt this pass may make.
    preemption_searches_left: u32,
    /// When a job was last seen waiting.
    last_waiting_at: Micros,
}

impl PlacementPass {
    /// Requests a first pass, which is due at once.
    pub(super) fn new(now: Micros) -> PlacementPass {
        PlacementPass {
            requested: true,
            next_at: now,
            reserved_quota: Vec::new(),
            preemption_searches_left: 0,
            last_waiting_at: now,
        }
    }

    /// Requests a pass because a change may allow waiting jobs to be placed.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// Returns when the next pass is due, if one was requested.
    pub(super) fn due(&self) -> Option<Micros> {
        self.requested.then_some(self.next_at)
    }

    /// Starts a pass.
    fn begin(&mut self, now: Micros) {
        self.requested = false;
        self.next_at = now.plus(MIN_PASS_INTERVAL);
        self.preemption_searches_left = MAX_SEARCHES_PER_PASS;
        self.reserved_quota.clear();
    }

    /// Reserves what a team has left for a starved gang during the rest of the pass.
    pub(super) fn reserve(&mut self, quota: ReservedQuota) {
        self.reserved_quota.push(quota);
    }

    /// Uses one of the pass's searches for tasks to preempt. Returns false if none is left.
    pub(super) fn take_preemption_search(&mut self) -> bool {
        let left = self.preemption_searches_left.checked_sub(1);
        self.preemption_searches_left = left.unwrap_or(0);
        left.is_some()
    }

    /// Notes that jobs are waiting for capacity.
    pub(super) fn note_waiting_jobs(&mut self, now: Micros) {
        self.last_waiting_at = now;
    }

    /// Returns when a job was last seen waiting.
    pub(super) fn last_waiting_at(&self) -> Micros {
        self.last_waiting_at
    }

    /// Whether the job must not be placed because its team's quota is reserved for a starved gang.
    fn is_excluded(&self, job: &Job) -> bool {
        let mut reserved = self.reserved_quota.iter();
        reserved.any(|reserved| reserved.excludes(job))
    }
}

impl Scheduler {
    /// Runs one pass over the jobs with tasks to place.
    pub(super) fn run_pass(&mut self, now: Micros) {
        self.placement_pass.begin(now);
        self.release_barriers(now);
        for queued in self.queued_jobs(now) {
            let Some(job) = self.job_table.get(queued.number) else {
                continue;
            };
            if job.backoff.place_after > now || self.placement_pass.is_excluded(job) {
                continue;
            }
            match job.spec.kind {
                JobKind::Gang => self.schedule_gang(queued, now),
                JobKind::Array | JobKind::Service => self.schedule_tasks(queued, now),
            }
        }
    }

    /// Places the tasks of an array or a service, and preempts other tasks for those that don't fit.
    fn schedule_tasks(&mut self, queued: QueuedJob, now: Micros) {
        let Some(job) = self.job_table.get(queued.number) else {
            return;
        };
        let is_urgent = job.spec.priority == Priority::Production && !job.is_at_fault();
        if is_urgent && self.preempt_near_image(queued, now) {
            return;
        }
        let unplaced = self.place_tasks(queued.number, now);
        if unplaced > 0 {
            self.preempt(queued, unplaced, now);
        }
    }

    /// Returns the machines where tasks of this job could be placed now, the best first; only those in
    /// `zone` if one is given.
    pub(super) fn candidate_machines(
        &mut self,
        number: JobNumber,
        zone: Option<&str>,
        wanted: u64,
        now: Micros,
    ) -> Vec<Arc<str>> {
        let Some(job) = self.job_table.get(number) else {
            return Vec::new();
        };
        let (spec, is_blocked) = (job.spec.clone(), self.is_blocked(job, now));
        let found = self.machines_with_capacity(&spec, zone, wanted, is_blocked);
        let Some(job) = self.job_table.get(number) else {
            return Vec::new();
        };
        let image_free_in = self.image_holders_free_in(job);
        let scored = found.into_iter().filter_map(|name| {
            let machine = self.inventory.get(&name)?;
            let should_wait = should_wait_for_image(job, machine, image_free_in, now);
            let is_avoided =
                job.failures.should_avoid(&name, now) || !self.admits_guest(job, machine);
            let is_suitable = is_blocked || self.may_share_accelerators(&spec, machine, now);
            let is_candidate = !should_wait && !is_avoided && is_suitable;
            is_candidate.then(|| (placement::score(&spec, machine), name))
        });
        let mut scored: Vec<(u64, Arc<str>)> = scored.collect();
        scored.sort();
        scored.into_iter().map(|(_, name)| name).collect()
    }

    /// Returns machines whose free capacity holds a task. In each group the fullest machines are
    /// examined first, and no more of them than the search can use.
    fn machines_with_capacity(
        &mut self,
        spec: &JobSpec,
        zone: Option<&str>,
        wanted: u64,
        is_blocked: bool,
    ) -> Vec<Arc<str>> {
        let limit = EXTRA_MACHINES + wanted.min(MAX_MACHINES_FOR_TASKS) as usize;
        let mut found = Vec::new();
        for index in 0..self.inventory.groups().len() {
            let group = &self.inventory.groups()[index];
            if zone.is_some_and(|zone| zone != &*group.zone)
                || !(is_blocked || self.is_suitable_size(spec, &group.machine_type.size))
                || !spec.allows(&group.machine_type.name, &group.zone, group.spot)
            {
                continue;
            }
            let search = self.inventory.groups_mut()[index].search(&spec.need, limit);
            self.steps += search.steps;
            found.extend(search.machines);
        }
        found
    }

    /// Estimates how soon the machines that have a gang's image become free for it, one after the other.
    /// Returns `None` for jobs that are not gangs, and if no machine has the image.
    fn image_holders_free_in(&self, job: &Job) -> Option<Micros> {
        let holders = self.inventory.max_image_holders_per_zone(&job.spec.image) as u64;
        if job.spec.kind != JobKind::Gang || holders == 0 {
            return None;
        }
        let total_run_time = self.estimate(job).0 * u64::from(job.spec.tasks);
        Some(Micros(total_run_time / holders))
    }

    /// Whether one more task of the job may be placed in this zone, given the zones of its other tasks.
    pub(super) fn zone_allows(job: &Job, zone: &str) -> bool {
        if job.spec.one_zone && job.tasks.zones().keys().any(|used| &**used != zone) {
            return false;
        }
        !job.spec.spread
            || job.tasks.zones().get(zone).copied().unwrap_or(0) < job.spec.max_tasks_per_zone()
    }

    /// Places as many idle tasks of an array or a service as possible. Returns how many are left that the
    /// team's limit would allow.
    fn place_tasks(&mut self, number: JobNumber, now: Micros) -> u64 {
        let Some(job) = self.job_table.get(number) else {
            return 0;
        };
        let spec = job.spec.clone();
        let idle = job.tasks.idle().len() as u64;
        let mut unplaced = self.quota.tasks_allowed(job.team, &spec.need).min(idle);
        unplaced = unplaced.min(job.max_placeable());
        if unplaced == 0 {
            return 0;
        }
        // For a blocked array unsuitable machines are candidates too, but only for a single task.
        let is_blocked_array = spec.kind == JobKind::Array && self.is_blocked(job, now);
        for name in self.candidate_machines(number, None, unplaced, now) {
            while unplaced > 0 {
                let (Some(job), Some(machine)) =
                    (self.job_table.get(number), self.inventory.get(&name))
                else {
                    break;
                };
                let Some(&task) = job.tasks.idle().first() else {
                    return 0;
                };
                if !spec.need.fits(&machine.free()) || !Self::zone_allows(job, &machine.zone) {
                    break;
                }
                let is_suitable = self.is_suitable_size(&spec, &machine.machine_type.size)
                    && self.may_share_accelerators(&spec, machine, now);
                if is_blocked_array && !is_suitable && job.tasks.placed() > 0 {
                    break;
                }
                let assignment = Assignment {
                    job: number,
                    task,
                    machine: name.clone(),
                    agent_epoch: machine.agent.epoch(),
                    attempt: job.next_attempt(task),
                    committed: false,
                };
                self.allocate(assignment, now);
                self.persistence.task_placed(number, task, &spec, now);
                unplaced -= 1;
            }
        }
        unplaced
    }
}

/// Whether a gang should wait for a machine that has its image instead of fetching the image to this one.
/// While a large image is fetched, a machine that has it may become free; and this machine may have the
/// image that another gang needs.
fn should_wait_for_image(
    job: &Job,
    machine: &Machine,
    image_free_in: Option<Micros>,
    now: Micros,
) -> bool {
    if machine.images.contains(&job.spec.image) {
        return false;
    }
    let fetch = machine.machine_type.fetch_time(job.spec.image_mb);
    let limit = fetch.times(IMAGE_WAIT_RATIO);
    let waited = now.since(job.times.queued_at.max(job.times.last_idle_at));
    image_free_in.is_some_and(|free_in| free_in < limit) && waited < limit
}
