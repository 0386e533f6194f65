//! Cancellations during a store outage, while the leader is partitioned from the store, or at the end of a job.

use saltpitch_core::job::JobKind;
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, Simulation};

use crate::common::{
    assert_all_finished, other_node, run_until, secs, site_with_running_jobs, unconstrained_job,
};

/// The leader alone is partitioned from the store, another node confirms cancellations, and then the store is
/// down for all nodes for longer than a cancellation may take, while the agents send heartbeats to the old
/// leader. When a leader continued because no peer had the store, the cancelled tasks ran on through the outage.
#[test]
fn cancellation_by_a_follower_holds_when_the_leader_loses_the_store_before_an_outage() {
    for seed in 10..16 {
        let (mut simulation, ids, leader) = site_with_running_jobs(seed, 4);
        simulation.nodes[leader].store_partition_until = simulation.now.plus(secs(14));
        run_until(&mut simulation, seed, 41);
        for id in &ids[..2] {
            assert!(simulation.cancel_by(other_node(leader), id), "seed {seed}");
        }
        run_until(&mut simulation, seed, 42);
        simulation.store.is_down = true;
        run_until(&mut simulation, seed, 42 + 78);
        // The node that confirmed the cancellations told the old leader, which continues to serve the other jobs.
        assert_eq!(simulation.leader(), Some(leader), "seed {seed}");
        assert_eq!(
            simulation.running_tasks(&ids[0]) + simulation.running_tasks(&ids[1]),
            0,
            "seed {seed}"
        );
        assert!(simulation.running_tasks(&ids[2]) > 0 && simulation.running_tasks(&ids[3]) > 0);
        simulation.store.is_down = false;
        run_until(&mut simulation, seed, 200);
    }
}

/// The leader reaches its agents, but neither the store nor its peers; another node takes over and users
/// cancel jobs through that one.
#[test]
fn cancellation_by_a_new_leader_holds_while_the_old_one_reaches_only_its_agents() {
    for seed in 150..158 {
        let (mut simulation, ids, old_leader) = site_with_running_jobs(seed, 4);
        let until = simulation.now.plus(secs(90));
        simulation.nodes[old_leader].store_partition_until = until;
        simulation.nodes[old_leader].peer_partition_until = until;
        run_until(&mut simulation, seed, 41 + seed % 8);
        for id in &ids[..3] {
            assert!(simulation.cancel(id), "seed {seed}");
        }
        // A machine with tasks hangs, and recovers within its lease.
        let now = simulation.now;
        if let Some(agent) = simulation
            .agents
            .values_mut()
            .find(|agent| !agent.tasks.is_empty())
        {
            agent.hung_until = now.plus(secs(13));
        }
        run_until(&mut simulation, seed, 130);
        assert_ne!(simulation.leader(), Some(old_leader), "seed {seed}");
        run_until(&mut simulation, seed, 900);
        assert_all_finished(&simulation, seed);
    }
}

/// Jobs are cancelled at the moment at which the leader is partitioned from the store; about a second later the
/// store is down for all nodes.
#[test]
fn cancellation_holds_when_the_leader_loses_the_store_and_then_all_nodes_do() {
    for seed in 250..258 {
        let (mut simulation, ids, leader) = site_with_running_jobs(seed, 4);
        simulation.nodes[leader].store_partition_until = simulation.now.plus(secs(14));
        for id in &ids[..2] {
            assert!(simulation.cancel_by(other_node(leader), id), "seed {seed}");
        }
        let wait = 700 + simulation.random_below(600);
        let end = simulation.now.plus(Micros::from_millis(wait));
        while simulation.now < end {
            simulation.step().expect("no invariant is violated");
        }
        simulation.store.is_down = true;
        // In half of the histories the node that confirmed the cancellations crashes and forgets them.
        if seed % 2 == 0 {
            simulation.crash_for(other_node(leader), Micros::from_millis(300));
        }
        run_until(&mut simulation, seed, 41 + 78);
        assert_eq!(
            simulation.running_tasks(&ids[0]) + simulation.running_tasks(&ids[1]),
            0,
            "seed {seed}"
        );
        simulation.store.is_down = false;
        run_until(&mut simulation, seed, 1_500);
        assert_all_finished(&simulation, seed);
    }
}

/// A cancellation, a query or a repeated submission arrives shortly after the end of a job's last task.
#[test]
fn cancellation_at_the_end_of_the_last_task_has_one_outcome() {
    for seed in 280..300 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        let id = format!("job-{seed:03}000");
        let kind = if seed % 3 == 0 {
            JobKind::Gang
        } else {
            JobKind::Array
        };
        let spec = unconstrained_job(&mut simulation, kind, 3, 6);
        simulation.submit(&id, spec.clone());
        let all_completed = |simulation: &Simulation| {
            simulation
                .completed_tasks
                .get(&id)
                .is_some_and(|tasks| tasks.len() == 3)
        };
        while !all_completed(&simulation) {
            simulation.step().expect("no invariant is violated");
        }
        let wait = simulation.random_below(1_500);
        let end = simulation.now.plus(Micros::from_millis(wait));
        while simulation.now < end {
            simulation.step().expect("no invariant is violated");
        }
        if seed % 2 == 0 {
            simulation.cancel(&id);
        } else {
            simulation.submit(&id, spec);
        }
        run_until(&mut simulation, seed, 200);
        assert_all_finished(&simulation, seed);
    }
}
