//! The leader's memory and its loops: tasks against machines, machines against need, records
//! against memory. Each loop compares what is wanted with what is, so repeating one is harmless.

mod blocks;
mod capacity;
mod commit;
mod consolidate;
mod evidence;
mod faults;
mod jobs;
mod pipeline;
mod rules;
mod schedule;
mod watch;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use crate::catalog::{Catalog, MachineType, Res};
use crate::cluster::{JobNo, Machine, Order, Phase};
use crate::fleet::Fleet;
use crate::gang::Gang;
use crate::job::{JobSpec, JobState, Kind, Priority};
use crate::policy::Policy;
use crate::quota::{Quota, TeamLimits};
use crate::records::{ReturnedMachines, View};
use crate::time::Micros;

pub use capacity::{Refusal, Rented};
pub use commit::Outcome;
pub use evidence::{Ignored, ListedMachine, Ordered};
pub use faults::Fault;
pub use jobs::JobTimeline;

/// What the settings say, as far as the core needs it.
#[derive(Clone, Debug)]
pub struct Config {
    pub report: Micros,
    pub lease: Micros,
    pub gang_peer: Micros,
    pub cancel: Micros,
    /// Controllers in all.
    pub nodes: usize,
    /// Direct orders, and probes, that may be under way at a time: they must not crowd out reports
    /// and users, and yet reach the many machines that may be lost at once.
    pub calls: usize,
    pub txn_ops: usize,
    /// Changes a second that a leader may write.
    pub write_rate: f64,
    /// The same once the store's next limits are in force.
    pub next_write_rate: f64,
    /// The smaller of the store's present and next limits: nothing larger is written.
    pub value_bytes: usize,
    /// Rentals a second that a leader may ask the cloud for; twice as many at once.
    pub rent_rate: f64,
    /// Keys that the log's segments go round in: at ten segments a second, most batch jobs should
    /// be over before what was said of them has to be said again in a checkpoint.
    pub log_ring: u64,
    /// Bytes that one transaction may hold, with room to spare.
    pub txn_bytes: usize,
    pub teams: Vec<TeamLimits>,
    pub objectives: Vec<Objective>,
    /// Work within a team's guarantee is to be started within this time.
    pub guarantee_within: Micros,
    pub policy: Policy,
}

/// What is expected of a class of jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    pub class: String,
    pub aim: Aim,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Aim {
    /// Started within this time.
    Wait(Micros),
    /// Done within this time.
    Finished(Micros),
    /// Done by this many times the job's own deadline.
    Deadline(f64),
}

/// A leader whose loops did not run for this long stood still, and so did its reading of reports.
const STOOD_STILL: Micros = Micros::from_secs(2);

/// How fast production's past demand fades from the estimate of what is to come.
const FADE: Micros = Micros::from_secs(60);

/// One write of a transaction; no value deletes the key.
#[derive(Clone, Debug, PartialEq)]
pub struct Write {
    pub key: String,
    pub value: Option<String>,
}

/// What the shell round the core is to do.
#[derive(Clone, Debug)]
pub enum Effect {
    /// Answer with [`Leader::committed`].
    Txn {
        when: Vec<(String, u64)>,
        writes: Vec<Write>,
    },
    /// Read the records anew and answer with [`Leader::refreshed`].
    Refresh,
    /// Answer with [`Leader::ordered`].
    Orders {
        machine: Arc<str>,
        addr: String,
        session: u64,
        token: u64,
        orders: Vec<Order>,
    },
    /// Ask a machine for its report; what it says goes to [`Leader::heard_directly`].
    Probe { machine: Arc<str>, addr: String },
    /// Answer with [`Leader::rented`].
    Rent {
        request: String,
        type_name: String,
        zone: String,
        spot: bool,
        count: u32,
    },
    /// Answer with [`Leader::returned`].
    Return { names: Vec<Arc<str>> },
    /// Take the next term, to end doubts about starts that may still be under way.
    RaiseTerm,
}

/// A place that a task has, or is assumed to have.
#[derive(Clone, Debug)]
pub(crate) struct Place {
    pub machine: Arc<str>,
    pub session: u64,
    pub attempt: u32,
    /// On record.
    pub committed: bool,
    /// Part of the transaction under way.
    pub in_txn: bool,
    pub seen: Seen,
    /// The report whose answer last carried the start.
    pub sent_seq: u64,
    pub sent: bool,
    pub since: Micros,
    pub running_since: Option<Micros>,
    pub stop: Option<Stop>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Seen {
    No,
    Fetching,
    Waiting,
    Running,
    Saving,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    pub grace: Micros,
    pub since: Micros,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    pub attempt: u32,
    pub done: bool,
    pub place: Option<Box<Place>>,
}

pub(crate) struct Job {
    pub id: Arc<str>,
    pub spec: Arc<JobSpec>,
    /// Its class and its team in the leader's tables.
    pub class: usize,
    pub team: usize,
    pub rev: u64,
    pub state: JobState,
    /// On this node's steady clock.
    pub submitted: Micros,
    /// When its waits began: submitted, or released by the last job that it needs.
    pub queued: Micros,
    /// Jobs that it needs and that are not done yet. As long as there are any, it is in no queue and
    /// holds nothing of its team's limit or guarantee.
    pub unmet: BTreeSet<Arc<str>>,
    /// The highest priority of this job and of those that need it, and until when it must be done for
    /// their deadlines.
    pub priority: Priority,
    pub due: Option<Micros>,
    /// When its last task was found done.
    pub done_at: Option<Micros>,
    pub tasks: Vec<Task>,
    /// Neither done nor placed.
    pub idle: BTreeSet<u32>,
    pub placed: u32,
    pub done: u32,
    /// Revision of each chunk record (0: not there), and the log's segment up to which it holds.
    pub chunks: Vec<(u64, u64)>,
    pub gang: Gang,
    pub not_before: Micros,
    /// When it became idle as a whole again.
    pub parked_at: Micros,
    /// When a task of it was placed last.
    pub served_at: Micros,
    /// Machines where a task of this job failed or was refused, and until when to avoid them.
    pub avoid: BTreeMap<Arc<str>, Micros>,
    pub errors: u32,
    /// Not before then is room to be made for it again.
    pub search_after: Micros,
    /// Room is being made where its image is: it waits for that until then.
    pub room_by: Option<Micros>,
    /// All tasks were placed at one time.
    pub started: bool,
    pub zones: BTreeMap<Arc<str>, u32>,
    /// Its place in the order of service, as of the last pass; the last as long as there was none.
    pub rank: u8,
}

impl Job {
    /// Every task has completed.
    fn complete(&self) -> bool {
        self.spec.kind != Kind::Service && self.done == self.spec.tasks
    }

    fn active(&self) -> bool {
        self.state == JobState::Active && !self.complete() && self.unmet.is_empty()
    }

    /// Started work, or work to come, per task.
    fn next_attempt(&self, task: u32) -> u32 {
        match self.spec.kind {
            Kind::Gang => self.tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1,
            _ => self.tasks[task as usize].attempt + 1,
        }
    }
}

/// What is known of a class of jobs.
struct Class {
    name: String,
    aims: Vec<Aim>,
    /// Run time seen over the owner's estimate.
    ratio: f64,
    /// Tasks of a job of this class, the later ones counting more.
    mean_tasks: f64,
}

pub struct Leader {
    cfg: Config,
    /// Sent with every order.
    pub term: u64,
    term_rev: u64,
    /// The term in which office was taken: a worker that has seen it, or a later one of ours,
    /// drops whatever the leader before us says.
    office_term: u64,
    /// From then on the leader before us answers nobody.
    old_silent_at: Micros,
    catalog: Arc<Catalog>,
    quota: Quota,
    jobs: BTreeMap<JobNo, Job>,
    by_id: HashMap<Arc<str>, JobNo>,
    /// Cancelled by another node's word, and not yet so in the records that this node has.
    called_off: HashSet<String>,
    /// Jobs that wait for others, by those that they need.
    dependents: HashMap<Arc<str>, Vec<JobNo>>,
    next_job: JobNo,
    machines: BTreeMap<Arc<str>, Machine>,
    fleet: Fleet,
    classes: Vec<Class>,
    /// Active jobs, the oldest first, and those with tasks neither done nor placed.
    by_age: BTreeSet<(Micros, JobNo)>,
    open: BTreeSet<JobNo>,
    /// Gangs at the barrier.
    at_barrier: BTreeSet<JobNo>,
    /// Machines that hold nothing, and those that are not yet heard or not yet ours.
    empty: BTreeSet<Arc<str>>,
    coming: BTreeSet<Arc<str>>,
    /// When to look after each machine.
    looks: BTreeSet<(Micros, Arc<str>)>,
    /// Machines with stops or starts that have not shown any effect yet.
    unsettled: BTreeSet<Arc<str>>,
    // Records that differ from memory.
    dirty: commit::Dirty,
    final_jobs: BTreeSet<JobNo>,
    blocks: blocks::Blocks,
    /// The store has turned down a value for its size: the next limits are in force.
    narrow: bool,
    /// When the store refused changes for their number.
    throttles: VecDeque<Micros>,
    gone_machines: ReturnedMachines,
    log: commit::Log,
    leftovers: VecDeque<String>,
    txn: Option<commit::Pending>,
    paused: bool,
    refresh_out: bool,
    next_txn: Micros,
    pace: commit::Pace,
    // Things to do at the next poll.
    push: BTreeSet<Arc<str>>,
    /// Machines that are to be called again, and when.
    push_later: BTreeSet<(Micros, Arc<str>)>,
    /// Direct calls under way.
    orders_out: usize,
    probes_out: usize,
    /// When a machine was last heard.
    last_heard: Micros,
    /// When a machine last reported.
    last_report: Micros,
    schedule_wanted: bool,
    /// Teams of which, in this pass, the rest of the limit is kept for a starved gang: of the
    /// accelerators alone, or of everything.
    kept_for: Vec<(usize, bool)>,
    /// When a job was last found waiting.
    waited_at: Micros,
    /// Processors that production asked for lately, fading with time, and as of when.
    demand: (f64, Micros),
    /// Searches for room to be made that are left in this pass.
    searches: u32,
    next_schedule: Micros,
    next_tick: Micros,
    next_plan: Micros,
    effects: Vec<Effect>,
    raise_out: bool,
    // Renting.
    rents: Vec<capacity::Renting>,
    rent_pace: commit::Pace,
    /// How often each type, zone and kind was asked for in this rush, and when last.
    rents_asked: HashMap<(String, String, bool), (u32, Micros)>,
    next_request: u64,
    refusals: HashMap<(String, String, bool), Refusal>,
    /// How soon batch work is to be under way, by the policy.
    drain: Micros,
    /// What tasks with accelerators need.
    gpu_needs: HashSet<Res>,
    /// When such work was last submitted.
    gpu_asked: Micros,
    /// Batch work that is placed, in processor-seconds of its estimates.
    batch_placed: f64,
    /// Machines and jobs looked at: what a pass costs, for tests.
    steps: u64,
    log_state: faults::LogState,
    /// Where the time went of jobs that ended last.
    ended: VecDeque<(Arc<str>, JobTimeline)>,
    /// Zones in which a controller can be reached from here: a silent machine there is no sign of
    /// a cut.
    pub open_zones: BTreeSet<String>,
    /// Time of day less steady time, as of taking office: for ages in records.
    wall_offset: Micros,
    /// When office was taken, or this process went on after it had stood still: silence is counted
    /// from then, since what was said meanwhile has not been read yet.
    awake_since: Micros,
    polled_at: Micros,
    took_office: Micros,
}

impl Leader {
    /// Takes over with what the records say. `old_silent_at`: from then on no earlier leader can
    /// answer a worker.
    pub fn new(
        cfg: Config,
        view: &View,
        catalog: Arc<Catalog>,
        old_silent_at: Micros,
        now: Micros,
        wall: Micros,
    ) -> Leader {
        let rent_pace = commit::Pace::new(cfg.rent_rate, now);
        let mut l = Leader {
            quota: Quota::new(cfg.teams.clone()),
            pace: commit::Pace::new(cfg.write_rate, now),
            dirty: commit::Dirty::default(),
            blocks: blocks::Blocks::new(view, &cfg),
            narrow: false,
            throttles: VecDeque::new(),
            log: commit::Log::new(view, &cfg),
            cfg,
            term: view.term.1.term,
            term_rev: view.term.0,
            office_term: view.term.1.term,
            old_silent_at,
            catalog,
            jobs: BTreeMap::new(),
            by_id: HashMap::new(),
            called_off: HashSet::new(),
            dependents: HashMap::new(),
            next_job: 1,
            machines: BTreeMap::new(),
            fleet: Fleet::default(),
            classes: Vec::new(),
            by_age: BTreeSet::new(),
            open: BTreeSet::new(),
            at_barrier: BTreeSet::new(),
            empty: BTreeSet::new(),
            coming: BTreeSet::new(),
            looks: BTreeSet::new(),
            unsettled: BTreeSet::new(),
            final_jobs: BTreeSet::new(),
            gone_machines: ReturnedMachines::default(),
            leftovers: VecDeque::new(),
            txn: None,
            paused: false,
            refresh_out: false,
            next_txn: Micros::ZERO,
            push: BTreeSet::new(),
            push_later: BTreeSet::new(),
            orders_out: 0,
            probes_out: 0,
            last_heard: Micros::ZERO,
            last_report: Micros::ZERO,
            schedule_wanted: true,
            kept_for: Vec::new(),
            waited_at: now,
            demand: (0.0, now),
            searches: 0,
            next_schedule: now,
            next_tick: now,
            next_plan: now,
            effects: Vec::new(),
            raise_out: false,
            rents: Vec::new(),
            rent_pace,
            rents_asked: HashMap::new(),
            next_request: 1,
            refusals: HashMap::new(),
            drain: Micros::from_secs(90),
            gpu_needs: HashSet::new(),
            gpu_asked: Micros::ZERO,
            batch_placed: 0.0,
            steps: 0,
            log_state: faults::LogState::default(),
            ended: VecDeque::new(),
            open_zones: BTreeSet::new(),
            wall_offset: wall.since(now),
            awake_since: now,
            polled_at: now,
            took_office: now,
        };
        for (no, (_, block)) in &view.blocks {
            // A type that is no longer offered still holds what it holds: no room, but evidence.
            let kind = l.catalog.get(&block.type_name).cloned();
            let kind = Arc::new(kind.unwrap_or_else(|| MachineType::unknown(&block.type_name)));
            let zone: Arc<str> = block.zone.as_str().into();
            for rec in &block.machines {
                let mut m =
                    Machine::new(&rec.0, kind.clone(), zone.clone(), block.spot, &rec.1, now);
                m.recorded = true;
                m.block = Some(*no);
                m.born = now.since(wall.since(rec.3));
                if rec.2 {
                    m.phase = Phase::Returning(true);
                }
                if let Some(first) = l.machines.get_mut(&m.name) {
                    let from = first.block.replace(*no);
                    if let Some(from) = from.filter(|f| f != no) {
                        l.blocks
                            .moved(&m.name, from, now.plus(Micros::from_secs(1)));
                    }
                    continue;
                }
                l.add_machine(m);
                l.recall_images(&rec.0, view, now);
            }
        }
        let mut ids: Vec<&String> = view.jobs.keys().collect();
        ids.sort();
        for id in ids {
            l.job_changed(view, id, now, wall);
        }
        l.log.recall(view, &l.by_id);
        for (id, chunks) in &view.chunks {
            if !l.by_id.contains_key(id.as_str()) {
                l.leftovers
                    .extend(chunks.keys().map(|c| crate::records::chunk_key(id, *c)));
            }
        }
        l
    }

    pub fn term_rev(&self) -> u64 {
        self.term_rev
    }

    /// Prices or types changed.
    pub fn set_catalog(&mut self, catalog: Arc<Catalog>) {
        self.catalog = catalog;
        self.schedule_wanted = true;
    }

    /// The term was raised without a change of leader.
    pub fn term_raised(&mut self, term: u64, rev: u64) {
        self.raise_out = false;
        if term <= self.term {
            return;
        }
        self.term = term;
        self.term_rev = rev;
        // The others hear of it by the answers to their reports.
        let doubtful = self.unsettled.iter().filter(|n| {
            let m = self.machines.get(*n);
            m.is_some_and(|m| m.doubt.is_some())
        });
        let doubtful: Vec<Arc<str>> = doubtful.cloned().collect();
        self.push.extend(doubtful);
    }

    pub fn raise_failed(&mut self) {
        self.raise_out = false;
    }

    /// The old leader is proven gone: none before us answers anybody from then on.
    pub fn old_leader_gone(&mut self, silent_at: Micros) {
        self.old_silent_at = self.old_silent_at.min(silent_at);
    }

    fn add_machine(&mut self, mut m: Machine) {
        let name = m.name.clone();
        self.fleet.add(&mut m);
        self.empty.insert(name.clone());
        self.coming.insert(name.clone());
        self.looks.insert((m.look_at, name.clone()));
        self.machines.insert(name, m);
    }

    /// What the records prove of a machine's cache, for a leader that has never heard of the machine.
    fn recall_images(&mut self, name: &str, view: &View, now: Micros) {
        let (Some(cache), Some(m)) = (view.images.of(name), self.machines.get_mut(name)) else {
            return;
        };
        m.recalled_session = Some(cache.session);
        let count = cache.images.len() as u64;
        for (i, image) in cache.images.iter().enumerate() {
            // In the order of their use, and all before this leader's own time.
            let used_at = now.since(Micros(count - i as u64));
            let (came, went) = m.use_image(&image.name, image.size_mb, used_at);
            self.fleet.images(&m.zone, &came, &went);
        }
    }

    /// The machine is proven gone; nothing is on it any more.
    fn drop_machine(&mut self, name: &Arc<str>, now: Micros) {
        let Some(mut m) = self.machines.remove(name) else {
            return;
        };
        self.fleet.remove(&mut m);
        self.empty.remove(name);
        self.coming.remove(name);
        self.looks.remove(&(m.look_at, m.name.clone()));
        self.unsettled.remove(name);
        self.push.remove(name);
        self.gone_machines.insert(name);
        self.blocks.leave(&m, now);
    }

    /// Something about a machine changed that counts for placement.
    fn reindex(&mut self, name: &Arc<str>) {
        if let Some(m) = self.machines.get_mut(name) {
            self.fleet.update(m);
            if m.fenced_at.is_some() && m.recorded || matches!(m.phase, Phase::Returning(_)) {
                self.coming.remove(name);
            }
        }
    }

    fn look_at(&mut self, name: &Arc<str>, at: Micros) {
        if let Some(m) = self.machines.get_mut(name) {
            self.looks.remove(&(m.look_at, name.clone()));
            m.look_at = at;
            self.looks.insert((at, name.clone()));
        }
    }

    /// Orders are to reach this machine soon, and are repeated until they show an effect.
    fn call(&mut self, name: &Arc<str>) {
        self.push.insert(name.clone());
        self.unsettled.insert(name.clone());
    }

    /// Records a place in memory: its room is held from now on.
    #[allow(clippy::too_many_arguments)]
    fn hold(
        &mut self,
        no: JobNo,
        task: u32,
        machine: Arc<str>,
        session: u64,
        attempt: u32,
        committed: bool,
        now: Micros,
    ) {
        let (Some(job), Some(m)) = (self.jobs.get_mut(&no), self.machines.get_mut(&machine)) else {
            return;
        };
        let t = &mut job.tasks[task as usize];
        t.attempt = attempt;
        t.place = Some(Box::new(Place {
            machine: machine.clone(),
            session,
            attempt,
            committed,
            in_txn: false,
            seen: Seen::No,
            sent_seq: 0,
            // A leader before us may have sent it; its doubts end with our token.
            sent: committed,
            since: now,
            running_since: None,
            stop: None,
        }));
        job.idle.remove(&task);
        if job.idle.is_empty() {
            self.open.remove(&no);
        }
        job.placed += 1;
        // What is assumed at the gang barrier may have to be given back.
        if committed || job.spec.kind != Kind::Gang {
            job.served_at = now;
        }
        job.started |= job.idle.is_empty();
        *job.zones.entry(m.zone.clone()).or_default() += 1;
        m.holds.insert((no, task));
        m.used = m.used.plus(&job.spec.need);
        if committed {
            // What an earlier session says is older than this.
            m.session = m.session.max(session);
            self.unsettled.insert(machine.clone());
        }
        if job.spec.kind == Kind::Array {
            self.batch_placed += batch_seconds(&job.spec);
        } else {
            m.steady_cpu += job.spec.need.cpu;
        }
        self.quota.add(job.team, &job.spec.need);
        self.fleet.loaded(m, job.spec.priority, true);
        self.fleet.update(m);
        self.empty.remove(&machine);
    }

    /// A task's place is proven to be free, or was never sent.
    fn clear(&mut self, no: JobNo, task: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        let Some(place) = job.tasks[task as usize].place.take() else {
            return;
        };
        job.placed -= 1;
        if !place.committed && !place.sent && job.tasks[task as usize].attempt == place.attempt {
            // Never sent: the number was not used.
            job.tasks[task as usize].attempt -= 1;
        }
        if !job.tasks[task as usize].done {
            job.idle.insert(task);
            if job.active() {
                self.open.insert(no);
            }
        }
        self.quota.remove(job.team, &job.spec.need);
        if job.spec.kind == Kind::Array {
            self.batch_placed -= batch_seconds(&job.spec);
        }
        if let Some(m) = self.machines.get_mut(&place.machine) {
            if let Some(n) = job.zones.get_mut(&m.zone) {
                *n -= 1;
                if *n == 0 {
                    let zone = m.zone.clone();
                    job.zones.remove(&zone);
                }
            }
            m.holds.remove(&(no, task));
            m.used = m.used.minus(&job.spec.need);
            if job.spec.kind != Kind::Array {
                m.steady_cpu = m.steady_cpu.saturating_sub(job.spec.need.cpu);
            }
            if job.spec.need.gpu > 0 || m.kind.size.gpu == 0 {
                m.wanted_at = now;
            }
            if m.holds.is_empty() {
                m.idle_since = now;
                self.empty.insert(place.machine.clone());
            }
            self.fleet.loaded(m, job.spec.priority, false);
            self.fleet.update(m);
        }
        // In doubt, the record is written again: it must not keep a place that memory has dropped.
        if place.committed || place.in_txn {
            self.dirty.outcome(no, task, now);
        }
        self.schedule_wanted = true;
    }

    /// Stops every placed task of a job; those whose start was never sent are dropped at once.
    fn stop_all(&mut self, no: JobNo, grace: Micros, now: Micros) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        let placed: Vec<u32> = (0..job.spec.tasks)
            .filter(|t| job.tasks[*t as usize].place.is_some())
            .collect();
        for t in placed {
            self.stop(no, t, grace, now);
        }
    }

    fn stop(&mut self, no: JobNo, task: u32, grace: Micros, now: Micros) {
        let Some(place) = self
            .jobs
            .get_mut(&no)
            .and_then(|j| j.tasks[task as usize].place.as_mut())
        else {
            return;
        };
        if !place.sent {
            self.clear(no, task, now);
            return;
        }
        let sooner = place.stop.is_none_or(|s| grace < s.grace);
        if sooner {
            let since = place.stop.map_or(now, |s| s.since);
            place.stop = Some(Stop { grace, since });
        }
        let name = place.machine.clone();
        self.call(&name);
    }

    /// Marks a job that is over, and of which nothing is left on any machine, for its final record.
    fn check_complete(&mut self, no: JobNo) {
        let Some(job) = self.jobs.get(&no) else {
            return;
        };
        let over = match job.state {
            JobState::Cancelled => job.placed == 0,
            _ => job.complete() && job.placed == 0,
        };
        if over {
            self.close(no);
            self.final_jobs.insert(no);
        }
    }

    /// A task ended with its result kept.
    fn task_done(&mut self, no: JobNo, task: u32, now: Micros) {
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        if job.spec.kind == Kind::Service {
            return;
        }
        let t = &mut job.tasks[task as usize];
        if !t.done {
            t.done = true;
            job.done += 1;
            if job.done == job.spec.tasks {
                job.done_at = Some(now);
            }
            job.idle.remove(&task);
            if job.idle.is_empty() {
                self.open.remove(&no);
            }
            self.dirty.outcome(no, task, now);
        }
    }

    /// The estimate of a task's run time, corrected by what was seen of its class.
    fn estimate(&self, job: &Job) -> Micros {
        let ratio = self.classes.get(job.class).map_or(1.0, |c| c.ratio);
        job.spec.estimate.times(ratio).max(Micros::from_secs(1))
    }

    /// Runs whatever is due and hands out the effects.
    pub fn poll(&mut self, now: Micros) -> Vec<Effect> {
        if now.since(std::mem::replace(&mut self.polled_at, now)) > STOOD_STILL {
            self.awake_since = now;
        }
        if now >= self.next_tick {
            self.next_tick = now.plus(Micros::from_millis(500));
            self.tick(now);
        }
        if self.schedule_wanted && now >= self.next_schedule {
            self.schedule_wanted = false;
            self.next_schedule = now.plus(Micros::from_millis(100));
            self.schedule(now);
        }
        self.commit(now);
        self.send_orders(now);
        std::mem::take(&mut self.effects)
    }

    /// When `poll` has something to do at the latest.
    pub fn next_poll(&self) -> Micros {
        let mut at = self.next_tick;
        if self.schedule_wanted {
            at = at.min(self.next_schedule);
        }
        if let Some(due) = self.writes_due() {
            at = at.min(due.max(self.next_txn));
        }
        if let Some((due, _)) = self.push_later.first() {
            at = at.min(*due);
        }
        at
    }

    fn tick(&mut self, now: Micros) {
        self.watch_machines(now);
        if now >= self.next_plan {
            self.next_plan = now.plus(Micros::from_millis(500));
            self.apply_policy();
            self.plan_capacity(now);
            self.consolidate(now);
            self.schedule_wanted = true;
        }
    }

    /// Machines and jobs looked at so far.
    pub fn steps(&self) -> u64 {
        self.steps
    }

    /// How many machines are up as far as known, how many of them were heard lately, and how many
    /// others don't seem to hear us: they knock everywhere, which says nothing about this node.
    pub fn heard(&self, now: Micros) -> (usize, usize, usize) {
        // Reports are a quarter early or late at the most. Whoever waits longer to notice that nobody
        // is heard leaves too little of the leases for the workers to find another leader.
        let quiet = self.cfg.report.times(1.5);
        let mut all = (0, 0, 0);
        for m in self.machines.values() {
            let up = m.phase == Phase::Up
                || (m.phase == Phase::Unheard && m.recorded && m.up_since > Micros::ZERO);
            if up && m.deaf.since.is_some() {
                all.2 += 1;
            } else if up {
                all.0 += 1;
                all.1 += usize::from(now.since(m.last_heard.max(self.awake_since)) < quiet);
            }
        }
        all
    }

    /// One line for the log.
    pub fn summary(&self) -> String {
        let idle: usize = self
            .jobs
            .values()
            .filter(|j| j.active())
            .map(|j| j.idle.len())
            .sum();
        let placed: u32 = self.jobs.values().map(|j| j.placed).sum();
        let lost = self
            .machines
            .values()
            .filter(|m| m.is_up() && !m.takes_tasks());
        let up = self.machines.values().filter(|m| m.is_up()).count();
        let mut room: BTreeMap<&str, (u64, u64, u64)> = BTreeMap::new();
        for m in self.machines.values().filter(|m| m.is_up()) {
            let r = room.entry(&m.kind.name).or_default();
            r.0 += 1;
            r.1 += m.used.cpu / 1_000;
            r.2 += m.kind.size.cpu / 1_000;
        }
        let room: Vec<String> = room
            .iter()
            .map(|(t, (n, used, all))| format!("{t} {n}: {used}/{all}"))
            .collect();
        format!(
            "term {} jobs {} waiting {} placed {} machines {} up {} ({} closed) [{}] dirty {} log {} free {} paused {}",
            self.term,
            self.jobs.len(),
            idle,
            placed,
            self.machines.len(),
            up,
            lost.count(),
            room.join(", "),
            self.dirty.len() + self.final_jobs.len() + self.blocks.dirty(),
            self.log.next(),
            self.log.room(),
            self.paused
        )
    }

    /// Room that `need` takes on a machine, for tests and rules.
    pub fn used_by(&self, team: &str) -> Res {
        self.quota.used(self.quota.number(team))
    }
}

/// Processor-seconds of one task by its owner's estimate.
fn batch_seconds(spec: &JobSpec) -> f64 {
    spec.need.cpu as f64 / 1e3 * spec.estimate.as_secs_f64()
}
