//! No job waits for long while machines have room for it, and no capacity is reserved for jobs that
//! can't use it. The invariants are checked after each step, which includes how long jobs wait.

use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, Simulation};

fn secs(s: u64) -> Micros {
    Micros::from_secs(s)
}

fn run_until(simulation: &mut Simulation, seed: u64, until: u64) {
    if let Err(error) = simulation.run(secs(until)) {
        panic!("seed {seed}: {error}");
    }
}

/// Returns a job of the team "red" whose tasks may run on any machine.
fn red_team_job(
    simulation: &mut Simulation,
    kind: JobKind,
    tasks: u32,
    cpu: u64,
    estimate_s: u64,
) -> JobSpec {
    let priority = match kind {
        JobKind::Service => Priority::Production,
        JobKind::Gang => Priority::High,
        JobKind::Array => Priority::Normal,
    };
    let mut spec = simulation.draw_job();
    (spec.kind, spec.priority, spec.tasks) = (kind, priority, tasks);
    spec.team = "red".to_owned();
    (spec.zone, spec.one_zone, spec.spread, spec.spot) = (None, false, false, true);
    (spec.need.cpu, spec.need.gpu) = (cpu, u64::from(kind == JobKind::Gang) * 1_000);
    (spec.checkpoint_interval, spec.save_time) = (Micros::ZERO, Micros::ZERO);
    spec.estimate = secs(estimate_s);
    spec
}

/// Services permanently use most of the team's limit, so that the remaining quota never suffices for all
/// tasks of a gang. That quota is not reserved for the gang: small arrays continue to run.
#[test]
fn a_gang_without_quota_does_not_block_small_arrays() {
    for seed in 500..504 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        for i in 0..4 {
            let service = red_team_job(&mut simulation, JobKind::Service, 4, 2_000, 0);
            simulation.submit(&format!("job-00000{i}"), service);
        }
        run_until(&mut simulation, seed, 60);
        let gang = red_team_job(&mut simulation, JobKind::Gang, 4, 3_000, 20);
        simulation.submit("job-000010", gang);
        // Arrays arrive for long enough that the gang reaches its turn in the queue.
        for i in 0..40u64 {
            run_until(&mut simulation, seed, 60 + i * 10);
            let array = red_team_job(&mut simulation, JobKind::Array, 2, 2_000, 8);
            simulation.submit(&format!("job-0001{i:02}0"), array);
        }
        run_until(&mut simulation, seed, 560);
        for i in 0..40 {
            let id = format!("job-0001{i:02}0");
            assert!(simulation.is_done(&id), "seed {seed}: {id} is not done");
        }
    }
}
