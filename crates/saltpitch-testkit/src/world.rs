//! The whole site in virtual time: nodes, store, cloud, workers, users, and a network that delays,
//! loses, holds and repeats.

use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::sync::Arc;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use saltpitch_core::catalog::{Catalog, MachineType, Res};
use saltpitch_core::cluster::{Cause, Order, Report, TaskState};
use saltpitch_core::job::{JobSpec, JobState, Kind, Priority};
use saltpitch_core::leader::{
    Aim, Config, Effect, Leader, ListedMachine, Objective, Ordered, Outcome, Rented, Write,
};
use saltpitch_core::leadership::{answer_bound, resignation, Hearing};
use saltpitch_core::policy::Policy;
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::records::{job_key, JobRecord, Word, LEADER_KEY, TERM_KEY};
use saltpitch_core::Micros;

use crate::nodes::Node;
use crate::rules;
use crate::store::Store;
use crate::workers::{Held, Worker};

/// The times that the protocol's settings give.
#[derive(Clone, Debug)]
pub struct Times {
    pub report: Micros,
    pub lease: Micros,
    pub gang_wait: Micros,
    pub gang_peer: Micros,
    pub cancel: Micros,
}

/// Which troubles a history may have; each is drawn from the seed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Faults {
    pub crashes: bool,
    pub cuts: bool,
    pub zone_cuts: bool,
    pub outages: bool,
    pub machines: bool,
    pub losses: bool,
    /// Machines whose reports arrive while answers and commands don't reach them.
    pub deaf: bool,
    /// Copies of reports that come again, seconds to several leases later, at any node.
    pub copies: bool,
    /// Controllers that stand still, for longer than any lease at times, while their clocks run on.
    pub freezes: bool,
    /// Machines that reach no controller while direct commands reach them.
    pub mute: bool,
    /// Transactions without an answer that are carried out 2 to 12 s later, after newer ones.
    pub late_writes: bool,
}

impl Faults {
    fn any(&self) -> bool {
        self.crashes || self.cuts || self.zone_cuts || self.outages || self.freezes
    }

    pub fn all() -> Faults {
        Faults {
            crashes: true,
            cuts: true,
            zone_cuts: true,
            outages: true,
            machines: true,
            losses: true,
            deaf: true,
            copies: true,
            freezes: true,
            mute: true,
            late_writes: true,
        }
    }
}

pub struct UserJob {
    pub spec: JobSpec,
    pub accepted: bool,
    pub cancelled_at: Option<Micros>,
    pub submitted_at: Micros,
    /// When all of it first ran that runs at a time (of an array: any of it).
    pub begun_at: Option<Micros>,
    /// When each node last could answer a question about it.
    pub answered: Vec<Micros>,
    /// When its user was told that a job it needs, directly or through others, is cancelled.
    pub withdrawn_at: Option<Micros>,
    /// Submitted with a mistake: it fails on every machine until its user cancels it.
    pub mistaken: bool,
    /// Since when, in calm, it waits whole although a machine that fits has room and its team
    /// is under its limit.
    pub waits_since: Option<Micros>,
}

type Action = Box<dyn FnOnce(&mut World)>;

struct Event {
    at: Micros,
    no: u64,
    action: Action,
}

impl PartialEq for Event {
    fn eq(&self, o: &Event) -> bool {
        self.no == o.no
    }
}
impl Eq for Event {}
impl PartialOrd for Event {
    fn partial_cmp(&self, o: &Event) -> Option<std::cmp::Ordering> {
        Some(self.cmp(o))
    }
}
impl Ord for Event {
    fn cmp(&self, o: &Event) -> std::cmp::Ordering {
        (o.at, o.no).cmp(&(self.at, self.no))
    }
}

pub struct World {
    pub now: Micros,
    pub times: Times,
    pub teams: Vec<TeamLimits>,
    pub store: Store,
    pub nodes: Vec<Node>,
    pub workers: BTreeMap<String, Worker>,
    pub jobs: BTreeMap<String, UserJob>,
    /// Tasks whose result is kept.
    pub done: BTreeMap<String, BTreeSet<u32>>,
    pub faults: Faults,
    /// The two zones can't reach each other until then.
    pub apart_until: Micros,
    /// Until then no transaction of a leader is answered, and each is carried out later.
    pub late_writes_until: Micros,
    /// The store's next limits, as the settings give them.
    pub next_limits: Option<(usize, usize, u32)>,
    /// Until then every message takes a fifth of a second to more than a second.
    pub slow_links_until: Micros,
    /// The first task that started before all jobs that its job needs were done.
    pub too_early: Option<String>,
    /// The first command that started a task after the time that a cancellation may take.
    pub started_late: Option<String>,
    /// Since when nothing has been wrong with nodes, store and network.
    pub calm_since: Micros,
    /// The same, machines included.
    pub still_since: Micros,
    /// How often the leadership was given up for want of reports.
    pub resignations: u64,
    /// Machines that were up and reachable from somewhere when the service returned them.
    pub returned_alive: u64,
    cfg: Config,
    catalog: Arc<Catalog>,
    requests: BTreeMap<String, Vec<String>>,
    next_machine: u32,
    rng: SmallRng,
    queue: BinaryHeap<Event>,
    next_event: u64,
    next_tick: Micros,
    quiet_from: Micros,
}

const TICK: Micros = Micros::from_millis(100);

fn settings(times: &Times, teams: &[TeamLimits]) -> Config {
    Config {
        report: times.report,
        lease: times.lease,
        gang_peer: times.gang_peer,
        cancel: times.cancel,
        txn_ops: 8,
        nodes: 3,
        calls: 24,
        txn_bytes: 50_000,
        write_rate: 60.0,
        next_write_rate: 60.0,
        value_bytes: 8 * 1024,
        rent_rate: 5.0,
        log_ring: 16,
        teams: teams.to_vec(),
        objectives: vec![Objective {
            class: "web".to_owned(),
            aim: Aim::Wait(Micros::from_secs(5)),
        }],
        guarantee_within: Micros::from_secs(15),
        policy: Policy::default(),
    }
}

fn machine_types() -> Catalog {
    let kind = |name: &str, cpu: u64, gpu: u64, price: u64| MachineType {
        name: name.to_owned(),
        size: Res {
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

impl World {
    /// A site with three nodes and no machines. From `quiet_from` on no new trouble begins.
    pub fn new(seed: u64, faults: Faults, quiet_from: Micros) -> World {
        let times = Times {
            report: Micros::from_secs(2),
            lease: Micros::from_secs(14),
            gang_wait: Micros::from_secs(30),
            gang_peer: Micros::from_secs(5),
            cancel: Micros::from_secs(44),
        };
        let team = |name: &str| TeamLimits {
            name: name.to_owned(),
            cpu: 12_000,
            gpu: 2_000,
            cpu_max: 40_000,
            gpu_max: 6_000,
        };
        let teams = vec![team("red"), team("blue")];
        let nodes = [("n0", "east"), ("n1", "west"), ("n2", "east")];
        World {
            now: Micros::from_secs(60),
            cfg: settings(&times, &teams),
            times,
            teams,
            store: Store::default(),
            nodes: nodes.iter().map(|(n, z)| Node::new(n, z)).collect(),
            workers: BTreeMap::new(),
            jobs: BTreeMap::new(),
            done: BTreeMap::new(),
            faults,
            apart_until: Micros::ZERO,
            returned_alive: 0,
            late_writes_until: Micros::ZERO,
            slow_links_until: Micros::ZERO,
            next_limits: None,
            started_late: None,
            too_early: None,
            calm_since: Micros::ZERO,
            still_since: Micros::ZERO,
            resignations: 0,
            catalog: Arc::new(machine_types()),
            requests: BTreeMap::new(),
            next_machine: 0,
            rng: SmallRng::seed_from_u64(seed),
            queue: BinaryHeap::new(),
            next_event: 0,
            next_tick: Micros::ZERO,
            quiet_from: quiet_from.plus(Micros::from_secs(60)),
        }
    }

    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    pub fn luck(&mut self, n: u64) -> u64 {
        self.rng.random_range(0..n.max(1))
    }

    fn after(&mut self, wait: Micros, action: impl FnOnce(&mut World) + 'static) {
        self.next_event += 1;
        self.queue.push(Event {
            at: self.now.plus(wait),
            no: self.next_event,
            action: Box::new(action),
        });
    }

    fn delay(&mut self) -> Micros {
        if self.now < self.slow_links_until {
            return Micros::from_millis(200 + self.luck(1_200));
        }
        Micros::from_millis(1 + self.luck(20))
    }

    /// Plays on until `until` and checks the rules after each step.
    pub fn run(&mut self, until: Micros) -> Result<(), String> {
        let until = until.plus(Micros::from_secs(60));
        while self.now < until {
            self.step()
                .map_err(|e| format!("at {:.1} s: {e}", self.now.as_secs_f64() - 60.0))?;
        }
        Ok(())
    }

    /// The next event, or the next tick of the site's clocks; then the rules.
    pub fn step(&mut self) -> Result<(), String> {
        let event = self.queue.peek().map(|e| e.at);
        match event {
            Some(at) if at <= self.next_tick => {
                self.now = self.now.max(at);
                if let Some(e) = self.queue.pop() {
                    (e.action)(self);
                }
            }
            _ => {
                self.now = self.now.max(self.next_tick);
                self.next_tick = self.now.plus(TICK);
                self.tick();
            }
        }
        rules::check(self)
    }

    fn tick(&mut self) {
        self.store.tick(self.now);
        self.troubles();
        for n in 0..self.nodes.len() {
            self.node_tick(n);
        }
        let names: Vec<String> = self.workers.keys().cloned().collect();
        for name in names {
            self.worker_tick(&name);
        }
        self.gangs();
        if self.now.0 % 1_000_000 < TICK.0 {
            self.ask_all();
            self.note_waiting();
        }
    }

    /// Users ask about every job, and every node that is in service is to know each of them: by
    /// itself, or through a peer that has the store.
    fn ask_all(&mut self) {
        let now = self.now;
        let wrong = self.store.down
            || now < self.apart_until
            || self.nodes.iter().any(|n| {
                let cut =
                    now < n.no_store_until || now < n.no_workers_until || now < n.no_peers_until;
                cut || !n.is_up(now) || n.frozen(now) > Micros::ZERO
            });
        let odd = |m: &Worker| {
            !m.gone && (now < m.hung_until || now < m.deaf_until || now < m.mute_until)
        };
        let any = now < self.late_writes_until
            || now < self.slow_links_until
            || self.workers.values().any(odd);
        if wrong || any || (now < self.quiet_from && self.faults != Faults::default()) {
            self.still_since = now;
        }
        if wrong || (now < self.quiet_from && self.faults.any()) {
            self.calm_since = now;
        }
        for node in &mut self.nodes {
            let awake = node.is_up(now) && node.frozen(now) == Micros::ZERO;
            if node.reaches_store(&self.store, now) && awake {
                node.follow(&self.store, now);
            }
        }
        let known = |node: &Node, id: &str| {
            node.is_up(now)
                && node.reaches_store(&self.store, now)
                && node.view.jobs.contains_key(id)
        };
        let mut begun = Vec::new();
        for (id, job) in &mut self.jobs {
            let by_any = self.nodes.iter().any(|n| known(n, id));
            for (n, node) in self.nodes.iter().enumerate() {
                if node.is_up(now) && by_any {
                    job.answered[n] = now;
                }
            }
            if job.begun_at.is_none() {
                begun.push(id.clone());
            }
        }
        for id in begun {
            let on = self.running(&id) as u32;
            if let Some(job) = self.jobs.get_mut(&id) {
                let least = if job.spec.kind == Kind::Array {
                    1
                } else {
                    job.spec.tasks
                };
                if on >= least {
                    job.begun_at = Some(now);
                }
            }
        }
    }

    /// Which jobs wait in calm beside room that would take what they need at a time.
    fn note_waiting(&mut self) {
        let now = self.now;
        let mut used: BTreeMap<&str, Res> = BTreeMap::new();
        let mut on: BTreeMap<&str, BTreeSet<u32>> = BTreeMap::new();
        let mut free: Vec<(&Worker, Res)> = Vec::new();
        for m in self.workers.values().filter(|m| !m.gone) {
            let mut room = m.size;
            for ((id, _), _) in m.tasks.iter().filter(|(_, h)| !h.exited()) {
                if let Some(j) = self.jobs.get(&id.0) {
                    room = room.minus(&j.spec.need);
                    let sum = used.entry(&j.spec.team).or_default();
                    *sum = sum.plus(&j.spec.need);
                    on.entry(&id.0).or_default().insert(id.1);
                }
            }
            let well = m.is_up(now) && now >= m.deaf_until && now >= m.mute_until;
            if well && m.notice.is_none() && now.since(m.boots_at) > Micros::from_secs(10) {
                free.push((m, room));
            }
        }
        let mut waits = Vec::new();
        for (id, j) in &self.jobs {
            let counts = j.accepted
                && !j.mistaken
                && j.cancelled_at.is_none()
                && j.withdrawn_at.is_none()
                && j.spec.needs.iter().all(|n| self.is_done(n))
                && !self.is_done(id);
            let there = on.get(id.as_str()).map_or(0, |s| s.len() as u32);
            let done = self.done.get(id).map_or(0, |s| s.len() as u32);
            let left = j.spec.tasks.saturating_sub(there + done);
            // A job waits while nothing of it runs: an array for any task, the others for all.
            let want = if j.spec.kind == Kind::Array { 1 } else { left };
            let simple = !j.spec.spread && there == 0;
            let team = self.teams.iter().find(|t| t.name == j.spec.team);
            let sum = used.get(j.spec.team.as_str()).copied().unwrap_or_default();
            let allowed = team.is_some_and(|t| t.more(&sum, &j.spec.need) >= u64::from(want));
            let fits = |zone: Option<&str>| -> u64 {
                free.iter()
                    .filter(|(m, _)| zone.is_none_or(|z| z == m.zone))
                    .filter(|(m, _)| j.spec.allows(&m.type_name, &m.zone, m.spot))
                    .map(|(_, room)| j.spec.need.count_in(room))
                    .sum()
            };
            let room = if j.spec.one_zone {
                fits(Some("east")).max(fits(Some("west")))
            } else {
                fits(None)
            };
            let waiting = counts && simple && left > 0 && allowed && room >= u64::from(want);
            waits.push((id.clone(), waiting && self.still_since < now));
        }
        for (id, waiting) in waits {
            if let Some(j) = self.jobs.get_mut(&id) {
                j.waits_since = if waiting {
                    j.waits_since.or(Some(now))
                } else {
                    None
                };
            }
        }
    }

    // Troubles.

    fn chance(&mut self, on: bool, per_s: f64) -> bool {
        on && self.now < self.quiet_from && self.rng.random_bool(per_s * 0.1)
    }

    fn troubles(&mut self) {
        let f = self.faults;
        if self.chance(f.crashes, 0.02) {
            let n = self.luck(3) as usize;
            self.crash(n);
        }
        if self.chance(f.crashes, 0.004) {
            for n in 0..3 {
                self.crash(n);
            }
        }
        if self.chance(f.cuts, 0.02) {
            let n = self.luck(3) as usize;
            let until = self.now.plus(Micros::from_secs(3 + self.luck(40)));
            match self.luck(3) {
                0 => self.nodes[n].no_store_until = until,
                1 => self.nodes[n].no_workers_until = until,
                _ => {
                    self.nodes[n].no_store_until = until;
                    self.nodes[n].no_workers_until = until;
                }
            }
        }
        if self.chance(f.zone_cuts, 0.02) && self.now >= self.apart_until {
            let wait = Micros::from_secs(3 + self.luck(30));
            self.apart_until = self.now.plus(wait);
        }
        if self.chance(f.freezes, 0.02) {
            let n = self.luck(3) as usize;
            self.nodes[n].frozen_until = self.now.plus(Micros::from_secs(1 + self.luck(45)));
        }
        if self.chance(f.outages, 0.01) {
            self.store.down = true;
            let wait = Micros::from_secs(2 + self.luck(25));
            self.after(wait, |w| w.store.down = false);
        }
        if self.chance(f.deaf, 0.03) && !self.workers.is_empty() {
            let until = self.now.plus(Micros::from_secs(3 + self.luck(60)));
            // One, or a group of them.
            for _ in 0..1 + self.luck(3) {
                let at = self.luck(self.workers.len() as u64) as usize;
                if let Some(m) = self.workers.values_mut().nth(at) {
                    m.deaf_until = until;
                }
            }
        }
        if self.chance(f.mute, 0.03) && !self.workers.is_empty() {
            let until = self.now.plus(Micros::from_secs(3 + self.luck(60)));
            for _ in 0..1 + self.luck(3) {
                let at = self.luck(self.workers.len() as u64) as usize;
                if let Some(m) = self.workers.values_mut().nth(at) {
                    m.mute_until = until;
                }
            }
        }
        if self.chance(f.machines, 0.05) && !self.workers.is_empty() {
            let at = self.luck(self.workers.len() as u64) as usize;
            let (kind, wait) = (self.luck(3), self.luck(25));
            let now = self.now;
            if let Some(m) = self.workers.values_mut().nth(at) {
                match kind {
                    0 => m.gone = true,
                    1 => m.hung_until = now.plus(Micros::from_secs(1 + wait)),
                    _ if m.spot => {
                        m.notice = Some(Micros::from_secs(8));
                        m.changed = true;
                        let name = m.name.clone();
                        self.after(Micros::from_secs(8), move |w| {
                            if let Some(m) = w.workers.get_mut(&name) {
                                m.gone = true;
                            }
                        });
                    }
                    _ => {}
                }
            }
        }
    }

    /// Ends a node's process; it is back after a while, now and then at once.
    pub fn crash(&mut self, n: usize) {
        let wait = if self.luck(3) == 0 {
            Micros::from_millis(200)
        } else {
            Micros::from_secs(5)
        };
        self.crash_for(n, wait);
    }

    /// Ends a node's process, which is back after this time.
    pub fn crash_for(&mut self, n: usize, wait: Micros) {
        let up_at = self.now.plus(wait);
        self.nodes[n].crash(up_at);
    }

    // Nodes.

    /// How long until node `n` and this machine can reach each other.
    fn cut(&self, n: usize, machine: &str) -> Micros {
        let node = &self.nodes[n];
        let zone = self.workers.get(machine).map(|m| m.zone.as_str());
        let apart = if zone == Some(node.zone.as_str()) {
            Micros::ZERO
        } else {
            self.apart_until
        };
        node.no_workers_until.max(apart).since(self.now)
    }

    /// How long what is sent to this machine is held back.
    fn unheard(&self, machine: &str) -> Micros {
        let m = self.workers.get(machine);
        m.map_or(Micros::ZERO, |m| m.deaf_until.since(self.now))
    }

    fn node_tick(&mut self, n: usize) {
        let now = self.now;
        if !self.nodes[n].is_up(now) || self.nodes[n].frozen(now) > Micros::ZERO {
            return;
        }
        let reaches = self.nodes[n].reaches_store(&self.store, now);
        if reaches && now.0 % 200_000 < TICK.0 {
            let node = &mut self.nodes[n];
            node.follow(&self.store, now);
            if !node.announced {
                node.announce(&mut self.store);
                node.follow(&self.store, now);
            }
        }
        if let Some(hold) = self.nodes[n].hold {
            if now.0 % 600_000 < TICK.0 {
                self.renew(n, hold, reaches);
                if !self.nodes[n].old {
                    self.ask_words(n);
                }
            }
            if self.deaf(n) {
                self.resign(n, reaches);
            }
        } else if reaches
            && self.nodes[n].announced
            && now >= self.nodes[n].shy_until
            && self.rng.random_bool(0.3)
        {
            self.elect(n);
        }
        self.poll(n);
        if self.nodes[n].leader.is_some() && now.0 % 3_000_000 < TICK.0 {
            self.list(n);
        }
    }

    /// An election takes time: the hold is opened, the transaction travels, its answer may be lost,
    /// and the records are read again. Processes end and return, and others bid, in between.
    fn elect(&mut self, n: usize) {
        if std::mem::replace(&mut self.nodes[n].bidding, true) {
            return;
        }
        let cfg = self.cfg_of(n);
        let now = self.now;
        let (life, epoch) = (self.nodes[n].life, self.nodes[n].epoch);
        let Some((bid, hold)) = self.nodes[n].bid(&mut self.store, &cfg, now) else {
            self.nodes[n].bidding = false;
            return;
        };
        let same = move |w: &World| w.nodes[n].life == life && w.nodes[n].epoch == epoch;
        let lost = self.faults.losses && self.luck(5) == 0;
        let late = if lost {
            self.luck(4_000)
        } else {
            self.luck(300)
        };
        self.after(Micros::from_millis(late), move |w| {
            // Sent is sent: it is carried out whether or not the process still lives.
            let done = w
                .store
                .txn(&bid.when, &bid.writes, Some((hold, LEADER_KEY)));
            let d = Micros::from_millis(w.luck(300));
            w.after(d, move |w| {
                if !same(w) || !w.nodes[n].is_up(w.now) {
                    return;
                }
                w.nodes[n].bidding = false;
                if w.nodes[n].frozen(w.now) > Micros::ZERO {
                    // Read when nobody waits for it any more; the hold ends by itself.
                    return;
                }
                let reaches = w.nodes[n].reaches_store(&w.store, w.now);
                match done {
                    Outcome::Done(rev) if !lost && reaches => {
                        let (now, cfg, catalog) = (w.now, w.cfg_of(n), w.catalog.clone());
                        w.nodes[n].follow(&w.store, now);
                        if !w.nodes[n].begin(bid, hold, rev, &cfg, &catalog, now) {
                            w.store.drop_hold(hold);
                        }
                    }
                    _ if reaches => w.store.drop_hold(hold),
                    _ => {}
                }
            });
        });
    }

    /// What a node's version makes of the settings.
    fn cfg_of(&self, n: usize) -> Config {
        let mut cfg = self.cfg.clone();
        if let Some((bytes, ops, rate)) = self.next_limits.filter(|_| !self.nodes[n].old) {
            cfg.value_bytes = cfg.value_bytes.min(bytes);
            cfg.txn_ops = cfg.txn_ops.min(ops);
            cfg.next_write_rate = f64::from(rate) * 0.7;
        }
        cfg
    }

    fn renew(&mut self, n: usize, hold: u64, reaches: bool) {
        let answer = if reaches {
            self.store.touch(hold, self.now)
        } else {
            None
        };
        let bound = answer_bound(self.times.cancel, self.times.lease);
        match answer {
            Some(true) => self.nodes[n].answers_until = self.now.plus(bound),
            Some(false) => self.nodes[n].depose(),
            None => {}
        }
    }

    /// A leader asks the other nodes what was cancelled that its records don't show.
    fn ask_words(&mut self, n: usize) {
        let (asked, epoch) = (self.now, self.nodes[n].epoch);
        for p in (0..self.nodes.len()).filter(|p| *p != n) {
            let d = self.delay();
            self.after(d, move |w| {
                let now = w.now;
                let (here, there) = (&w.nodes[n], &w.nodes[p]);
                let cut = now < here.no_peers_until
                    || now < there.no_peers_until
                    || (here.zone != there.zone && now < w.apart_until);
                if cut || here.epoch != epoch || !there.is_up(now) {
                    return;
                }
                if there.frozen(now) > Micros::ZERO {
                    return;
                }
                let (rev, cursor) = (here.view.rev, here.words.cursor(&there.name));
                let (term, word) = there.word(rev, cursor);
                let d = w.delay();
                w.after(d, move |w| w.take_word(n, p, epoch, asked, term, word));
            });
        }
    }

    fn take_word(
        &mut self,
        n: usize,
        p: usize,
        epoch: u64,
        asked: Micros,
        term: u64,
        word: Option<Word>,
    ) {
        let now = self.now;
        let frozen = self.nodes[n].frozen(now);
        if frozen > Micros::ZERO {
            return self.after(frozen, move |w| w.take_word(n, p, epoch, asked, term, word));
        }
        if self.nodes[n].epoch != epoch || !self.nodes[n].is_up(now) {
            return;
        }
        if self.nodes[n].leader.as_ref().is_some_and(|l| l.term < term) {
            return self.nodes[n].depose();
        }
        let names: Vec<String> = self.nodes.iter().map(|x| x.name.clone()).collect();
        let others: Vec<String> = names.iter().filter(|x| **x != names[n]).cloned().collect();
        let bound = answer_bound(self.times.cancel, self.times.lease);
        if let Some(word) = word {
            self.nodes[n].take_word(&names[p], &word, asked, &others, bound, now);
        }
        self.poll(n);
    }

    fn deaf(&mut self, n: usize) -> bool {
        let now = self.now;
        let node = &mut self.nodes[n];
        let Some((known, heard, deaf)) = node.leader.as_ref().map(|l| l.heard(now)) else {
            return false;
        };
        let cut = now < node.no_workers_until;
        let hearing = Hearing {
            known,
            heard,
            knocks: if cut { known } else { deaf }.saturating_sub(deaf),
            peers: 2,
            others: 2,
        };
        if !hearing.deaf() {
            node.deaf_since = None;
            return false;
        }
        let since = *node.deaf_since.get_or_insert(now);
        now.since(since) > Micros::from_secs(3)
    }

    fn resign(&mut self, n: usize, reaches: bool) {
        self.resignations += 1;
        let node = &mut self.nodes[n];
        let Some(rev) = node.leader.as_ref().map(Leader::term_rev) else {
            return;
        };
        node.depose();
        node.shy_until = self.now.plus(Micros::from_secs(30));
        node.life += 1;
        let (when, writes) = resignation(&node.view, &node.name, node.life, rev);
        let done = reaches && matches!(self.store.txn(&when, &writes, None), Outcome::Done(_));
        node.announced = done;
    }

    fn poll(&mut self, n: usize) {
        let now = self.now;
        let node = &mut self.nodes[n];
        if !node.may_answer(now) {
            return;
        }
        let epoch = node.epoch;
        let Some(leader) = node.leader.as_mut() else {
            return;
        };
        for e in leader.poll(now) {
            self.carry_out(n, epoch, e);
        }
    }

    /// Gives an answer to the leader that asked, if it still leads; then runs its loops.
    fn tell(&mut self, n: usize, epoch: u64, f: impl FnOnce(&mut Leader, Micros) + 'static) {
        let now = self.now;
        let frozen = self.nodes[n].frozen(now);
        if frozen > Micros::ZERO {
            return self.after(frozen, move |w| w.tell(n, epoch, f));
        }
        let node = &mut self.nodes[n];
        if node.epoch == epoch && node.is_up(now) {
            if let Some(l) = node.leader.as_mut() {
                f(l, now);
                self.poll(n);
            }
        }
    }

    fn carry_out(&mut self, n: usize, epoch: u64, e: Effect) {
        match e {
            Effect::Txn { when, writes } => self.send_txn(n, epoch, when, writes),
            Effect::Refresh => {
                let d = self.delay();
                self.after(d, move |w| w.refresh(n, epoch));
            }
            Effect::Orders {
                machine,
                session,
                token,
                orders,
                ..
            } => self.send_orders(n, epoch, machine, session, token, orders),
            Effect::Probe { machine, .. } => {
                let d = self.delay();
                self.after(d, move |w| {
                    if w.cut(n, &machine).max(w.unheard(&machine)) > Micros::ZERO {
                        w.tell(n, epoch, move |l, now| l.probe_failed(&machine, now));
                        return;
                    }
                    let now = w.now;
                    let r = w
                        .workers
                        .get_mut(&*machine)
                        .filter(|m| m.is_up(now))
                        .map(Worker::report);
                    if r.is_none() {
                        w.tell(n, epoch, move |l, now| l.probe_failed(&machine, now));
                    }
                    if let Some(r) = r {
                        let d = w.delay();
                        w.after(d, move |w| {
                            w.tell(n, epoch, move |l, now| l.heard_directly(r, now));
                        });
                    }
                });
            }
            Effect::Rent {
                request,
                type_name,
                zone,
                spot,
                count,
            } => {
                let lost = self.faults.losses && self.luck(8) == 0;
                let d = self.delay();
                self.after(d, move |w| {
                    let end = w.rent(&request, &type_name, &zone, spot, count);
                    let (end, wait) = if lost {
                        (Rented::Unknown, Micros::from_secs(4))
                    } else {
                        (end, Micros::from_millis(100))
                    };
                    w.after(wait, move |w| {
                        w.tell(n, epoch, move |l, now| l.rented(&request, end, now));
                    });
                });
            }
            Effect::Return { names } => {
                let late = Micros::from_millis(100 + self.luck(3_000));
                self.after(late, move |w| {
                    for name in &names {
                        let now = w.now;
                        if let Some(m) = w.workers.get_mut(&**name) {
                            let busy = m.tasks.values().any(Held::on);
                            w.returned_alive += u64::from(m.is_up(now) && busy);
                            m.gone = true;
                        }
                    }
                    w.tell(n, epoch, move |l, now| l.returned(&names, now));
                });
            }
            Effect::RaiseTerm => {
                let node = &self.nodes[n];
                let Some((term, rev)) = node.leader.as_ref().map(|l| (l.term, l.term_rev())) else {
                    return;
                };
                let mut rec = node.view.term.1.clone();
                rec.term = term + 1;
                let write = Write {
                    key: TERM_KEY.to_owned(),
                    value: serde_json::to_string(&rec).ok(),
                };
                let reaches = node.reaches_store(&self.store, self.now);
                let done = if reaches {
                    self.store
                        .txn(&[(TERM_KEY.to_owned(), rev)], &[write], None)
                } else {
                    Outcome::Refused
                };
                let d = self.delay();
                self.after(d, move |w| {
                    w.tell(n, epoch, move |l, _| match done {
                        Outcome::Done(rev) => l.term_raised(term + 1, rev),
                        _ => l.raise_failed(),
                    });
                });
            }
        }
    }

    fn refresh(&mut self, n: usize, epoch: u64) {
        let now = self.now;
        let frozen = self.nodes[n].frozen(now);
        if frozen > Micros::ZERO {
            return self.after(frozen, move |w| w.refresh(n, epoch));
        }
        let ok = self.nodes[n].reaches_store(&self.store, now);
        if self.nodes[n].epoch != epoch || !self.nodes[n].is_up(now) {
            return;
        }
        if ok {
            self.nodes[n].follow(&self.store, now);
        }
        let node = &mut self.nodes[n];
        if let Some(l) = node.leader.as_mut() {
            l.refreshed(ok.then_some(&node.view), now, now);
        }
        self.poll(n);
    }

    /// A transaction may be applied late, and its answer may be lost.
    fn send_txn(&mut self, n: usize, epoch: u64, when: Vec<(String, u64)>, writes: Vec<Write>) {
        let cut = self.now < self.nodes[n].no_store_until;
        if cut {
            let end = self.nodes[n].no_store_until.since(self.now);
            self.after(end, move |w| {
                w.store.txn(&when, &writes, None);
            });
            self.after(Micros::from_millis(1_500), move |w| {
                w.tell(n, epoch, move |l, now| l.committed(Outcome::Unknown, now));
            });
            return;
        }
        if self.faults.losses && self.luck(20) == 0 {
            // Above its rate the store refuses.
            self.after(Micros::from_millis(5), move |w| {
                w.tell(n, epoch, move |l, now| l.committed(Outcome::Refused, now));
            });
            return;
        }
        let after_newer = self.now < self.late_writes_until
            || (self.faults.late_writes && self.now < self.quiet_from && self.luck(12) == 0);
        let lost = after_newer || (self.faults.losses && self.luck(15) == 0);
        let late = if after_newer {
            2_000 + self.luck(10_000)
        } else if lost {
            self.luck(8_000)
        } else {
            self.luck(30)
        };
        if lost {
            self.after(Micros::from_millis(1_500), move |w| {
                w.tell(n, epoch, move |l, now| l.committed(Outcome::Unknown, now));
            });
        }
        self.after(Micros::from_millis(late), move |w| {
            let done = w.store.txn(&when, &writes, None);
            if lost {
                return;
            }
            let d = w.delay();
            w.after(d, move |w| {
                let deposed =
                    matches!(&done, Outcome::Failed(k) if k.iter().any(|k| k == TERM_KEY));
                if deposed && w.nodes[n].epoch == epoch {
                    w.nodes[n].depose();
                }
                w.tell(n, epoch, move |l, now| l.committed(done, now));
            });
        });
    }

    /// Direct orders may be executed long after the sender gave up.
    fn send_orders(
        &mut self,
        n: usize,
        epoch: u64,
        machine: Arc<str>,
        session: u64,
        token: u64,
        orders: Vec<Order>,
    ) {
        let starts = orders.iter().any(|o| matches!(o, Order::Start { .. }));
        let cut = self.cut(n, &machine).max(self.unheard(&machine));
        let hung = self
            .workers
            .get(&*machine)
            .map_or(Micros::ZERO, |m| m.hung_until.since(self.now));
        let lost = self.faults.losses && self.luck(15) == 0;
        let late = cut.max(hung).plus(if lost {
            Micros::from_millis(self.luck(20_000))
        } else {
            self.delay()
        });
        let unanswered = lost || late > Micros::from_millis(1_500);
        if unanswered {
            let machine = machine.clone();
            self.after(Micros::from_millis(1_500), move |w| {
                w.tell(n, epoch, move |l, now| {
                    l.ordered(&machine, session, token, starts, Ordered::Unknown, now);
                });
            });
        }
        self.after(late, move |w| {
            let Some(r) = w.direct(&machine, session, token, &orders) else {
                return;
            };
            if unanswered {
                return;
            }
            let d = w.delay();
            w.after(d, move |w| {
                w.tell(n, epoch, move |l, now| {
                    l.ordered(&machine, session, token, starts, r, now);
                });
            });
        });
    }

    fn direct(
        &mut self,
        machine: &str,
        session: u64,
        token: u64,
        orders: &[Order],
    ) -> Option<Ordered> {
        let now = self.now;
        let m = self.workers.get_mut(machine).filter(|m| m.is_up(now))?;
        if m.session != session || !m.take_token(token) {
            return Some(Ordered::Stale(m.report()));
        }
        self.execute(machine, orders);
        let m = self.workers.get_mut(machine)?;
        Some(Ordered::Done(m.report()))
    }

    fn execute(&mut self, machine: &str, orders: &[Order]) {
        let now = self.now;
        let World {
            workers,
            jobs,
            done,
            rng,
            ..
        } = self;
        let Some(m) = workers.get_mut(machine) else {
            return;
        };
        for o in orders {
            let Order::Start { job, task, .. } = o else {
                continue;
            };
            for need in jobs.get(&**job).iter().flat_map(|j| &j.spec.needs) {
                let all = jobs.get(need).map_or(0, |j| j.spec.tasks as usize);
                if done.get(need).map_or(0, BTreeSet::len) < all {
                    self.too_early = Some(format!("{job}/{task}, which needs {need}"));
                }
            }
            let cancelled = jobs
                .get(&**job)
                .and_then(|j| j.cancelled_at.or(j.withdrawn_at));
            if cancelled.is_some_and(|at| now.since(at) > self.times.cancel) {
                self.started_late = Some(format!("{job}/{task} on {machine}"));
            }
        }
        let spec_of = |id: &str| jobs.get(id).map(|j| j.spec.clone());
        m.execute(
            orders,
            &spec_of,
            &mut |n| rng.random_range(0..n.max(1)),
            now,
        );
    }

    // Cloud.

    fn rent(&mut self, request: &str, type_name: &str, zone: &str, spot: bool, n: u32) -> Rented {
        if let Some(names) = self.requests.get(request) {
            return Rented::Machines(names.clone());
        }
        let there = self
            .workers
            .values()
            .filter(|m| !m.gone && m.type_name == type_name && m.zone == zone && m.spot == spot)
            .count() as u32;
        let n = n.min(3u32.saturating_sub(there));
        if n == 0 {
            return Rented::NoCapacity;
        }
        let size = self
            .catalog
            .get(type_name)
            .map(|t| t.size)
            .unwrap_or_default();
        let mut names = Vec::new();
        for _ in 0..n {
            self.next_machine += 1;
            let name = format!("vm-{:06}", self.next_machine);
            // Some take long, a few never come up, and some are slow once they are.
            let odd = self.faults.machines && self.now < self.quiet_from;
            let boot = match self.luck(12) {
                0 if odd => Micros::from_secs(1_000_000),
                1 if odd => Micros::from_secs(45),
                _ => Micros::from_secs(1 + self.luck(14)),
            };
            let slow = odd && self.luck(6) == 0;
            let target = self.luck(3) as usize;
            self.workers.insert(
                name.clone(),
                Worker {
                    name: name.clone(),
                    type_name: type_name.to_owned(),
                    zone: zone.to_owned(),
                    spot,
                    size,
                    slow,
                    boots_at: self.now.plus(boot),
                    gone: false,
                    hung_until: Micros::ZERO,
                    deaf_until: Micros::ZERO,
                    mute_until: Micros::ZERO,
                    session: 1,
                    seq: 0,
                    token: 0,
                    lease_from: self.now.plus(boot),
                    notice: None,
                    tasks: BTreeMap::new(),
                    target,
                    next_report: Micros::ZERO,
                    waiting: None,
                    changed: false,
                },
            );
            names.push(name);
        }
        self.requests.insert(request.to_owned(), names.clone());
        Rented::Machines(names)
    }

    fn list(&mut self, n: usize) {
        let list: Vec<ListedMachine> = self
            .workers
            .values()
            .filter(|m| !m.gone)
            .map(|m| ListedMachine {
                name: m.name.clone(),
                addr: m.name.clone(),
                type_name: m.type_name.clone(),
                zone: m.zone.clone(),
                spot: m.spot,
                failed: false,
                age: Micros::from_secs(10),
            })
            .collect();
        let epoch = self.nodes[n].epoch;
        // The list lags.
        let lag = Micros::from_secs(self.luck(12));
        self.after(lag, move |w| {
            let gone = w.nodes[n].view.gone.clone();
            w.tell(n, epoch, move |l, now| {
                l.listed(&list, &|x| gone.contains(x), now)
            });
        });
    }

    // Workers.

    fn worker_tick(&mut self, name: &str) {
        let now = self.now;
        let times = self.times.clone();
        let Some(m) = self.workers.get_mut(name) else {
            return;
        };
        if m.gone || now < m.boots_at {
            return;
        }
        // A machine that hangs for longer than its lease has lost its tasks when it resumes.
        m.check_lease(&times, now);
        if !m.is_up(now) {
            return;
        }
        let mut done = Vec::new();
        for ((id, _), h) in m.tasks.iter_mut() {
            let Some(job) = self.jobs.get(&id.0) else {
                continue;
            };
            if job.mistaken && h.state == TaskState::Running {
                h.state = TaskState::Exited {
                    cause: Cause::Error,
                    saved: false,
                };
                m.changed = true;
                continue;
            }
            if advance(h, &job.spec, now) {
                done.push(id.clone());
            }
            if matches!(h.state, TaskState::Running | TaskState::Waiting) && h.until <= now {
                m.changed = true;
            }
        }
        if m.waiting
            .is_some_and(|w| now.since(w.1) > Micros::from_secs(4))
        {
            m.waiting = None;
            m.target = (m.target + 1) % 3;
            m.next_report = now.plus(Micros::from_secs(1));
        }
        let due = now >= m.next_report
            || (m.changed
                && now.plus(times.report).since(m.next_report) > Micros::from_millis(500));
        let sends = due && m.waiting.is_none();
        if !done.is_empty() {
            m.changed = true;
        }
        let report = sends.then(|| {
            m.changed = false;
            m.next_report = now.plus(times.report);
            let r = m.report();
            m.waiting = Some((r.seq, now));
            (r, m.target)
        });
        for (id, task) in done {
            self.done.entry(id).or_default().insert(task);
        }
        if let Some((r, target)) = report {
            if self.workers[name].mute_until > now {
                // No connection: nothing of it ever arrives, and it tries the next node.
                let name = name.to_owned();
                let (session, seq) = (r.session, r.seq);
                return self.after(Micros::from_millis(50), move |w| {
                    w.answered(&name, session, seq, None, None)
                });
            }
            // A cut holds packets and delivers them when it ends.
            let held = self.cut(target, name);
            let wait = held.plus(self.delay());
            if self.chance(self.faults.copies, 1.5) {
                let copy = r.clone();
                let (n, late) = (self.luck(3) as usize, 1_000 + self.luck(60_000));
                self.after(wait.plus(Micros::from_millis(late)), move |w| {
                    w.deliver_copy(n, copy)
                });
            }
            self.after(wait, move |w| w.deliver(target, r));
        }
    }

    /// A copy of an old report: whatever is answered, nobody listens.
    pub fn deliver_copy(&mut self, n: usize, r: Report) {
        let now = self.now;
        let frozen = self.nodes[n].frozen(now);
        if frozen > Micros::ZERO {
            return self.after(frozen, move |w| w.deliver_copy(n, r));
        }
        if !self.nodes[n].may_answer(now) {
            return;
        }
        let node = &mut self.nodes[n];
        let gone = node.view.gone.contains(&r.machine);
        if let Some(l) = node.leader.as_mut() {
            let _ = l.report(r, gone, now);
        }
        self.poll(n);
    }

    fn deliver(&mut self, n: usize, r: Report) {
        let now = self.now;
        let frozen = self.nodes[n].frozen(now);
        if frozen > Micros::ZERO {
            return self.after(frozen, move |w| w.deliver(n, r));
        }
        if !self.nodes[n].is_up(now) {
            return;
        }
        let (name, session, seq) = (r.machine.clone(), r.session, r.seq);
        let node = &mut self.nodes[n];
        let gone = node.view.gone.contains(&name);
        let may = node.may_answer(now);
        let answer = match node.leader.as_mut().filter(|_| may) {
            Some(l) => {
                let term = l.term;
                match l.report(r, gone, now) {
                    Ok(orders) => Some((term, orders)),
                    Err(_) => None,
                }
            }
            None => None,
        };
        self.poll(n);
        let leader = self
            .nodes
            .iter()
            .position(|x| x.may_answer(now))
            .filter(|l| *l != n);
        // A cut that began meanwhile holds the answer, and the worker drops it then.
        let d = self.cut(n, &name).plus(self.delay());
        self.after(d, move |w| w.answered(&name, session, seq, answer, leader));
    }

    fn answered(
        &mut self,
        name: &str,
        session: u64,
        seq: u64,
        answer: Option<(u64, Vec<Order>)>,
        leader: Option<usize>,
    ) {
        let now = self.now;
        let hears = |m: &&mut Worker| m.is_up(now) && now >= m.deaf_until;
        let Some(m) = self.workers.get_mut(name).filter(hears) else {
            return;
        };
        let Some((waiting, sent)) = m.waiting.filter(|w| w.0 == seq && m.session == session) else {
            return;
        };
        debug_assert_eq!(waiting, seq);
        m.waiting = None;
        match answer {
            Some((token, orders)) => {
                if m.take_token(token) {
                    m.lease_from = sent;
                    self.execute(name, &orders);
                }
            }
            None => {
                m.target = leader.unwrap_or((m.target + 1) % 3);
                m.next_report = now.plus(Micros::from_millis(500));
            }
        }
    }

    /// Gangs start when all members of an attempt wait, and end together.
    fn gangs(&mut self) {
        let now = self.now;
        let ids: Vec<String> = self
            .jobs
            .iter()
            .filter(|(_, j)| j.spec.kind == Kind::Gang)
            .map(|(id, _)| id.clone())
            .collect();
        for id in ids {
            let n = self.jobs[&id].spec.tasks;
            let mut counts: BTreeMap<u32, (u32, u32, u32)> = BTreeMap::new();
            for h in self.members(&id) {
                let c = counts.entry(h.attempt).or_default();
                match h.state {
                    TaskState::Waiting => c.0 += 1,
                    TaskState::Running => c.1 += 1,
                    TaskState::Exited {
                        cause: Cause::Done, ..
                    } => c.2 += 1,
                    _ => {}
                }
            }
            let (gang_wait, gang_peer) = (self.times.gang_wait, self.times.gang_peer);
            let mut finished = false;
            for h in self.members(&id) {
                let (waiting, running, done) = counts[&h.attempt];
                match h.state {
                    TaskState::Waiting if waiting == n => {
                        h.state = TaskState::Running;
                        h.until = now.plus(h.run);
                    }
                    TaskState::Waiting if now.since(h.until) > gang_wait => {
                        h.state = TaskState::Exited {
                            cause: Cause::Incomplete,
                            saved: false,
                        };
                    }
                    TaskState::Running if running == n && h.until <= now => finished = true,
                    TaskState::Running
                        if running + done < n && now.plus(h.run).since(h.until) > gang_peer =>
                    {
                        h.state = TaskState::Exited {
                            cause: Cause::Peers,
                            saved: false,
                        };
                    }
                    _ => {}
                }
            }
            if finished {
                for h in self.members(&id) {
                    if h.state == TaskState::Running {
                        h.state = TaskState::Exited {
                            cause: Cause::Done,
                            saved: false,
                        };
                    }
                }
                self.done.entry(id.clone()).or_default().extend(0..n);
                for m in self.workers.values_mut() {
                    m.changed = true;
                }
            }
        }
    }

    fn members<'a>(&'a mut self, id: &'a str) -> impl Iterator<Item = &'a mut Held> {
        let now = self.now;
        self.workers
            .values_mut()
            .filter(move |m| m.is_up(now))
            .flat_map(|m| m.tasks.iter_mut())
            .filter(move |((t, _), _)| t.0 == id)
            .map(|(_, h)| h)
    }

    // Users.

    /// Submits a job through whichever node has the store; false: nobody has, or it can never run.
    pub fn submit(&mut self, id: &str, spec: JobSpec) -> bool {
        if spec.can_ever_run(&self.catalog, &self.teams).is_err() {
            return false;
        }
        if !(spec.needs.iter()).all(|n| self.store.keys.contains_key(&job_key(n))) {
            return false;
        }
        let known = self.jobs.entry(id.to_owned()).or_insert(UserJob {
            spec: spec.clone(),
            accepted: false,
            cancelled_at: None,
            submitted_at: self.now,
            begun_at: None,
            answered: vec![self.now; self.nodes.len()],
            mistaken: id.ends_with('7') && spec.kind == Kind::Array,
            waits_since: None,
            withdrawn_at: None,
        });
        let record = JobRecord::accepted(self.now, Arc::new(spec));
        let key = job_key(id);
        let write = Write {
            key: key.clone(),
            value: serde_json::to_string(&record).ok(),
        };
        match self.store.txn(&[(key, 0)], &[write], None) {
            Outcome::Done(_) | Outcome::Failed(_) => {
                known.accepted = true;
                self.note_withdrawn();
                true
            }
            _ => false,
        }
    }

    /// Cancels a job by one of the nodes that have the store. True: it is cancelled.
    pub fn cancel(&mut self, id: &str) -> bool {
        let (store, now) = (&self.store, self.now);
        let able = |n: &Node| {
            n.is_up(now) && n.synced && n.frozen(now) == Micros::ZERO && n.reaches_store(store, now)
        };
        let able: Vec<usize> = (0..self.nodes.len())
            .filter(|n| able(&self.nodes[*n]))
            .collect();
        let at = self.luck(able.len() as u64) as usize;
        able.get(at).is_some_and(|n| self.cancel_by(*n, id))
    }

    /// Cancels a job as node `n` does: compare and set on its record, which it knows from then on.
    pub fn cancel_by(&mut self, n: usize, id: &str) -> bool {
        let key = job_key(id);
        let Some(entry) = self.store.keys.get(&key).cloned() else {
            return false;
        };
        let Ok(mut rec) = serde_json::from_str::<JobRecord>(&entry.value) else {
            return false;
        };
        if rec.state != JobState::Active {
            return rec.state == JobState::Cancelled;
        }
        rec.state = JobState::Cancelled;
        let write = Write {
            key: key.clone(),
            value: serde_json::to_string(&rec).ok(),
        };
        let value = write.value.clone().unwrap_or_default();
        let done = self.store.txn(&[(key.clone(), entry.rev)], &[write], None);
        let ok = matches!(done, Outcome::Done(_));
        if let Outcome::Done(rev) = done {
            self.nodes[n].know(&key, value, rev, self.now);
            if let Some(j) = self.jobs.get_mut(id) {
                j.cancelled_at = Some(self.now);
            }
            self.note_withdrawn();
        }
        ok
    }

    /// Notes which jobs are withdrawn with those that they need.
    fn note_withdrawn(&mut self) {
        loop {
            let off = |j: &UserJob| j.cancelled_at.is_some() || j.withdrawn_at.is_some();
            let new: Vec<String> = (self.jobs.iter())
                .filter(|(_, j)| j.accepted && !off(j))
                .filter(|(_, j)| (j.spec.needs.iter()).any(|n| self.jobs.get(n).is_some_and(off)))
                .map(|(id, _)| id.clone())
                .collect();
            if new.is_empty() {
                return;
            }
            for id in new {
                if let Some(j) = self.jobs.get_mut(&id) {
                    j.withdrawn_at = Some(self.now);
                }
            }
        }
    }

    /// A job drawn from the seed.
    pub fn draw_job(&mut self) -> JobSpec {
        let pick = self.luck(10);
        let (class, kind, priority, tasks) = match pick {
            0..=2 => ("web", Kind::Service, Priority::Production, 1 + self.luck(4)),
            3..=6 => ("batch", Kind::Array, Priority::Normal, 1 + self.luck(12)),
            _ => ("train", Kind::Gang, Priority::High, 1 + self.luck(3)),
        };
        let gang = kind == Kind::Gang;
        JobSpec {
            class: class.to_owned(),
            team: if self.luck(2) == 0 { "red" } else { "blue" }.to_owned(),
            kind,
            priority,
            tasks: tasks as u32,
            need: Res {
                cpu: 1_000 + 1_000 * self.luck(3),
                gpu: if gang { 1_000 } else { 0 },
                mem: 2_000,
            },
            types: None,
            zone: (self.luck(8) == 0).then(|| "east".to_owned()),
            one_zone: gang && self.luck(2) == 0,
            spread: kind == Kind::Service,
            spot: kind != Kind::Service,
            image: format!("img-{}", self.rng.random_range(0..3)),
            image_mb: 800,
            estimate: if kind == Kind::Service {
                Micros::ZERO
            } else {
                Micros::from_secs(3 + self.luck(15))
            },
            checkpoint: Micros::from_secs(if gang { 5 } else { 0 }),
            save: Micros::from_secs(if gang { 2 } else { 0 }),
            deadline: None,
            needs: Vec::new(),
        }
    }

    /// Whether the store calls this job done.
    pub fn is_done(&self, id: &str) -> bool {
        self.store
            .keys
            .get(&job_key(id))
            .and_then(|e| serde_json::from_str::<JobRecord>(&e.value).ok())
            .is_some_and(|r| r.state == JobState::Done)
    }

    /// The tasks of a job that are on machines now.
    pub fn running(&self, id: &str) -> usize {
        self.workers
            .values()
            .filter(|m| !m.gone)
            .flat_map(|m| m.tasks.iter())
            .filter(|((t, _), h)| t.0 == id && h.on())
            .count()
    }

    /// The node that may answer workers, if there is one.
    pub fn leader(&self) -> Option<usize> {
        self.nodes.iter().position(|n| n.may_answer(self.now))
    }

    pub fn heal(&mut self) {
        self.faults = Faults::default();
        self.store.down = false;
    }
}

/// Moves a task on by itself; true when it has just completed.
fn advance(h: &mut Held, spec: &JobSpec, now: Micros) -> bool {
    if now < h.until {
        return false;
    }
    match h.state {
        TaskState::Fetching if spec.kind == Kind::Gang => {
            h.state = TaskState::Waiting;
            h.until = now;
            false
        }
        TaskState::Fetching => {
            h.state = TaskState::Running;
            h.until = now.plus(h.run);
            false
        }
        TaskState::Running if spec.kind == Kind::Array => {
            h.state = TaskState::Exited {
                cause: Cause::Done,
                saved: false,
            };
            true
        }
        TaskState::Saving => {
            h.state = TaskState::Exited {
                cause: Cause::Stopped,
                saved: true,
            };
            false
        }
        _ => false,
    }
}
