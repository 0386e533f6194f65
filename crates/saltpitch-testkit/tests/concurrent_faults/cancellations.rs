//! Cancellations that meet an outage, a refused leader or the end of a job.

use saltpitch_core::job::JobKind;
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, Simulation};

use crate::common::{all_over, at_work, other, plain, run, secs};

#[test]
fn cancellation_by_a_follower_holds_when_the_leader_loses_the_store_before_an_outage() {
    for seed in 10..16 {
        let (mut w, ids, leader) = at_work(seed, 4);
        w.nodes[leader].store_partition_until = w.now.plus(secs(14));
        run(&mut w, seed, 41);
        for id in &ids[..2] {
            assert!(w.cancel_by(other(leader), id), "seed {seed}");
        }
        run(&mut w, seed, 42);
        w.store.is_down = true;
        run(&mut w, seed, 42 + 78);
        // The old leader was told by the node that confirmed them, and went on for the others.
        assert_eq!(w.leader(), Some(leader), "seed {seed}");
        assert_eq!(
            w.running_tasks(&ids[0]) + w.running_tasks(&ids[1]),
            0,
            "seed {seed}"
        );
        assert!(w.running_tasks(&ids[2]) > 0 && w.running_tasks(&ids[3]) > 0);
        w.store.is_down = false;
        run(&mut w, seed, 200);
    }
}

/// The leader has its agents and nobody else; another takes over and users cancel through that one.
#[test]
fn cancellation_by_a_new_leader_holds_while_the_old_one_has_only_its_agents() {
    for seed in 150..158 {
        let (mut w, ids, old) = at_work(seed, 4);
        let until = w.now.plus(secs(90));
        w.nodes[old].store_partition_until = until;
        w.nodes[old].peer_partition_until = until;
        run(&mut w, seed, 41 + seed % 8);
        for id in &ids[..3] {
            assert!(w.cancel(id), "seed {seed}");
        }
        // One of their machines hangs, and goes on within its lease.
        let now = w.now;
        if let Some(m) = w.agents.values_mut().find(|m| !m.tasks.is_empty()) {
            m.hung_until = now.plus(secs(13));
        }
        run(&mut w, seed, 130);
        assert_ne!(w.leader(), Some(old), "seed {seed}");
        run(&mut w, seed, 900);
        all_over(&w, seed);
    }
}

/// Cancelled at the very moment at which the store refuses the leader; a second later it is out.
#[test]
fn cancellation_holds_when_the_store_refuses_the_leader_and_then_all() {
    for seed in 250..258 {
        let (mut w, ids, leader) = at_work(seed, 4);
        w.nodes[leader].store_partition_until = w.now.plus(secs(14));
        for id in &ids[..2] {
            assert!(w.cancel_by(other(leader), id), "seed {seed}");
        }
        let wait = 700 + w.random_below(600);
        let at = w.now.plus(Micros::from_millis(wait));
        while w.now < at {
            w.step().expect("no rule is broken");
        }
        w.store.is_down = true;
        // The node that confirmed them ends, in some histories, and forgets them.
        if seed % 2 == 0 {
            w.crash_for(other(leader), Micros::from_millis(300));
        }
        run(&mut w, seed, 41 + 78);
        assert_eq!(
            w.running_tasks(&ids[0]) + w.running_tasks(&ids[1]),
            0,
            "seed {seed}"
        );
        w.store.is_down = false;
        run(&mut w, seed, 1_500);
        all_over(&w, seed);
    }
}

/// A cancellation, a question or a repeated submission meets the end of a job's last task.
#[test]
fn cancellation_at_the_end_of_the_last_task_has_one_outcome() {
    for seed in 280..300 {
        let mut w = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run(&mut w, seed, 5);
        let id = format!("job-{seed:03}000");
        let kind = if seed % 3 == 0 {
            JobKind::Gang
        } else {
            JobKind::Array
        };
        let spec = plain(&mut w, kind, 3, 6);
        w.submit(&id, spec.clone());
        let all = |w: &Simulation| w.completed_tasks.get(&id).is_some_and(|d| d.len() == 3);
        while !all(&w) {
            w.step().expect("no rule is broken");
        }
        let wait = w.random_below(1_500);
        let at = w.now.plus(Micros::from_millis(wait));
        while w.now < at {
            w.step().expect("no rule is broken");
        }
        if seed % 2 == 0 {
            w.cancel(&id);
        } else {
            w.submit(&id, spec);
        }
        run(&mut w, seed, 200);
        all_over(&w, seed);
    }
}
