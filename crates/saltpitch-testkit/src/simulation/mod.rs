//! The whole site in virtual time: nodes, store, cloud, agents, users, and a network that delays,
//! loses, holds and repeats.

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

mod agents;
mod cloud;
mod controllers;
mod effects;
mod fault_injection;
mod observe;
mod users;

/// The times that the protocol's settings give.
#[derive(Clone, Debug)]
pub struct Times {
    /// How often an agent sends a heartbeat.
    pub heartbeat_interval: Micros,
    /// How long an agent keeps its tasks without an answer.
    pub agent_lease: Micros,
    /// How long a gang's member waits for the others to be ready.
    pub gang_wait_timeout: Micros,
    /// How long a running member goes on without the others.
    pub gang_peer_timeout: Micros,
    /// How long after a cancellation a task may still run.
    pub cancel_timeout: Micros,
}

/// Which faults a history may have; each is drawn from the seed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    /// Controllers whose processes end, one or all of them.
    pub crashes: bool,
    /// Controllers that are cut from the store or from the agents.
    pub controller_partitions: bool,
    /// Zones that can't reach each other.
    pub zone_partitions: bool,
    /// A store that serves nobody.
    pub store_outages: bool,
    /// Machines that disappear, hang, come up late or never, are slow, or are taken back.
    pub machine_failures: bool,
    /// Messages whose answers are lost, and transactions that are refused.
    pub lost_answers: bool,
    /// Machines whose heartbeats arrive while answers and commands don't reach them.
    pub inbound_partitions: bool,
    /// Copies of heartbeats that come again, seconds to several leases later, at any node.
    pub delayed_duplicates: bool,
    /// Controllers that stand still, for longer than any lease at times, while their clocks run on.
    pub process_pauses: bool,
    /// Machines that reach no controller while direct commands reach them.
    pub outbound_partitions: bool,
    /// Transactions without an answer that are carried out 2 to 12 s later, after newer ones.
    pub delayed_writes: bool,
}

impl Faults {
    fn has_controller_faults(&self) -> bool {
        self.crashes
            || self.controller_partitions
            || self.zone_partitions
            || self.store_outages
            || self.process_pauses
    }

    /// Every kind of fault.
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
    /// What was submitted.
    pub spec: JobSpec,
    /// The store has confirmed the submission.
    pub is_accepted: bool,
    /// When its cancellation was confirmed.
    pub cancelled_at: Option<Micros>,
    /// When it was first submitted.
    pub submitted_at: Micros,
    /// When all of its tasks first ran at the same time (of an array: any task).
    pub started_at: Option<Micros>,
    /// When each node last could answer a question about it.
    pub last_answered_at: Vec<Micros>,
    /// When a job that it depends on, directly or through others, was cancelled.
    pub dependency_cancelled_at: Option<Micros>,
    /// Submitted with a mistake: it fails on every machine until its user cancels it.
    pub always_fails: bool,
    /// Another cell may own it.
    pub is_delegated: bool,
    /// Since when, in calm, nothing of it runs although a machine that fits has room and its team
    /// is under its limit.
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
    /// Reversed: the heap gives the greatest first, and the earliest event is due first.
    fn cmp(&self, other: &Event) -> Ordering {
        (other.at, other.number).cmp(&(self.at, self.number))
    }
}

/// A site in virtual time: controllers, store, cloud, agents, users, and the network between them.
pub struct Simulation {
    /// The present time. Histories begin at 60 s.
    pub now: Micros,
    /// The times that the settings give.
    pub times: Times,
    /// The teams and their limits.
    pub teams: Vec<TeamLimits>,
    /// The state service.
    pub store: Store,
    /// The controllers.
    pub nodes: Vec<Node>,
    /// The machines by name, those that are gone included.
    pub agents: BTreeMap<String, Agent>,
    /// The jobs by id, as their users know them.
    pub jobs: BTreeMap<String, UserJob>,
    /// Tasks whose result is kept.
    pub completed_tasks: BTreeMap<String, BTreeSet<u32>>,
    /// The faults that occur until the history's quiet part.
    pub faults: Faults,
    /// The two zones can't reach each other until then.
    pub zone_partition_until: Micros,
    /// Until then no transaction of a leader is answered, and each is carried out later.
    pub delayed_writes_until: Micros,
    /// The store's next limits, as the settings give them.
    pub next_store_limits: Option<(usize, usize, u32)>,
    /// Until then every message takes a fifth of a second to more than a second.
    pub slow_links_until: Micros,
    /// A task that started before all jobs that its job depends on were done.
    pub early_start: Option<InvariantViolation>,
    /// A command that started a task after the time that a cancellation may take.
    pub late_start: Option<InvariantViolation>,
    /// Since when nothing has been wrong with nodes, store and network.
    pub controllers_healthy_since: Micros,
    /// The same, machines included.
    pub site_healthy_since: Micros,
    /// How often the leadership was given up for want of heartbeats.
    pub resignations: u64,
    /// Jobs that another cell has completed.
    pub completed_in_other_cell: BTreeSet<String>,
    /// The most machines that the cloud has of one type, zone and kind.
    pub machine_limit: u32,
    /// Machines that were up and reachable from somewhere when the service returned them.
    pub busy_machines_returned: u64,
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
}

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

fn settings(times: &Times, teams: &[TeamLimits]) -> SchedulerConfig {
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
    /// A site with three nodes and no machines. From `quiet_from` on no new fault begins.
    pub fn new(seed: u64, faults: Faults, quiet_from: Micros) -> Simulation {
        let times = site_times();
        let teams = vec![team_limits("red"), team_limits("blue")];
        let config = settings(&times, &teams);
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
            trace: Trace::default(),
            delayed_writes_until: Micros::ZERO,
            slow_links_until: Micros::ZERO,
            next_store_limits: None,
            late_start: None,
            early_start: None,
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
            faults_end_at: quiet_from.plus(Micros::from_secs(60)),
        }
    }

    /// The machine types that the cloud offers.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// A number below `n`, drawn from the seed.
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

    /// Plays on until `until` and checks the invariants after each step.
    pub fn run(&mut self, until: Micros) -> Result<(), InvariantViolation> {
        let until = until.plus(Micros::from_secs(60));
        while self.now < until {
            self.step()
                .map_err(|violation| violation.found_at(self.now))?;
        }
        Ok(())
    }

    /// Adds a team; before the first step only.
    pub fn add_team(&mut self, team: TeamLimits) {
        self.config.teams.push(team.clone());
        self.teams.push(team);
    }

    /// When the next step happens.
    pub fn next_step_at(&self) -> Micros {
        let event = self.queue.peek().map(|event| event.at);
        let next = event.map_or(self.next_tick, |at| at.min(self.next_tick));
        next.max(self.now)
    }

    /// The next event, or the next tick of the site's clocks; then the invariants.
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
        for node_index in 0..self.nodes.len() {
            self.node_tick(node_index);
        }
        let names: Vec<String> = self.agents.keys().cloned().collect();
        for name in names {
            self.agent_tick(&name);
        }
        self.advance_gangs();
        if self.now.0 % 1_000_000 < TICK.0 {
            self.query_jobs();
            self.note_waiting();
        }
    }

    /// The node that may answer agents, if there is one.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|node| node.may_answer(self.now))
    }

    /// The fingerprint of the history so far, see [`crate::trace`].
    pub fn fingerprint(&self) -> u64 {
        let mut trace = self.trace;
        trace.number(self.store.trace.hash());
        trace.hash()
    }

    /// Ends all faults that are drawn, and a store's outage.
    pub fn heal(&mut self) {
        self.faults = Faults::default();
        self.store.is_down = false;
    }
}
