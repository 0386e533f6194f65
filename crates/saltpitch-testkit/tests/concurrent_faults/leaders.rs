//! Failovers during store outages, restarts and other failovers.

use saltpitch_core::Micros;

use crate::common::{
    assert_all_finished, run_until, secs, site_with_running_jobs, submit_short_jobs,
};

/// While the store is down for all nodes, the leader continues and no agent's lease expires, however long the outage
/// lasts.
#[test]
fn a_store_outage_common_to_all_expires_no_lease() {
    for seed in 20..24 {
        let (mut simulation, ids, leader) = site_with_running_jobs(seed, 4);
        simulation.store.is_down = true;
        run_until(&mut simulation, seed, 40 + 150);
        assert_eq!(simulation.leader(), Some(leader), "seed {seed}");
        assert!(simulation
            .agents
            .values()
            .all(|agent| agent.is_gone || agent.agent_epoch == 1));
        for id in &ids {
            assert!(
                simulation.running_tasks(id) > 0,
                "seed {seed}: {id} was lost"
            );
        }
        simulation.store.is_down = false;
        run_until(&mut simulation, seed, 230);
    }
}

#[test]
fn ten_failovers_in_two_minutes_with_an_outage_break_no_invariant() {
    for seed in 100..106 {
        let (mut simulation, _, _) = site_with_running_jobs(seed, 2);
        for round in 0..10 {
            let at = 40 + round * 12;
            submit_short_jobs(&mut simulation, seed, round);
            // Two of the failovers happen during an outage.
            simulation.store.is_down = matches!(round, 4 | 5);
            if let Some(node) = simulation.leader() {
                let wait = simulation.random_below(9_000);
                simulation.crash_for(node, Micros::from_millis(200 + wait));
            }
            run_until(&mut simulation, seed, at + 12);
        }
        simulation.store.is_down = false;
        run_until(&mut simulation, seed, 900);
        assert_all_finished(&simulation, seed);
    }
}

#[test]
fn two_failovers_then_a_restart_of_all_controllers_break_no_invariant() {
    for seed in 110..116 {
        let (mut simulation, _, first) = site_with_running_jobs(seed, 2);
        submit_short_jobs(&mut simulation, seed, 0);
        simulation.crash_for(first, secs(5));
        run_until(&mut simulation, seed, 52);
        submit_short_jobs(&mut simulation, seed, 1);
        let second = simulation.leader().expect("a leader");
        simulation.crash_for(second, secs(5));
        run_until(&mut simulation, seed, 60);
        submit_short_jobs(&mut simulation, seed, 2);
        let last = simulation.leader().unwrap_or(first);
        for node in 0..3 {
            let wait = if node == last { 300 } else { 9_000 };
            simulation.crash_for(node, Micros::from_millis(wait));
        }
        run_until(&mut simulation, seed, 900);
        assert_all_finished(&simulation, seed);
    }
}

/// A job is done when its last task is, even if the leader changed after the first tasks ended.
#[test]
fn a_job_whose_tasks_end_across_a_failover_is_done() {
    for seed in 190..198 {
        let (mut simulation, ids, leader) = site_with_running_jobs(seed, 4);
        // The first task of each job ends in a second, the second task half a minute later.
        let now = simulation.now;
        for agent in simulation.agents.values_mut() {
            for ((id, _), task) in agent
                .tasks
                .iter_mut()
                .filter(|(_, task)| task.counts_as_running())
            {
                task.phase_ends_at = now.plus(secs(if id.1 == 0 { 1 } else { 30 + seed % 5 }));
            }
        }
        let wait = 1_000 + simulation.random_below(2_500);
        let end = simulation.now.plus(Micros::from_millis(wait));
        while simulation.now < end {
            simulation.step().expect("no invariant is violated");
        }
        simulation.crash_for(leader, secs(5));
        run_until(&mut simulation, seed, 55);
        for id in &ids {
            assert!(
                !simulation.is_done(id),
                "seed {seed}: {id} is done before its last task"
            );
        }
        run_until(&mut simulation, seed, 120);
        assert_all_finished(&simulation, seed);
    }
}

#[test]
fn all_controllers_down_for_longer_than_a_lease_break_no_invariant() {
    for seed in 310..318 {
        let (mut simulation, ids, _) = site_with_running_jobs(seed, 4);
        simulation.cancel(&ids[0]);
        let down_s = 15 + (seed % 4) * 10;
        for node in 0..3 {
            simulation.crash_for(node, secs(down_s + node as u64));
        }
        run_until(&mut simulation, seed, 40 + down_s + 10);
        simulation.cancel(&ids[1]);
        run_until(&mut simulation, seed, 1_500);
        assert_all_finished(&simulation, seed);
    }
}

/// A leader in a partitioned zone continues to answer its agents there; the next leader crashes at once,
/// restarts and leads again. That no node led in between doesn't prove that the first leader is gone: the tasks
/// in its zone count as running until the first leader can't have answered any agent any more.
#[test]
fn two_failovers_while_the_first_leader_still_answers_break_no_invariant() {
    let mut played = 0;
    for seed in 340..376 {
        let (mut simulation, _, first) = site_with_running_jobs(seed, 4);
        // No other node is in this zone.
        if simulation.nodes[first].zone != "west" {
            continue;
        }
        played += 1;
        let until = simulation.now.plus(secs(34));
        simulation.zone_partition_until = until;
        simulation.nodes[first].store_partition_until = until;
        let end = simulation.now.plus(secs(12));
        while simulation.now < end
            && (0..3)
                .all(|node| node == first || !simulation.nodes[node].may_answer(simulation.now))
        {
            simulation.step().expect("no invariant is violated");
        }
        let second = (0..3)
            .find(|node| *node != first && simulation.nodes[*node].may_answer(simulation.now));
        simulation.crash_for(second.expect("a second leader"), Micros::from_millis(300));
        run_until(&mut simulation, seed, 110);
        run_until(&mut simulation, seed, 1_500);
        assert_all_finished(&simulation, seed);
    }
    assert!(
        played >= 4,
        "only {played} histories had their first leader in that zone"
    );
}
