//! Machines against need: which waiting jobs need new machines, and what is asked of the cloud for them.

use std::sync::Arc;

use super::autoscaler::{
    BatchBacklog, BatchTasks, CapacityPlan, OrderedMachines, ProvisioningClock, ScaleOutTerms,
};
use super::queue_order::QueuedJob;
use super::{Job, ScaleOutOutcome, Scheduler};
use crate::catalog::Resources;
use crate::gang::GangState;
use crate::job::JobKind;
use crate::machine::Machine;
use crate::time::Micros;

/// The most tasks of one job that are planned for at a time, beyond one for each machine of the site: a
/// job of 100,000 tasks must not hold up everything else. So one job can make a site grow to any size, by
/// this much in each pass.
const RESERVED_BEYOND_MACHINES: u64 = 400;
/// Until the next pass has placed tasks on a machine that has come up.
const JUST_UP: Micros = Micros::from_secs(1);
/// How long the record of a ordered machine waits for others.
const ORDERED_RECORD_DELAY: Micros = Micros::from_millis(300);

impl Scheduler {
    /// Scales out for what the waiting tasks need beyond what is pending, and scales in what is idle.
    pub(super) fn plan_capacity(&mut self, now: Micros) {
        self.autoscaler.discard_unsent_requests();
        if !self.too_many_unreachable(now) {
            let plan = self.capacity_plan(now);
            let term = self.leader_term.term();
            self.autoscaler.plan_requests(&plan, term, now);
        }
        self.scale_in_idle(now);
        self.effects.extend(self.autoscaler.send_requests(now));
    }

    /// What the waiting jobs take of the pending capacity, and the machines that are missing.
    fn capacity_plan(&mut self, now: Micros) -> CapacityPlan {
        let mut plan = self.pending_capacity(now);
        let mut backlog = self.batch_backlog();
        let teams = 0..self.quota.len();
        let mut claimed: Vec<Resources> = teams.map(|team| self.quota.used(team)).collect();
        let max_tasks = self.inventory.len() as u64 + RESERVED_BEYOND_MACHINES;
        for (position, queued) in self.queued_jobs(now).into_iter().enumerate() {
            let Some(job) = self.job_table.get(queued.number) else {
                continue;
            };
            let want = self.unserved_tasks(job, &queued, &mut claimed, &mut backlog);
            if want == 0 {
                continue;
            }
            let Some(terms) = self.scale_out_terms(&queued, position) else {
                continue;
            };
            let Some(job) = self.job_table.get(queued.number) else {
                continue;
            };
            plan.reserve(
                job,
                &terms,
                want.min(max_tasks),
                self.autoscaler.accelerator_demand(),
                &|zone| self.inventory.machines_in_zone(zone),
            );
        }
        plan
    }

    /// Every machine pool on offer, with the machines that are booting or being ordered as empty
    /// capacity.
    fn pending_capacity(&mut self, now: Micros) -> CapacityPlan {
        let clock = self.provisioning_clock(now);
        let unplaced = self.job_table.unplaced();
        let waiting = unplaced
            .iter()
            .filter_map(|number| self.job_table.get(*number));
        let smallest_need = waiting.map(|job| job.spec.need.cpu).min().unwrap_or(0);
        let idle = self.inventory.idle();
        // Found by a test: what had just come up was neither pending nor in use yet, and was ordered
        // once more.
        let just_up = idle.filter(|machine| {
            machine.takes_tasks() && now.since(machine.lifecycle.up_since()) < JUST_UP
        });
        let is_pending = |machine: &&Machine| {
            let is_booting =
                machine.lifecycle.is_unregistered() && !self.autoscaler.is_overdue(machine, clock);
            machine.allocations.is_empty() && (is_booting || machine.is_up())
        };
        let pending = self
            .inventory
            .provisioning()
            .chain(just_up)
            .filter(is_pending);
        let stalled_zones = self
            .autoscaler
            .stalled_zones(self.inventory.provisioning(), clock);
        let plan =
            self.autoscaler
                .new_plan(&self.catalog, smallest_need, pending, &stalled_zones, now);
        let looked_at =
            unplaced.len() + self.inventory.provisioning_count() + self.inventory.idle_count();
        self.steps += looked_at as u64;
        plan
    }

    /// The batch work that is placed, against the processors that take batch work.
    fn batch_backlog(&self) -> BatchBacklog {
        let accelerators = self.autoscaler.accelerator_demand();
        let groups = self.inventory.groups().iter();
        let ordinary = groups.filter(|group| !accelerators.is_contested(&group.machine_type.size));
        let processors = ordinary.map(|group| group.batch_cpu()).sum();
        self.autoscaler.batch_backlog(processors, &self.catalog)
    }

    /// For how many tasks of a job capacity has to be found beyond the machines that there are.
    fn unserved_tasks(
        &self,
        job: &Job,
        queued: &QueuedJob,
        claimed: &mut [Resources],
        backlog: &mut BatchBacklog,
    ) -> u64 {
        let spec = &job.spec;
        let idle = job.idle_tasks_not_at_fault();
        let mut want = self.wanted_tasks(job, idle, claimed);
        if want > 0 && spec.kind == JobKind::Array {
            // All that is left of it, though no more at a time than its team's limit allows.
            let unserved = backlog.add(&BatchTasks {
                count: idle,
                cpu: spec.need.cpu,
                estimate: self.estimate(job),
                slack: queued.slack,
            });
            want = want.min(unserved);
        }
        // Only what is to run at a time counts against the team's limit.
        if let Some(claimed) = claimed.get_mut(job.team) {
            *claimed = claimed.plus(&spec.need.times(want));
        }
        want
    }

    /// How many of a job's idle tasks may run at a time on top of what earlier jobs of its team claim.
    fn wanted_tasks(&self, job: &Job, idle: u64, claimed: &[Resources]) -> u64 {
        let spec = &job.spec;
        let is_gang = spec.kind == JobKind::Gang;
        let is_complete_gang = matches!(job.gang, GangState::Committing | GangState::Allowed);
        let guest = job.guest.as_ref();
        if is_complete_gang || guest.is_some_and(|guest| !guest.may_rent) {
            return 0;
        }
        let (Some(team), Some(used)) = (self.quota.team(job.team), claimed.get(job.team)) else {
            return 0;
        };
        if is_gang && idle < job.tasks.idle().len() as u64 {
            return 0;
        }
        // A gang at the barrier found the team's limit free for all of it. What is served before it
        // and finds no machine must not keep the machines for its last tasks from being ordered.
        let is_at_barrier = matches!(job.gang, GangState::Holding { .. }) && job.tasks.placed() > 0;
        if is_at_barrier && self.quota.tasks_allowed(job.team, &spec.need) >= idle {
            return idle;
        }
        let want = team.tasks_allowed(used, &spec.need).min(idle);
        if is_gang && want < idle {
            return 0;
        }
        want
    }

    /// On what terms machines are ordered for a job, by the policy.
    fn scale_out_terms(&mut self, queued: &QueuedJob, position: usize) -> Option<ScaleOutTerms> {
        let spec = self.job_table.get(queued.number)?.spec.clone();
        let may_use_spot = self.may_use_spot(&spec);
        let max_price_ratio = if spec.kind == JobKind::Array {
            self.max_price_ratio(&spec)
        } else {
            f64::INFINITY
        };
        Some(ScaleOutTerms {
            may_use_spot,
            max_price_ratio,
            slack: queued.slack,
            position,
        })
    }

    /// The answer to [`super::Effect::ScaleOut`].
    pub fn scale_out_ended(&mut self, request: &str, outcome: ScaleOutOutcome, now: Micros) {
        let rented = self.autoscaler.request_ended(request, outcome, now);
        let Some(OrderedMachines { pool, names }) = rented else {
            return;
        };
        let Some(kind) = self.catalog.get(&pool.type_name).cloned() else {
            return;
        };
        let kind = Arc::new(kind);
        let zone: Arc<str> = pool.zone.as_str().into();
        for name in names {
            if self.inventory.contains(&name) {
                continue;
            }
            let mut machine = Machine::new(&name, kind.clone(), zone.clone(), pool.spot, "", now);
            self.persistence
                .machine_changed(&mut machine, now.plus(ORDERED_RECORD_DELAY));
            self.inventory.add(machine);
        }
    }

    /// A machine sent its first heartbeat to this leader.
    pub(super) fn note_provisioned(&mut self, name: &Arc<str>, now: Micros) {
        let clock = self.provisioning_clock(now);
        if let Some(machine) = self.inventory.get(name) {
            self.autoscaler.machine_joined(machine, clock);
        }
    }

    /// What decides whether machines have come up in time.
    pub(super) fn provisioning_clock(&self, now: Micros) -> ProvisioningClock {
        ProvisioningClock::new(&self.config, self.leader_term.elected_at(), now)
    }
}
