//! Late copies of requests that were carried out and answered: the agents, the store, the cloud and the other
//! controllers receive them once more. An answered start must never run a task again.

use saltpitch_core::job::JobKind;
use saltpitch_core::Micros;
use saltpitch_testkit::histories::{check_completed, play, play_on, seconds};
use saltpitch_testkit::invariants::{self, InvariantViolation};
use saltpitch_testkit::{Faults, Simulation};

/// How long jobs are submitted, and how long the site then has to complete them.
const BUSY_S: u64 = 120;
const QUIET_S: u64 = 400;
/// How often the histories of [`play_with_all_calls_repeated`] repeat all calls.
const REPEAT_INTERVAL_S: u64 = 3;

/// Plays a history in which agents receive all calls that they have executed so far again and again.
fn play_with_all_calls_repeated(seed: u64, faults: Faults) -> Result<(), InvariantViolation> {
    let mut simulation = Simulation::new(seed, faults, seconds(BUSY_S));
    simulation.all_calls_repeated_every = Some(seconds(REPEAT_INTERVAL_S));
    let simulation = play_on(simulation, seed, BUSY_S, QUIET_S)?;
    check_completed(&simulation)
}

#[test]
fn late_copies_in_histories_with_all_faults_break_no_invariant() {
    for seed in 0..12 {
        let result = play(seed, Faults::all(), BUSY_S, QUIET_S);
        let simulation = result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        check_completed(&simulation).unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        let copies = simulation.late_copies();
        assert!(copies.commands > 0, "seed {seed}: {copies:?}");
        assert!(copies.transactions > 0, "seed {seed}: {copies:?}");
        assert!(copies.cloud_requests > 0, "seed {seed}: {copies:?}");
        assert!(copies.peer_heartbeats > 0, "seed {seed}: {copies:?}");
    }
}

#[test]
fn repeating_all_executed_calls_again_and_again_starts_nothing_again() {
    for (seed, faults) in [(20, Faults::default()), (21, Faults::all())] {
        for seed in [seed, seed + 10, seed + 20] {
            play_with_all_calls_repeated(seed, faults)
                .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        }
    }
}

/// Returns a site on which an array with short tasks, one with long tasks and a gang have been started.
fn site_with_jobs(seed: u64) -> Simulation {
    let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
    run(&mut simulation, seed, 5);
    let jobs = [
        ("job-000010", JobKind::Array, 8),
        ("job-000020", JobKind::Array, 400),
        ("job-000030", JobKind::Gang, 300),
    ];
    for (id, kind, estimate) in jobs {
        let mut spec = simulation.draw_job();
        (spec.kind, spec.tasks, spec.estimate) = (kind, 3, seconds(estimate));
        (spec.zone, spec.one_zone, spec.spread, spec.spot) = (None, false, false, false);
        (spec.need.cpu, spec.need.gpu) = (2_000, 0);
        assert!(simulation.submit(id, spec), "seed {seed}: {id}");
    }
    run(&mut simulation, seed, 70);
    assert!(simulation.is_done("job-000010"), "seed {seed}");
    assert_eq!(simulation.running_tasks("job-000020"), 3, "seed {seed}");
    assert_eq!(simulation.running_tasks("job-000030"), 3, "seed {seed}");
    simulation
}

fn run(simulation: &mut Simulation, seed: u64, until_s: u64) {
    let result = simulation.run(seconds(until_s));
    result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
}

/// Delivers all calls again, in both orders and twice each, and checks the invariants.
fn repeat_all_calls(simulation: &mut Simulation, seed: u64) {
    for newest_first in [false, true, true, false] {
        simulation.repeat_executed_calls(newest_first);
        let result = invariants::check(simulation);
        result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

#[test]
fn a_late_copy_of_an_answered_start_does_not_run_a_done_task_again() {
    for seed in 0..4 {
        let mut simulation = site_with_jobs(seed);
        for minute in 2..6 {
            repeat_all_calls(&mut simulation, seed);
            run(&mut simulation, seed, minute * 60);
        }
    }
}

#[test]
fn a_late_copy_of_an_answered_start_does_not_run_a_cancelled_task_again() {
    for seed in 10..14 {
        let mut simulation = site_with_jobs(seed);
        for id in ["job-000020", "job-000030"] {
            assert!(simulation.cancel(id), "seed {seed}");
        }
        for second in 71..140 {
            run(&mut simulation, seed, second);
            repeat_all_calls(&mut simulation, seed);
        }
        assert_eq!(simulation.running_tasks("job-000020"), 0, "seed {seed}");
        assert_eq!(simulation.running_tasks("job-000030"), 0, "seed {seed}");
    }
}

/// The machines hang until their tasks have been moved, so the copies are executed when they resume.
#[test]
fn a_late_copy_of_an_answered_start_does_not_run_a_moved_task_again() {
    for seed in 20..24 {
        let mut simulation = site_with_jobs(seed);
        let resumes_at = simulation.now.plus(seconds(20));
        for agent in simulation.agents.values_mut().take(2) {
            agent.hung_until = resumes_at;
        }
        for second in 71..160 {
            run(&mut simulation, seed, second);
            repeat_all_calls(&mut simulation, seed);
        }
    }
}

#[test]
fn a_late_copy_of_an_answered_start_of_an_earlier_leader_does_not_run_a_task_again() {
    for seed in 30..36 {
        let mut simulation = site_with_jobs(seed);
        assert!(simulation.cancel("job-000020"), "seed {seed}");
        for second in 71..140 {
            if second % 12 == 0 {
                let leader = simulation.leader().unwrap_or_default();
                simulation.crash_for(leader, Micros::from_millis(200));
            }
            run(&mut simulation, seed, second);
            repeat_all_calls(&mut simulation, seed);
        }
    }
}

/// The agents get the copies while answers and calls of the new leader don't reach them.
#[test]
fn a_late_copy_that_comes_before_a_newer_token_does_not_run_a_task_again() {
    for seed in 40..44 {
        let mut simulation = site_with_jobs(seed);
        let until = simulation.now.plus(seconds(10));
        for agent in simulation.agents.values_mut() {
            agent.inbound_partition_until = until;
        }
        let leader = simulation.leader().expect("a leader");
        simulation.crash_for(leader, seconds(5));
        assert!(simulation.cancel("job-000020"), "seed {seed}");
        for second in 71..140 {
            run(&mut simulation, seed, second);
            repeat_all_calls(&mut simulation, seed);
        }
    }
}
