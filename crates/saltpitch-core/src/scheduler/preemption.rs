//! Making room: which tasks are stopped for which.

use std::sync::Arc;

use super::queue_order::QueuedJob;
use super::{Job, ObjectiveTarget, ObservedState, Scheduler};
use crate::job::{JobKind, JobNumber, JobSpec, Priority};
use crate::preemption::{choose, loss, Victim};
use crate::time::Micros;

/// How long after its submission a service's room is made where its image is, at most; half of the
/// time in which it should start, and no longer than a fetch could still be in time.
const NEAR: Micros = Micros::from_millis(2_500);
/// Machines of one group that are looked at in one search: what stands behind them waits for the next.
const MACHINES_PER_SEARCH: usize = 32;
/// Searches for room in one pass.
pub(super) const SEARCHES_PER_PASS: u32 = 3;

/// How room for one task can be made on a machine.
pub(super) struct PreemptionOption {
    loss: u64,
    machine: Arc<str>,
    victims: Vec<(JobNumber, u32)>,
}

impl Scheduler {
    /// A replica starts at once where its image is, and only after a fetch elsewhere: once for each
    /// job, lesser work is stopped on machines that have the image. True while that room is awaited.
    pub(super) fn preempts_near_image(&mut self, w: QueuedJob, now: Micros) -> bool {
        let Some(job) = self.job_table.get(w.number) else {
            return false;
        };
        // Looked for again while there is hope: a fetch takes longer than that.
        if let Some(until) = job.room_awaited_until {
            let objectives = self.job_table.classes.objectives(job.class);
            // Where a fetch would be in time, there is no more to hope for than that.
            let fetch = (self.catalog.types.iter())
                .filter(|t| job.spec.need.fits(&t.size) && !self.contested_for(&job.spec, &t.size))
                .map(|t| t.fetch_time(job.spec.image_mb).times(1.3))
                .min()
                .unwrap_or_default();
            let start = objectives.iter().filter_map(|a| match a {
                ObjectiveTarget::Started(w) if fetch < *w => {
                    Some(w.since(fetch).since(Micros::from_secs(1)))
                }
                ObjectiveTarget::Started(w) => Some(w.times(0.5)),
                _ => None,
            });
            let hope = start.min().unwrap_or(NEAR).min(NEAR);
            if now < until || now.since(job.queued) > hope {
                return now < until;
            }
        }
        let spec = job.spec.clone();
        let idle = job.idle.len() as u64;
        let near = self.candidates(w.number, None, idle, now);
        let has = |scheduler: &Scheduler, name: &Arc<str>| {
            let machine = scheduler.inventory.machines.get(name);
            machine.is_some_and(|machine| machine.has_image(&spec.image))
        };
        let ready: u64 = near
            .iter()
            .filter(|name| has(self, name))
            .filter_map(|name| self.inventory.machines.get(name))
            .map(|machine| spec.need.count_in(&machine.free()))
            .sum();
        let missing = idle.saturating_sub(ready) as usize;
        let mut options = Vec::new();
        if missing > 0 {
            options = self.preemption_options(w, &spec, now);
            options.retain(|o| has(self, &o.machine) && !o.victims.is_empty());
            options.sort_by_key(|o| o.loss);
            options.truncate(missing);
        }
        let awaited = !options.is_empty();
        if let Some(job) = self.job_table.get_mut(w.number) {
            job.room_awaited_until = Some(if awaited {
                now.plus(Micros::from_millis(700))
            } else {
                now
            });
        }
        let victims = options.into_iter().flat_map(|o| o.victims).collect();
        self.preempt_tasks(victims, true, now);
        awaited
    }

    /// Stops less urgent work for up to `left` tasks of this job, the cheapest loss first.
    pub(super) fn preempt(&mut self, w: QueuedJob, left: u64, now: Micros) {
        let Some(job) = self.job_table.get(w.number) else {
            return;
        };
        let spec = job.spec.clone();
        if now < job.search_after {
            return;
        }
        // Nothing is stopped for what fails wherever it runs.
        let left = left.min(job.idle_in_good_standing());
        if left == 0 {
            return;
        }
        // Lesser work is stopped for work that can still be in time, not for what is late anyway.
        if spec.priority < Priority::High && !w.within_quota && w.slack.is_none() {
            return;
        }
        if self.placement_pass.preemption_searches_left == 0 {
            return;
        }
        self.placement_pass.preemption_searches_left -= 1;
        let mut stops: Vec<(JobNumber, u32)> = Vec::new();
        let mut left = left;
        let mut options = self.preemption_options(w, &spec, now);
        options.sort_by_key(|o| o.loss);
        for o in options {
            if left == 0 {
                break;
            }
            left -= 1;
            stops.extend(o.victims);
        }
        // What was found is given time to show its effect; what was not may turn up elsewhere.
        // The more jobs wait, the later it is another one's turn.
        let turn = 300 * (self.job_table.unplaced().len() as u64 / 8).clamp(1, 8);
        let wait = if stops.is_empty() { turn } else { 2_000 };
        if let Some(job) = self.job_table.get_mut(w.number) {
            job.search_after = now.plus(Micros::from_millis(wait));
        }
        if stops.is_empty() {
            return;
        }
        self.preempt_tasks(stops, spec.priority == Priority::Production, now);
    }

    /// Stops these tasks, at once or with time to save.
    pub(super) fn preempt_tasks(
        &mut self,
        stops: Vec<(JobNumber, u32)>,
        at_once: bool,
        now: Micros,
    ) {
        for (number, task) in stops {
            let Some(victim) = self.job_table.get(number) else {
                continue;
            };
            let grace = if victim.spec.saves() && !at_once {
                victim.spec.save.plus(Micros::from_secs(2))
            } else {
                Micros::ZERO
            };
            if victim.spec.kind == JobKind::Gang {
                self.stop_whole_gang(number, grace, now);
            } else {
                self.stop(number, task, grace, now);
            }
        }
    }

    /// Per machine where room could be made for one task: what that loses, and whom to stop. Of each
    /// group a bounded part is looked at, and the next search goes on from there.
    pub(super) fn preemption_options(
        &mut self,
        w: QueuedJob,
        spec: &JobSpec,
        now: Micros,
    ) -> Vec<PreemptionOption> {
        let mut options = Vec::new();
        let mut looked: Vec<Arc<str>> = Vec::new();
        for g in 0..self.inventory.index.groups.len() {
            let group = &self.inventory.index.groups[g];
            if !spec.need.fits(&group.kind.size)
                || !spec.allows(&group.kind.name, &group.zone, group.spot)
                || self.contested_for(spec, &group.kind.size)
                || !(w.within_quota || group.has_below(spec.priority))
            {
                continue;
            }
            let group = &mut self.inventory.index.groups[g];
            let part = group.next_part(MACHINES_PER_SEARCH);
            looked.extend(part);
        }
        self.steps += looked.len() as u64;
        let Some(job) = self.job_table.get(w.number) else {
            return options;
        };
        for machine in looked.iter().filter_map(|n| self.inventory.machines.get(n)) {
            if !machine.takes_tasks()
                || !Self::zone_allows(job, &machine.zone)
                || job.failures.avoids(&machine.name, now)
            {
                continue;
            }
            let mut free = machine.free();
            let mut victims = Vec::new();
            for &(number, task) in &machine.allocations {
                let Some(other) = self.job_table.get(number) else {
                    continue;
                };
                let Some(allocation) = other.tasks[task as usize].allocation.as_ref() else {
                    continue;
                };
                if allocation.stop.is_some() {
                    free = free.plus(&other.spec.need);
                    continue;
                }
                if !self.may_preempt(w, spec, other) {
                    continue;
                }
                // A start that is undone soon counts for nothing, and neither does work that
                // can't be saved: both are only worth it for urgent work and guarantees.
                let settled = now.since(allocation.since) > Micros::from_secs(40)
                    && other.spec.saves()
                    && allocation.observed == ObservedState::Running;
                if spec.priority < Priority::High && !w.within_quota && !settled {
                    continue;
                }
                let ran = match allocation.observed {
                    ObservedState::Running => {
                        now.since(allocation.running_since.unwrap_or(allocation.since))
                    }
                    _ => now.since(allocation.since).times(0.2),
                };
                // Production waits for nobody's save: what is lost then is the time since the last
                // checkpoint. Guests go first, whatever they lose: this cell's own work is never stopped
                // where stopping them will do.
                let lost = match (spec.priority, other.spec.saves()) {
                    _ if other.guest.is_some() => Micros::ZERO,
                    (Priority::Production, true) => Micros(ran.0 % other.spec.checkpoint.0),
                    (_, true) => other.spec.save,
                    _ => ran,
                };
                victims.push(Victim {
                    id: (number, task),
                    need: other.spec.need,
                    loss: loss(other.spec.need.cpu, lost),
                });
            }
            // No victims: room is being made here already, which covers one of the tasks.
            if let Some((loss, victims)) = choose(&spec.need, free, &mut victims) {
                options.push(PreemptionOption {
                    loss,
                    machine: machine.name.clone(),
                    victims,
                });
            }
        }
        options
    }

    /// The protocol's terms: higher priority over lower; a guarantee over what another team runs
    /// beyond its own.
    pub(super) fn may_preempt(&self, w: QueuedJob, spec: &JobSpec, other: &Job) -> bool {
        // What borrows a machine with accelerators makes way for work that needs them, wherever it
        // stands in the order: it can't take that room back. A job counts as urgent as the most urgent
        // job that needs it, here as in the order of service: otherwise an early stage of an urgent
        // pipeline is stopped again and again by work that is no more urgent.
        if spec.need.gpu > 0 && other.spec.need.gpu == 0 && other.priority < spec.priority {
            return true;
        }
        // Only what is served later anyway: otherwise two jobs could stop each other in turn.
        let own = self.job_table.get(w.number).map_or(u8::MAX, |job| job.rank);
        if other.rank <= own {
            return false;
        }
        if other.priority < spec.priority {
            return true;
        }
        if !w.within_quota || other.spec.team == spec.team {
            return false;
        }
        // Services are never cheap to move: users look at them.
        other.spec.priority != Priority::Production
            && self
                .quota
                .team(other.team)
                .is_some_and(|t| !t.guarantees(&self.quota.used(other.team)))
    }
}
