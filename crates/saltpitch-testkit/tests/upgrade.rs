//! Nodes are replaced while jobs run and troubles come: both versions lead after one another on each
//! other's records, what dies before its turn comes back old, and then the store's limits fall.

use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::Micros;
use saltpitch_testkit::invariants::{Invariant, InvariantViolation};
use saltpitch_testkit::{Faults, Simulation};

/// When the store's next limits come into force, in steps of three seconds; the nodes are replaced at
/// steps 12, 20 and 28.
const AFTER_THE_UPGRADE: u64 = 36;
const WITH_THE_LAST_NODE: u64 = 28;
const DURING_THE_UPGRADE: u64 = 22;

fn upgrade(
    seed: u64,
    faults: Faults,
    limits: (usize, usize, u32),
    fall_at: u64,
) -> Result<Simulation, InvariantViolation> {
    let mut w = Simulation::new(seed, faults, Micros::from_secs(150));
    w.next_store_limits = Some(limits);
    for n in &mut w.nodes {
        n.runs_version_0 = true;
    }
    let mut ids: Vec<String> = Vec::new();
    for i in 0..60u64 {
        w.run(Micros::from_secs(i * 3))?;
        // One after the other, the leader at a different turn in each history.
        if matches!(i, 12 | 20 | 28) {
            let n = ((i / 8 + seed) % 3) as usize;
            w.crash(n);
            w.nodes[n].runs_version_0 = false;
        }
        if i == AFTER_THE_UPGRADE {
            assert!(w.nodes.iter().all(|n| !n.runs_version_0));
        }
        if i == fall_at {
            w.store.limits = Some(limits);
        }
        let id = format!("job-{seed:03}{i:03}0");
        let mut spec = w.draw_job();
        // Nothing new is asked of the service before all have the new version.
        if i > 30 && spec.kind != JobKind::Service && w.random_below(3) == 0 {
            let at = w.random_below(ids.len() as u64) as usize;
            let named = ids.get(at).filter(|n| w.jobs[*n].is_accepted);
            let named = named.filter(|n| w.jobs[*n].spec.kind != JobKind::Service);
            spec.dependencies.extend(named.cloned());
        }
        w.submit(&id, spec);
        ids.push(id);
        if w.random_below(5) == 0 {
            let at = w.random_below(ids.len() as u64) as usize;
            w.cancel(&ids[at].clone());
        }
    }
    w.heal();
    w.run(Micros::from_secs(400))?;
    for id in &ids {
        if w.jobs[id].spec.kind == JobKind::Service || w.jobs[id].always_fails {
            w.cancel(id);
        }
    }
    w.run(Micros::from_secs(800))?;
    for (id, j) in w.jobs.iter().filter(|(_, j)| j.is_accepted) {
        let off = j.cancelled_at.or(j.dependency_cancelled_at).is_some();
        if off && w.running_tasks(id) > 0 {
            return Err(unserved(id, "was cancelled and still runs"));
        }
        if !off && j.spec.kind != JobKind::Service && !w.is_done(id) {
            return Err(unserved(id, "is not done"));
        }
    }
    Ok(w)
}

fn unserved(id: &str, text: &str) -> InvariantViolation {
    InvariantViolation::new(Invariant::Unserved, format!("{id} {text}")).of_job(id)
}

fn many(seeds: std::ops::Range<u64>, faults: Faults) {
    for seed in seeds {
        // A description of a job still fits; a third of the operations and changes are left.
        let end = upgrade(seed, faults, (700, 3, 20), AFTER_THE_UPGRADE);
        let w = end.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert!(
            w.store.rejected_as_too_large <= 3,
            "seed {seed}: {}",
            w.store.rejected_as_too_large
        );
    }
}

#[test]
fn lower_store_limits_after_a_rolling_upgrade_break_no_invariant() {
    many(0..8, Faults::default());
}

#[test]
fn crashes_into_the_old_version_during_an_upgrade_break_no_invariant() {
    let f = Faults {
        crashes: true,
        machine_failures: true,
        ..Faults::default()
    };
    many(20..30, f);
}

#[test]
fn outages_partitions_and_lost_answers_during_an_upgrade_break_no_invariant() {
    let f = Faults {
        controller_partitions: true,
        store_outages: true,
        lost_answers: true,
        delayed_writes: true,
        ..Faults::default()
    };
    many(40..50, f);
}

/// The limits fall in the moment in which the last node is replaced.
#[test]
fn lower_store_limits_with_the_last_upgraded_node_break_no_invariant() {
    let f = Faults {
        crashes: true,
        ..Faults::default()
    };
    for seed in 60..66 {
        let end = upgrade(seed, f, (700, 3, 20), WITH_THE_LAST_NODE);
        let w = end.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert!(
            w.store.rejected_as_too_large <= 3,
            "seed {seed}: {}",
            w.store.rejected_as_too_large
        );
    }
}

/// The limits fall while a node of the old version is left, which writes larger values and has them turned
/// down. No rule breaks, and once it is replaced everything is served.
#[test]
fn lower_store_limits_while_an_old_node_is_left_break_no_invariant() {
    for seed in 70..76 {
        let end = upgrade(seed, Faults::default(), (700, 3, 20), DURING_THE_UPGRADE);
        end.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}

/// A site at work on which the node that leads runs protocol version 0 and the others the present one.
fn led_by_version_0(seed: u64) -> (Simulation, Vec<String>, usize) {
    let mut w = Simulation::new(seed, Faults::default(), Micros::ZERO);
    for n in &mut w.nodes {
        n.runs_version_0 = true;
    }
    run(&mut w, seed, 5);
    let mut ids = Vec::new();
    for i in 0..4 {
        let id = format!("job-{seed:03}{i:02}0");
        let spec = long_array(&mut w);
        w.submit(&id, spec);
        ids.push(id);
    }
    run(&mut w, seed, 40);
    let leader = w.leader().expect("a leader");
    for n in (0..3).filter(|n| *n != leader) {
        w.crash_for(n, Micros::from_millis(300));
        w.nodes[n].runs_version_0 = false;
    }
    run(&mut w, seed, 60);
    assert_eq!(w.leader(), Some(leader), "seed {seed}");
    for id in &ids {
        assert!(w.running_tasks(id) > 0, "seed {seed}: {id} does not run");
    }
    (w, ids, leader)
}

fn run(w: &mut Simulation, seed: u64, until: u64) {
    if let Err(e) = w.run(Micros::from_secs(until)) {
        panic!("seed {seed}: {e}");
    }
}

/// Two tasks that run for longer than any of these histories, on any machine.
fn long_array(w: &mut Simulation) -> JobSpec {
    let mut spec = w.draw_job();
    (spec.kind, spec.priority, spec.tasks) = (JobKind::Array, Priority::Normal, 2);
    (spec.zone, spec.one_zone, spec.spread, spec.spot) = (None, false, false, false);
    (spec.need.cpu, spec.need.gpu) = (2_000, 0);
    (spec.checkpoint_interval, spec.save_time) = (Micros::ZERO, Micros::ZERO);
    spec.estimate = Micros::from_secs(600);
    spec
}

/// A leader of version 0 goes on without the state service while every peer says that it has none either.
/// The state service refuses that leader alone, a new node confirms cancellations, and then it is out for
/// all: the new nodes don't say so, since the leader may have missed what they confirmed, and the
/// cancelled tasks end in time.
#[test]
fn a_leader_of_version_0_does_not_outlast_a_cancellation_that_it_missed() {
    for seed in 80..86 {
        let (mut w, ids, leader) = led_by_version_0(seed);
        w.nodes[leader].store_partition_until = w.now.plus(Micros::from_secs(14));
        run(&mut w, seed, 61);
        let peer = (leader + 1) % 3;
        for id in &ids[..2] {
            assert!(w.cancel_by(peer, id), "seed {seed}");
        }
        run(&mut w, seed, 62);
        w.store.is_down = true;
        run(&mut w, seed, 62 + 78);
        assert_eq!(
            w.running_tasks(&ids[0]) + w.running_tasks(&ids[1]),
            0,
            "seed {seed}"
        );
        w.store.is_down = false;
        run(&mut w, seed, 200);
    }
}

/// Without a cancellation in question, the new nodes say plainly that they have no state service, and the
/// tasks outlast the outage under the old leader as they did before the upgrade.
#[test]
fn a_leader_of_version_0_still_survives_a_common_outage() {
    for seed in 90..94 {
        let (mut w, ids, leader) = led_by_version_0(seed);
        w.store.is_down = true;
        run(&mut w, seed, 60 + 90);
        assert_eq!(w.leader(), Some(leader), "seed {seed}");
        for id in &ids {
            assert!(w.running_tasks(id) > 0, "seed {seed}: {id} was lost");
        }
        w.store.is_down = false;
        run(&mut w, seed, 200);
    }
}

/// The leadership passes from old to new, back to old and to new again, a job is submitted and one
/// cancelled under each, and a node comes back old in between.
#[test]
fn failovers_between_versions_and_back_break_no_invariant() {
    for seed in 100..106 {
        let mut w = Simulation::new(seed, Faults::default(), Micros::ZERO);
        for n in &mut w.nodes {
            n.runs_version_0 = true;
        }
        run(&mut w, seed, 20);
        let mut led_by_old = Vec::new();
        let mut ids = Vec::new();
        for round in 0..6u64 {
            let leader = w.leader().expect("a leader");
            led_by_old.push(w.nodes[leader].runs_version_0);
            for (i, tasks) in [2, 3].into_iter().enumerate() {
                let id = format!("job-{seed:03}{round}{i}0");
                let mut spec = long_array(&mut w);
                (spec.tasks, spec.estimate) = (tasks, Micros::from_secs(15));
                w.submit(&id, spec);
                ids.push(id);
            }
            run(&mut w, seed, 24 + round * 30);
            w.cancel(&ids[ids.len() - 1].clone());
            // The next leader is of the other version: those of this one stay away longer.
            let next_is_old = led_by_old.len() % 2 == 0;
            for n in 0..3 {
                let first = n == (leader + 1) % 3;
                let away = if first { 300 } else { 16_000 };
                w.crash_for(n, Micros::from_millis(away));
                w.nodes[n].runs_version_0 = next_is_old == first;
            }
            run(&mut w, seed, 50 + round * 30);
        }
        let expected: Vec<bool> = (0..6).map(|round| round % 2 == 0).collect();
        assert_eq!(led_by_old, expected, "seed {seed}");
        run(&mut w, seed, 600);
        for id in &ids {
            let cancelled = w.jobs[id].cancelled_at.is_some();
            assert!(w.is_done(id) || cancelled, "seed {seed}: {id}");
        }
    }
}
