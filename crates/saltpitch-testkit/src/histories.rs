//! Seeded histories of a site and of two cells, played by the tests and by `examples/trace_hashes.rs`.

use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::Micros;

use crate::cells::{check_finished, Cells, LinkState};
use crate::invariants::{Invariant, InvariantViolation};
use crate::simulation::{Faults, ReadCounts, Simulation};

/// The cell that delegates its jobs.
pub const ORIGIN: usize = 0;
/// The cell that runs delegated jobs.
pub const HOST: usize = 1;

/// Returns a duration of whole seconds.
pub fn seconds(n: u64) -> Micros {
    Micros::from_secs(n)
}

/// Plays a history of one site. Jobs are submitted for `busy_s` seconds, some of them are cancelled, and faults
/// occur; then the site has `quiet_s` seconds without faults to complete the accepted jobs.
pub fn play(
    seed: u64,
    faults: Faults,
    busy_s: u64,
    quiet_s: u64,
) -> Result<Simulation, InvariantViolation> {
    let simulation = Simulation::new(seed, faults, seconds(busy_s));
    play_on(simulation, seed, busy_s, quiet_s)
}

/// Plays the same history on a site that may have other settings than [`play`] uses.
pub fn play_on(
    mut simulation: Simulation,
    seed: u64,
    busy_s: u64,
    quiet_s: u64,
) -> Result<Simulation, InvariantViolation> {
    let mut ids: Vec<String> = Vec::new();
    for number in 0..busy_s / 4 {
        simulation.run(seconds(number * 4))?;
        let id = format!("job-{seed:03}{number:04}");
        let spec = draw_dependent_job(&mut simulation, &ids);
        simulation.submit(&id, spec);
        ids.push(id);
        cancel_or_resubmit_any(&mut simulation, &ids);
    }
    simulation.heal();
    for id in &ids {
        let spec = simulation.jobs[id].spec.clone();
        simulation.submit(id, spec);
    }
    simulation.run(seconds(busy_s + quiet_s / 2))?;
    // Services, and jobs that fail on every machine, end only when their users cancel them; until then they
    // may use a team's whole limit.
    for id in &ids {
        let job = &simulation.jobs[id];
        if job.spec.kind == JobKind::Service || job.always_fails {
            simulation.cancel(id);
        }
    }
    simulation.run(seconds(busy_s + quiet_s))?;
    Ok(simulation)
}

/// How long jobs are submitted in a history of [`play_delayed_reads`], and how long the site then has to complete them.
const DELAYED_READS_BUSY_S: u64 = 30;
const DELAYED_READS_QUIET_S: u64 = 60;
/// How long no job is submitted at the start of such a history, and the pause between two submissions.
const FIRST_SUBMISSION_AT: Micros = Micros::from_secs(5);
const SUBMISSION_INTERVAL: Micros = Micros::from_millis(200);

/// Plays a history in which reads of the records take time, controllers are refused by the state service, and users ask
/// about the newest jobs again and again. Returns what happened to the reads, too.
pub fn play_delayed_reads(
    seed: u64,
    faults: Faults,
) -> (ReadCounts, Result<(), InvariantViolation>) {
    let mut simulation = Simulation::new(seed, faults, seconds(DELAYED_READS_BUSY_S));
    simulation.delay_record_reads();
    let result = submit_short_jobs(&mut simulation, seed);
    (simulation.read_counts(), result)
}

fn submit_short_jobs(simulation: &mut Simulation, seed: u64) -> Result<(), InvariantViolation> {
    let mut at = FIRST_SUBMISSION_AT;
    let mut number = 0;
    while at < seconds(DELAYED_READS_BUSY_S) {
        simulation.run(at)?;
        let spec = short_job(simulation);
        simulation.submit(&format!("job-{seed:03}{number:03}0"), spec);
        number += 1;
        at = at.plus(SUBMISSION_INTERVAL);
    }
    simulation.heal();
    simulation.run(seconds(DELAYED_READS_BUSY_S + DELAYED_READS_QUIET_S))
}

/// Draws an array with one task that runs for a few seconds on any machine.
fn short_job(simulation: &mut Simulation) -> JobSpec {
    let mut spec = JobSpec {
        kind: JobKind::Array,
        tasks: 1,
        spread: false,
        zone: None,
        one_zone: false,
        ..simulation.draw_job()
    };
    spec.need.gpu = 0;
    spec.estimate = seconds(3);
    spec
}

/// Draws a job. Some jobs depend on earlier ones, whatever state those are in.
fn draw_dependent_job(simulation: &mut Simulation, earlier: &[String]) -> JobSpec {
    let mut spec = simulation.draw_job();
    if spec.kind == JobKind::Service || simulation.random_below(3) != 0 {
        return spec;
    }
    for _ in 0..1 + simulation.random_below(2) {
        let index = simulation.random_below(earlier.len() as u64) as usize;
        let named = earlier.get(index).filter(|id| {
            let job = &simulation.jobs[*id];
            job.is_accepted && job.spec.kind != JobKind::Service
        });
        spec.dependencies.extend(named.cloned());
    }
    spec
}

/// Cancels a random job or submits it again, or does nothing.
fn cancel_or_resubmit_any(simulation: &mut Simulation, ids: &[String]) {
    let index = simulation.random_below(ids.len() as u64) as usize;
    let id = &ids[index];
    match simulation.random_below(4) {
        0 => {
            simulation.cancel(id);
        }
        1 => {
            let spec = simulation.jobs[id].spec.clone();
            simulation.submit(id, spec);
        }
        _ => {}
    }
}

/// Checks that every accepted job has completed once the faults are over, and that no cancelled job runs.
pub fn check_completed(simulation: &Simulation) -> Result<(), InvariantViolation> {
    let violation = |id: &str, text| {
        let violation = InvariantViolation::new(Invariant::Unserved, text);
        Err(violation.of_job(id))
    };
    for (id, job) in &simulation.jobs {
        let is_cancelled = job.cancelled_at.or(job.dependency_cancelled_at).is_some();
        if is_cancelled && simulation.running_tasks(id) > 0 {
            return violation(id, format!("{id} was cancelled and still runs"));
        }
        let kind = job.spec.kind;
        if !is_cancelled && kind != JobKind::Service && !simulation.is_done(id) {
            return violation(id, format!("{id} ({kind:?}) is not done"));
        }
    }
    Ok(())
}

/// Returns a batch job of `tasks` tasks with two processors each, which run for about `run` seconds.
pub fn batch_job(cells: &mut Cells, tasks: u32, run: u64) -> JobSpec {
    let drawn = cells.cells[ORIGIN].simulation.draw_job();
    JobSpec {
        class: "batch".to_owned(),
        team: "red".to_owned(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks,
        need: Resources {
            cpu: 2_000,
            gpu: 0,
            mem: 2_000,
        },
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: true,
        image: "img-0".to_owned(),
        estimate: seconds(run),
        checkpoint_interval: Micros::ZERO,
        save_time: Micros::ZERO,
        deadline: None,
        dependencies: Vec::new(),
        ..drawn
    }
}

/// Submits services that keep this many machines of a cell up, each with room for one task of a batch job.
pub fn keep_machines(cells: &mut Cells, cell: usize, machines: u64) {
    for i in 0..machines {
        let mut spec = JobSpec {
            class: "web".to_owned(),
            kind: JobKind::Service,
            priority: Priority::Production,
            spot: false,
            estimate: Micros::ZERO,
            team: "blue".to_owned(),
            ..batch_job(cells, 1, 0)
        };
        spec.need.cpu = 5_000;
        let id = format!("job-9{cell}{i:02}0");
        assert!(cells.cells[cell].simulation.submit(&id, spec));
    }
}

/// Sets the state of both links.
pub fn set_links(cells: &mut Cells, state: LinkState) {
    for cell in [ORIGIN, HOST] {
        cells.set_link(cell, state);
    }
}

/// Plays a history of two cells in which jobs, cancellations, capacity and the states of the links are drawn.
pub fn play_cells(seed: u64, faults: Faults) -> Result<Cells, InvariantViolation> {
    let mut cells = Cells::new(seed, faults, seconds(240));
    for cell in [ORIGIN, HOST] {
        cells.cells[cell].duplicate_one_in = 6;
        keep_machines(&mut cells, cell, 2);
    }
    for i in 0..80u64 {
        cells.run(seconds(i * 3))?;
        // The two cells take turns being short of machines.
        let short = usize::from(i / 20 % 2 == 1);
        cells.cells[short].simulation.machine_limit = cells.random_below(2) as u32;
        cells.cells[1 - short].simulation.machine_limit = 2;
        if cells.random_below(6) == 0 {
            let states = [
                LinkState::Up,
                LinkState::Up,
                LinkState::RefusesConnections,
                LinkState::HoldsMessages,
                LinkState::LosesAnswers,
                LinkState::Slow,
            ];
            let state = states[cells.random_below(6) as usize];
            let cell = cells.random_below(2) as usize;
            cells.set_link(cell, state);
        }
        let cell = cells.random_below(2) as usize;
        let (tasks, run) = (1 + cells.random_below(6) as u32, 3 + cells.random_below(20));
        let mut spec = batch_job(&mut cells, tasks, run);
        if cells.random_below(4) == 0 {
            spec.kind = JobKind::Gang;
        }
        let id = format!("job-{seed:03}{i:03}0");
        cells.cells[cell].simulation.submit(&id, spec);
        if cells.random_below(5) == 0 {
            let back = cells.random_below(i + 1);
            let id = format!("job-{seed:03}{back:03}0");
            for cell in [ORIGIN, HOST] {
                cells.cells[cell].simulation.cancel(&id);
            }
        }
    }
    for cell in [ORIGIN, HOST] {
        cells.cells[cell].simulation.heal();
        cells.cells[cell].simulation.machine_limit = 3;
        cells.cells[cell].duplicate_one_in = 0;
    }
    set_links(&mut cells, LinkState::Up);
    cells.run(seconds(620))?;
    check_finished(&cells)?;
    Ok(cells)
}
