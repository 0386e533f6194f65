//! Two troubles that meet, both forced at the moment at which the meeting has broken rules or could:
//! one test for each line of the table in docs/failures.md. The rules are checked after each step.

use saltpitch_core::job::{JobSpec, Kind, Priority};
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, World};

fn secs(s: u64) -> Micros {
    Micros::from_secs(s)
}

fn run(w: &mut World, seed: u64, until: u64) {
    if let Err(e) = w.run(secs(until)) {
        panic!("seed {seed}: {e}");
    }
}

/// A job whose tasks fit anywhere and run for about `estimate` seconds.
fn plain(w: &mut World, kind: Kind, tasks: u32, estimate: u64) -> JobSpec {
    let mut spec = w.draw_job();
    spec.kind = kind;
    spec.priority = match kind {
        Kind::Service => Priority::Production,
        Kind::Gang => Priority::High,
        Kind::Array => Priority::Normal,
    };
    (spec.tasks, spec.zone, spec.one_zone) = (tasks, None, false);
    (spec.spread, spec.spot) = (false, false);
    (spec.need.cpu, spec.need.gpu) = (2_000, 0);
    (spec.checkpoint, spec.save) = (Micros::ZERO, Micros::ZERO);
    spec.estimate = if kind == Kind::Service {
        Micros::ZERO
    } else {
        secs(estimate)
    };
    spec
}

/// A site at work: `n` jobs with long tasks run, and somebody leads. The ids don't end in 7, which
/// marks jobs submitted with a mistake.
fn at_work(seed: u64, n: u32) -> (World, Vec<String>, usize) {
    let mut w = World::new(seed, Faults::default(), Micros::ZERO);
    run(&mut w, seed, 5);
    let mut ids = Vec::new();
    for i in 0..n {
        let id = format!("job-{seed:03}{i:02}0");
        let spec = plain(&mut w, Kind::Array, 2, 400);
        w.submit(&id, spec);
        ids.push(id);
    }
    run(&mut w, seed, 40);
    for id in &ids {
        assert!(w.running(id) > 0, "seed {seed}: {id} does not run");
    }
    let leader = w.leader().expect("a leader");
    (w, ids, leader)
}

/// Another node than this one.
fn other(n: usize) -> usize {
    (n + 1) % 3
}

/// The store refuses the leader alone, another node confirms cancellations, then the store is down for
/// all for longer than a cancellation may take, while workers report to the old leader. With "no peer
/// has the store" as the reason to go on, the cancelled tasks ran on through the outage.
#[test]
fn cancelled_elsewhere_while_the_leader_alone_is_refused_then_an_outage() {
    for seed in 10..16 {
        let (mut w, ids, leader) = at_work(seed, 4);
        w.nodes[leader].no_store_until = w.now.plus(secs(14));
        run(&mut w, seed, 41);
        for id in &ids[..2] {
            assert!(w.cancel_by(other(leader), id), "seed {seed}");
        }
        run(&mut w, seed, 42);
        w.store.down = true;
        run(&mut w, seed, 42 + 78);
        // The old leader was told by the node that confirmed them, and went on for the others.
        assert_eq!(w.leader(), Some(leader), "seed {seed}");
        assert_eq!(w.running(&ids[0]) + w.running(&ids[1]), 0, "seed {seed}");
        assert!(w.running(&ids[2]) > 0 && w.running(&ids[3]) > 0);
        w.store.down = false;
        run(&mut w, seed, 200);
    }
}

/// An outage common to all costs no task its lease, however long it lasts.
#[test]
fn an_outage_common_to_all_is_survived() {
    for seed in 20..24 {
        let (mut w, ids, leader) = at_work(seed, 4);
        w.store.down = true;
        run(&mut w, seed, 40 + 150);
        assert_eq!(w.leader(), Some(leader), "seed {seed}");
        assert!(w.workers.values().all(|m| m.gone || m.session == 1));
        for id in &ids {
            assert!(w.running(id) > 0, "seed {seed}: {id} was lost");
        }
        w.store.down = false;
        run(&mut w, seed, 230);
    }
}
