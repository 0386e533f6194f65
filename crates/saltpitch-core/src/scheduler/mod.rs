//! The leader's memory and its loops: tasks against machines, machines against need, records
//! against memory. Each loop compares what is wanted with what is, so repeating one is harmless.

mod accelerator_sharing;
mod agent_health;
mod agent_reconciliation;
mod alerts;
mod allocations;
mod capacity_plan;
mod capacity_pools;
mod cloud_listing;
mod commands;
mod commit;
mod consolidation;
mod delegation;
mod dependency_gate;
mod gang_barrier;
mod graceful_eviction;
mod interface;
mod job_failures;
mod job_state;
mod jobs;
mod machine_blocks;
mod placement_log;
mod placement_pass;
mod policy_bindings;
mod preemption;
mod provisioning_times;
mod queue_order;
mod recovery;
mod scale_out;
mod summary;
mod transaction;
mod unreachable_machines;
mod unsaved_tasks;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use crate::catalog::{Catalog, Resources};
use crate::cluster::{JobNumber, Machine, MachinePhase};
use crate::job::JobSpec;
use crate::machine_index::MachineIndex;
use crate::quota::Quota;
use crate::records::ReturnedMachines;
use crate::time::Micros;
use crate::token_bucket::TokenBucket;

pub use agent_reconciliation::HeartbeatRejection;
pub use alerts::Alert;
pub use cloud_listing::ListedMachine;
pub use commands::CommandOutcome;
pub use delegation::DelegationCandidate;
pub use interface::{
    Effect, Objective, ObjectiveTarget, Precondition, SchedulerConfig, Transaction, Write,
};
pub use jobs::JobTimeline;
pub use scale_out::{Refusal, ScaleOutOutcome};
pub use transaction::TransactionOutcome;

pub(crate) use job_state::{Allocation, Job, ObservedState, StopRequest, Task};

/// A leader whose loops did not run for this long stood still, and so did its reading of heartbeats.
const STOOD_STILL: Micros = Micros::from_secs(2);

/// The shortest time between two passes over the jobs that wait.
const SCHEDULE_INTERVAL: Micros = Micros::from_millis(100);

/// How fast production's past demand fades from the estimate of what is to come.
const FADE: Micros = Micros::from_secs(60);

/// The agents of machines that are up as far as known.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AgentCounts {
    /// Those that receive this leader's answers as far as known.
    pub reachable: usize,
    /// Of these, heard from lately.
    pub heard: usize,
    /// Those that don't seem to receive answers. They try every controller in turn, which says nothing
    /// about this one.
    pub inbound_partitioned: usize,
}

/// What is known of a class of jobs.
struct Class {
    name: String,
    objectives: Vec<ObjectiveTarget>,
    /// Run time seen over the owner's estimate.
    ratio: f64,
    /// Tasks of a job of this class, the later ones counting more.
    mean_tasks: f64,
}

pub struct Scheduler {
    config: SchedulerConfig,
    /// Sent with every order.
    pub term: u64,
    term_rev: u64,
    /// The term in which leadership was taken: an agent that has seen it, or a later one of ours,
    /// drops whatever the leader before us says.
    first_term: u64,
    /// From then on the leader before us answers nobody.
    previous_leader_fenced_at: Micros,
    catalog: Arc<Catalog>,
    quota: Quota,
    jobs: BTreeMap<JobNumber, Job>,
    job_numbers: HashMap<Arc<str>, JobNumber>,
    /// Cancelled by another node's word, and not yet so in the records that this node has.
    cancelled_by_peer: HashSet<String>,
    /// Jobs that wait for others, by those that they need.
    dependents: HashMap<Arc<str>, Vec<JobNumber>>,
    next_job_number: JobNumber,
    machines: BTreeMap<Arc<str>, Machine>,
    index: MachineIndex,
    classes: Vec<Class>,
    /// Active jobs, the oldest first, and those with tasks neither done nor placed.
    active_by_age: BTreeSet<(Micros, JobNumber)>,
    unplaced_jobs: BTreeSet<JobNumber>,
    /// Tasks that failed, by when they are to be tried again.
    retries: BTreeSet<(Micros, JobNumber, u32)>,
    /// Jobs found to be at fault that the log has not been told of.
    failing_jobs: Vec<Arc<str>>,
    /// Gangs at the barrier.
    gangs_at_barrier: BTreeSet<JobNumber>,
    /// Machines that hold nothing, and those that are not yet heard or not yet ours.
    idle_machines: BTreeSet<Arc<str>>,
    provisioning: BTreeSet<Arc<str>>,
    /// When to look after each machine.
    health_checks: BTreeSet<(Micros, Arc<str>)>,
    /// Machines with stops or starts that have not shown any effect yet.
    awaiting_effect: BTreeSet<Arc<str>>,
    // Records that differ from memory.
    unsaved: unsaved_tasks::UnsavedTasks,
    finished_jobs: BTreeSet<JobNumber>,
    machine_blocks: machine_blocks::MachineBlocks,
    /// The store has turned down a value for its size: the next limits are in force.
    reduced_limits: bool,
    /// When the store refused changes for their number.
    rate_limit_refusals: VecDeque<Micros>,
    returned_machines: ReturnedMachines,
    placement_log: placement_log::PlacementLog,
    obsolete_keys: VecDeque<String>,
    transaction_in_flight: Option<transaction::TransactionContents>,
    outcome_unknown: bool,
    reload_in_flight: bool,
    next_transaction_at: Micros,
    write_budget: TokenBucket,
    // Things to do at the next poll.
    pending_dispatch: BTreeSet<Arc<str>>,
    /// Machines that are to be called again, and when.
    delayed_dispatch: BTreeSet<(Micros, Arc<str>)>,
    /// Direct calls under way.
    commands_in_flight: usize,
    probes_in_flight: usize,
    /// When a machine was last heard.
    last_heard: Micros,
    /// When a machine last sent a heartbeat.
    last_report: Micros,
    pass_requested: bool,
    /// Teams of which, in this pass, the rest of the limit is kept for a starved gang: of the
    /// accelerators alone, or of everything.
    reserved_quota: Vec<(usize, bool)>,
    /// When a job was last found waiting.
    last_waiting_at: Micros,
    /// Processors that production asked for lately, fading with time, and as of when.
    production_demand: (f64, Micros),
    /// Searches for room to be made that are left in this pass.
    preemption_searches_left: u32,
    next_pass: Micros,
    next_tick: Micros,
    next_plan: Micros,
    effects: Vec<Effect>,
    term_raise_in_flight: bool,
    // Renting.
    scale_out_requests: Vec<scale_out::ScaleOutRequest>,
    scale_out_budget: TokenBucket,
    /// How often each type, zone and kind was asked for in this rush, and when last.
    recent_scale_outs: HashMap<(String, String, bool), (u32, Micros)>,
    next_request: u64,
    provisioning_times: provisioning_times::ProvisioningTimes,
    unreachable: unreachable_machines::UnreachableMachines,
    refusals: HashMap<(String, String, bool), Refusal>,
    /// How soon batch work is to be under way, by the policy.
    batch_completion_target: Micros,
    /// What tasks with accelerators need.
    accelerator_demands: HashSet<Resources>,
    /// When such work was last submitted.
    accelerators_requested_at: Micros,
    /// Batch work that is placed, in processor-seconds of its estimates.
    batch_placed: f64,
    /// Machines and jobs looked at: what a pass costs, for tests.
    steps: u64,
    placement_log_alerts: alerts::PlacementLogAlerts,
    /// Where the time went of jobs that ended last.
    ended_jobs: VecDeque<(Arc<str>, JobTimeline)>,
    /// Zones in which a controller can be reached from here: a silent machine there is no sign of
    /// a cut.
    pub reachable_zones: BTreeSet<String>,
    /// Time of day less steady time, as of taking leadership: for ages in records.
    wall_offset: Micros,
    /// When leadership was taken, or this process went on after it had stood still: silence is counted
    /// from then, since what was said meanwhile has not been read yet.
    resumed_at: Micros,
    polled_at: Micros,
    elected_at: Micros,
}

impl Scheduler {
    pub fn term_rev(&self) -> u64 {
        self.term_rev
    }

    /// Prices or types changed.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = catalog;
        self.pass_requested = true;
    }

    /// The term was raised without a change of leader.
    pub fn term_raised(&mut self, term: u64, rev: u64) {
        self.term_raise_in_flight = false;
        if term <= self.term {
            return;
        }
        self.term = term;
        self.term_rev = rev;
        // The others hear of it by the answers to their heartbeats.
        let doubtful = self.awaiting_effect.iter().filter(|n| {
            let machine = self.machines.get(*n);
            machine.is_some_and(|machine| machine.unacknowledged_start.is_some())
        });
        let doubtful: Vec<Arc<str>> = doubtful.cloned().collect();
        self.pending_dispatch.extend(doubtful);
    }

    pub fn term_raise_failed(&mut self) {
        self.term_raise_in_flight = false;
    }

    /// The old leader is proven gone: none before us answers anybody from then on.
    pub fn previous_leader_gone(&mut self, fenced_at: Micros) {
        self.previous_leader_fenced_at = self.previous_leader_fenced_at.min(fenced_at);
    }

    fn add_machine(&mut self, mut machine: Machine) {
        let name = machine.name.clone();
        self.index.add(&mut machine);
        self.idle_machines.insert(name.clone());
        self.provisioning.insert(name.clone());
        self.health_checks
            .insert((machine.next_check_at, name.clone()));
        self.machines.insert(name, machine);
    }

    /// The machine is proven gone; nothing is on it any more.
    fn drop_machine(&mut self, name: &Arc<str>, now: Micros) {
        let Some(mut machine) = self.machines.remove(name) else {
            return;
        };
        self.index.remove(&mut machine);
        self.idle_machines.remove(name);
        self.provisioning.remove(name);
        self.health_checks
            .remove(&(machine.next_check_at, machine.name.clone()));
        self.awaiting_effect.remove(name);
        self.pending_dispatch.remove(name);
        self.update_reachability(name);
        self.returned_machines.insert(name);
        self.machine_blocks.leave(&machine, now);
    }

    /// Something about a machine changed that counts for placement.
    fn reindex(&mut self, name: &Arc<str>) {
        if let Some(machine) = self.machines.get_mut(name) {
            self.index.update(machine);
            if machine.fenced_at.is_some() && machine.recorded
                || matches!(machine.phase, MachinePhase::Returning(_))
            {
                self.provisioning.remove(name);
            }
        }
        self.update_reachability(name);
    }

    fn schedule_health_check(&mut self, name: &Arc<str>, at: Micros) {
        if let Some(machine) = self.machines.get_mut(name) {
            self.health_checks
                .remove(&(machine.next_check_at, name.clone()));
            machine.next_check_at = at;
            self.health_checks.insert((at, name.clone()));
        }
    }

    /// Commands are to reach this machine soon, and are repeated until they show an effect.
    fn dispatch_soon(&mut self, name: &Arc<str>) {
        self.pending_dispatch.insert(name.clone());
        self.awaiting_effect.insert(name.clone());
    }

    /// The estimate of a task's run time, corrected by what was seen of its class.
    fn estimate(&self, job: &Job) -> Micros {
        let ratio = self.classes.get(job.class).map_or(1.0, |c| c.ratio);
        job.spec.estimate.times(ratio).max(Micros::from_secs(1))
    }

    /// Runs whatever is due and hands out the effects.
    pub fn poll(&mut self, now: Micros) -> Vec<Effect> {
        if now.since(std::mem::replace(&mut self.polled_at, now)) > STOOD_STILL {
            self.resumed_at = now;
        }
        if now >= self.next_tick {
            self.next_tick = now.plus(Micros::from_millis(500));
            self.tick(now);
        }
        if self.pass_requested && now >= self.next_pass {
            self.pass_requested = false;
            self.next_pass = now.plus(SCHEDULE_INTERVAL);
            self.run_pass(now);
        }
        self.commit(now);
        self.send_commands(now);
        std::mem::take(&mut self.effects)
    }

    /// When `poll` has something to do at the latest.
    pub fn next_poll(&self) -> Micros {
        let mut at = self.next_tick;
        if self.pass_requested {
            at = at.min(self.next_pass);
        }
        if let Some(due) = self.writes_due() {
            at = at.min(due.max(self.next_transaction_at));
        }
        if let Some((due, _)) = self.delayed_dispatch.first() {
            at = at.min(*due);
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
            self.pass_requested = true;
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
        for machine in self.machines.values() {
            let up = machine.phase == MachinePhase::Up
                || (machine.phase == MachinePhase::Unregistered
                    && machine.recorded
                    && machine.up_since > Micros::ZERO);
            if up && machine.inbound_partition.since.is_some() {
                counts.inbound_partitioned += 1;
            } else if up {
                counts.reachable += 1;
                counts.heard +=
                    usize::from(now.since(machine.last_heard.max(self.resumed_at)) < quiet);
            }
        }
        counts
    }

    /// Room that `need` takes on a machine, for tests and rules.
    pub fn used_by(&self, team: &str) -> Resources {
        self.quota.used(self.quota.number(team))
    }
}

/// Processor-seconds of one task by its owner's estimate.
fn batch_seconds(spec: &JobSpec) -> f64 {
    spec.need.cpu as f64 / 1e3 * spec.estimate.as_secs_f64()
}
