//! Two simulated cells on one clock, and the link between them.
//!
//! The cells decide with the code of `saltpitch-cells`; this module carries out its effects over links that
//! are partitioned or slow, lose answers and deliver delayed duplicates. [`Cells::step`] checks after each step
//! that no task is owned by both cells.

mod controller;
mod fingerprint;
mod history;
mod host;
mod link;
mod settings;

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use saltpitch_cells::host::HostAdmission;
use saltpitch_cells::settings::{CellsSettings, ControllerContext};
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::Micros;

use crate::invariants::InvariantViolation;
use crate::nodes::CONTROLLERS;
use crate::simulation::{Faults, Simulation};
use crate::trace::Trace;

pub use history::check_finished;
pub use link::LinkState;

use controller::LeaderDelegations;

/// The names of the two cells.
pub const NAMES: [&str; 2] = ["canal", "harbour"];
/// The team to which a cell assigns the other cell's jobs.
pub const GUEST_TEAM: &str = "guests";

/// The time at which histories begin.
const HISTORY_START: Micros = Micros::from_secs(60);
/// How often each controller processes its delegations.
const POLL_INTERVAL: Micros = Micros::from_millis(200);

/// A cell and its link to the other one.
pub struct Cell {
    /// Its controllers, store, cloud, agents and users.
    pub simulation: Simulation,
    /// Its settings for cells.
    pub settings: CellsSettings,
    /// The link to the other cell.
    pub link: LinkState,
    /// One request in this many is delivered again later; 0 means none.
    pub duplicate_one_in: u64,
    /// Whether it accepts connections of the other cell.
    pub is_listening: bool,
    leading: [Option<LeaderDelegations>; CONTROLLERS.len()],
    admission: HostAdmission,
}

type Event = Box<dyn FnOnce(&mut Cells)>;

/// Two cells on one clock, and the links between them.
pub struct Cells {
    /// The cells.
    pub cells: [Cell; 2],
    /// The current time.
    pub now: Micros,
    /// How many calls were made over the links.
    pub calls: u64,
    /// What the cells have logged about delegations.
    pub log: Vec<String>,
    /// The fingerprint of the calls over the links and their answers.
    pub trace: Trace,
    rng: SmallRng,
    queue: BTreeMap<(Micros, u64), Event>,
    held_calls: Vec<(usize, Event)>,
    next_event: u64,
}

impl Cell {
    fn new(cell: usize, seed: u64, faults: Faults, faults_end_at: Micros) -> Cell {
        let mut simulation = Simulation::new(seed * 2 + cell as u64, faults, faults_end_at);
        simulation.add_team(TeamLimits {
            name: GUEST_TEAM.to_owned(),
            cpu: 0,
            gpu: 0,
            cpu_max: 30_000,
            gpu_max: 6_000,
        });
        for node in &mut simulation.nodes {
            node.knows_delegations = true;
        }
        let context = ControllerContext {
            node: CONTROLLERS[0].0,
            listens: &[],
            teams: &simulation.teams,
            controllers: CONTROLLERS.len(),
            max_transaction_writes: 8,
        };
        let settings =
            CellsSettings::parse(&settings::file(cell), &context).expect("valid settings");
        let guests = settings.neighbour[0].guests.clone();
        let admission = HostAdmission {
            cell: NAMES[1 - cell].to_owned(),
            settings: guests.expect("settings for jobs of the other cell"),
        };
        Cell {
            simulation,
            settings,
            link: LinkState::Up,
            duplicate_one_in: 0,
            is_listening: true,
            leading: Default::default(),
            admission,
        }
    }
}

impl Cells {
    /// Returns two cells without machines. No new fault within a cell begins after `faults_end_at`.
    pub fn new(seed: u64, faults: Faults, faults_end_at: Micros) -> Cells {
        let cell = |at| Cell::new(at, seed, faults, faults_end_at);
        Cells {
            cells: [cell(0), cell(1)],
            now: HISTORY_START,
            calls: 0,
            log: Vec::new(),
            trace: Trace::default(),
            rng: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            held_calls: Vec::new(),
            next_event: 0,
        }
    }

    /// Draws a number below `n` from the seeded generator.
    pub fn random_below(&mut self, n: u64) -> u64 {
        self.rng.random_range(0..n.max(1))
    }

    /// Plays the history until `until`, counted from its start.
    pub fn run(&mut self, until: Micros) -> Result<(), InvariantViolation> {
        let until = until.plus(HISTORY_START);
        while self.now < until {
            self.step()
                .map_err(|violation| violation.found_at(self.now))?;
        }
        Ok(())
    }

    /// Plays the next event of either cell or of the links, and then checks the invariants of that cell and of
    /// both cells together.
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
                for node in 0..CONTROLLERS.len() {
                    self.poll(first, node);
                }
            }
        }
        history::check(self)
    }

    fn schedule_after(&mut self, wait: Micros, event: impl FnOnce(&mut Cells) + 'static) {
        self.next_event += 1;
        let key = (self.now.plus(wait), self.next_event);
        self.queue.insert(key, Box::new(event));
    }
}
