//! Two simulated cells on one clock, and the link between them.
//!
//! The cells decide by the code of `saltpitch-cells`; here its effects are carried out, with links that are cut,
//! slow, lose answers and deliver copies late. [`Cells::step`] checks after each moment that no task is owned by
//! both cells.

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

use controller::Leading;

/// The names of the two cells.
pub const NAMES: [&str; 2] = ["canal", "harbour"];
/// The team of the other cell's jobs.
pub const GUEST_TEAM: &str = "guests";

/// The time of day at which the cells begin.
const START_OF_DAY: Micros = Micros::from_secs(60);
/// How often each controller looks after its delegations.
const POLL_INTERVAL: Micros = Micros::from_millis(200);

/// One cell.
pub struct Cell {
    /// Its controllers, store, cloud, agents and users.
    pub simulation: Simulation,
    /// Its file on cells.
    pub settings: CellsSettings,
    /// The link to the other cell.
    pub link: LinkState,
    /// When a copy of each request is delivered again: one in so many, none for 0.
    pub duplicate_one_in: u64,
    /// Whether it listens for the other one.
    pub is_listening: bool,
    leading: [Option<Leading>; CONTROLLERS.len()],
    admission: HostAdmission,
}

type Event = Box<dyn FnOnce(&mut Cells)>;

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
    rng: SmallRng,
    queue: BTreeMap<(Micros, u64), Event>,
    held_calls: Vec<(usize, Event)>,
    next_event: u64,
}

impl Cell {
    fn new(cell: usize, seed: u64, faults: Faults, quiet_from: Micros) -> Cell {
        let mut simulation = Simulation::new(seed * 2 + cell as u64, faults, quiet_from);
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
        let settings = CellsSettings::parse(&settings::file(cell), &context).expect("a valid file");
        let guests = settings.neighbour[0].guests.clone();
        let admission = HostAdmission {
            cell: NAMES[1 - cell].to_owned(),
            settings: guests.expect("jobs of the other cell are taken"),
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
    /// Two cells without machines; no new fault of a cell's own begins after `quiet_from`.
    pub fn new(seed: u64, faults: Faults, quiet_from: Micros) -> Cells {
        let cell = |at| Cell::new(at, seed, faults, quiet_from);
        Cells {
            cells: [cell(0), cell(1)],
            now: START_OF_DAY,
            calls: 0,
            log: Vec::new(),
            trace: Trace::default(),
            rng: SmallRng::seed_from_u64(seed),
            queue: BTreeMap::new(),
            held_calls: Vec::new(),
            next_event: 0,
        }
    }

    /// A number below `n`, drawn from the seed.
    pub fn random_below(&mut self, n: u64) -> u64 {
        self.rng.random_range(0..n.max(1))
    }

    /// Plays on until `until`, in the cells' own time.
    pub fn run(&mut self, until: Micros) -> Result<(), InvariantViolation> {
        let until = until.plus(START_OF_DAY);
        while self.now < until {
            self.step()
                .map_err(|violation| violation.found_at(self.now))?;
        }
        Ok(())
    }

    /// The next moment of either cell or of the links; then the invariants of each cell and of both together.
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
