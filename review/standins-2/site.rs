//! A small deployment: the controllers as processes of their own, the cloud, the workers and the users, after
//! PROTOCOL-saltpitch.md, and a check of the rules by what users, workers and the cloud can see.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Answer, Request};
use crate::json::{quote, Json};
use crate::log;
use crate::state::State;

/// The settings of the deployment.
#[derive(Clone)]
pub struct Plan {
    pub nodes: usize,
    pub zones: Vec<String>,
    /// Name, cpus, cpus_max, gpus, gpus_max.
    pub teams: Vec<(String, f64, f64, f64, f64)>,
    /// Name, cpus, accelerators, mem_gb, ready_s, rate, low_price.
    pub types: Vec<(String, f64, f64, f64, f64, f64, f64)>,
    pub cache_gb: f64,
    pub fetch_gb_per_s: f64,
    pub report_s: f64,
    pub lease_s: f64,
    pub gang_wait_s: f64,
    pub gang_peer_s: f64,
    pub cancel_s: f64,
    pub rps: f64,
    pub write_rps: f64,
    pub value_kb: f64,
    pub txn_ops: usize,
    pub cloud_rps: f64,
    pub list_lag_s: f64,
    pub sockets: usize,
    pub max_machines: usize,
    /// How long a machine takes to be up, if not 0.6 to 1 times `ready_s`.
    pub boot_s: Option<f64>,
    /// Machines that are up at the start: type, zone, count.
    pub initial: Vec<(String, String, usize)>,
}

impl Plan {
    /// The deployment of the brief's second operator, "shared parking platform", with faster machines.
    pub fn parking() -> Plan {
        Plan {
            nodes: 3,
            zones: vec!["eagle-farm".into(), "coolangatta".into()],
            teams: vec![
                ("longstay-ops".into(), 152.0, 504.0, 8.0, 40.0),
                ("valet-ops".into(), 72.0, 256.0, 8.0, 16.0),
                ("shortstay-ops".into(), 112.0, 376.0, 8.0, 40.0),
                ("shuttle-ops".into(), 152.0, 256.0, 8.0, 32.0),
            ],
            types: vec![
                ("kerbside".into(), 16.0, 0.0, 32.0, 20.0, 1.1, 0.3),
                ("floodlight".into(), 12.0, 2.0, 48.0, 45.0, 6.06, 1.58),
            ],
            cache_gb: 120.0,
            fetch_gb_per_s: 0.4,
            report_s: 2.0,
            lease_s: 14.0,
            gang_wait_s: 50.0,
            gang_peer_s: 5.0,
            cancel_s: 44.0,
            rps: 250.0,
            write_rps: 100.0,
            value_kb: 32.0,
            txn_ops: 48,
            cloud_rps: 5.0,
            list_lag_s: 10.0,
            sockets: 1200,
            max_machines: 20,
            boot_s: None,
            initial: vec![
                ("kerbside".into(), "eagle-farm".into(), 1),
                ("kerbside".into(), "coolangatta".into(), 2),
            ],
        }
    }

    /// The deployment of the brief's first operator, "hire hosting".
    pub fn canal() -> Plan {
        let team = |n: usize| (format!("quay-ops-{n:02}"), 0.0, 0.0, 8.0, 24.0);
        Plan {
            nodes: 3,
            zones: vec!["incheon-west".into(), "busan-south".into()],
            teams: (0..8).map(team).collect(),
            types: vec![
                ("dinghy".into(), 4.0, 0.0, 32.0, 50.0, 0.27, 0.09),
                ("narrowboat".into(), 32.0, 0.0, 256.0, 50.0, 2.38, 0.9),
                ("barge-lamp".into(), 24.0, 2.0, 144.0, 40.0, 5.27, 1.75),
                ("dredger".into(), 96.0, 8.0, 384.0, 35.0, 28.81, 10.18),
            ],
            cache_gb: 200.0,
            fetch_gb_per_s: 1.0,
            report_s: 3.0,
            lease_s: 36.0,
            gang_wait_s: 45.0,
            gang_peer_s: 8.0,
            cancel_s: 66.0,
            rps: 90.0,
            write_rps: 35.0,
            value_kb: 8.0,
            txn_ops: 12,
            cloud_rps: 5.0,
            list_lag_s: 6.0,
            sockets: 2500,
            max_machines: 40,
            boot_s: None,
            initial: Vec::new(),
        }
    }
}

#[derive(Clone, Debug, PartialEq)]
pub enum TaskState {
    Fetching(f64),
    Waiting(f64),
    Running(f64),
    Saving(f64),
    Exited(&'static str, bool),
}

#[derive(Clone, Debug)]
pub struct Task {
    pub state: TaskState,
    /// When a task of a running gang found that another one is gone.
    peers_gone_at: Option<f64>,
}

impl Task {
    pub fn is_on(&self) -> bool {
        matches!(
            self.state,
            TaskState::Waiting(_) | TaskState::Running(_) | TaskState::Saving(_)
        )
    }

    fn has_exited(&self) -> bool {
        matches!(self.state, TaskState::Exited(..))
    }
}

/// The key of a task on a machine: the job, the task's index and the attempt.
pub type TaskKey = (String, u32, u64);

pub struct Worker {
    pub name: String,
    pub addr: SocketAddr,
    pub kind: String,
    pub zone: String,
    pub spot: bool,
    pub ordered_at: f64,
    pub up_at: f64,
    pub is_up: bool,
    /// Deleted, taken or failed.
    pub is_gone: bool,
    /// When the machine stopped by itself, until it is returned.
    pub failed_at: Option<f64>,
    pub session: u64,
    pub sequence: u64,
    pub token: u64,
    pub lease_from: f64,
    pub tasks: BTreeMap<TaskKey, Task>,
    images: HashMap<String, f64>,
    pub target: usize,
    next_report: f64,
    is_reporting: bool,
    has_change: bool,
    last_report_at: f64,
    /// The machine does not execute anything and answers nothing.
    pub is_hung: bool,
    /// The controllers that the worker cannot exchange messages with.
    pub cut_from: BTreeSet<usize>,
}

/// What users have been told about a job.
#[derive(Default, Clone)]
pub struct JobView {
    pub body: String,
    pub spec: Option<Json>,
    pub submitted: bool,
    pub accepted_at: Option<f64>,
    pub told_done_at: Option<f64>,
    pub told_withdrawn_at: Option<f64>,
    pub abort_asked: bool,
    pub finished_at: Option<f64>,
}

pub struct World {
    pub plan: Plan,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, JobView>,
    pub done: HashSet<(String, u32)>,
    pub violations: Vec<(String, String)>,
    charters: HashMap<String, Vec<String>>,
    next_machine: u64,
    pub api: Vec<SocketAddr>,
    pub names: Vec<String>,
    pub starts: u64,
    pub service_starts: u64,
    /// The machines that were returned to the cloud.
    pub returned: BTreeSet<String>,
    pub no_capacity: bool,
    pub reports_refused: u64,
    pub largest_report: usize,
    pub expired_leases: u64,
    cloud_calls: (f64, f64),
    /// The lists of machines as they were: time and rows.
    list_history: Vec<(f64, Vec<(String, String)>)>,
}

pub type Shared = Arc<Mutex<World>>;

pub fn lock(world: &Shared) -> MutexGuard<'_, World> {
    world
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

impl World {
    pub fn violation(&mut self, rule: &str, text: String) {
        log::line(format!("RULE BROKEN {rule}: {text}"));
        self.violations.push((rule.to_owned(), text));
    }

    fn spec(&self, job: &str) -> Option<&Json> {
        self.jobs.get(job)?.spec.as_ref()
    }

    /// Whether a task of the job is on a machine, apart from this one.
    fn machines_of(&self, job: &str, task: u32) -> Vec<(String, u64)> {
        let mut found = Vec::new();
        for worker in self.workers.values().filter(|w| w.is_up && !w.is_gone) {
            for ((j, t, attempt), state) in &worker.tasks {
                if j == job && *t == task && state.is_on() {
                    found.push((worker.name.clone(), *attempt));
                }
            }
        }
        found
    }

    /// Checks the rules when a task has got its image on a machine, just before it is counted there.
    fn check_start(&mut self, machine: &str, key: &TaskKey, now: f64) {
        self.starts += 1;
        let (job, task, attempt) = key.clone();
        log::line(format!("start {job}/{task} attempt {attempt} on {machine}"));
        let others = self.machines_of(&job, task);
        if let Some((other, other_attempt)) = others.first() {
            let text = format!("{job}/{task} attempt {attempt} starts on {machine} while attempt {other_attempt} is on {other}");
            self.violation("ran_twice", text);
        }
        let Some(spec) = self.spec(&job).cloned() else {
            return;
        };
        self.service_starts += u64::from(spec.text("rig") == "service");
        let Some(worker) = self.workers.get(machine) else {
            return;
        };
        let (kind, zone, spot) = (worker.kind.clone(), worker.zone.clone(), worker.spot);
        let types = spec.list("hulls_list");
        let mut wrong = !types.is_empty() && !types.iter().any(|t| t.as_text() == kind);
        wrong |= !spec.text("basin").is_empty() && spec.text("basin") != zone;
        wrong |= spot && !spec.flag("lay_by");
        let mut zones: HashMap<String, u64> = HashMap::new();
        for worker in self.workers.values().filter(|w| w.is_up && !w.is_gone) {
            for ((j, t, _), state) in &worker.tasks {
                if *j == job && *t != task && state.is_on() {
                    *zones.entry(worker.zone.clone()).or_default() += 1;
                }
            }
        }
        if spec.flag("together") {
            wrong |= zones.keys().any(|other| *other != zone);
        }
        if spec.flag("spread") {
            let legs = spec.integer("legs").unwrap_or(1);
            wrong |= zones.get(&zone).copied().unwrap_or(0) + 1 > legs.div_ceil(2);
        }
        if wrong {
            let text = format!("{job}/{task} starts on {machine} ({kind} in {zone}, spot {spot}); others by zone {zones:?}");
            self.violation("wrong_place", text);
        }
        let told = self.jobs.get(&job).and_then(|view| view.told_withdrawn_at);
        if told.is_some_and(|at| now > at + self.plan.cancel_s) {
            let text = format!("{job}/{task} starts on {machine} {:.1} s after its user was told that it is cancelled", now - told.unwrap_or(0.0));
            self.violation("ran_cancelled", text);
        }
        // The new task counts as well.
        let team = spec.text("crew").to_owned();
        let (mut cpus, mut gpus) = (
            spec.number("cpus").unwrap_or(0.0),
            spec.number("accelerators").unwrap_or(0.0),
        );
        for worker in self.workers.values().filter(|w| w.is_up && !w.is_gone) {
            for ((j, _, _), state) in &worker.tasks {
                if !state.is_on() {
                    continue;
                }
                let Some(other) = self.spec(j).filter(|s| s.text("crew") == team) else {
                    continue;
                };
                cpus += other.number("cpus").unwrap_or(0.0);
                gpus += other.number("accelerators").unwrap_or(0.0);
            }
        }
        let limits = self.plan.teams.iter().find(|t| t.0 == team).cloned();
        if let Some((_, _, cpus_max, _, gpus_max)) = limits {
            if (cpus_max > 0.0 && cpus > cpus_max + 1e-6)
                || (gpus_max > 0.0 && gpus > gpus_max + 1e-6)
            {
                let text = format!("team {team} uses {cpus} cpus of {cpus_max} and {gpus} accelerators of {gpus_max} as {job}/{task} starts on {machine}");
                self.violation("quota", text);
            }
        }
    }

    /// Executes commands; the caller has checked token and session.
    fn execute(&mut self, machine: &str, orders: &[Json], now: f64) {
        for order in orders {
            let leg = order.text("leg");
            let Some((job, task)) = leg.rsplit_once('/') else {
                continue;
            };
            let key = (
                job.to_owned(),
                task.parse().unwrap_or(0),
                order.integer("launch_no").unwrap_or(0),
            );
            match order.text("order_kind") {
                "launch" => self.launch(machine, key, now),
                "kill" => self.kill(machine, &key, order.number("slack_s").unwrap_or(0.0), now),
                "reap" => {
                    if let Some(worker) = self.workers.get_mut(machine) {
                        if worker.tasks.get(&key).is_some_and(Task::has_exited) {
                            worker.tasks.remove(&key);
                            worker.has_change = true;
                        }
                    }
                }
                _ => {}
            }
        }
    }

    fn launch(&mut self, machine: &str, key: TaskKey, now: f64) {
        let spec = self.spec(&key.0).cloned();
        let plan = self.plan.clone();
        let specs: HashMap<String, Json> = self.workers[machine]
            .tasks
            .keys()
            .filter_map(|(job, _, _)| Some((job.clone(), self.spec(job)?.clone())))
            .collect();
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        if worker.tasks.contains_key(&key) {
            return;
        }
        let mut refuse = None;
        if worker
            .tasks
            .iter()
            .any(|((j, t, a), s)| *j == key.0 && *t == key.1 && *a != key.2 && !s.has_exited())
        {
            refuse = Some("busy");
        }
        let size = plan
            .types
            .iter()
            .find(|t| t.0 == worker.kind)
            .expect("a known type");
        let (mut cpus, mut gpus, mut mem) = (0.0, 0.0, 0.0);
        for ((job, _, _), _) in worker.tasks.iter().filter(|(_, s)| !s.has_exited()) {
            if let Some(spec) = specs.get(job) {
                cpus += spec.number("cpus").unwrap_or(0.0);
                gpus += spec.number("accelerators").unwrap_or(0.0);
                mem += spec.number("mem_gb").unwrap_or(0.0);
            }
        }
        match &spec {
            None => refuse = Some("no_such"),
            Some(spec) => {
                cpus += spec.number("cpus").unwrap_or(0.0);
                gpus += spec.number("accelerators").unwrap_or(0.0);
                mem += spec.number("mem_gb").unwrap_or(0.0);
                let legs = spec.integer("legs").unwrap_or(0);
                if u64::from(key.1) >= legs {
                    refuse = Some("no_such");
                }
                if cpus > size.1 + 1e-6 || gpus > size.2 + 1e-6 || mem > size.3 + 1e-6 {
                    refuse = refuse.or(Some("no_room"));
                }
            }
        }
        let state = match (refuse, spec) {
            (Some(cause), _) => TaskState::Exited(cause, false),
            (None, Some(spec)) => {
                let image = spec.text("hull").to_owned();
                let gb = spec.number("image_gb").unwrap_or(0.0);
                let ready = *worker
                    .images
                    .entry(image)
                    .or_insert(now + gb / plan.fetch_gb_per_s);
                TaskState::Fetching(ready.max(now))
            }
            (None, None) => return,
        };
        worker.tasks.insert(
            key,
            Task {
                state,
                peers_gone_at: None,
            },
        );
        worker.has_change = true;
    }

    fn kill(&mut self, machine: &str, key: &TaskKey, slack: f64, now: f64) {
        let (save, every) = match self.spec(&key.0) {
            Some(spec) => (
                spec.number("tie_up_s").unwrap_or(0.0),
                spec.number("moor_every_s").unwrap_or(0.0),
            ),
            None => (0.0, 0.0),
        };
        let Some(worker) = self.workers.get_mut(machine) else {
            return;
        };
        let Some(task) = worker.tasks.get_mut(key) else {
            return;
        };
        match task.state {
            TaskState::Exited(..) => return,
            TaskState::Running(_) if every > 0.0 && slack >= save => {
                task.state = TaskState::Saving(now + save);
            }
            TaskState::Saving(_) if slack > 0.0 => return,
            _ => {
                task.state = TaskState::Exited("halted", false);
                log::line(format!(
                    "stop {}/{} attempt {} on {machine}",
                    key.0, key.1, key.2
                ));
            }
        }
        worker.has_change = true;
    }

    /// Lets time pass on all machines.
    fn advance(&mut self, now: f64) {
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in &names {
            let lease = self.plan.lease_s;
            let Some(worker) = self.workers.get_mut(name) else {
                continue;
            };
            if !worker.is_up || worker.is_gone || worker.is_hung {
                continue;
            }
            if now > worker.lease_from + lease {
                let count = worker.tasks.len();
                worker.tasks.clear();
                worker.session += 1;
                worker.lease_from = now;
                worker.has_change = true;
                let session = worker.session;
                self.expired_leases += 1;
                log::line(format!(
                    "lease of {name} ended with {count} tasks, session {session} begins"
                ));
            }
            let due: Vec<TaskKey> = self.workers[name]
                .tasks
                .iter()
                .filter(|(_, t)| !t.has_exited())
                .map(|(key, _)| key.clone())
                .collect();
            for key in due {
                self.advance_task(name, &key, now);
            }
        }
        for (job, view) in self.jobs.clone() {
            let Some(told) = view
                .told_withdrawn_at
                .filter(|at| now > at + self.plan.cancel_s)
            else {
                continue;
            };
            let on: Vec<String> = self
                .workers
                .values()
                .filter(|w| w.is_up && !w.is_gone)
                .flat_map(|w| {
                    w.tasks
                        .iter()
                        .filter(|((j, _, _), t)| *j == job && t.is_on())
                        .map(|((j, t, a), _)| format!("{j}/{t} attempt {a} on {}", w.name))
                })
                .collect();
            if !on.is_empty()
                && !self
                    .violations
                    .iter()
                    .any(|(rule, text)| rule == "ran_cancelled" && text.starts_with(&job))
            {
                self.violation("ran_cancelled", format!("{job}: {:.1} s after its user was told that it is cancelled, {} is on a machine", now - told, on[0]));
            }
        }
    }

    fn advance_task(&mut self, name: &str, key: &TaskKey, now: f64) {
        let Some(spec) = self.spec(&key.0).cloned() else {
            return;
        };
        let state = self.workers[name].tasks[key].state.clone();
        let is_gang = spec.text("rig") == "ensemble";
        let legs = spec.integer("legs").unwrap_or(1);
        let members = |world: &World, running: bool| {
            world
                .workers
                .values()
                .filter(|w| w.is_up && !w.is_gone && !w.is_hung)
                .flat_map(|w| w.tasks.iter())
                .filter(|((j, _, a), t)| {
                    *j == key.0
                        && *a == key.2
                        && match t.state {
                            TaskState::Waiting(_) => !running,
                            TaskState::Running(_) => true,
                            _ => false,
                        }
                })
                .count() as u64
        };
        let next = match state {
            TaskState::Fetching(ready) if now >= ready => {
                self.check_start(name, key, now);
                if self.done.contains(&(key.0.clone(), key.1)) {
                    Some(TaskState::Exited("done", false))
                } else if is_gang {
                    Some(TaskState::Waiting(now))
                } else {
                    Some(TaskState::Running(now))
                }
            }
            TaskState::Waiting(since) => {
                if members(self, false) >= legs {
                    Some(TaskState::Running(now))
                } else if now > since + self.plan.gang_wait_s {
                    Some(TaskState::Exited("incomplete", false))
                } else {
                    None
                }
            }
            TaskState::Running(since) => {
                let run = spec.number("passage_s").unwrap_or(0.0);
                if spec.text("rig") == "service" {
                    None
                } else if now >= since + run {
                    self.done.insert((key.0.clone(), key.1));
                    log::line(format!(
                        "done {}/{} attempt {} on {name}",
                        key.0, key.1, key.2
                    ));
                    if is_gang {
                        for task in 0..legs {
                            self.done.insert((key.0.clone(), task as u32));
                        }
                    }
                    let all =
                        (0..legs).all(|task| self.done.contains(&(key.0.clone(), task as u32)));
                    if let Some(view) = self
                        .jobs
                        .get_mut(&key.0)
                        .filter(|view| all && view.finished_at.is_none())
                    {
                        view.finished_at = Some(now);
                    }
                    Some(TaskState::Exited("done", false))
                } else if is_gang
                    && members(self, false) < legs
                    && !self.done.contains(&(key.0.clone(), key.1))
                {
                    let task = self
                        .workers
                        .get_mut(name)
                        .and_then(|w| w.tasks.get_mut(key))
                        .expect("known");
                    let since = *task.peers_gone_at.get_or_insert(now);
                    (now > since + self.plan.gang_peer_s * 0.8)
                        .then_some(TaskState::Exited("peers", false))
                } else {
                    None
                }
            }
            TaskState::Saving(until) if now >= until => Some(TaskState::Exited("halted", !is_gang)),
            _ => None,
        };
        if let Some(next) = next {
            let worker = self.workers.get_mut(name).expect("known");
            worker.tasks.get_mut(key).expect("known").state = next;
            worker.has_change = true;
        }
    }

    /// Returns the worker's next report.
    fn report(&mut self, name: &str) -> String {
        let worker = self.workers.get_mut(name).expect("known");
        worker.sequence += 1;
        let legs: Vec<String> = worker
            .tasks
            .iter()
            .map(|((job, task, attempt), t)| {
                let (status, cause) = match &t.state {
                    TaskState::Fetching(_) => ("fetching", None),
                    TaskState::Waiting(_) => ("waiting", None),
                    TaskState::Running(_) => ("running", None),
                    TaskState::Saving(_) => ("saving", None),
                    TaskState::Exited(cause, kept) => ("exited", Some((cause, kept))),
                };
                let cause = cause.map_or(String::new(), |(cause, kept)| {
                    let kept = if *kept { ",\"kept\":true" } else { "" };
                    format!(",\"cause\":\"{cause}\"{kept}")
                });
                format!("{{\"leg\":\"{job}/{task}\",\"launch_no\":{attempt},\"status\":\"{status}\"{cause}}}")
            })
            .collect();
        format!(
            "{{\"bollard\":{},\"endpoint\":\"{}\",\"hull_type\":{},\"basin\":{},\"lay_by\":{},\"watch\":{},\"log_no\":{},\"helm_mark\":{},\"warning_s\":null,\"legs\":[{}]}}",
            quote(&worker.name), worker.addr, quote(&worker.kind), quote(&worker.zone), worker.spot,
            worker.session, worker.sequence, worker.token, legs.join(",")
        )
    }
}

/// Adds a machine; it is up at `up_at`.
fn add_machine(world: &Shared, kind: &str, zone: &str, spot: bool, up_at: f64) -> String {
    let (listener, addr) = http::bind();
    let name = {
        let mut w = lock(world);
        w.next_machine += 1;
        let name = format!("vm-{:06}", w.next_machine);
        let now = log::seconds();
        let worker = Worker {
            name: name.clone(),
            addr,
            kind: kind.to_owned(),
            zone: zone.to_owned(),
            spot,
            ordered_at: now,
            up_at,
            is_up: false,
            is_gone: false,
            failed_at: None,
            session: 1,
            sequence: 0,
            token: 0,
            lease_from: up_at,
            tasks: BTreeMap::new(),
            images: HashMap::new(),
            target: w.next_machine as usize % w.api.len(),
            next_report: up_at,
            is_reporting: false,
            has_change: false,
            last_report_at: 0.0,
            is_hung: false,
            cut_from: BTreeSet::new(),
        };
        w.workers.insert(name.clone(), worker);
        log::line(format!(
            "machine {name}: {kind} in {zone}, spot {spot}, up at {up_at:.1}"
        ));
        name
    };
    let shared = world.clone();
    let machine = name.clone();
    http::serve(
        listener,
        Arc::new(move |request| direct_call(&shared, &machine, &request)),
    );
    let shared = world.clone();
    let machine = name.clone();
    std::thread::spawn(move || report_loop(&shared, &machine));
    name
}

fn direct_call(world: &Shared, name: &str, request: &Request) -> Answer {
    loop {
        let w = lock(world);
        let worker = &w.workers[name];
        if worker.failed_at.is_none() && (worker.is_gone || !worker.is_up) {
            return Answer::Close;
        }
        // A machine that stopped says nothing, and one that hangs says nothing for now.
        if !worker.is_hung && worker.failed_at.is_none() {
            break;
        }
        drop(w);
        std::thread::sleep(Duration::from_millis(50));
    }
    let mut w = lock(world);
    let now = log::seconds();
    if request.path == "/show" {
        return Answer::Reply(200, w.report(name));
    }
    let Some(body) = Json::parse(&request.body) else {
        return Answer::Reply(400, "{}".into());
    };
    let (Some(token), Some(session)) = (body.integer("helm_mark"), body.integer("watch")) else {
        return Answer::Reply(400, "{}".into());
    };
    let worker = w.workers.get_mut(name).expect("known");
    if token < worker.token || session != worker.session {
        return Answer::Reply(409, w.report(name));
    }
    worker.token = token;
    log::line(format!(
        "orders to {name}, token {token}: {}",
        short(&request.body)
    ));
    w.execute(name, body.list("orders"), now);
    Answer::Reply(200, w.report(name))
}

fn short(text: &str) -> String {
    if text.len() <= 600 {
        return text.to_owned();
    }
    let cut: String = text.chars().take(600).collect();
    format!("{cut}... ({} bytes)", text.len())
}

fn report_loop(world: &Shared, name: &str) {
    loop {
        std::thread::sleep(Duration::from_millis(40));
        let now = log::seconds();
        let (addr, target, body, session) = {
            let mut w = lock(world);
            let worker = w.workers.get_mut(name).expect("known");
            if worker.is_gone {
                return;
            }
            if !worker.is_up {
                if now >= worker.up_at {
                    worker.is_up = true;
                    worker.lease_from = now;
                    log::line(format!("machine {name} is up"));
                }
                continue;
            }
            let is_due = now >= worker.next_report
                || (worker.has_change && now >= worker.last_report_at + 0.5);
            if worker.is_hung || worker.is_reporting || !is_due {
                continue;
            }
            worker.has_change = false;
            worker.last_report_at = now;
            worker.is_reporting = true;
            let target = worker.target;
            let is_cut = worker.cut_from.contains(&target);
            let session = worker.session;
            let body = w.report(name);
            w.largest_report = w.largest_report.max(body.len());
            let addr = w.api[target];
            (
                if is_cut { None } else { Some(addr) },
                target,
                body,
                session,
            )
        };
        let reply = match addr {
            Some(addr) => http::call(addr, "POST", "/v1/report", &body, Duration::from_secs(4)),
            None => {
                std::thread::sleep(Duration::from_secs(4));
                None
            }
        };
        let mut w = lock(world);
        let names = w.names.clone();
        let plan = w.plan.clone();
        let answered_at = log::seconds();
        let jitter = 0.75
            + 0.5 * ((body.len() as u64 * 2_654_435_761 + (now * 1e6) as u64) % 1000) as f64
                / 1000.0;
        let worker = w.workers.get_mut(name).expect("known");
        worker.is_reporting = false;
        worker.next_report = now + plan.report_s * jitter;
        if worker.is_gone {
            return;
        }
        let next = (target + 1) % names.len();
        match reply {
            Some((200, text)) => {
                let parsed = Json::parse(&text);
                let token = parsed
                    .as_ref()
                    .and_then(|body| body.integer("helm_mark"))
                    .unwrap_or(0);
                if worker.session == session
                    && token >= worker.token
                    && token > 0
                    && answered_at - now < 4.0
                {
                    if token > worker.token {
                        worker.has_change = true;
                    }
                    worker.token = token;
                    worker.lease_from = worker.lease_from.max(now);
                    let orders: Vec<Json> =
                        parsed.map_or(Vec::new(), |body| body.list("orders").to_vec());
                    if !orders.is_empty() {
                        log::line(format!(
                            "answer of {} to {name}, token {token}: {}",
                            names[target],
                            short(&text)
                        ));
                    }
                    w.execute(name, &orders, answered_at);
                }
            }
            Some((421, text)) => {
                let leader = Json::parse(&text).map(|body| body.text("harbour_master").to_owned());
                let index = names.iter().position(|n| Some(n) == leader.as_ref());
                match index.filter(|index| *index != target) {
                    Some(index) => {
                        worker.target = index;
                        worker.next_report = answered_at + 0.1;
                    }
                    None => {
                        worker.target = next;
                        worker.next_report = answered_at + 1.0;
                    }
                }
            }
            other => {
                worker.target = next;
                worker.next_report = answered_at + 1.0;
                w.reports_refused += 1;
                log::line(format!(
                    "report of {name} ({} bytes) to {}: {}",
                    body.len(),
                    names[target],
                    other.map_or("no answer".into(), |(s, t)| format!("{s} {}", short(&t)))
                ));
            }
        }
    }
}

fn cloud_answer(world: &Shared, request: &Request) -> Answer {
    std::thread::sleep(Duration::from_millis(20));
    let now = log::seconds();
    {
        let mut w = lock(world);
        let rate = w.plan.cloud_rps;
        let (level, at) = w.cloud_calls;
        let level = (level + (now - at) * rate).min(rate * 2.0);
        if level < 1.0 {
            w.cloud_calls = (level, now);
            return Answer::Reply(429, "{}".into());
        }
        w.cloud_calls = (level - 1.0, now);
    }
    match (request.method.as_str(), request.path.as_str()) {
        ("GET", "/catalog") => {
            let w = lock(world);
            let zones: Vec<String> = w.plan.zones.iter().map(|z| quote(z)).collect();
            let types: Vec<String> = w
                .plan
                .types
                .iter()
                .map(|(name, cpus, gpus, mem, ready, rate, low)| {
                    format!("{{\"sku\":{},\"cpus\":{cpus},\"accelerators\":{gpus},\"mem_gb\":{mem},\"cache_gb\":{},\"fetch_gb_per_s\":{},\"rate\":{rate},\"low_price\":{low},\"ready_s\":{ready},\"basins\":[{}]}}",
                        quote(name), w.plan.cache_gb, w.plan.fetch_gb_per_s, zones.join(","))
                })
                .collect();
            Answer::Reply(200, format!("{{\"hulls_list\":[{}]}}", types.join(",")))
        }
        ("GET", "/machines") => {
            let w = lock(world);
            let lag = w.plan.list_lag_s;
            let from = request.parameter("from").unwrap_or("");
            let rows = w.list_history.iter().rev().find(|(at, _)| *at <= now - lag);
            let rows: Vec<String> = rows
                .iter()
                .flat_map(|(_, rows)| rows.iter())
                .filter(|(name, _)| name.as_str() > from)
                .map(|(_, row)| row.clone())
                .collect();
            Answer::Reply(
                200,
                format!("{{\"bollards\":[{}],\"has_next\":false}}", rows.join(",")),
            )
        }
        ("POST", "/machines") => {
            let Some(body) = Json::parse(&request.body) else {
                return Answer::Reply(400, "{}".into());
            };
            let charter = body.text("charter").to_owned();
            let known = lock(world).charters.get(&charter).cloned();
            let names = match known {
                Some(names) => names,
                None => {
                    let (left, ready) = {
                        let w = lock(world);
                        let used = w.workers.values().filter(|worker| !worker.is_gone).count();
                        let left = if w.no_capacity {
                            0
                        } else {
                            w.plan.max_machines.saturating_sub(used)
                        };
                        let kind = body.text("hull_type");
                        (
                            left,
                            w.plan
                                .types
                                .iter()
                                .find(|t| t.0 == kind)
                                .map_or(10.0, |t| t.4),
                        )
                    };
                    let count = (body.integer("count").unwrap_or(0) as usize)
                        .min(50)
                        .min(left);
                    if count == 0 {
                        return Answer::Reply(503, "{\"error\":\"no capacity\"}".into());
                    }
                    log::line(format!("rented: {}", request.body));
                    let boot_s = lock(world).plan.boot_s;
                    let names: Vec<String> = (0..count)
                        .map(|i| {
                            let up = boot_s.unwrap_or(ready * (0.6 + 0.1 * (i % 5) as f64));
                            add_machine(
                                world,
                                body.text("hull_type"),
                                body.text("basin"),
                                body.flag("lay_by"),
                                now + up,
                            )
                        })
                        .collect();
                    lock(world).charters.insert(charter, names.clone());
                    names
                }
            };
            let names: Vec<String> = names.iter().map(|name| quote(name)).collect();
            Answer::Reply(200, format!("{{\"bollards\":[{}]}}", names.join(",")))
        }
        ("POST", "/machines/return") => {
            let Some(body) = Json::parse(&request.body) else {
                return Answer::Reply(400, "{}".into());
            };
            let mut w = lock(world);
            log::line(format!("returned: {}", request.body));
            for name in body.list("bollards") {
                w.returned.insert(name.as_text().to_owned());
                if let Some(worker) = w.workers.get_mut(name.as_text()) {
                    worker.is_gone = true;
                    worker.failed_at = None;
                    worker.tasks.clear();
                }
            }
            Answer::Reply(200, "{}".into())
        }
        _ => Answer::Reply(400, "{}".into()),
    }
}

/// The controllers' processes. Dropping it ends them and removes their folder.
pub struct Controllers {
    children: Vec<Option<Child>>,
    folder: PathBuf,
    run: Vec<String>,
    root: PathBuf,
    log_level: String,
    record_folder: PathBuf,
}

impl Controllers {
    pub fn start(&mut self, n: usize) {
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("n{n}.log")))
            .expect("a log file");
        let child = Command::new(self.root.join(&self.run[0]))
            .args(&self.run[1..])
            .arg(self.folder.join(format!("n{n}.json")))
            .current_dir(&self.root)
            .env("LOG_LEVEL", &self.log_level)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the program starts");
        log::line(format!(
            "controller bollard-{n} starts, process {}",
            child.id()
        ));
        self.children[n] = Some(child);
    }
}

impl Drop for Controllers {
    fn drop(&mut self) {
        for n in 0..self.children.len() {
            if let Some(mut child) = self.children[n].take() {
                let _ = child.kill();
                let _ = child.wait();
            }
            if std::env::var("KEEP_LOGS").is_ok() {
                let _ = std::fs::copy(
                    self.folder.join(format!("n{n}.log")),
                    self.record_folder.join(format!("n{n}.log")),
                );
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub struct Site {
    pub world: Shared,
    pub state: Arc<State>,
    pub controllers: Controllers,
    pub api: Vec<SocketAddr>,
}

/// Writes the settings, starts the stand-ins, but no controller. `root` is the repository.
pub fn set_up(plan: Plan, root: &str, record_folder: &str) -> Site {
    let state = State::start(
        plan.nodes,
        plan.rps,
        plan.write_rps,
        plan.value_kb,
        plan.txn_ops,
    );
    let api: Vec<SocketAddr> = (0..plan.nodes).map(|_| http::free_addr()).collect();
    let peer: Vec<SocketAddr> = (0..plan.nodes).map(|_| http::free_addr()).collect();
    let (cloud_listener, cloud) = http::bind();
    let names: Vec<String> = (0..plan.nodes).map(|n| format!("bollard-{n}")).collect();
    let folder = std::env::temp_dir().join(format!(
        "saltpitch-review-{}-{}",
        std::process::id(),
        cloud.port()
    ));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    for n in 0..plan.nodes {
        let text = settings(&plan, n, &api, &peer, cloud, state.addrs[n]);
        std::fs::write(folder.join(format!("n{n}.json")), text).expect("a settings file");
    }
    let world: Shared = Arc::new(Mutex::new(World {
        plan: plan.clone(),
        workers: BTreeMap::new(),
        jobs: BTreeMap::new(),
        done: HashSet::new(),
        violations: Vec::new(),
        charters: HashMap::new(),
        next_machine: 0,
        api: api.clone(),
        names,
        starts: 0,
        service_starts: 0,
        returned: BTreeSet::new(),
        no_capacity: false,
        reports_refused: 0,
        largest_report: 0,
        expired_leases: 0,
        cloud_calls: (10.0, 0.0),
        list_history: Vec::new(),
    }));
    let shared = world.clone();
    http::serve(
        cloud_listener,
        Arc::new(move |request| cloud_answer(&shared, &request)),
    );
    for (kind, zone, count) in &plan.initial {
        for _ in 0..*count {
            add_machine(&world, kind, zone, false, 0.0);
        }
    }
    let shared = world.clone();
    std::thread::spawn(move || {
        let mut next_list = 0.0;
        loop {
            std::thread::sleep(Duration::from_millis(25));
            let now = log::seconds();
            let mut w = lock(&shared);
            w.advance(now);
            if now >= next_list {
                next_list = now + 1.0;
                let rows = w
                    .workers
                    .values()
                    .filter(|worker| !worker.is_gone || worker.failed_at.is_some())
                    .map(|worker| {
                        // A machine that stopped keeps being listed as running for roughly 30 s.
                        let status = match worker.failed_at {
                            Some(at) if now > at + 30.0 => "failed",
                            _ if worker.is_up => "running",
                            _ => "booting",
                        };
                        (worker.name.clone(), format!("{{\"ref\":{},\"endpoint\":\"{}\",\"hull_type\":{},\"basin\":{},\"lay_by\":{},\"status\":\"{status}\",\"age_s\":{:.1}}}",
                            quote(&worker.name), worker.addr, quote(&worker.kind), quote(&worker.zone), worker.spot, now - worker.ordered_at))
                    })
                    .collect();
                w.list_history.push((now, rows));
                if w.list_history.len() > 60 {
                    w.list_history.remove(0);
                }
            }
        }
    });
    let controllers = Controllers {
        children: (0..plan.nodes).map(|_| None).collect(),
        folder,
        run: run_command(root),
        root: PathBuf::from(root),
        log_level: std::env::var("LOG_LEVEL").unwrap_or_else(|_| "info".into()),
        record_folder: PathBuf::from(record_folder),
    };
    Site {
        world,
        state,
        controllers,
        api,
    }
}

/// Returns the run command of the deploy file.
fn run_command(root: &str) -> Vec<String> {
    let text =
        std::fs::read_to_string(format!("{root}/deploy/service.toml")).expect("the deploy file");
    let line = text
        .lines()
        .find(|line| line.trim_start().starts_with("run"))
        .expect("a run command");
    let command = line.split('"').nth(1).expect("a quoted run command");
    command.split_whitespace().map(str::to_owned).collect()
}

fn settings(
    plan: &Plan,
    n: usize,
    api: &[SocketAddr],
    peer: &[SocketAddr],
    cloud: SocketAddr,
    state: SocketAddr,
) -> String {
    let zone = |n: usize| plan.zones[n % plan.zones.len()].clone();
    let seeds: Vec<String> = (0..plan.nodes)
        .filter(|other| *other != n)
        .map(|other| {
            format!(
                "{{\"node\":\"bollard-{other}\",\"location\":{},\"addr\":\"{}\"}}",
                quote(&zone(other)),
                peer[other]
            )
        })
        .collect();
    let zones: Vec<String> = plan.zones.iter().map(|z| quote(z)).collect();
    let teams: Vec<String> = plan
        .teams
        .iter()
        .map(|(name, cpus, cpus_max, gpus, gpus_max)| {
            format!("{{\"name\":{},\"cpus\":{cpus:.1},\"cpus_max\":{cpus_max:.1},\"gpus\":{gpus:.1},\"gpus_max\":{gpus_max:.1}}}", quote(name))
        })
        .collect();
    format!(
        "{{\"node\":\"bollard-{n}\",\"location\":{},\"api_addr\":\"{}\",\"peer_bind\":\"{}\",\"seeds\":[{}],\
         \"external\":{{\"cloud\":\"{cloud}\",\"state\":\"{state}\"}},\
         \"cluster\":{{\"size\":{},\"zones\":[{}],\"teams\":[{}],\"objectives\":[],\
         \"workers\":{{\"report_s\":{:.1},\"lease_s\":{:.1},\"gang_wait_s\":{:.1},\"gang_peer_s\":{:.1},\"cancel_s\":{:.1}}},\
         \"state\":{{\"rps\":{:.1},\"write_rps\":{:.1},\"value_kb\":{:.1},\"txn_ops\":{}}},\
         \"cloud\":{{\"rps\":{:.1},\"list_lag_s\":{:.1}}},\
         \"limits\":{{\"cpu_share\":0.24,\"mem_mb\":200.0,\"sockets\":{}}},\"clock_error_ms\":25.0}}}}",
        quote(&zone(n)), api[n], peer[n], seeds.join(","), plan.nodes, zones.join(","), teams.join(","),
        plan.report_s, plan.lease_s, plan.gang_wait_s, plan.gang_peer_s, plan.cancel_s,
        plan.rps, plan.write_rps, plan.value_kb, plan.txn_ops, plan.cloud_rps, plan.list_lag_s, plan.sockets
    )
}

impl Site {
    /// Returns the number of the controller that the state service has as leader.
    pub fn leader(&self) -> Option<usize> {
        let state = self.state.lock();
        let keys = ["salt/leader"];
        let value = keys.iter().find_map(|key| state.value(key))?;
        (0..self.api.len()).find(|n| value.contains(&format!("\"bollard-{n}\"")))
    }

    pub fn is_healthy(&self, n: usize) -> bool {
        http::call(self.api[n], "GET", "/up", "", Duration::from_secs(1))
            .is_some_and(|(status, _)| status == 200)
    }

    /// Waits until every controller is healthy and one leads. Returns whether that happened in time.
    pub fn wait_until_ready(&self, limit: Duration) -> bool {
        let ends = Instant::now() + limit;
        while Instant::now() < ends {
            if (0..self.api.len()).all(|n| self.is_healthy(n)) && self.leader().is_some() {
                return true;
            }
            std::thread::sleep(Duration::from_millis(200));
        }
        false
    }

    pub fn wait_until(&self, limit: Duration, condition: impl Fn(&mut World) -> bool) -> bool {
        let ends = Instant::now() + limit;
        while Instant::now() < ends {
            if condition(&mut lock(&self.world)) {
                return true;
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

/// A job to submit.
pub fn job(
    id: &str,
    team: &str,
    rig: &str,
    precedence: &str,
    legs: u64,
    cpus: f64,
    mem: f64,
    passage: f64,
) -> String {
    format!(
        "{{\"ref\":\"{id}\",\"berth\":\"work\",\"crew\":\"{team}\",\"rig\":\"{rig}\",\"precedence\":\"{precedence}\",\"legs\":{legs},\
         \"cpus\":{cpus},\"accelerators\":0.0,\"mem_gb\":{mem},\"hull\":\"img-{rig}\",\"image_gb\":0.2,\"hulls_list\":null,\"basin\":null,\
         \"together\":false,\"spread\":false,\"lay_by\":false,\"passage_s\":{passage},\"moor_every_s\":0.0,\"tie_up_s\":0.0,\"arrive_by_s\":null}}"
    )
}

/// A user's request: it is sent once, the answer is checked against the rules. Returns status and job status.
pub fn submit(
    world: &Shared,
    api: &[SocketAddr],
    node: usize,
    id: &str,
    body: &str,
) -> Option<(u16, String)> {
    {
        let mut w = lock(world);
        let view = w.jobs.entry(id.to_owned()).or_default();
        view.body = body.to_owned();
        view.spec = Json::parse(body);
        view.submitted = true;
    }
    let reply = http::call(api[node], "POST", "/v2/runs", body, Duration::from_secs(5));
    record(world, node, "submit", id, reply)
}

pub fn poll(world: &Shared, api: &[SocketAddr], node: usize, id: &str) -> Option<(u16, String)> {
    let asked_at = log::seconds();
    let before = lock(world).jobs.get(id).cloned().unwrap_or_default();
    let reply = http::call(
        api[node],
        "GET",
        &format!("/v2/runs/{id}"),
        "",
        Duration::from_secs(2),
    );
    let result = record(world, node, "poll", id, reply);
    check_older(world, node, id, &before, asked_at, &result);
    result
}

fn record(
    world: &Shared,
    node: usize,
    what: &str,
    id: &str,
    reply: Option<(u16, String)>,
) -> Option<(u16, String)> {
    let now = log::seconds();
    let text = reply
        .as_ref()
        .map_or("no answer".to_owned(), |(status, body)| {
            format!("{status} {body}")
        });
    log::line(format!("{what} {id} at bollard-{node}: {text}"));
    let mut w = lock(world);
    let finished = w
        .jobs
        .get(id)
        .is_some_and(|view| view.finished_at.is_some());
    let view = w.jobs.entry(id.to_owned()).or_default();
    let (status, body) = reply?;
    let state = Json::parse(&body).map_or(String::new(), |body| body.text("status").to_owned());
    let mut broken: Option<(&str, String)> = None;
    if status == 200 || status == 201 {
        if !view.submitted {
            broken = Some((
                "invented",
                format!("{id}, which nobody submitted, gets {status}"),
            ));
        }
        view.accepted_at.get_or_insert(now);
        if state == "done" && !finished {
            broken = Some((
                "not_done",
                format!("{id} is called done before every one of its tasks is"),
            ));
        }
        if state == "withdrawn" && !view.abort_asked {
            broken = Some((
                "went_back",
                format!("{id}, which its user did not cancel, is called withdrawn"),
            ));
        }
        if state == "done" {
            view.told_done_at.get_or_insert(now);
        }
        if state == "withdrawn" {
            view.told_withdrawn_at.get_or_insert(now);
        }
    }
    if what == "submit" && (status == 400 || status == 422) && view.accepted_at.is_some() {
        broken = Some((
            "forgotten",
            format!("a repeated submission of {id} gets {status}"),
        ));
    }
    if let Some((rule, text)) = broken {
        w.violation(rule, text);
    }
    Some((status, state))
}

/// Checks an answer to a poll against what users had been told before the poll was sent.
fn check_older(
    world: &Shared,
    node: usize,
    id: &str,
    before: &JobView,
    asked_at: f64,
    result: &Option<(u16, String)>,
) {
    let Some((status, state)) = result else {
        return;
    };
    let mut broken: Option<(&str, String)> = None;
    if *status == 404 {
        if let Some(at) = before.accepted_at {
            broken = Some(("forgotten", format!("{id}, accepted at {at:.3}, gets 404 from bollard-{node}, asked at {asked_at:.3}")));
        }
    }
    if *status == 200 {
        let told = [
            (before.told_done_at, "done"),
            (before.told_withdrawn_at, "withdrawn"),
        ];
        for (at, word) in told {
            if let Some(at) = at.filter(|_| state != word) {
                broken = Some(("went_back", format!("{id}, called {word} at {at:.3}, is called {state} by bollard-{node}, asked at {asked_at:.3}")));
            }
        }
    }
    if let Some((rule, text)) = broken {
        lock(world).violation(rule, text);
    }
}
