//! The scheduler: which task runs on which machine, and how many machines there are.
//!
//! [`Scheduler`] holds the components and passes events, answers and effects between them. Each component
//! owns its state: `job_table` jobs and queues, `inventory` machines, `persistence` what is not yet on
//! record, `autoscaler` what is asked of the cloud, `dispatch` direct calls to agents. The loops compare
//! what is wanted with what is, so that repeating one is harmless: tasks against machines
//! (`placement_pass`, `preemption`, `gang_barrier`), heartbeats against allocations
//! (`agent_reconciliation`, `agent_health`), capacity against need (`capacity_planning`, `scale_in`),
//! records against memory (`record_commits`).

mod accelerator_sharing;
mod agent_health;
mod agent_reconciliation;
mod allocations;
mod autoscaler;
mod capacity_planning;
mod cloud_listing;
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
pub use commands::{CommandOutcome, SentCommands};
pub use delegation::DelegationCandidate;
pub use interface::{
    Effect, Objective, ObjectiveTarget, Precondition, SchedulerConfig, Transaction, Write,
};
pub use job_table::timelines::JobTimeline;
pub use persistence::{Alert, TransactionOutcome};

pub(crate) use job_table::allocation::{Allocation, ObservedState, StopRequest};
pub(crate) use job_table::job::{Job, JobBackoff, JobTimes};
pub(crate) use job_table::task_set::{Task, TaskSet};

/// The agents of machines that are up as far as known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounts {
    /// Those that receive this leader's answers as far as known.
    pub reachable: usize,
    /// Of these, heard from lately.
    pub recently_heard: usize,
    /// Those that don't seem to receive answers. They try every controller in turn, which says nothing
    /// about this one.
    pub inbound_partitioned: usize,
}

/// The scheduler: owned by the controller while it leads. It holds the components and passes events,
/// answers and effects between them.
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
    next_tick: Micros,
    next_plan: Micros,
    effects: Vec<Effect>,
    /// Machines and jobs looked at: what a pass costs, for tests.
    steps: u64,
}

impl Scheduler {
    /// The term, which is the fencing token of every command.
    pub fn term(&self) -> u64 {
        self.leader_term.term()
    }

    /// The revision of the term's record, the precondition of every write.
    pub fn term_revision(&self) -> u64 {
        self.leader_term.revision()
    }

    /// Zones in which a controller can be reached from here.
    pub fn reachable_zones(&self) -> &BTreeSet<String> {
        self.inventory.reachable_zones()
    }

    /// Sets the zones in which a controller can be reached from here.
    pub fn set_reachable_zones(&mut self, zones: BTreeSet<String>) {
        self.inventory.set_reachable_zones(zones);
    }

    /// Prices or types changed.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = catalog;
        self.placement_pass.request();
    }

    /// The term was raised without a change of leader.
    pub fn term_raised(&mut self, term: u64, revision: u64) {
        if !self.leader_term.raised(term, revision) {
            return;
        }
        // The others hear of it by the answers to their heartbeats.
        let in_doubt = self.dispatch.awaiting_effect().filter(|name| {
            let machine = self.inventory.get(name);
            machine.is_some_and(|machine| machine.commands.has_unacknowledged_start())
        });
        let in_doubt: Vec<Arc<str>> = in_doubt.cloned().collect();
        for name in &in_doubt {
            self.dispatch.request(name);
        }
    }

    /// The transaction that raises the term was not carried out.
    pub fn term_raise_failed(&mut self) {
        self.leader_term.raise_failed();
    }

    /// The old leader is proven gone: none before us answers anybody from then on.
    pub fn previous_leader_gone(&mut self, fenced_at: Micros) {
        self.leader_term.previous_leader_gone(fenced_at);
    }

    /// The machine is proven gone; nothing is on it any more.
    fn remove_machine(&mut self, name: &Arc<str>, now: Micros) {
        if let Some(machine) = self.inventory.remove(name) {
            self.dispatch.machine_removed(name);
            self.persistence.machine_gone(&machine, now);
        }
    }

    /// The estimate of a task's run time, corrected by what was seen of its class.
    fn estimate(&self, job: &Job) -> Micros {
        let class = self.job_table.classes.get(job.class);
        let ratio = class.map_or(1.0, Class::run_time_ratio);
        job.spec.estimate.times(ratio).max(Micros::from_secs(1))
    }

    /// Runs whatever is due and hands out the effects.
    pub fn poll(&mut self, now: Micros) -> Vec<Effect> {
        self.clock.record_poll(now);
        if now >= self.next_tick {
            self.next_tick = now.plus(Micros::from_millis(500));
            self.tick(now);
        }
        if self.placement_pass.due().is_some_and(|due| now >= due) {
            self.run_pass(now);
        }
        self.commit(now);
        self.send_commands(now);
        std::mem::take(&mut self.effects)
    }

    /// When `poll` has something to do at the latest.
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
        self.run_health_checks(now);
        self.retry_deferred(now);
        if now >= self.next_plan {
            self.next_plan = now.plus(Micros::from_millis(500));
            self.apply_policy();
            self.plan_capacity(now);
            self.consolidate(now);
            self.end_accelerator_sharing(now);
            self.placement_pass.request();
        }
    }

    /// Machines and jobs looked at so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// How many agents there are, and how many of them were heard from lately.
    pub fn agent_counts(&self, now: Micros) -> AgentCounts {
        // Heartbeats are a quarter early or late at the most. Whoever waits longer to notice that nobody
        // is heard leaves too little of the leases for the agents to find another leader.
        let quiet = self.config.heartbeat_interval.times(1.5);
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
            counts.recently_heard += usize::from(silence < quiet);
        }
        counts
    }

    /// What the team's placed tasks take, for tests.
    pub fn used_by(&self, team: &str) -> Resources {
        self.quota.used(self.quota.team_index(team))
    }
}
