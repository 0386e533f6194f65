//! The whole site in virtual time: controllers, store, cloud, agents, users, and a network that delays,
//! drops, holds back and duplicates messages.

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use saltpitch_core::catalog::{Catalog, MachineType, Resources};
use saltpitch_core::job::JobSpec;
use saltpitch_core::policy::Policy;
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::scheduler::{Objective, ObjectiveTarget, SchedulerConfig};
use saltpitch_core::Micros;

use crate::agents::Agent;
use crate::invariants::{self, InvariantViolation};
use crate::nodes::{Node, CONTROLLERS};
use crate::store::Store;
use crate::trace::Trace;

pub use late_copies::CopyCounts;
use late_copies::LateCopies;
use questions::Questions;
pub use record_reads::ProcessReads;
pub use store_access::ReadCounts;
use store_access::StoreAccess;

mod agents;
mod cloud;
mod controllers;
mod effects;
mod fault_injection;
mod late_copies;
mod observe;
mod questions;
mod record_reads;
mod store_access;
mod users;

/// The intervals and timeouts that the settings give.
#[derive(Clone, Debug)]
pub struct Times {
    /// How often an agent sends a heartbeat.
    pub heartbeat_interval: Micros,
    /// How long an agent keeps its tasks without an answer to a heartbeat.
    pub agent_lease: Micros,
    /// How long a gang member waits for the others to be ready.
    pub gang_wait_timeout: Micros,
    /// How long a running gang member continues while other members are missing.
    pub gang_peer_timeout: Micros,
    /// How long after a cancellation a task may still run.
    pub cancel_timeout: Micros,
}

/// The kinds of faults that a history may have. When and where they occur is drawn from the seed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Controller processes crash and restart, one of them or all at once.
    pub crashes: bool,
    /// Controllers are partitioned from the store, from the agents, or from both.
    pub controller_partitions: bool,
    /// The two zones are partitioned from each other.
    pub zone_partitions: bool,
    /// The store is unavailable to everybody.
    pub store_outages: bool,
    /// Machines disappear, hang, boot late or never, run tasks slowly, or are taken back by the cloud.
    pub machine_failures: bool,
    /// Answers to messages are lost, and the store refuses transactions.
    pub lost_answers: bool,
    /// Machines have an asymmetric partition: their heartbeats arrive, while answers and commands do not
    /// reach them.
    pub inbound_partitions: bool,
    /// Duplicates of heartbeats arrive at any controller, seconds to several agent leases later.
    pub delayed_duplicates: bool,
    /// Controller processes pause, at times for longer than any lease, while their clocks go on.
    pub process_pauses: bool,
    /// Machines have an asymmetric partition: they reach no controller, while direct commands reach them.
    pub outbound_partitions: bool,
    /// Transactions get no answer and are applied 2 to 12 s later, after newer ones.
    pub delayed_writes: bool,
}

impl Faults {
    /// Returns whether any kind of fault concerns controllers, store or the link between the zones.
    fn has_controller_faults(&self) -> bool {
        self.crashes
            || self.controller_partitions
            || self.zone_partitions
            || self.store_outages
            || self.process_pauses
    }

    /// Returns all kinds of faults.
    pub fn all() -> Faults {
        Faults {
            crashes: true,
            controller_partitions: true,
            zone_partitions: true,
            store_outages: true,
            machine_failures: true,
            lost_answers: true,
            inbound_partitions: true,
            delayed_duplicates: true,
            process_pauses: true,
            outbound_partitions: true,
            delayed_writes: true,
        }
    }
}

/// A job as its user knows it.
pub struct UserJob {
    /// The job as submitted.
    pub spec: JobSpec,
    /// Whether the store has confirmed the submission.
    pub is_accepted: bool,
    /// When its cancellation was confirmed.
    pub cancelled_at: Option<Micros>,
    /// When it was first submitted.
    pub submitted_at: Micros,
    /// When all of its tasks first ran at the same time (of an array: any task).
    pub started_at: Option<Micros>,
    /// For each node, when it could last answer a status query about this job.
    pub last_answered_at: Vec<Micros>,
    /// When a job that it depends on, directly or through others, was cancelled.
    pub dependency_cancelled_at: Option<Micros>,
    /// Whether the job itself is faulty: its tasks fail on every machine until its user cancels it.
    pub always_fails: bool,
    /// Whether it is delegated to the other cell.
    pub is_delegated: bool,
    /// Since when, without any fault, no task of it has run although suitable machines have room and its
    /// team is under its limit.
    pub waiting_since: Option<Micros>,
}

type Action = Box<dyn FnOnce(&mut Simulation)>;

struct Event {
    at: Micros,
    number: u64,
    action: Action,
}

impl PartialEq for Event {
    fn eq(&self, other: &Event) -> bool {
        self.number == other.number
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Event) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Event {
    /// Reverses the order: the heap pops the greatest element first, and the earliest event is due first.
    fn cmp(&self, other: &Event) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A site in virtual time: controllers, store, cloud, agents, users, and the network between them.
pub struct Simulation {
    /// The current time. Histories begin at 60 s.
    pub now: Micros,
    /// The intervals and timeouts that the settings give.
    pub times: Times,
    /// The teams and their limits.
    pub teams: Vec<TeamLimits>,
    /// The state service.
    pub store: Store,
    /// The controllers.
    pub nodes: Vec<Node>,
    /// The machines by name, including those that are gone.
    pub agents: BTreeMap<String, Agent>,
    /// The jobs by id, as their users know them.
    pub jobs: BTreeMap<String, UserJob>,
    /// The tasks of each job that have completed.
    pub completed_tasks: BTreeMap<String, BTreeSet<u32>>,
    /// The kinds of faults that are drawn until `faults_end_at`.
    pub faults: Faults,
    /// The two zones are partitioned from each other until then.
    pub zone_partition_until: Micros,
    /// Until then no transaction of a leader is answered, and each one is applied late.
    pub delayed_writes_until: Micros,
    /// The store's next limits, as the settings announce them: bytes of a value, writes of a transaction, and
    /// writes per second.
    pub next_store_limits: Option<(usize, usize, u32)>,
    /// Until then every message takes 0.2 to 1.4 s.
    pub slow_links_until: Micros,
    /// The last start of a task before all jobs that its job depends on were done.
    pub early_start: Option<InvariantViolation>,
    /// The last start of a task later after its job's cancellation than the cancellation timeout allows.
    pub late_start: Option<InvariantViolation>,
    /// The last start of an attempt that the agent had been told to forget.
    pub repeated_start: Option<InvariantViolation>,
    /// Since when controllers, store and network have had no fault.
    pub controllers_healthy_since: Micros,
    /// Since when controllers, store, network and machines have had no fault.
    pub site_healthy_since: Micros,
    /// How often a leader has resigned because agents' heartbeats did not reach it.
    pub resignations: u64,
    /// Jobs that the other cell has completed.
    pub completed_in_other_cell: BTreeSet<String>,
    /// The most machines that the cloud provides of one type in one zone, counted separately for spot and
    /// on-demand machines.
    pub machine_limit: u32,
    /// How many machines were up and running tasks when the service returned them.
    pub busy_machines_returned: u64,
    /// How often the agents receive all direct commands that they have executed so far once more, if at all.
    pub all_calls_repeated_every: Option<Micros>,
    /// The fingerprint of what the controllers did and answered.
    pub trace: Trace,
    config: SchedulerConfig,
    catalog: Arc<Catalog>,
    machines_by_request: BTreeMap<String, Vec<String>>,
    next_machine: u32,
    rng: SmallRng,
    queue: BinaryHeap<Event>,
    next_event: u64,
    next_tick: Micros,
    faults_end_at: Micros,
    late_copies: LateCopies,
    store_access: StoreAccess,
    questions: Questions,
}

/// The time between two ticks of controllers, agents and store.
const TICK: Micros = Micros::from_millis(100);

fn site_times() -> Times {
    Times {
        heartbeat_interval: Micros::from_secs(2),
        agent_lease: Micros::from_secs(14),
        gang_wait_timeout: Micros::from_secs(30),
        gang_peer_timeout: Micros::from_secs(5),
        cancel_timeout: Micros::from_secs(44),
    }
}

fn team_limits(name: &str) -> TeamLimits {
    TeamLimits {
        name: name.to_owned(),
        cpu: 12_000,
        gpu: 2_000,
        cpu_max: 40_000,
        gpu_max: 6_000,
    }
}

fn scheduler_config(times: &Times, teams: &[TeamLimits]) -> SchedulerConfig {
    SchedulerConfig {
        heartbeat_interval: times.heartbeat_interval,
        agent_lease: times.agent_lease,
        gang_peer_timeout: times.gang_peer_timeout,
        cancel_timeout: times.cancel_timeout,
        max_transaction_writes: 8,
        controller_count: 3,
        max_concurrent_calls: 24,
        max_transaction_bytes: 50_000,
        write_rate: 60.0,
        next_write_rate: 60.0,
        max_value_bytes: 8 * 1024,
        scale_out_rate: 5.0,
        log_segments: 16,
        teams: teams.to_vec(),
        objectives: vec![Objective {
            class: "web".to_owned(),
            target: ObjectiveTarget::Started(Micros::from_secs(5)),
        }],
        guarantee_start_target: Micros::from_secs(15),
        policy: Policy::default(),
    }
}

fn machine_types() -> Catalog {
    let kind = |name: &str, cpu: u64, gpu: u64, price: u64| MachineType {
        name: name.to_owned(),
        size: Resources {
            cpu: cpu * 1_000,
            gpu: gpu * 1_000,
            mem: cpu * 4_000,
        },
        cache_mb: 50_000,
        fetch_mb_per_s: 500,
        price,
        spot_price: price / 3,
        boot: Micros::from_secs(10),
        zones: vec!["east".to_owned(), "west".to_owned()],
    };
    Catalog {
        types: vec![kind("plain", 8, 0, 1_000), kind("accel", 8, 2, 6_000)],
    }
}

impl Simulation {
    /// Returns a site with three controllers and no machines. No new fault begins after `faults_end_at`,
    /// which counts from the start of the history.
    pub fn new(seed: u64, faults: Faults, faults_end_at: Micros) -> Simulation {
        let times = site_times();
        let teams = vec![team_limits("red"), team_limits("blue")];
        let config = scheduler_config(&times, &teams);
        let node = |(name, zone): &(&str, &str)| Node::new(name, zone, config.clone());
        let nodes = CONTROLLERS.iter().map(node).collect();
        Simulation {
            now: Micros::from_secs(60),
            config,
            times,
            teams,
            store: Store::default(),
            nodes,
            agents: BTreeMap::new(),
            jobs: BTreeMap::new(),
            completed_tasks: BTreeMap::new(),
            faults,
            zone_partition_until: Micros::ZERO,
            completed_in_other_cell: BTreeSet::new(),
            machine_limit: 3,
            busy_machines_returned: 0,
            all_calls_repeated_every: None,
            trace: Trace::default(),
            delayed_writes_until: Micros::ZERO,
            slow_links_until: Micros::ZERO,
            next_store_limits: None,
            late_start: None,
            early_start: None,
            repeated_start: None,
            controllers_healthy_since: Micros::ZERO,
            site_healthy_since: Micros::ZERO,
            resignations: 0,
            catalog: Arc::new(machine_types()),
            machines_by_request: BTreeMap::new(),
            next_machine: 0,
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            next_event: 0,
            next_tick: Micros::ZERO,
            faults_end_at: faults_end_at.plus(Micros::from_secs(60)),
            late_copies: LateCopies::new(seed),
            store_access: StoreAccess::new(seed, CONTROLLERS.len()),
            questions: Questions::default(),
        }
    }

    /// Returns the machine types that the cloud offers.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Draws a number below `n` from the seeded generator.
    pub fn random_below(&mut self, n: u64) -> u64 {
        self.rng.random_range(0..n.max(1))
    }

    fn schedule_after(&mut self, wait: Micros, action: impl FnOnce(&mut Simulation) + 'static) {
        self.next_event += 1;
        self.queue.push(Event {
            at: self.now.plus(wait),
            number: self.next_event,
            action: Box::new(action),
        });
    }

    fn draw_delay(&mut self) -> Micros {
        if self.now < self.slow_links_until {
            return Micros::from_millis(200 + self.random_below(1_200));
        }
        Micros::from_millis(1 + self.random_below(20))
    }

    /// Plays the history until `until`, counted from its start, and checks the invariants after each step.
    pub fn run(&mut self, until: Micros) -> Result<(), InvariantViolation> {
        let until = until.plus(Micros::from_secs(60));
        while self.now < until {
            self.step()
                .map_err(|violation| violation.found_at(self.now))?;
        }
        Ok(())
    }

    /// Adds a team. Only allowed before the first step.
    pub fn add_team(&mut self, team: TeamLimits) {
        self.config.teams.push(team.clone());
        self.teams.push(team);
    }

    /// Returns the time of the next step.
    pub fn next_step_at(&self) -> Micros {
        let event = self.queue.peek().map(|event| event.at);
        let next = event.map_or(self.next_tick, |at| at.min(self.next_tick));
        next.max(self.now)
    }

    /// Plays the next event or the next tick, whichever is due first, and then checks the invariants.
    pub fn step(&mut self) -> Result<(), InvariantViolation> {
        let event = self.queue.peek().map(|event| event.at);
        match event {
            Some(at) if at <= self.next_tick => {
                self.now = self.now.max(at);
                if let Some(event) = self.queue.pop() {
                    (event.action)(self);
                }
            }
            _ => {
                self.now = self.now.max(self.next_tick);
                self.next_tick = self.now.plus(TICK);
                self.tick();
            }
        }
        invariants::check(self)
    }

    fn tick(&mut self) {
        self.store.tick(self.now);
        self.inject_faults();
        self.inject_refusals();
        for node_index in 0..self.nodes.len() {
            self.node_tick(node_index);
        }
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            self.agent_tick(&name);
        }
        self.advance_gangs();
        if let Some(interval) = self.all_calls_repeated_every {
            if self.now.0 % interval.0 < TICK.0 {
                let newest_first = (self.now.0 / interval.0).is_multiple_of(2);
                self.repeat_executed_calls(newest_first);
            }
        }
        if self.now.0 % 1_000_000 < TICK.0 {
            self.query_jobs();
            self.note_waiting();
        }
    }

    /// Returns the controller that may answer agents, if there is one.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.may_answer(self.now))
    }

    /// Returns the fingerprint of the history so far, see [`crate::trace`].
    pub fn fingerprint(&self) -> u64 {
        let mut trace = self.trace;
        trace.number(self.store.trace.hash());
        trace.hash()
    }

    /// Stops drawing faults and ends an outage of the store.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        self.store.is_down = false;
    }
}
