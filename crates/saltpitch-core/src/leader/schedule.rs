//! Placement: job by job in the order of service, task by task on one snapshot.

use std::sync::Arc;

use super::{preemption::SEARCHES_PER_PASS, Job, Leader};
use crate::cluster::JobNo;
use crate::job::{Kind, Priority};
use crate::placement;
use crate::time::Micros;

/// How long a gang waits for machines that have its image, in times of fetching it.
const PATIENCE: f64 = 0.6;
/// Machines of one group that a pass looks at for one job, beyond those that it needs.
const LOOKS: usize = 48;

impl Leader {
    pub(super) fn schedule(&mut self, now: Micros) {
        self.loosen(now);
        self.searches = SEARCHES_PER_PASS;
        self.kept_for.clear();
        for w in self.waiting(now) {
            let Some(job) = self.jobs.get(&w.no) else {
                continue;
            };
            if job.not_before > now || self.kept_from(job) {
                continue;
            }
            match job.spec.kind {
                Kind::Gang => self.schedule_gang(w, now),
                _ => {
                    let urgent = job.spec.priority == Priority::Production && !job.at_fault();
                    if urgent && self.clears_near_image(w, now) {
                        continue;
                    }
                    let left = self.fill(w.no, now);
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
        no: JobNo,
        zone: Option<&str>,
        want: u64,
        now: Micros,
    ) -> Vec<Arc<str>> {
        let Some(job) = self.jobs.get(&no) else {
            return Vec::new();
        };
        let stuck = self.stuck(job, now);
        let spec = job.spec.clone();
        let limit = LOOKS + want.min(1_000) as usize;
        let mut found = Vec::new();
        for g in 0..self.fleet.groups.len() {
            let group = &self.fleet.groups[g];
            if zone.is_some_and(|z| z != &*group.zone)
                || !(stuck || self.ever_suits(&spec, &group.kind.size))
                || !spec.allows(&group.kind.name, &group.zone, group.spot)
            {
                continue;
            }
            let group = &mut self.fleet.groups[g];
            let search = group.search(&spec.need, limit);
            self.steps += search.steps;
            found.extend(search.fits);
        }
        let Some(job) = self.jobs.get(&no) else {
            return Vec::new();
        };
        let holders = self.fleet.holders(&spec.image) as u64;
        let waited = now.since(job.queued.max(job.parked_at));
        // How soon the machines that have its image become free for it, one after the other.
        let soon = match spec.kind {
            Kind::Gang if holders > 0 => self.estimate(job).0 * u64::from(spec.tasks) / holders,
            _ => u64::MAX,
        };
        let mut list: Vec<(u64, Arc<str>)> = found
            .into_iter()
            .filter_map(|name| {
                let m = self.machines.get(&name)?;
                // A large image takes as long to fetch as the gang may soon find a machine that has
                // it; and this machine may have what another gang needs.
                if !m.has_image(&spec.image) {
                    let patience = m.kind.fetch_time(spec.image_mb).times(PATIENCE);
                    if soon < patience.0 && waited < patience {
                        return None;
                    }
                }
                let avoided = job.failures.avoids(&name, now) || !self.welcomes(job, m);
                (!avoided && (stuck || self.may_borrow(&spec, m, now)))
                    .then(|| (placement::score(&spec, m), name))
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
    pub(super) fn fill(&mut self, no: JobNo, now: Micros) -> u64 {
        let Some(job) = self.jobs.get(&no) else {
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
        let single = spec.kind == Kind::Array && self.stuck(job, now);
        for name in self.candidates(no, None, more, now) {
            while more > 0 {
                let (Some(job), Some(m)) = (self.jobs.get(&no), self.machines.get(&name)) else {
                    break;
                };
                let Some(&task) = job.idle.first() else {
                    return 0;
                };
                if !spec.need.fits(&m.free()) || !Self::zone_allows(job, &m.zone) {
                    break;
                }
                let suits = self.ever_suits(&spec, &m.kind.size) && self.may_borrow(&spec, m, now);
                if single && !suits && job.placed > 0 {
                    break;
                }
                let (session, attempt) = (m.session, job.next_attempt(task));
                self.hold(no, task, name.clone(), session, attempt, false, now);
                self.dirty.placement(no, task, &spec, now);
                more -= 1;
            }
        }
        more
    }
}
