//! The scheduler decides which task runs on which machine, and how many machines are rented.
//!
//! [`Scheduler`] holds the components and passes events, answers and effects between them. Each component
//! owns its state: `job_table` owns the jobs and queues, `inventory` the machines, `persistence` the changes
//! that are not yet on record, `autoscaler` the requests to the cloud, and `dispatch` the direct calls to
//! agents. The control loops compare the desired state with the observed state, so that repeating one is
//! harmless: tasks with machines (`placement_pass`, `preemption`, `gang_barrier`), heartbeats with
//! allocations (`agent_reconciliation`, `agent_health`), capacity with demand (`capacity_planning`,
//! `scale_in`), and memory with records (`record_commits`).

mod accelerator_sharing;
mod agent_health;
mod agent_reconciliation;
mod allocations;
mod autoscaler;
mod capacity_planning;
mod cloud_listing;
mod command_log;
mod command_retries;
mod commands;
mod consolidation;
mod delegation;
mod dependency_gate;
mod dispatch;
mod failure_history;
mod gang_barrier;
mod graceful_eviction;
mod interface;
mod inventory;
mod job_changes;
mod job_failures;
mod job_table;
mod leader_clock;
mod leader_term;
mod persistence;
mod placement_pass;
mod policy_bindings;
mod preemption;
mod queue_order;
mod record_commits;
mod recovery;
mod scale_in;
mod summary;
mod task_exits;
mod task_reconciliation;
mod unreachable_machines;
mod unresponsive_machines;

use std::collections::BTreeSet;
use std::sync::Arc;

use crate::catalog::{Catalog, Resources};
use crate::quota::Quota;
use crate::time::Micros;

use autoscaler::Autoscaler;
use command_log::CommandLog;
use dependency_gate::DependencyGate;
use dispatch::Dispatch;
use gang_barrier::GangBarrier;
use inventory::MachineInventory;
use job_failures::RetryQueue;
use job_table::classes::Class;
use job_table::JobTable;
use leader_clock::LeaderClock;
use leader_term::LeaderTerm;
use persistence::Persistence;
use placement_pass::PlacementPass;

pub use agent_reconciliation::HeartbeatRejection;
pub use autoscaler::ScaleOutOutcome;
pub use cloud_listing::ListedMachine;
pub use command_log::{CallFailure, CommandLogEntry, CommandReason, Delivery, LoggedCommand};
pub use commands::{AgentCommands, CommandOutcome, SentCommands};
pub use delegation::DelegationCandidate;
pub use interface::{
    Effect, Objective, ObjectiveTarget, Precondition, SchedulerConfig, Transaction, Write,
};
pub use job_table::timelines::JobTimeline;
pub use persistence::{Alert, TransactionOutcome};

pub(crate) use job_table::allocation::{Allocation, ObservedState, StopRequest};
pub(crate) use job_table::job::{Job, JobBackoff, JobTimes};
pub(crate) use job_table::task_set::{Task, TaskSet};

/// The interval between two runs of the health checks.
const TICK_INTERVAL: Micros = Micros::from_millis(500);
/// The interval between two runs of capacity planning and consolidation.
const PLANNING_INTERVAL: Micros = Micros::from_millis(500);

/// The numbers of agents whose machines are considered up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounts {
    /// Agents that receive this leader's answers as far as the leader can tell.
    pub reachable: usize,
    /// How many of the reachable agents have recently sent a heartbeat.
    pub recently_heard: usize,
    /// Agents that seem to receive no answers. They try every controller in turn, so their heartbeats to
    /// other controllers do not show that this leader is isolated.
    pub inbound_partitioned: usize,
}

/// The scheduler, which a controller owns while it leads. It holds the components and passes events, answers
/// and effects between them.
pub struct Scheduler {
    config: SchedulerConfig,
    catalog: Arc<Catalog>,
    leader_term: LeaderTerm,
    clock: LeaderClock,
    quota: Quota,
    job_table: JobTable,
    dependencies: DependencyGate,
    retries: RetryQueue,
    gang_barrier: GangBarrier,
    inventory: MachineInventory,
    dispatch: Dispatch,
    persistence: Persistence,
    autoscaler: Autoscaler,
    placement_pass: PlacementPass,
    command_log: CommandLog,
    next_tick: Micros,
    next_plan: Micros,
    effects: Vec<Effect>,
    /// The number of machines and jobs examined so far: the cost of passes, for tests.
    steps: u64,
}

impl Scheduler {
    /// Returns this leader's term, whose number is the highest of its fencing tokens.
    pub fn term(&self) -> u64 {
        self.leader_term.term()
    }

    /// Returns the revision of the term's record, which is a precondition of every write.
    pub fn term_revision(&self) -> u64 {
        self.leader_term.revision()
    }

    /// Returns the zones in which this controller can reach a controller, including its own zone.
    pub fn reachable_zones(&self) -> &BTreeSet<String> {
        self.inventory.reachable_zones()
    }

    /// Sets the zones in which this controller can reach a controller, including its own zone.
    pub fn set_reachable_zones(&mut self, zones: BTreeSet<String>) {
        self.inventory.set_reachable_zones(zones);
    }

    /// Replaces the machine types after types or prices have changed.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = catalog;
        self.placement_pass.request();
    }

    /// Returns the lowest fencing token of the term in which this leader was elected.
    pub fn first_token(&self) -> u64 {
        self.leader_term.first_token()
    }

    /// Takes over a term that this leader has raised without a change of leader.
    pub fn term_raised(&mut self, term: u64, revision: u64) {
        self.leader_term.raise_completed(term, revision);
    }

    /// Handles the failure of the transaction that raises the term.
    pub fn term_raise_failed(&mut self) {
        self.leader_term.raise_failed();
    }

    /// Handles the proof that the previous leader is gone: from `fenced_at` on, no earlier leader answers any
    /// agent.
    pub fn previous_leader_gone(&mut self, fenced_at: Micros) {
        self.leader_term.previous_leader_gone(fenced_at);
    }

    /// Removes a machine that is proven gone, so that nothing runs on it any more.
    fn remove_machine(&mut self, name: &Arc<str>, now: Micros) {
        if let Some(machine) = self.inventory.remove(name) {
            self.dispatch.machine_removed(name);
            self.persistence.machine_gone(&machine, now);
        }
    }

    /// Returns the estimate of a task's run time, corrected by the observed run times of the job's class.
    fn estimate(&self, job: &Job) -> Micros {
        let class = self.job_table.classes.get(job.class);
        let ratio = class.map_or(1.0, Class::run_time_ratio);
        job.spec.estimate.times(ratio).max(Micros::from_secs(1))
    }

    /// Runs the loops that are due and returns the effects to execute.
    pub fn poll(&mut self, now: Micros) -> Vec<Effect> {
        self.clock.record_poll(now);
        if now >= self.next_tick {
            self.next_tick = now.plus(TICK_INTERVAL);
            self.tick(now);
        }
        if self.placement_pass.due().is_some_and(|due| now >= due) {
            self.run_pass(now);
        }
        self.commit(now);
        self.send_commands(now);
        std::mem::take(&mut self.effects)
    }

    /// Returns the latest time at which [`Scheduler::poll`] must be called again.
    pub fn next_poll(&self) -> Micros {
        let mut at = self.next_tick;
        if let Some(due) = self.placement_pass.due() {
            at = at.min(due);
        }
        if let Some(due) = self.persistence.next_due() {
            at = at.min(due);
        }
        if let Some(due) = self.dispatch.next_due() {
            at = at.min(due);
        }
        at
    }

    fn tick(&mut self, now: Micros) {
        if self.leader_term.begin_raise() {
            self.effects.push(Effect::RaiseTerm);
        }
        self.run_health_checks(now);
        self.retry_deferred(now);
        if now >= self.next_plan {
            self.next_plan = now.plus(PLANNING_INTERVAL);
            self.apply_policy();
            self.plan_capacity(now);
            self.consolidate(now);
            self.end_accelerator_sharing(now);
            self.placement_pass.request();
        }
    }

    /// Returns how many machines and jobs the scheduler has examined so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// Returns how many agents there are, and from how many of them a heartbeat was recently received.
    pub fn agent_counts(&self, now: Micros) -> AgentCounts {
        // A heartbeat is early or late by a quarter of the interval at most. A longer limit would delay the
        // leader's resignation, and too little of the leases would be left for the agents to find another
        // leader.
        let max_silence = self.config.heartbeat_interval.times(1.5);
        let mut counts = AgentCounts::default();
        for machine in self.inventory.iter() {
            if !machine.is_up() {
                continue;
            }
            if machine.connectivity.inbound_partition.is_suspected() {
                counts.inbound_partitioned += 1;
                continue;
            }
            counts.reachable += 1;
            let last_heard = machine.connectivity.last_heard();
            let silence = now.since(last_heard.max(self.clock.resumed_at()));
            counts.recently_heard += usize::from(silence < max_silence);
        }
        counts
    }

    /// Returns the resources that the team's placed tasks use, for tests.
    pub fn used_by(&self, team: &str) -> Resources {
        self.quota.used(self.quota.team_index(team))
    }
}
