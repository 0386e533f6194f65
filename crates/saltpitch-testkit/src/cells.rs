//! Two simulated cells on one clock, and the link between them.
//!
//! The cells decide by the code of `saltpitch-cells`; here its effects are carried out, with links that are cut,
//! slow, lose answers and deliver copies late. [`Cells::step`] checks after each moment that no task is owned by
//! both cells.

mod history;
mod host;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use saltpitch_cells::host::HostAdmission;
use saltpitch_cells::link::{HostStatus, LinkAnswer, LinkRequest};
use saltpitch_cells::origin::{CellEffect, Delegator, LinkCall, RecordWrite};
use saltpitch_cells::settings::{CellsSettings, Site};
use saltpitch_core::job::JobState;
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::records::{job_key, RecordChange};
use saltpitch_core::scheduler::{TransactionOutcome, Write};
use saltpitch_core::Micros;
use serde_json::value::RawValue;

use crate::invariants::InvariantViolation;
use crate::nodes::SITE;
use crate::simulation::{Faults, Simulation};
use crate::trace::Trace;

pub use history::finished;

/// The names of the two cells.
pub const NAMES: [&str; 2] = ["canal", "harbour"];
/// The team of the other cell's jobs.
pub const GUESTS: &str = "guests";

/// The time of day at which the cells begin.
const BEGIN: Micros = Micros::from_secs(60);
/// How long a call is waited for.
const CALL_TIMEOUT: Micros = Micros::from_secs(2);
/// How often each controller looks after its delegations.
const POLL_INTERVAL: Micros = Micros::from_millis(200);
/// The ports of the listeners begin with these.
const FIRST_PORT: [u16; 2] = [9_100, 9_200];

/// What is wrong with the link from one cell to the other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Nothing.
    #[default]
    Works,
    /// Connections are refused.
    Refuses,
    /// What is sent is held and delivered when the link works again.
    Holds,
    /// Requests arrive, answers don't.
    LosesAnswers,
    /// Answers take up to several seconds.
    IsSlow,
    /// Says that connections are refused and delivers later nevertheless, which no network does: for tests
    /// of the checker.
    Lies,
}

/// One controller's side of its cell's delegations, while it leads.
struct Leading {
    epoch: u64,
    delegator: Delegator,
}

/// One cell.
pub struct Cell {
    /// Its controllers, store, cloud, agents and users.
    pub simulation: Simulation,
    /// Its file on cells.
    pub settings: CellsSettings,
    /// The link to the other cell.
    pub link: LinkState,
    /// When a copy of each request is delivered again: one in so many, none for 0.
    pub copies: u64,
    /// Whether it listens for the other one.
    pub listens: bool,
    leading: [Option<Leading>; SITE.len()],
    door: HostAdmission,
}

type Event = Box<dyn FnOnce(&mut Cells)>;

/// Who asked: the cell, its controller, and the epoch.
#[derive(Clone, Copy)]
struct Asker {
    cell: usize,
    node: usize,
    epoch: u64,
}

/// Two cells.
pub struct Cells {
    /// The cells.
    pub cells: [Cell; 2],
    /// The present time.
    pub now: Micros,
    /// Calls made over the links.
    pub calls: u64,
    /// What the cells' logs say of delegations.
    pub log: Vec<String>,
    /// The fingerprint of the calls over the links and their answers.
    pub trace: Trace,
    random: SmallRng,
    queue: BTreeMap<(Micros, u64), Event>,
    held: Vec<(usize, Event)>,
    next_event: u64,
}

/// A cell's file: both lend, and both take guests.
fn file(cell: usize) -> String {
    let other = 1 - cell;
    let port = |of: usize, node: usize| FIRST_PORT[of] + node as u16;
    let addresses: Vec<String> = (0..SITE.len())
        .map(|node| format!("\"127.0.0.1:{}\"", port(other, node)))
        .collect();
    let listen: Vec<String> = (0..SITE.len())
        .map(|node| format!("{} = \"127.0.0.1:{}\"", SITE[node].0, port(cell, node)))
        .collect();
    format!(
        r#"cell = "{}"
[[neighbour]]
name = "{}"
[neighbour.lend]
addresses = [{}]
cancel_s = 44.0
machine_types = ["plain", "accel"]
after_s = 10.0
min_run_s = 2.0
recall_after_s = 15.0
max_jobs = 8
max_tasks = 80
[neighbour.guests]
team = "{GUESTS}"
max_jobs = 8
max_tasks = 80
max_waiting = 3
[neighbour.guests.listen]
{}
"#,
        NAMES[cell],
        NAMES[other],
        addresses.join(", "),
        listen.join("\n")
    )
}

impl Cell {
    fn new(cell: usize, seed: u64, faults: Faults, quiet_from: Micros) -> Cell {
        let mut simulation = Simulation::new(seed * 2 + cell as u64, faults, quiet_from);
        simulation.add_team(TeamLimits {
            name: GUESTS.to_owned(),
            cpu: 0,
            gpu: 0,
            cpu_max: 30_000,
            gpu_max: 6_000,
        });
        for node in &mut simulation.nodes {
            node.knows_delegations = true;
        }
        let site = Site {
            node: SITE[0].0,
            listens: &[],
            teams: &simulation.teams,
            controllers: SITE.len(),
            max_transaction_writes: 8,
        };
        let settings = CellsSettings::parse(&file(cell), &site).expect("a valid file");
        let guests = settings.neighbour[0].guests.clone();
        let door = HostAdmission {
            cell: NAMES[1 - cell].to_owned(),
            settings: guests.expect("guests are taken"),
        };
        Cell {
            simulation,
            settings,
            link: LinkState::Works,
            copies: 0,
            listens: true,
            leading: Default::default(),
            door,
        }
    }
}

impl Cells {
    /// Two cells without machines; no new trouble of a cell's own begins after `quiet_from`.
    pub fn new(seed: u64, faults: Faults, quiet_from: Micros) -> Cells {
        let cell = |at| Cell::new(at, seed, faults, quiet_from);
        Cells {
            cells: [cell(0), cell(1)],
            now: BEGIN,
            calls: 0,
            log: Vec::new(),
            trace: Trace::default(),
            random: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            held: Vec::new(),
            next_event: 0,
        }
    }

    /// A number below `n`, drawn from the seed.
    pub fn random_below(&mut self, n: u64) -> u64 {
        self.random.random_range(0..n.max(1))
    }

    /// Plays on until `until`, in the cells' own time.
    pub fn run(&mut self, until: Micros) -> Result<(), InvariantViolation> {
        let until = until.plus(BEGIN);
        while self.now < until {
            self.step()
                .map_err(|violation| violation.found_at(self.now))?;
        }
        Ok(())
    }

    /// The next moment of either cell or of the links; then the rules of both and of the whole.
    pub fn step(&mut self) -> Result<(), InvariantViolation> {
        let [canal, harbour] = &self.cells;
        let next = [
            canal.simulation.next_step_at(),
            harbour.simulation.next_step_at(),
        ];
        let first = usize::from(next[1] < next[0]);
        let event = self.queue.first_key_value().map(|(key, _)| *key);
        if let Some(key) = event.filter(|key| key.0 <= next[first]) {
            self.now = self.now.max(key.0);
            if let Some(event) = self.queue.remove(&key) {
                event(self);
            }
        } else {
            self.now = self.now.max(next[first]);
            let simulation = &mut self.cells[first].simulation;
            let before = simulation.now;
            simulation
                .step()
                .map_err(|violation| violation.in_cell(NAMES[first]))?;
            if simulation.now.0 / POLL_INTERVAL.0 > before.0 / POLL_INTERVAL.0 {
                for node in 0..SITE.len() {
                    self.poll(first, node);
                }
            }
        }
        history::check(self)
    }

    /// Sets the state of the link from one cell to the other. What was held is delivered when it works.
    pub fn set_link(&mut self, cell: usize, state: LinkState) {
        self.cells[cell].link = state;
        if matches!(state, LinkState::Works | LinkState::IsSlow) {
            let held = std::mem::take(&mut self.held);
            let (own, others) = held.into_iter().partition(|(of, _)| *of == cell);
            self.held = others;
            for (_, event) in own {
                let wait = Micros::from_millis(self.random_below(500));
                self.after(wait, event);
            }
        }
    }

    fn after(&mut self, wait: Micros, event: impl FnOnce(&mut Cells) + 'static) {
        self.next_event += 1;
        let key = (self.now.plus(wait), self.next_event);
        self.queue.insert(key, Box::new(event));
    }

    /// Lets a controller look after its delegations, if it leads.
    fn poll(&mut self, cell: usize, node: usize) {
        let seed = self.random.random();
        let Cell {
            simulation,
            settings,
            leading,
            ..
        } = &mut self.cells[cell];
        let (now, cancel) = (simulation.now, simulation.times.cancel);
        let controller = &mut simulation.nodes[node];
        let stands_still = !controller.is_up(now) || controller.frozen(now) > Micros::ZERO;
        if stands_still || !controller.knows_delegations {
            return;
        }
        let epoch = controller.epoch();
        let Some(mut access) = controller.controller.delegation_access(now) else {
            return;
        };
        let current = leading[node]
            .take()
            .filter(|leading| leading.epoch == epoch);
        let leading = leading[node].insert(current.unwrap_or_else(|| Leading {
            epoch,
            delegator: Delegator::new(settings, cancel, seed),
        }));
        let effects = leading.delegator.poll(&mut access, now, now);
        let at = now.as_secs_f64() - 60.0;
        let notices = leading.delegator.take_notices();
        let lines = notices
            .iter()
            .map(|n| format!("{at:.1} {}: {n}", NAMES[cell]));
        self.log.extend(lines);
        let asker = Asker { cell, node, epoch };
        for effect in effects {
            match effect {
                CellEffect::Write(write) => self.write(asker, write),
                CellEffect::Call(call) => self.call(asker, call),
            }
        }
    }

    /// A transaction may be refused, carried out late, or lose its answer.
    fn write(&mut self, asker: Asker, write: RecordWrite) {
        let faults = self.cells[asker.cell].simulation.faults;
        let reaches = self.cells[asker.cell].serves(asker.node);
        if !reaches || (faults.losses && self.random_below(20) == 0) {
            let refused = TransactionOutcome::Unavailable;
            return self.after(Micros::from_millis(5), move |cells| {
                cells.written(asker, &write, refused);
            });
        }
        let lost = (faults.losses && self.random_below(10) == 0)
            || (faults.late_writes && self.random_below(12) == 0);
        let late = match lost {
            true => Micros::from_millis(self.random_below(9_000)),
            false => Micros::from_millis(1 + self.random_below(30)),
        };
        if lost {
            let write = write.clone();
            self.after(Micros::from_millis(1_500), move |cells| {
                cells.written(asker, &write, TransactionOutcome::Unknown);
            });
        }
        self.after(late, move |cells| {
            let value = serde_json::to_string(&write.record).ok();
            let change = Write {
                key: job_key(&write.job),
                value,
            };
            let simulation = &mut cells.cells[asker.cell].simulation;
            let outcome = simulation.store.txn(&write.preconditions, &[change], None);
            let cancels = write.record.state == JobState::Cancelled;
            if cancels && matches!(outcome, TransactionOutcome::Committed(_)) {
                simulation.note_cancelled(&write.job);
            }
            if !lost {
                cells.written(asker, &write, outcome);
            }
        });
    }

    fn written(&mut self, asker: Asker, write: &RecordWrite, outcome: TransactionOutcome) {
        let Cell {
            simulation,
            leading,
            ..
        } = &mut self.cells[asker.cell];
        let now = simulation.now;
        let node = &mut simulation.nodes[asker.node];
        if node.epoch() != asker.epoch || !node.is_up(now) {
            return;
        }
        if let TransactionOutcome::Committed(revision) = outcome {
            let text = serde_json::to_string(&write.record).unwrap_or_default();
            let change = RecordChange {
                key: job_key(&write.job),
                value: RawValue::from_string(text).ok(),
                revision,
            };
            node.wrote(&change, now);
        }
        let Some(leader) = node.scheduler_in(asker.epoch, now) else {
            return;
        };
        if let Some(leading) = leading[asker.node]
            .as_mut()
            .filter(|leading| leading.epoch == asker.epoch)
        {
            leading
                .delegator
                .write_ended(&write.job, &outcome, leader, now);
        }
    }

    fn call(&mut self, asker: Asker, call: LinkCall) {
        self.calls += 1;
        let at = self.now;
        self.trace.event("call", at).number(asker.cell as u64);
        trace_request(&mut self.trace, &call.request);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, FIRST_PORT[1 - asker.cell]));
        let node = usize::from(call.address.port() - address.port());
        let state = self.cells[asker.cell].link;
        let delay = Micros::from_millis(2 + self.random_below(40));
        let id = call.id;
        match state {
            LinkState::Refuses => self.after(delay, move |cells| {
                cells.answered(asker, id, LinkAnswer::NotSent);
            }),
            LinkState::Holds | LinkState::Lies => {
                let host = 1 - asker.cell;
                let late = move |cells: &mut Cells| {
                    cells.cells[host].serve(node, &call.request);
                };
                self.held.push((asker.cell, Box::new(late)));
                let answer = match state {
                    LinkState::Lies => LinkAnswer::NotSent,
                    _ => LinkAnswer::NoAnswer,
                };
                self.after(CALL_TIMEOUT, move |cells| cells.answered(asker, id, answer));
            }
            LinkState::Works | LinkState::LosesAnswers | LinkState::IsSlow => {
                self.after(delay, move |cells| cells.arrives(asker, node, call));
            }
        }
    }

    /// A copy of a request that has arrived may arrive again. Of one whose connection was refused there is
    /// none.
    fn copy_later(&mut self, home: usize, node: usize, request: LinkRequest) {
        let copies = self.cells[home].copies;
        if copies == 0 || self.random_below(copies) > 0 {
            return;
        }
        let late = Micros::from_millis(500 + self.random_below(60_000));
        self.after(late, move |cells| {
            cells.cells[1 - home].serve(node, &request);
        });
    }

    fn arrives(&mut self, asker: Asker, node: usize, call: LinkCall) {
        let (host, id) = (1 - asker.cell, call.id);
        let answer = self.cells[host].serve(node, &call.request);
        if answer.is_some() {
            self.copy_later(asker.cell, node, call.request);
        }
        let answer = answer.unwrap_or(LinkAnswer::NotSent);
        let wait = match self.cells[asker.cell].link {
            LinkState::Works => Micros::from_millis(2 + self.random_below(40)),
            LinkState::IsSlow => Micros::from_millis(self.random_below(5_000)),
            _ => CALL_TIMEOUT,
        };
        let in_time = wait < CALL_TIMEOUT || answer == LinkAnswer::NotSent;
        let answer = match in_time {
            true => answer,
            false => LinkAnswer::NoAnswer,
        };
        self.after(wait.min(CALL_TIMEOUT), move |cells| {
            cells.answered(asker, id, answer);
        });
    }

    fn answered(&mut self, asker: Asker, id: u64, answer: LinkAnswer) {
        let at = self.now;
        self.trace.event("answer", at).number(asker.cell as u64);
        trace_answer(&mut self.trace, &answer);
        let Cell {
            simulation,
            leading,
            ..
        } = &mut self.cells[asker.cell];
        let now = simulation.now;
        let node = &simulation.nodes[asker.node];
        if node.epoch() != asker.epoch || !node.is_up(now) {
            return;
        }
        if let Some(leading) = leading[asker.node]
            .as_mut()
            .filter(|leading| leading.epoch == asker.epoch)
        {
            leading.delegator.call_ended(id, answer, now);
        }
    }
}

impl Cells {
    /// The fingerprint of both cells and of the links between them.
    pub fn fingerprint(&self) -> u64 {
        let mut trace = self.trace;
        for cell in &self.cells {
            trace.number(cell.simulation.fingerprint());
        }
        trace.hash()
    }
}

fn trace_request(trace: &mut Trace, request: &LinkRequest) {
    match request {
        LinkRequest::Up => trace.text("up"),
        LinkRequest::Submit(submission) => trace
            .text("runs")
            .text(&submission.id)
            .number(submission.deadline.map_or(u64::MAX, |left| left.0))
            .number(u64::from(submission.closing)),
        LinkRequest::Status { id } => trace.text("status").text(id),
        LinkRequest::Abort { id, unless_begun } => trace
            .text("abort")
            .text(id)
            .number(u64::from(*unless_begun)),
    };
}

fn trace_answer(trace: &mut Trace, answer: &LinkAnswer) {
    match answer {
        LinkAnswer::Ready => trace.number(200),
        LinkAnswer::Status(status) => trace.number(200).text(match status {
            HostStatus::Pending => "pending",
            HostStatus::Running => "running",
            HostStatus::Done => "done",
            HostStatus::Withdrawn => "withdrawn",
        }),
        LinkAnswer::Closed => trace.number(201),
        LinkAnswer::NotFound => trace.number(404),
        LinkAnswer::Refused(refusal) => trace.number(u64::from(refusal.status)),
        LinkAnswer::NotSent => trace.text("not sent"),
        LinkAnswer::NoAnswer => trace.text("no answer"),
        LinkAnswer::Malformed(_) => trace.text("malformed"),
    };
}
