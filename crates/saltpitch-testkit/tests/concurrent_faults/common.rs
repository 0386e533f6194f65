//! What the tests share: a site at work, and disturbances of it.

use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, Simulation};

pub fn secs(s: u64) -> Micros {
    Micros::from_secs(s)
}

pub fn run(w: &mut Simulation, seed: u64, until: u64) {
    if let Err(e) = w.run(secs(until)) {
        panic!("seed {seed}: {e}");
    }
}

/// A job whose tasks fit anywhere and run for about `estimate` seconds.
pub fn plain(w: &mut Simulation, kind: JobKind, tasks: u32, estimate: u64) -> JobSpec {
    let mut spec = w.draw_job();
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

/// A site at work: `n` jobs with long tasks run, and somebody leads. The ids don't end in 7, which
/// marks jobs submitted with a mistake.
pub fn at_work(seed: u64, n: u32) -> (Simulation, Vec<String>, usize) {
    let mut w = Simulation::new(seed, Faults::default(), Micros::ZERO);
    run(&mut w, seed, 5);
    let mut ids = Vec::new();
    for i in 0..n {
        let id = format!("job-{seed:03}{i:02}0");
        let spec = plain(&mut w, JobKind::Array, 2, 400);
        w.submit(&id, spec);
        ids.push(id);
    }
    run(&mut w, seed, 40);
    for id in &ids {
        assert!(w.running_tasks(id) > 0, "seed {seed}: {id} does not run");
    }
    let leader = w.leader().expect("a leader");
    (w, ids, leader)
}

/// Another node than this one.
pub fn other(n: usize) -> usize {
    (n + 1) % 3
}

/// The store refuses the leader alone, another node confirms cancellations, then the store is down for
/// all for longer than a cancellation may take, while agents heartbeat to the old leader. With "no peer
/// has the store" as the reason to go on, the cancelled tasks ran on through the outage.
/// Everything that was submitted and not cancelled is done, and nothing cancelled is left.
pub fn all_over(w: &Simulation, seed: u64) {
    for (id, j) in w.jobs.iter().filter(|(_, j)| j.is_accepted) {
        if j.cancelled_at.is_some() {
            assert_eq!(w.running_tasks(id), 0, "seed {seed}: {id} was cancelled");
        } else if j.spec.kind != JobKind::Service {
            assert!(w.is_done(id), "seed {seed}: {id} is not done");
        } else {
            let on = w.running_tasks(id) as u32;
            assert_eq!(on, j.spec.tasks, "seed {seed}: {id} does not run whole");
        }
    }
}

/// Short jobs of every kind, one in three of them cancelled right away.
pub fn disturb(w: &mut Simulation, seed: u64, round: u64) {
    for (i, kind) in [JobKind::Array, JobKind::Gang, JobKind::Array]
        .iter()
        .enumerate()
    {
        let id = format!("job-{seed:03}{round:02}{i}");
        let spec = plain(w, *kind, 2, 6);
        w.submit(&id, spec);
        if i == 2 {
            w.cancel(&id);
        }
    }
}
