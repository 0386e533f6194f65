//! Helpers that the tests share: a site with running jobs, jobs submitted during faults, and the final check.

use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, Simulation};

pub fn secs(s: u64) -> Micros {
    Micros::from_secs(s)
}

pub fn run_until(simulation: &mut Simulation, seed: u64, until: u64) {
    if let Err(error) = simulation.run(secs(until)) {
        panic!("seed {seed}: {error}");
    }
}

/// Returns a job whose tasks may run on any machine and run for about `estimate` seconds.
pub fn unconstrained_job(
    simulation: &mut Simulation,
    kind: JobKind,
    tasks: u32,
    estimate: u64,
) -> JobSpec {
    let mut spec = simulation.draw_job();
    spec.kind = kind;
    spec.priority = match kind {
        JobKind::Service => Priority::Production,
        JobKind::Gang => Priority::High,
        JobKind::Array => Priority::Normal,
    };
    (spec.tasks, spec.zone, spec.one_zone) = (tasks, None, false);
    (spec.spread, spec.spot) = (false, false);
    (spec.need.cpu, spec.need.gpu) = (2_000, 0);
    (spec.checkpoint_interval, spec.save_time) = (Micros::ZERO, Micros::ZERO);
    spec.estimate = if kind == JobKind::Service {
        Micros::ZERO
    } else {
        secs(estimate)
    };
    spec
}

/// Returns a site on which `job_count` jobs with long tasks run, the ids of the jobs, and the leader.
///
/// The ids don't end in 7, which marks jobs that fail on every machine.
pub fn site_with_running_jobs(seed: u64, job_count: u32) -> (Simulation, Vec<String>, usize) {
    let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
    run_until(&mut simulation, seed, 5);
    let mut ids = Vec::new();
    for i in 0..job_count {
        let id = format!("job-{seed:03}{i:02}0");
        let spec = unconstrained_job(&mut simulation, JobKind::Array, 2, 400);
        simulation.submit(&id, spec);
        ids.push(id);
    }
    run_until(&mut simulation, seed, 40);
    for id in &ids {
        assert!(
            simulation.running_tasks(id) > 0,
            "seed {seed}: {id} does not run"
        );
    }
    let leader = simulation.leader().expect("a leader");
    (simulation, ids, leader)
}

/// Returns a node other than this one.
pub fn other_node(node: usize) -> usize {
    (node + 1) % 3
}

/// Checks that every accepted job that was not cancelled is done, or runs whole if it is a service, and that no
/// task of a cancelled job runs.
pub fn assert_all_finished(simulation: &Simulation, seed: u64) {
    for (id, job) in simulation.jobs.iter().filter(|(_, job)| job.is_accepted) {
        if job.cancelled_at.is_some() {
            assert_eq!(
                simulation.running_tasks(id),
                0,
                "seed {seed}: {id} was cancelled and still runs"
            );
        } else if job.spec.kind != JobKind::Service {
            assert!(simulation.is_done(id), "seed {seed}: {id} is not done");
        } else {
            let running = simulation.running_tasks(id) as u32;
            assert_eq!(
                running, job.spec.tasks,
                "seed {seed}: {id} does not run all of its tasks"
            );
        }
    }
}

/// Submits two short arrays and a short gang, and cancels the last array at once.
pub fn submit_short_jobs(simulation: &mut Simulation, seed: u64, round: u64) {
    for (i, kind) in [JobKind::Array, JobKind::Gang, JobKind::Array]
        .iter()
        .enumerate()
    {
        let id = format!("job-{seed:03}{round:02}{i}");
        let spec = unconstrained_job(simulation, *kind, 2, 6);
        simulation.submit(&id, spec);
        if i == 2 {
            simulation.cancel(&id);
        }
    }
}
