//! Rolling upgrades while jobs run and faults occur: nodes of both versions lead in turn and recover from each
//! other's records, nodes that crash before their upgrade restart with the old version, and then the store's
//! limits are lowered.

use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::Micros;
use saltpitch_testkit::invariants::{Invariant, InvariantViolation};
use saltpitch_testkit::{Faults, Simulation};

// The steps, of three seconds each, at which the store's next limits come into force. The nodes are upgraded at
// steps 12, 20 and 28.
const STEP_AFTER_UPGRADE: u64 = 36;
const STEP_OF_LAST_NODE: u64 = 28;
const STEP_DURING_UPGRADE: u64 = 22;

/// Plays a rolling upgrade in which the store's limits are lowered at the step `limits_at`, and checks that every
/// accepted job is served.
fn play_upgrade(
    seed: u64,
    faults: Faults,
    limits: (usize, usize, u32),
    limits_at: u64,
) -> Result<Simulation, InvariantViolation> {
    let mut simulation = Simulation::new(seed, faults, Micros::from_secs(150));
    simulation.next_store_limits = Some(limits);
    for node in &mut simulation.nodes {
        node.runs_version_0 = true;
    }
    let mut ids: Vec<String> = Vec::new();
    for step in 0..60u64 {
        simulation.run(Micros::from_secs(step * 3))?;
        // The nodes are upgraded one after the other; the turn of the leader depends on the seed.
        if matches!(step, 12 | 20 | 28) {
            let node = ((step / 8 + seed) % 3) as usize;
            simulation.crash(node);
            simulation.nodes[node].runs_version_0 = false;
        }
        if step == STEP_AFTER_UPGRADE {
            assert!(simulation.nodes.iter().all(|node| !node.runs_version_0));
        }
        if step == limits_at {
            simulation.store.limits = Some(limits);
        }
        let id = format!("job-{seed:03}{step:03}0");
        let mut spec = simulation.draw_job();
        // Jobs with dependencies, a new feature, are submitted only after all nodes run the new version.
        if step > 30 && spec.kind != JobKind::Service && simulation.random_below(3) == 0 {
            let index = simulation.random_below(ids.len() as u64) as usize;
            let dependency = ids.get(index).filter(|id| simulation.jobs[*id].is_accepted);
            let dependency =
                dependency.filter(|id| simulation.jobs[*id].spec.kind != JobKind::Service);
            spec.dependencies.extend(dependency.cloned());
        }
        simulation.submit(&id, spec);
        ids.push(id);
        if simulation.random_below(5) == 0 {
            let index = simulation.random_below(ids.len() as u64) as usize;
            simulation.cancel(&ids[index].clone());
        }
    }
    simulation.heal();
    simulation.run(Micros::from_secs(400))?;
    for id in &ids {
        if simulation.jobs[id].spec.kind == JobKind::Service || simulation.jobs[id].always_fails {
            simulation.cancel(id);
        }
    }
    simulation.run(Micros::from_secs(800))?;
    for (id, job) in simulation.jobs.iter().filter(|(_, job)| job.is_accepted) {
        let is_cancelled = job.cancelled_at.or(job.dependency_cancelled_at).is_some();
        if is_cancelled && simulation.running_tasks(id) > 0 {
            return Err(unserved(id, "was cancelled and still runs"));
        }
        if !is_cancelled && job.spec.kind != JobKind::Service && !simulation.is_done(id) {
            return Err(unserved(id, "is not done"));
        }
    }
    Ok(simulation)
}

fn unserved(id: &str, text: &str) -> InvariantViolation {
    InvariantViolation::new(Invariant::Unserved, format!("{id} {text}")).of_job(id)
}

/// Plays one upgrade per seed, with lower limits after it, and checks that the store rejects at most three
/// transactions as too large.
fn check_seeds(seeds: std::ops::Range<u64>, faults: Faults) {
    for seed in seeds {
        // A job's record still fits; a third of the operations per transaction and of the changes per second
        // remain.
        let result = play_upgrade(seed, faults, (700, 3, 20), STEP_AFTER_UPGRADE);
        let simulation = result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(
            simulation.store.rejected_as_too_large <= 3,
            "seed {seed}: {}",
            simulation.store.rejected_as_too_large
        );
    }
}

#[test]
fn lower_store_limits_after_a_rolling_upgrade_break_no_invariant() {
    check_seeds(0..8, Faults::default());
}

#[test]
fn restarts_with_the_old_version_during_an_upgrade_break_no_invariant() {
    let faults = Faults {
        crashes: true,
        machine_failures: true,
        ..Faults::default()
    };
    check_seeds(20..30, faults);
}

#[test]
fn outages_partitions_and_lost_answers_during_an_upgrade_break_no_invariant() {
    let faults = Faults {
        controller_partitions: true,
        store_outages: true,
        lost_answers: true,
        delayed_writes: true,
        ..Faults::default()
    };
    check_seeds(40..50, faults);
}

/// The limits are lowered at the moment at which the last node is upgraded.
#[test]
fn lower_store_limits_with_the_last_upgraded_node_break_no_invariant() {
    let faults = Faults {
        crashes: true,
        ..Faults::default()
    };
    for seed in 60..66 {
        let result = play_upgrade(seed, faults, (700, 3, 20), STEP_OF_LAST_NODE);
        let simulation = result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert!(
            simulation.store.rejected_as_too_large <= 3,
            "seed {seed}: {}",
            simulation.store.rejected_as_too_large
        );
    }
}

/// The limits are lowered while one node still runs the old version, which writes larger values that the store
/// rejects. No invariant is violated, and all jobs are served after that node is upgraded.
#[test]
fn lower_store_limits_while_an_old_node_is_left_break_no_invariant() {
    for seed in 70..76 {
        let result = play_upgrade(seed, Faults::default(), (700, 3, 20), STEP_DURING_UPGRADE);
        result.unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

/// Returns a site with running jobs whose leader runs protocol version 0 and whose other nodes run the current
/// version, the ids of the jobs, and the leader.
fn site_led_by_version_0(seed: u64) -> (Simulation, Vec<String>, usize) {
    let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
    for node in &mut simulation.nodes {
        node.runs_version_0 = true;
    }
    run_until(&mut simulation, seed, 5);
    let mut ids = Vec::new();
    for i in 0..4 {
        let id = format!("job-{seed:03}{i:02}0");
        let spec = long_array(&mut simulation);
        simulation.submit(&id, spec);
        ids.push(id);
    }
    run_until(&mut simulation, seed, 40);
    let leader = simulation.leader().expect("a leader");
    for node in (0..3).filter(|node| *node != leader) {
        simulation.crash_for(node, Micros::from_millis(300));
        simulation.nodes[node].runs_version_0 = false;
    }
    run_until(&mut simulation, seed, 60);
    assert_eq!(simulation.leader(), Some(leader), "seed {seed}");
    for id in &ids {
        assert!(
            simulation.running_tasks(id) > 0,
            "seed {seed}: {id} does not run"
        );
    }
    (simulation, ids, leader)
}

fn run_until(simulation: &mut Simulation, seed: u64, until: u64) {
    if let Err(error) = simulation.run(Micros::from_secs(until)) {
        panic!("seed {seed}: {error}");
    }
}

/// Returns an array of two tasks that run on any machine for longer than any of these histories.
fn long_array(simulation: &mut Simulation) -> JobSpec {
    let mut spec = simulation.draw_job();
    (spec.kind, spec.priority, spec.tasks) = (JobKind::Array, Priority::Normal, 2);
    (spec.zone, spec.one_zone, spec.spread, spec.spot) = (None, false, false, false);
    (spec.need.cpu, spec.need.gpu) = (2_000, 0);
    (spec.checkpoint_interval, spec.save_time) = (Micros::ZERO, Micros::ZERO);
    spec.estimate = Micros::from_secs(600);
    spec
}

/// A leader of version 0 continues without the state service while every peer reports that it has lost it too.
/// Here the leader alone is partitioned from the state service, a new node confirms cancellations, and then the
/// state service is down for all nodes. The new nodes don't report the outage, since the leader may have missed
/// the cancellations, and the cancelled tasks end in time.
#[test]
fn a_leader_of_version_0_keeps_no_task_whose_cancellation_it_missed() {
    for seed in 80..86 {
        let (mut simulation, ids, leader) = site_led_by_version_0(seed);
        simulation.nodes[leader].store_partition_until = simulation.now.plus(Micros::from_secs(14));
        run_until(&mut simulation, seed, 61);
        let peer = (leader + 1) % 3;
        for id in &ids[..2] {
            assert!(simulation.cancel_by(peer, id), "seed {seed}");
        }
        run_until(&mut simulation, seed, 62);
        simulation.store.is_down = true;
        run_until(&mut simulation, seed, 62 + 78);
        assert_eq!(
            simulation.running_tasks(&ids[0]) + simulation.running_tasks(&ids[1]),
            0,
            "seed {seed}"
        );
        simulation.store.is_down = false;
        run_until(&mut simulation, seed, 200);
    }
}

/// If no cancellation is pending, the new nodes report that they have lost the state service, and the tasks
/// continue through the outage under the old leader as they did before the upgrade.
#[test]
fn a_leader_of_version_0_without_missed_cancellations_survives_a_common_outage() {
    for seed in 90..94 {
        let (mut simulation, ids, leader) = site_led_by_version_0(seed);
        simulation.store.is_down = true;
        run_until(&mut simulation, seed, 60 + 90);
        assert_eq!(simulation.leader(), Some(leader), "seed {seed}");
        for id in &ids {
            assert!(
                simulation.running_tasks(id) > 0,
                "seed {seed}: {id} was lost"
            );
        }
        simulation.store.is_down = false;
        run_until(&mut simulation, seed, 200);
    }
}

/// The leadership alternates between the versions. Two jobs are submitted under each leader and one of them is
/// cancelled, and nodes restart with the old version in between.
#[test]
fn failovers_between_versions_and_back_break_no_invariant() {
    for seed in 100..106 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        for node in &mut simulation.nodes {
            node.runs_version_0 = true;
        }
        run_until(&mut simulation, seed, 20);
        let mut led_by_old = Vec::new();
        let mut ids = Vec::new();
        for round in 0..6u64 {
            let leader = simulation.leader().expect("a leader");
            led_by_old.push(simulation.nodes[leader].runs_version_0);
            for (i, tasks) in [2, 3].into_iter().enumerate() {
                let id = format!("job-{seed:03}{round}{i}0");
                let mut spec = long_array(&mut simulation);
                (spec.tasks, spec.estimate) = (tasks, Micros::from_secs(15));
                simulation.submit(&id, spec);
                ids.push(id);
            }
            run_until(&mut simulation, seed, 24 + round * 30);
            simulation.cancel(&ids[ids.len() - 1].clone());
            // The next leader runs the other version: the nodes of this version stay down longer.
            let next_is_old = led_by_old.len() % 2 == 0;
            for node in 0..3 {
                let is_next = node == (leader + 1) % 3;
                let down_ms = if is_next { 300 } else { 16_000 };
                simulation.crash_for(node, Micros::from_millis(down_ms));
                simulation.nodes[node].runs_version_0 = next_is_old == is_next;
            }
            run_until(&mut simulation, seed, 50 + round * 30);
        }
        let expected: Vec<bool> = (0..6).map(|round| round % 2 == 0).collect();
        assert_eq!(led_by_old, expected, "seed {seed}");
        run_until(&mut simulation, seed, 600);
        for id in &ids {
            let cancelled = simulation.jobs[id].cancelled_at.is_some();
            assert!(simulation.is_done(id) || cancelled, "seed {seed}: {id}");
        }
    }
}
