//! Placement: job by job in the order of the queue, task by task on one snapshot.

use std::sync::Arc;

use super::allocations::Assignment;
use super::gang_barrier::ReservedQuota;
use super::preemption::SEARCHES_PER_PASS;
use super::queue_order::QueuedJob;
use super::{Job, Scheduler};
use crate::job::JobNumber;
use crate::job::{JobKind, JobSpec, Priority};
use crate::machine::Machine;
use crate::placement;
use crate::time::Micros;

/// The shortest time between two passes over the jobs that wait.
const PASS_INTERVAL: Micros = Micros::from_millis(100);
/// How long a gang waits for machines that have its image, in times of fetching it.
const IMAGE_WAIT_RATIO: f64 = 0.6;
/// Machines of one group that a pass looks at for one job, beyond those that it needs.
const MACHINES_BEYOND_NEED: usize = 48;
/// The most machines of one group that are looked at for the needs of one job.
const MAX_MACHINES_NEEDED: u64 = 1_000;

/// When the next pass is due, and what this one may still do.
pub(super) struct PlacementPass {
    requested: bool,
    next_at: Micros,
    /// What is kept for starved gangs in this pass.
    reserved_quota: Vec<ReservedQuota>,
    /// Searches for tasks to preempt that are left in this pass.
    preemption_searches_left: u32,
    /// When a job was last found waiting.
    last_waiting_at: Micros,
}

impl PlacementPass {
    /// The first pass is due at once.
    pub(super) fn new(now: Micros) -> PlacementPass {
        PlacementPass {
            requested: true,
            next_at: now,
            reserved_quota: Vec::new(),
            preemption_searches_left: 0,
            last_waiting_at: now,
        }
    }

    /// Something changed that may let waiting jobs be placed.
    pub(super) fn request(&mut self) {
        self.requested = true;
    }

    /// When the next pass is due, if one was requested.
    pub(super) fn due(&self) -> Option<Micros> {
        self.requested.then_some(self.next_at)
    }

    /// A pass begins.
    fn begin(&mut self, now: Micros) {
        self.requested = false;
        self.next_at = now.plus(PASS_INTERVAL);
        self.preemption_searches_left = SEARCHES_PER_PASS;
        self.reserved_quota.clear();
    }

    /// Keeps what a team has left for a starved gang.
    pub(super) fn reserve(&mut self, quota: ReservedQuota) {
        self.reserved_quota.push(quota);
    }

    /// Takes one of the pass's searches for tasks to preempt; false if none is left.
    pub(super) fn take_preemption_search(&mut self) -> bool {
        let left = self.preemption_searches_left.checked_sub(1);
        self.preemption_searches_left = left.unwrap_or(0);
        left.is_some()
    }

    /// Jobs wait for capacity.
    pub(super) fn jobs_wait(&mut self, now: Micros) {
        self.last_waiting_at = now;
    }

    /// When a job was last found waiting.
    pub(super) fn last_waiting_at(&self) -> Micros {
        self.last_waiting_at
    }

    fn is_quota_reserved(&self, job: &Job) -> bool {
        let mut reserved = self.reserved_quota.iter();
        reserved.any(|reserved| reserved.excludes(job))
    }
}

impl Scheduler {
    /// One pass over the jobs with tasks to place.
    pub(super) fn run_pass(&mut self, now: Micros) {
        self.placement_pass.begin(now);
        self.release_barriers(now);
        for queued in self.queued_jobs(now) {
            let Some(job) = self.job_table.get(queued.number) else {
                continue;
            };
            if job.backoff.place_after > now || self.placement_pass.is_quota_reserved(job) {
                continue;
            }
            match job.spec.kind {
                JobKind::Gang => self.schedule_gang(queued, now),
                JobKind::Array | JobKind::Service => self.schedule_tasks(queued, now),
            }
        }
    }

    /// One pass over an array or a service.
    fn schedule_tasks(&mut self, queued: QueuedJob, now: Micros) {
        let Some(job) = self.job_table.get(queued.number) else {
            return;
        };
        let urgent = job.spec.priority == Priority::Production && !job.is_at_fault();
        if urgent && self.preempts_near_image(queued, now) {
            return;
        }
        let left = self.place_tasks(queued.number, now);
        if left > 0 {
            self.preempt(queued, left, now);
        }
    }

    /// Machines where this job's tasks could go now, best first, in `zone` if one is given.
    pub(super) fn candidates(
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
        let image_free_in = self.image_free_in(job);
        let scored = found.into_iter().filter_map(|name| {
            let machine = self.inventory.get(&name)?;
            let waits = waits_for_image(job, machine, image_free_in, now);
            let avoided = job.failures.avoids(&name, now) || !self.admits_guest(job, machine);
            let suits = is_blocked || self.may_share_accelerators(&spec, machine, now);
            let passes = !waits && !avoided && suits;
            passes.then(|| (placement::score(&spec, machine), name))
        });
        let mut scored: Vec<(u64, Arc<str>)> = scored.collect();
        scored.sort();
        scored.into_iter().map(|(_, name)| name).collect()
    }

    /// Machines whose free capacity holds a task. Of each group only as many are looked at as may be of
    /// use, the fullest first.
    fn machines_with_capacity(
        &mut self,
        spec: &JobSpec,
        zone: Option<&str>,
        wanted: u64,
        is_blocked: bool,
    ) -> Vec<Arc<str>> {
        let limit = MACHINES_BEYOND_NEED + wanted.min(MAX_MACHINES_NEEDED) as usize;
        let mut found = Vec::new();
        for at in 0..self.inventory.groups().len() {
            let group = &self.inventory.groups()[at];
            if zone.is_some_and(|zone| zone != &*group.zone)
                || !(is_blocked || self.ever_suits(spec, &group.machine_type.size))
                || !spec.allows(&group.machine_type.name, &group.zone, group.spot)
            {
                continue;
            }
            let search = self.inventory.groups_mut()[at].search(&spec.need, limit);
            self.steps += search.steps;
            found.extend(search.machines);
        }
        found
    }

    /// How soon the machines that have a gang's image become free for it, one after the other.
    fn image_free_in(&self, job: &Job) -> Option<Micros> {
        let holders = self.inventory.image_holders(&job.spec.image) as u64;
        if job.spec.kind != JobKind::Gang || holders == 0 {
            return None;
        }
        let all_tasks = self.estimate(job).0 * u64::from(job.spec.tasks);
        Some(Micros(all_tasks / holders))
    }

    /// Whether one more task of the job may go to this zone, given where the others are.
    pub(super) fn zone_allows(job: &Job, zone: &str) -> bool {
        if job.spec.one_zone && job.tasks.zones().keys().any(|used| &**used != zone) {
            return false;
        }
        !job.spec.spread
            || job.tasks.zones().get(zone).copied().unwrap_or(0) < job.spec.max_tasks_per_zone()
    }

    /// Places as many idle tasks of an array or a service as go. Returns how many are left over that
    /// the team's limit would allow.
    fn place_tasks(&mut self, number: JobNumber, now: Micros) -> u64 {
        let Some(job) = self.job_table.get(number) else {
            return 0;
        };
        let spec = job.spec.clone();
        let idle = job.tasks.idle().len() as u64;
        let mut left = self.quota.tasks_allowed(job.team, &spec.need).min(idle);
        left = left.min(job.placeable());
        if left == 0 {
            return 0;
        }
        // Beside what suits it, a blocked array takes the capacity for a single task of it.
        let takes_any = spec.kind == JobKind::Array && self.is_blocked(job, now);
        for name in self.candidates(number, None, left, now) {
            while left > 0 {
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
                let suits = self.ever_suits(&spec, &machine.machine_type.size)
                    && self.may_share_accelerators(&spec, machine, now);
                if takes_any && !suits && job.tasks.placed() > 0 {
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
                left -= 1;
            }
        }
        left
    }
}

/// Whether a gang had better wait for a machine that has its image than fetch it to this one. A large
/// image takes as long to fetch as the gang may soon find a machine that has it; and this machine may
/// have what another gang needs.
fn waits_for_image(
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
