//! The leader's memory and its loops: tasks against machines, machines against need, records
//! against memory. Each loop compares what is wanted with what is, so repeating one is harmless.

mod capacity;
mod commit;
mod evidence;
mod rules;
mod schedule;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::sync::Arc;

use crate::catalog::{Catalog, MachineType, Res};
use crate::cluster::{JobNo, Machine, Order, Phase};
use crate::gang::Gang;
use crate::job::{JobSpec, JobState, Kind};
use crate::policy::Policy;
use crate::quota::{Quota, TeamLimits};
use crate::records::{View, CHUNK};
use crate::time::Micros;

pub use capacity::{Refusal, Rented};
pub use commit::Outcome;
pub use evidence::{Ignored, ListedMachine, Ordered};

/// What the settings say, as far as the core needs it.
#[derive(Clone, Debug)]
pub struct Config {
    pub report: Micros,
    pub lease: Micros,
    pub gang_peer: Micros,
    pub cancel: Micros,
    pub txn_ops: usize,
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
    pub rev: u64,
    pub state: JobState,
    /// On this node's steady clock.
    pub submitted: Micros,
    pub tasks: Vec<Task>,
    /// Neither done nor placed.
    pub idle: BTreeSet<u32>,
    pub placed: u32,
    pub done: u32,
    /// Revision of each chunk record; 0: not there.
    pub chunk_revs: Vec<u64>,
    pub gang: Gang,
    pub not_before: Micros,
    /// Machines where a task of this job failed or was refused, and until when to avoid them.
    pub avoid: BTreeMap<Arc<str>, Micros>,
    pub errors: u32,
    pub preempted_at: Micros,
    /// Room is being made where its image is: it waits for that until then.
    pub room_by: Option<Micros>,
    /// All tasks were placed at one time.
    pub started: bool,
    pub zones: BTreeMap<Arc<str>, u32>,
}

impl Job {
    /// Every task has completed.
    fn complete(&self) -> bool {
        self.spec.kind != Kind::Service && self.done == self.spec.tasks
    }

    fn active(&self) -> bool {
        self.state == JobState::Active && !self.complete()
    }

    /// Started work, or work to come, per task.
    fn next_attempt(&self, task: u32) -> u32 {
        match self.spec.kind {
            Kind::Gang => self.tasks.iter().map(|t| t.attempt).max().unwrap_or(0) + 1,
            _ => self.tasks[task as usize].attempt + 1,
        }
    }
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
    next_job: JobNo,
    machines: BTreeMap<Arc<str>, Machine>,
    // Records that differ from memory.
    dirty: BTreeSet<(JobNo, u32)>,
    final_jobs: BTreeSet<JobNo>,
    dirty_machines: BTreeSet<Arc<str>>,
    gone_machines: BTreeSet<Arc<str>>,
    leftovers: VecDeque<String>,
    txn: Option<commit::Pending>,
    paused: bool,
    refresh_out: bool,
    next_txn: Micros,
    // Things to do at the next poll.
    push: BTreeSet<Arc<str>>,
    schedule_wanted: bool,
    next_schedule: Micros,
    next_tick: Micros,
    effects: Vec<Effect>,
    raise_out: bool,
    // Renting.
    rents: Vec<capacity::Renting>,
    next_request: u64,
    refusals: HashMap<(String, String, bool), Refusal>,
    /// Run time seen over the owner's estimate, per class.
    ratios: HashMap<String, f64>,
    /// How soon batch work is to be under way, by the policy.
    drain: Micros,
    /// What tasks with accelerators need, by class.
    gpu_needs: HashMap<String, Res>,
    /// Each active job's place in the order of service, as of the last pass.
    ranks: HashMap<JobNo, u8>,
    /// Zones in which a controller can be reached from here: a silent machine there is no sign of
    /// a cut.
    pub open_zones: BTreeSet<String>,
    /// Time of day less steady time, as of taking office: for ages in records.
    wall_offset: Micros,
    /// When office was taken: silence is counted from then.
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
        let mut l = Leader {
            quota: Quota::new(cfg.teams.clone()),
            cfg,
            term: view.term.1.term,
            term_rev: view.term.0,
            office_term: view.term.1.term,
            old_silent_at,
            catalog,
            jobs: BTreeMap::new(),
            by_id: HashMap::new(),
            next_job: 1,
            machines: BTreeMap::new(),
            dirty: BTreeSet::new(),
            final_jobs: BTreeSet::new(),
            dirty_machines: BTreeSet::new(),
            gone_machines: BTreeSet::new(),
            leftovers: VecDeque::new(),
            txn: None,
            paused: false,
            refresh_out: false,
            next_txn: Micros::ZERO,
            push: BTreeSet::new(),
            schedule_wanted: true,
            next_schedule: now,
            next_tick: now,
            effects: Vec::new(),
            raise_out: false,
            rents: Vec::new(),
            next_request: 1,
            refusals: HashMap::new(),
            ratios: HashMap::new(),
            drain: Micros::from_secs(90),
            gpu_needs: HashMap::new(),
            ranks: HashMap::new(),
            open_zones: BTreeSet::new(),
            wall_offset: wall.since(now),
            took_office: now,
        };
        for (name, (_, rec)) in &view.machines {
            // A type that is no longer offered still holds what it holds: no room, but evidence.
            let kind = l.catalog.get(&rec.type_name).cloned();
            let kind = kind.unwrap_or_else(|| MachineType::unknown(&rec.type_name));
            let mut m = Machine::new(name, Arc::new(kind), &rec.zone, rec.spot, &rec.addr, now);
            m.recorded = true;
            m.born = now.since(wall.since(rec.born));
            if rec.returning {
                m.phase = Phase::Returning(true);
            }
            l.machines.insert(m.name.clone(), m);
        }
        let mut ids: Vec<&String> = view.jobs.keys().collect();
        ids.sort();
        for id in ids {
            l.job_changed(view, id, now, wall);
        }
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
        let names: Vec<Arc<str>> = self.machines.keys().cloned().collect();
        self.push.extend(names);
    }

    pub fn raise_failed(&mut self) {
        self.raise_out = false;
    }

    /// The old leader is proven gone: none before us answers anybody from then on.
    pub fn old_leader_gone(&mut self, silent_at: Micros) {
        self.old_silent_at = self.old_silent_at.min(silent_at);
    }

    /// A job's record appeared or changed.
    pub fn job_changed(&mut self, view: &View, id: &str, now: Micros, wall: Micros) {
        let Some(entry) = view.jobs.get(id) else {
            return;
        };
        if let Some(&no) = self.by_id.get(id) {
            let Some(job) = self.jobs.get_mut(&no) else {
                return;
            };
            if entry.rev <= job.rev {
                return;
            }
            job.rev = entry.rev;
            if entry.record.state == JobState::Cancelled && job.state == JobState::Active {
                job.state = JobState::Cancelled;
                self.cancel(no, now);
            }
            return;
        }
        let chunks = view.chunks.get(id);
        let Some(spec) = entry.record.spec.clone() else {
            return;
        };
        // The outcome of a job without tasks on machines is final as it stands.
        if entry.record.state == JobState::Done {
            return;
        }
        let n = spec.tasks as usize;
        let no = self.next_job;
        self.next_job += 1;
        let mut job = Job {
            id: id.into(),
            rev: entry.rev,
            state: entry.record.state,
            submitted: now.since(wall.since(entry.record.submitted)),
            tasks: vec![Task::default(); n],
            idle: (0..spec.tasks).collect(),
            placed: 0,
            done: 0,
            chunk_revs: vec![0; n.div_ceil(CHUNK as usize)],
            gang: Gang::default(),
            not_before: Micros::ZERO,
            avoid: BTreeMap::new(),
            errors: 0,
            preempted_at: Micros::ZERO,
            room_by: None,
            started: false,
            zones: BTreeMap::new(),
            spec,
        };
        let mut places = Vec::new();
        for (&c, (rev, chunk)) in chunks.into_iter().flatten() {
            let Some(slot) = job.chunk_revs.get_mut(c as usize) else {
                continue;
            };
            *slot = *rev;
            for (i, a) in chunk.attempts.iter().enumerate() {
                if let Some(t) = job.tasks.get_mut(c as usize * CHUNK as usize + i) {
                    t.attempt = *a;
                    if i < 64 && chunk.done >> i & 1 == 1 {
                        t.done = true;
                    }
                }
            }
            for p in &chunk.places {
                places.push((c * CHUNK + p.0, p.1.clone(), p.2));
            }
        }
        job.done = job.tasks.iter().filter(|t| t.done).count() as u32;
        let done: Vec<u32> = (0..n as u32)
            .filter(|i| job.tasks[*i as usize].done)
            .collect();
        for i in done {
            job.idle.remove(&i);
        }
        if job.spec.need.gpu > 0 {
            self.gpu_needs.insert(job.spec.class.clone(), job.spec.need);
        }
        self.by_id.insert(job.id.clone(), no);
        self.jobs.insert(no, job);
        let mut lost = false;
        for (task, machine, session) in places {
            // A machine's record is written before anything is placed on it and deleted only once
            // the machine is proven gone: no record, no task.
            match self.machines.get(machine.as_str()).map(|m| m.name.clone()) {
                Some(name) if (task as usize) < n => {
                    let attempt = self.jobs[&no].tasks[task as usize].attempt;
                    self.hold(no, task, name, session, attempt, true, now);
                }
                _ => {
                    lost = true;
                    self.dirty.insert((no, task / CHUNK));
                }
            }
        }
        let Some(job) = self.jobs.get_mut(&no) else {
            return;
        };
        if job.spec.kind == Kind::Gang && job.placed > 0 {
            job.gang = if lost || job.placed < job.spec.tasks {
                Gang::Stopping
            } else {
                Gang::Allowed
            };
            if job.gang == Gang::Stopping {
                self.stop_all(no, Micros::ZERO, now);
            }
        }
        if self.jobs[&no].state == JobState::Cancelled {
            self.cancel(no, now);
        } else {
            self.check_complete(no);
        }
        self.schedule_wanted = true;
    }

    /// The job was cancelled: whatever was never sent is dropped, the rest is stopped.
    fn cancel(&mut self, no: JobNo, now: Micros) {
        self.stop_all(no, Micros::ZERO, now);
        self.check_complete(no);
        self.schedule_wanted = true;
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
            machine,
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
        job.placed += 1;
        job.started |= job.idle.is_empty();
        *job.zones.entry(m.zone.clone()).or_default() += 1;
        m.holds.insert((no, task));
        m.used = m.used.plus(&job.spec.need);
        self.quota.add(&job.spec.team, &job.spec.need);
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
        }
        self.quota.remove(&job.spec.team, &job.spec.need);
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
            if job.spec.need.gpu > 0 || m.kind.size.gpu == 0 {
                m.wanted_at = now;
            }
            if m.holds.is_empty() {
                m.idle_since = now;
            }
        }
        // In doubt, the record is written again: it must not keep a place that memory has dropped.
        if place.committed || place.in_txn {
            self.dirty.insert((no, task / CHUNK));
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
        self.push.insert(name);
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
            self.final_jobs.insert(no);
        }
    }

    /// A task ended with its result kept.
    fn task_done(&mut self, no: JobNo, task: u32) {
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
            job.idle.remove(&task);
            self.dirty.insert((no, task / CHUNK));
        }
    }

    /// The estimate of a task's run time, corrected by what was seen of its class.
    fn estimate(&self, spec: &JobSpec) -> Micros {
        let ratio = self.ratios.get(&spec.class).copied().unwrap_or(1.0);
        spec.estimate.times(ratio).max(Micros::from_secs(1))
    }

    /// Time after which a machine that says nothing takes no new tasks.
    fn quiet(&self) -> Micros {
        self.cfg.report.times(2.5).plus(Micros::from_secs(1))
    }

    /// Runs whatever is due and hands out the effects.
    pub fn poll(&mut self, now: Micros) -> Vec<Effect> {
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
        if self.has_writes() {
            at = at.min(self.next_txn);
        }
        at
    }

    fn tick(&mut self, now: Micros) {
        self.apply_policy();
        self.watch_machines(now);
        self.plan_capacity(now);
        self.schedule_wanted = true;
    }

    /// How many machines are up as far as known, and how many of them were heard lately.
    pub fn heard(&self, now: Micros) -> (usize, usize) {
        let quiet = self.cfg.report.times(2.5);
        let up = self.machines.values().filter(|m| {
            m.phase == Phase::Up
                || (m.phase == Phase::Unheard && m.recorded && m.up_since > Micros::ZERO)
        });
        up.fold((0, 0), |(k, h), m| {
            (k + 1, h + usize::from(now.since(m.last_heard) < quiet))
        })
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
            "term {} jobs {} waiting {} placed {} machines {} up {} [{}] dirty {} paused {}",
            self.term,
            self.jobs.len(),
            idle,
            placed,
            self.machines.len(),
            up,
            room.join(", "),
            self.dirty.len() + self.final_jobs.len() + self.dirty_machines.len(),
            self.paused
        )
    }

    /// Room that `need` takes on a machine, for tests and rules.
    pub fn used_by(&self, team: &str) -> Res {
        self.quota.used(team)
    }
}
