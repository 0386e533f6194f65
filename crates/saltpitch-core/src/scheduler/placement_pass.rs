//! Placement: job by job in the order of service, task by task on one snapshot.

use std::sync::Arc;

use super::allocations::Assignment;
use super::{preemption::SEARCHES_PER_PASS, Job, Scheduler};
use crate::job::{JobKind, JobNumber, Priority};
use crate::placement;
use crate::time::Micros;

/// How long a gang waits for machines that have its image, in times of fetching it.
const PATIENCE: f64 = 0.6;
/// Machines of one group that a pass looks at for one job, beyond those that it needs.
const LOOKS: usize = 48;

/// When the next pass is due, and what this one may still do.
pub(super) struct PlacementPass {
    /// Something changed that may let waiting jobs be placed.
    pub(super) requested: bool,
    pub(super) next_at: Micros,
    /// Teams of which, in this pass, the rest of the limit is kept for a starved gang: of the
    /// accelerators alone, or of everything.
    pub(super) reserved_quota: Vec<(usize, bool)>,
    /// Searches for room to be made that are left in this pass.
    pub(super) preemption_searches_left: u32,
    /// When a job was last found waiting.
    pub(super) last_waiting_at: Micros,
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
}

impl Scheduler {
    pub(super) fn run_pass(&mut self, now: Micros) {
        self.release_barriers(now);
        self.placement_pass.preemption_searches_left = SEARCHES_PER_PASS;
        self.placement_pass.reserved_quota.clear();
        for w in self.queued_jobs(now) {
            let Some(job) = self.job_table.get(w.number) else {
                continue;
            };
            if job.not_before > now || self.is_quota_reserved(job) {
                continue;
            }
            match job.spec.kind {
                JobKind::Gang => self.schedule_gang(w, now),
                _ => {
                    let urgent = job.spec.priority == Priority::Production && !job.at_fault();
                    if urgent && self.preempts_near_image(w, now) {
                        continue;
                    }
                    let left = self.place_tasks(w.number, now);
                    if left > 0 {
                        self.preempt(w, left, now);
                    }
                }
            }
        }
    }

    /// Machines where this job's tasks could go now, best first, in `zone` if one is given. Of each
    /// group only as many are looked at as may be of use, the fullest first.
    pub(super) fn candidates(
        &mut self,
        number: JobNumber,
        zone: Option<&str>,
        want: u64,
        now: Micros,
    ) -> Vec<Arc<str>> {
        let Some(job) = self.job_table.get(number) else {
            return Vec::new();
        };
        let stuck = self.is_blocked(job, now);
        let spec = job.spec.clone();
        let limit = LOOKS + want.min(1_000) as usize;
        let mut found = Vec::new();
        for g in 0..self.inventory.index.groups.len() {
            let group = &self.inventory.index.groups[g];
            if zone.is_some_and(|z| z != &*group.zone)
                || !(stuck || self.ever_suits(&spec, &group.kind.size))
                || !spec.allows(&group.kind.name, &group.zone, group.spot)
            {
                continue;
            }
            let group = &mut self.inventory.index.groups[g];
            let search = group.search(&spec.need, limit);
            self.steps += search.steps;
            found.extend(search.fits);
        }
        let Some(job) = self.job_table.get(number) else {
            return Vec::new();
        };
        let holders = self.inventory.index.holders(&spec.image) as u64;
        let waited = now.since(job.queued.max(job.parked_at));
        // How soon the machines that have its image become free for it, one after the other.
        let soon = match spec.kind {
            JobKind::Gang if holders > 0 => self.estimate(job).0 * u64::from(spec.tasks) / holders,
            _ => u64::MAX,
        };
        let mut list: Vec<(u64, Arc<str>)> = found
            .into_iter()
            .filter_map(|name| {
                let machine = self.inventory.machines.get(&name)?;
                // A large image takes as long to fetch as the gang may soon find a machine that has
                // it; and this machine may have what another gang needs.
                if !machine.has_image(&spec.image) {
                    let patience = machine.kind.fetch_time(spec.image_mb).times(PATIENCE);
                    if soon < patience.0 && waited < patience {
                        return None;
                    }
                }
                let avoided = job.failures.avoids(&name, now) || !self.admits_guest(job, machine);
                (!avoided && (stuck || self.may_share_accelerators(&spec, machine, now)))
                    .then(|| (placement::score(&spec, machine), name))
            })
            .collect();
        list.sort();
        list.into_iter().map(|x| x.1).collect()
    }

    /// Whether one more task of the job may go to this zone, given where the others are.
    pub(super) fn zone_allows(job: &Job, zone: &str) -> bool {
        if job.spec.one_zone && job.zones.keys().any(|z| &**z != zone) {
            return false;
        }
        !job.spec.spread || job.zones.get(zone).copied().unwrap_or(0) < job.spec.per_zone()
    }

    /// Places as many idle tasks of an array or a service as go; says how many are left over that
    /// the team's limit would allow.
    pub(super) fn place_tasks(&mut self, number: JobNumber, now: Micros) -> u64 {
        let Some(job) = self.job_table.get(number) else {
            return 0;
        };
        let spec = job.spec.clone();
        let idle = job.idle.len() as u64;
        let mut more = self.quota.more(job.team, &spec.need).min(idle);
        more = more.min(job.placeable());
        if more == 0 {
            return 0;
        }
        // Beside what suits it, an array that is stuck takes room for a single task of it.
        let single = spec.kind == JobKind::Array && self.is_blocked(job, now);
        for name in self.candidates(number, None, more, now) {
            while more > 0 {
                let (Some(job), Some(machine)) = (
                    self.job_table.get(number),
                    self.inventory.machines.get(&name),
                ) else {
                    break;
                };
                let Some(&task) = job.idle.first() else {
                    return 0;
                };
                if !spec.need.fits(&machine.free()) || !Self::zone_allows(job, &machine.zone) {
                    break;
                }
                let suits = self.ever_suits(&spec, &machine.kind.size)
                    && self.may_share_accelerators(&spec, machine, now);
                if single && !suits && job.placed > 0 {
                    break;
                }
                let (agent_epoch, attempt) = (machine.agent_epoch, job.next_attempt(task));
                let assignment = Assignment {
                    job: number,
                    task,
                    machine: name.clone(),
                    agent_epoch,
                    attempt,
                    committed: false,
                };
                self.allocate(assignment, now);
                self.persistence.task_placed(number, task, &spec, now);
                more -= 1;
            }
        }
        more
    }
}
