//! No job waits for long beside room that fits, and nothing is kept for work that can't have it. The
//! checker counts the waits after each step.

use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, Simulation};

fn secs(s: u64) -> Micros {
    Micros::from_secs(s)
}

fn run(w: &mut Simulation, seed: u64, until: u64) {
    if let Err(error) = w.run(secs(until)) {
        panic!("seed {seed}: {error}");
    }
}

/// A job of the team "red" whose tasks may run on any machine.
fn red(w: &mut Simulation, kind: JobKind, tasks: u32, cpu: u64, estimate_s: u64) -> JobSpec {
    let priority = match kind {
        JobKind::Service => Priority::Production,
        JobKind::Gang => Priority::High,
        JobKind::Array => Priority::Normal,
    };
    let mut spec = w.draw_job();
    (spec.kind, spec.priority, spec.tasks) = (kind, priority, tasks);
    spec.team = "red".to_owned();
    (spec.zone, spec.one_zone, spec.spread, spec.spot) = (None, false, false, true);
    (spec.need.cpu, spec.need.gpu) = (cpu, u64::from(kind == JobKind::Gang) * 1_000);
    (spec.checkpoint_interval, spec.save_time) = (Micros::ZERO, Micros::ZERO);
    spec.estimate = secs(estimate_s);
    spec
}

/// Services use most of the team's limit for good, so that a gang never finds it free for all of its
/// tasks. What the team has left is not kept for that gang: small arrays go on running.
#[test]
fn a_gang_without_quota_does_not_block_small_arrays() {
    for seed in 500..504 {
        let mut w = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run(&mut w, seed, 5);
        for i in 0..4 {
            let service = red(&mut w, JobKind::Service, 4, 2_000, 0);
            w.submit(&format!("job-00000{i}"), service);
        }
        run(&mut w, seed, 60);
        let gang = red(&mut w, JobKind::Gang, 4, 3_000, 20);
        w.submit("job-000010", gang);
        // Long enough for the gang to have waited for its turn, with arrays coming all the while.
        for i in 0..40u64 {
            run(&mut w, seed, 60 + i * 10);
            let array = red(&mut w, JobKind::Array, 2, 2_000, 8);
            w.submit(&format!("job-0001{i:02}0"), array);
        }
        run(&mut w, seed, 560);
        for i in 0..40 {
            let id = format!("job-0001{i:02}0");
            assert!(w.is_done(&id), "seed {seed}: {id} is not done");
        }
    }
}
