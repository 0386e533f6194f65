//! Capacity planning: finds which waiting jobs need new machines, and requests these from the cloud.

use std::sync::Arc;

use super::autoscaler::{
    BatchBacklog, BatchTasks, CapacityPlan, OrderedMachines, ProvisioningContext, ScaleOutTerms,
};
use super::queue_order::QueuedJob;
use super::{Job, ScaleOutOutcome, Scheduler};
use crate::catalog::Resources;
use crate::gang::GangState;
use crate::job::JobKind;
use crate::machine::Machine;
use crate::time::Micros;

/// The most tasks of one job for which one pass reserves capacity, in addition to one for each machine of the
/// site. The limit keeps a job of 100,000 tasks from delaying all other work. One job can still make a site
/// grow to any size, by this much in each pass.
const MAX_RESERVED_BEYOND_MACHINES: u64 = 400;
/// The time in which the next pass places tasks on a machine that has come up.
const NEWLY_UP_PERIOD: Micros = Micros::from_secs(1);
/// How long the record of an ordered machine may be delayed, to be written together with others.
const ORDERED_RECORD_DELAY: Micros = Micros::from_millis(300);

impl Scheduler {
    /// Scales out for the waiting tasks that exceed the pending capacity, and scales in idle machines.
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

    /// Plans which pending capacity the waiting jobs take, and which machines are missing.
    fn capacity_plan(&mut self, now: Micros) -> CapacityPlan {
        let mut plan = self.pending_capacity(now);
        let mut backlog = self.batch_backlog();
        let teams = 0..self.quota.len();
        let mut claimed: Vec<Resources> = teams.map(|team| self.quota.used(team)).collect();
        let max_tasks = self.inventory.len() as u64 + MAX_RESERVED_BEYOND_MACHINES;
        for (queue_position, queued) in self.queued_jobs(now).into_iter().enumerate() {
            let Some(job) = self.job_table.get(queued.number) else {
                continue;
            };
            let unserved = self.unserved_tasks(job, &queued, &mut claimed, &mut backlog);
            if unserved == 0 {
                continue;
            }
            let Some(terms) = self.scale_out_terms(&queued, queue_position) else {
                continue;
            };
            let Some(job) = self.job_table.get(queued.number) else {
                continue;
            };
            plan.reserve(
                job,
                &terms,
                unserved.min(max_tasks),
                self.autoscaler.accelerator_demand(),
                &|zone| self.inventory.machines_in_zone(zone),
            );
        }
        plan
    }

    /// Returns a plan with every machine pool of the catalogue. Machines that are booting or being ordered
    /// are its pending capacity, and count as empty.
    fn pending_capacity(&mut self, now: Micros) -> CapacityPlan {
        let context = self.provisioning_context(now);
        let unplaced = self.job_table.unplaced();
        let waiting = unplaced
            .iter()
            .filter_map(|number| self.job_table.get(*number));
        let smallest_need = waiting.map(|job| job.spec.need.cpu).min().unwrap_or(0);
        let idle = self.inventory.idle();
        // A machine that has just come up counts as pending until tasks are placed on it; otherwise it would
        // be neither pending nor in use and would be ordered a second time. Found by a test.
        let newly_up = idle.filter(|machine| {
            machine.is_schedulable() && now.since(machine.lifecycle.up_since()) < NEWLY_UP_PERIOD
        });
        let is_pending = |machine: &&Machine| {
            let is_booting = machine.lifecycle.is_unregistered()
                && !self.autoscaler.is_overdue(machine, context);
            machine.allocations.is_empty() && (is_booting || machine.is_up())
        };
        let pending = self
            .inventory
            .provisioning()
            .chain(newly_up)
            .filter(is_pending);
        let stalled_zones = self
            .autoscaler
            .stalled_zones(self.inventory.provisioning(), context);
        let plan =
            self.autoscaler
                .new_plan(&self.catalog, smallest_need, pending, &stalled_zones, now);
        let examined =
            unplaced.len() + self.inventory.provisioning_count() + self.inventory.idle_count();
        self.steps += examined as u64;
        plan
    }

    /// Returns the backlog of batch work that is placed, for the processors that are available to batch work.
    fn batch_backlog(&self) -> BatchBacklog {
        let accelerators = self.autoscaler.accelerator_demand();
        let groups = self.inventory.groups().iter();
        let ordinary = groups.filter(|group| !accelerators.is_contested(&group.machine_type.size));
        let processors = ordinary.map(|group| group.batch_cpu()).sum();
        self.autoscaler.batch_backlog(processors, &self.catalog)
    }

    /// Returns for how many tasks of a job capacity is needed beyond the existing machines, and adds these
    /// tasks to what the job's team claims.
    fn unserved_tasks(
        &self,
        job: &Job,
        queued: &QueuedJob,
        claimed: &mut [Resources],
        backlog: &mut BatchBacklog,
    ) -> u64 {
        let spec = &job.spec;
        let idle = job.idle_tasks_not_at_fault();
        let mut unserved = self.allowed_tasks(job, idle, claimed);
        if unserved > 0 && spec.kind == JobKind::Array {
            // The backlog counts all of the job's idle tasks, although its team's limit may allow only some
            // of them to run at a time.
            let beyond_existing_machines = backlog.add(&BatchTasks {
                count: idle,
                cpu: spec.need.cpu,
                estimate: self.estimate(job),
                slack: queued.slack,
            });
            unserved = unserved.min(beyond_existing_machines);
        }
        // Only tasks that are to run at the same time count against the team's limit.
        if let Some(claimed) = claimed.get_mut(job.team) {
            *claimed = claimed.plus(&spec.need.times(unserved));
        }
        unserved
    }

    /// Returns how many of a job's idle tasks may run at the same time in addition to those that earlier jobs
    /// of its team claim. The result is 0 for a complete gang, for a gang whose idle tasks may not all run,
    /// and for a guest job that may not rent machines.
    fn allowed_tasks(&self, job: &Job, idle: u64, claimed: &[Resources]) -> u64 {
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
        // The team's limit had room for the whole gang when it reached the barrier. Jobs that precede it in
        // the queue but find no machine must not prevent machines from being ordered for its last tasks.
        let is_at_barrier = matches!(job.gang, GangState::Holding { .. }) && job.tasks.placed() > 0;
        if is_at_barrier && self.quota.tasks_allowed(job.team, &spec.need) >= idle {
            return idle;
        }
        let allowed = team.tasks_allowed(used, &spec.need).min(idle);
        if is_gang && allowed < idle {
            return 0;
        }
        allowed
    }

    /// Returns the conditions under which the policy allows machines to be ordered for a job.
    fn scale_out_terms(
        &mut self,
        queued: &QueuedJob,
        queue_position: usize,
    ) -> Option<ScaleOutTerms> {
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
            queue_position,
        })
    }

    /// Handles the outcome of [`super::Effect::ScaleOut`] by adding the ordered machines to the inventory.
    pub fn scale_out_ended(&mut self, request: &str, outcome: ScaleOutOutcome, now: Micros) {
        let ordered = self.autoscaler.request_ended(request, outcome, now);
        let Some(OrderedMachines { pool, names }) = ordered else {
            return;
        };
        let Some(machine_type) = self.catalog.get(&pool.type_name).cloned() else {
            return;
        };
        let machine_type = Arc::new(machine_type);
        let zone: Arc<str> = pool.zone.as_str().into();
        for name in names {
            if self.inventory.contains(&name) {
                continue;
            }
            let mut machine = Machine::new(
                &name,
                machine_type.clone(),
                zone.clone(),
                pool.spot,
                "",
                now,
            );
            self.persistence
                .machine_changed(&mut machine, now.plus(ORDERED_RECORD_DELAY));
            self.inventory.add(machine);
        }
    }

    /// Records that a machine sent its first heartbeat to this leader.
    pub(super) fn machine_joined(&mut self, name: &Arc<str>, now: Micros) {
        let context = self.provisioning_context(now);
        if let Some(machine) = self.inventory.get(name) {
            self.autoscaler.machine_joined(machine, context);
        }
    }

    /// Returns the times that decide whether machines have come up in time.
    pub(super) fn provisioning_context(&self, now: Micros) -> ProvisioningContext {
        ProvisioningContext::new(&self.config, self.leader_term.elected_at(), now)
    }
}
