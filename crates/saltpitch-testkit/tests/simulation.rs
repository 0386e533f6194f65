//! Seeded histories of a whole site. The invariants are checked after each step.

use saltpitch_core::job::{JobKind, Priority};
use saltpitch_core::Micros;
use saltpitch_testkit::histories::{check_completed, play};
use saltpitch_testkit::{invariants, Faults, Simulation};

/// Plays one history per seed, and checks that everything accepted has completed at its end.
fn check_seeds(seeds: std::ops::Range<u64>, faults: Faults, busy: u64, calm: u64) {
    for seed in seeds {
        let result =
            play(seed, faults, busy, calm).and_then(|simulation| check_completed(&simulation));
        if let Err(error) = result {
            panic!("seed {seed}: {error}");
        }
    }
}

#[test]
fn without_faults_every_job_completes() {
    check_seeds(0..6, Faults::default(), 80, 240);
}

#[test]
fn crashing_controllers_break_no_invariant() {
    let faults = Faults {
        crashes: true,
        ..Faults::default()
    };
    check_seeds(100..112, faults, 100, 300);
}

#[test]
fn controllers_partitioned_from_store_or_agents_break_no_invariant() {
    let faults = Faults {
        controller_partitions: true,
        ..Faults::default()
    };
    check_seeds(200..212, faults, 100, 300);
}

/// Some pauses are longer than a lease and than any bound on answers: the messages that the process reads
/// after the pause are old, and other nodes may have led in the meantime.
#[test]
fn paused_controllers_break_no_invariant() {
    let faults = Faults {
        process_pauses: true,
        ..Faults::default()
    };
    check_seeds(240..252, faults, 100, 300);
}

/// Process pauses combined with store outages, during which no other node can take over, and with delayed
/// messages.
#[test]
fn paused_controllers_during_store_outages_break_no_invariant() {
    let faults = Faults {
        process_pauses: true,
        store_outages: true,
        lost_answers: true,
        delayed_duplicates: true,
        ..Faults::default()
    };
    check_seeds(260..272, faults, 100, 300);
}

#[test]
fn store_outages_break_no_invariant() {
    let faults = Faults {
        store_outages: true,
        ..Faults::default()
    };
    check_seeds(300..312, faults, 100, 300);
}

#[test]
fn failing_hanging_and_preempted_machines_break_no_invariant() {
    let faults = Faults {
        machine_failures: true,
        ..Faults::default()
    };
    check_seeds(400..412, faults, 100, 300);
}

#[test]
fn lost_answers_delayed_transactions_and_delayed_commands_break_no_invariant() {
    let faults = Faults {
        lost_answers: true,
        ..Faults::default()
    };
    check_seeds(500..512, faults, 100, 300);
}

#[test]
fn zone_partitions_break_no_invariant_and_return_no_busy_machine() {
    let faults = Faults {
        zone_partitions: true,
        ..Faults::default()
    };
    for seed in 700..712 {
        let result = play(seed, faults, 100, 300).and_then(|simulation| {
            check_completed(&simulation)?;
            Ok(simulation.busy_machines_returned)
        });
        // The leader waits for busy machines behind a partition and doesn't return them.
        match result {
            Ok(0) => {}
            Ok(count) => panic!("seed {seed}: {count} busy machines were returned"),
            Err(error) => panic!("seed {seed}: {error}"),
        }
    }
}

#[test]
fn inbound_partitions_break_no_invariant() {
    let faults = Faults {
        inbound_partitions: true,
        ..Faults::default()
    };
    check_seeds(800..812, faults, 100, 300);
}

fn run_until(simulation: &mut Simulation, until: u64) {
    simulation
        .run(Micros::from_secs(until))
        .expect("no invariant is violated");
}

/// An inbound-partitioned machine gets no new tasks, its tasks are restarted elsewhere, and the machine is
/// returned. A healthy leader doesn't resign, even if most of the machines are partitioned in this way.
#[test]
fn inbound_partitioned_machines_are_replaced_without_a_failover() {
    for seed in 820..826 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        let mut spec = simulation.draw_job();
        spec.kind = JobKind::Service;
        (spec.tasks, spec.spread, spec.zone) = (6, false, None);
        (spec.need.cpu, spec.need.gpu, spec.spot) = (6_000, 0, false);
        run_until(&mut simulation, 5);
        simulation.submit("job-000001", spec);
        run_until(&mut simulation, 60);
        assert_eq!(simulation.running_tasks("job-000001"), 6, "seed {seed}");
        let leader = simulation.leader();
        let present = simulation.agents.values().filter(|agent| !agent.is_gone);
        let partitioned: Vec<String> = present.map(|agent| agent.name.clone()).take(4).collect();
        for name in &partitioned {
            let agent = simulation.agents.get_mut(name).expect("a machine");
            agent.inbound_partition_until = Micros::from_secs(100_000);
        }
        run_until(&mut simulation, 160);
        assert_eq!(
            simulation.running_tasks("job-000001"),
            6,
            "seed {seed}: the tasks were not restarted elsewhere"
        );
        for name in &partitioned {
            assert!(
                simulation.agents[name].is_gone,
                "seed {seed}: {name} is still there"
            );
        }
        assert_eq!(
            (simulation.leader(), simulation.resignations),
            (leader, 0),
            "seed {seed}"
        );
    }
}

#[test]
fn delayed_duplicate_heartbeats_break_no_invariant() {
    let faults = Faults {
        delayed_duplicates: true,
        crashes: true,
        machine_failures: true,
        ..Faults::default()
    };
    check_seeds(900..916, faults, 100, 300);
}

/// The leader loses the state service, but not its agents, for longer than any bound: another node takes
/// over, the agents switch to it, and cancelled tasks end within the cancellation time.
#[test]
fn a_leader_partitioned_from_the_store_is_replaced_and_jobs_are_served() {
    for seed in 840..848 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, 5);
        for i in 0..8 {
            let spec = simulation.draw_job();
            simulation.submit(&format!("job-84{i:04}"), spec);
        }
        run_until(&mut simulation, 30);
        let old_leader = simulation.leader().expect("a leader");
        simulation.nodes[old_leader].store_partition_until =
            simulation.now.plus(Micros::from_secs(120));
        run_until(&mut simulation, 34);
        for i in 0..4 {
            simulation.cancel(&format!("job-84{i:04}"));
        }
        // The invariants check that the tasks of cancelled jobs end in time.
        run_until(&mut simulation, 130);
        let new_leader = simulation.leader();
        assert!(
            new_leader.is_some_and(|node| node != old_leader),
            "seed {seed}: {new_leader:?}"
        );
        run_until(&mut simulation, 400);
        invariants::check_served(&simulation)
            .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

/// Small jobs arrive faster than the site can run them. The largest jobs start nevertheless, and at least
/// half of the jobs of each class and team are served.
#[test]
fn the_largest_jobs_start_under_steady_overload() {
    for seed in 860..863 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        let mut count = 0;
        let mut submit = |simulation: &mut Simulation, kind: JobKind, tasks: u32| {
            let mut spec = simulation.draw_job();
            let is_gang = kind == JobKind::Gang;
            spec.kind = kind;
            spec.class = if is_gang { "train" } else { "batch" }.to_owned();
            spec.team = if count / 2 % 2 == 0 { "red" } else { "blue" }.to_owned();
            (spec.tasks, spec.spread, spec.zone, spec.one_zone) = (tasks, false, None, false);
            (spec.need.cpu, spec.need.gpu) = (2_000, if is_gang { 1_000 } else { 0 });
            (spec.spot, spec.estimate) = (true, Micros::from_secs(10));
            spec.priority = if is_gang {
                Priority::High
            } else {
                Priority::Normal
            };
            count += 1;
            simulation.submit(&format!("job-86{count:03}0"), spec);
        };
        for round in 0..300 {
            run_until(&mut simulation, round * 2);
            submit(&mut simulation, JobKind::Array, 8);
            if round % 3 == 0 {
                submit(&mut simulation, JobKind::Gang, 1);
            }
            if round % 40 == 5 && round < 180 {
                submit(&mut simulation, JobKind::Array, 90);
                submit(&mut simulation, JobKind::Gang, 6);
            }
        }
        run_until(&mut simulation, 800);
        invariants::check_served(&simulation)
            .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

#[test]
fn all_faults_together_break_no_invariant() {
    check_seeds(600..630, Faults::all(), 120, 400);
}

/// Plays many more seeds than the other tests: `cargo test -p saltpitch-testkit --release -- --ignored`.
#[test]
#[ignore = "plays 600 more seeds, which takes long; the test above plays 30"]
fn all_faults_over_many_seeds_break_no_invariant() {
    check_seeds(1_000..1_600, Faults::all(), 120, 500);
}
