//! The leader's memory and its loops: tasks against machines, machines against need, records
//! against memory. Each loop compares what is wanted with what is, so repeating one is harmless.

mod blocks;
mod boots;
mod borrowing;
mod capacity;
mod commit;
mod consolidate;
mod dirty;
mod draining;
mod evidence;
mod failures;
mod faults;
mod gangs;
mod interface;
mod job_state;
mod jobs;
mod lending;
mod log;
mod machine_list;
mod orders;
mod pace;
mod pipeline;
mod pools;
mod preemption;
mod reach;
mod rentals;
mod rules;
mod schedule;
mod service_order;
mod start;
mod summary;
mod tasks;
mod transaction;
mod watch;

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::sync::Arc;

use crate::catalog::{Catalog, Resources};
use crate::cluster::{JobNo, Machine, Phase};
use crate::fleet::Fleet;
use crate::job::JobSpec;
use crate::quota::Quota;
use crate::records::ReturnedMachines;
use crate::time::Micros;

pub use evidence::Ignored;
pub use faults::Fault;
pub use interface::{Aim, Config, Effect, Objective, Write};
pub use jobs::JobTimeline;
pub use lending::LendingCandidate;
pub use machine_list::ListedMachine;
pub use orders::Ordered;
pub use rentals::{Refusal, Rented};
pub use transaction::Outcome;

pub(crate) use job_state::{Job, Place, Seen, Stop, Task};

/// A leader whose loops did not run for this long stood still, and so did its reading of reports.
const STOOD_STILL: Micros = Micros::from_secs(2);

/// The shortest time between two passes over the jobs that wait.
const SCHEDULE_INTERVAL: Micros = Micros::from_millis(100);

/// How fast production's past demand fades from the estimate of what is to come.
const FADE: Micros = Micros::from_secs(60);

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
    /// Tasks that failed, by when they are to be tried again.
    retries: BTreeSet<(Micros, JobNo, u32)>,
    /// Jobs found to be at fault that the log has not been told of.
    faulty_jobs: Vec<Arc<str>>,
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
    dirty: dirty::Dirty,
    final_jobs: BTreeSet<JobNo>,
    blocks: blocks::Blocks,
    /// The store has turned down a value for its size: the next limits are in force.
    narrow: bool,
    /// When the store refused changes for their number.
    throttles: VecDeque<Micros>,
    gone_machines: ReturnedMachines,
    log: log::Log,
    leftovers: VecDeque<String>,
    txn: Option<transaction::Pending>,
    paused: bool,
    refresh_out: bool,
    next_txn: Micros,
    pace: pace::Pace,
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
    rents: Vec<rentals::Renting>,
    rent_pace: pace::Pace,
    /// How often each type, zone and kind was asked for in this rush, and when last.
    rents_asked: HashMap<(String, String, bool), (u32, Micros)>,
    next_request: u64,
    boots: boots::BootTimes,
    out_of_reach: reach::OutOfReach,
    refusals: HashMap<(String, String, bool), Refusal>,
    /// How soon batch work is to be under way, by the policy.
    drain: Micros,
    /// What tasks with accelerators need.
    gpu_needs: HashSet<Resources>,
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
        self.note_reach(name);
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
        self.note_reach(name);
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
            self.next_schedule = now.plus(SCHEDULE_INTERVAL);
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
        self.retry_deferred(now);
        if now >= self.next_plan {
            self.next_plan = now.plus(Micros::from_millis(500));
            self.apply_policy();
            self.plan_capacity(now);
            self.consolidate(now);
            self.end_borrowing(now);
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

    /// Room that `need` takes on a machine, for tests and rules.
    pub fn used_by(&self, team: &str) -> Resources {
        self.quota.used(self.quota.number(team))
    }
}

/// Processor-seconds of one task by its owner's estimate.
fn batch_seconds(spec: &JobSpec) -> f64 {
    spec.need.cpu as f64 / 1e3 * spec.estimate.as_secs_f64()
}
