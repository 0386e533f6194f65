//! Delayed, held and duplicated messages around a failover.

use saltpitch_core::job::JobKind;
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, Simulation};

use crate::common::{
    assert_all_finished, run_until, secs, site_with_running_jobs, submit_short_jobs,
    unconstrained_job,
};

#[test]
fn delayed_writes_after_newer_ones_of_the_same_leader_break_no_invariant() {
    for seed in 140..148 {
        let (mut simulation, ids, leader) = site_with_running_jobs(seed, 3);
        simulation.delayed_writes_until = simulation.now.plus(secs(40));
        for round in 0..6 {
            submit_short_jobs(&mut simulation, seed, round);
            run_until(&mut simulation, seed, 45 + round * 7);
            if round == 2 {
                simulation.cancel(&ids[0]);
            }
            if round == 4 && seed % 2 == 0 {
                simulation.crash_for(leader, Micros::from_millis(300));
            }
        }
        run_until(&mut simulation, seed, 900);
        assert_all_finished(&simulation, seed);
    }
}

/// The leader crashes some time after its delayed writes: the next leader recovers from the records as these
/// writes left them.
#[test]
fn failover_after_delayed_writes_breaks_no_invariant() {
    for seed in 400..424 {
        let (mut simulation, _, leader) = site_with_running_jobs(seed, 2);
        simulation.delayed_writes_until = simulation.now.plus(secs(5));
        for round in 0..5 {
            submit_short_jobs(&mut simulation, seed, round);
            let spec = unconstrained_job(&mut simulation, JobKind::Array, 3, 40);
            simulation.submit(&format!("job-9{seed:03}{round}0"), spec);
            run_until(&mut simulation, seed, 41 + round);
        }
        run_until(&mut simulation, seed, 47 + seed % 14);
        simulation.crash_for(leader, secs(5));
        run_until(&mut simulation, seed, 900);
        assert_all_finished(&simulation, seed);
    }
}

/// A heartbeat from an earlier epoch or with an earlier attempt arrives after newer ones.
#[test]
fn old_heartbeats_after_newer_ones_break_no_invariant() {
    for seed in 160..168 {
        let (mut simulation, ids, leader) = site_with_running_jobs(seed, 3);
        let name = (simulation.agents.values())
            .find(|agent| {
                !agent.is_gone && agent.tasks.values().any(|task| task.counts_as_running())
            })
            .map(|agent| agent.name.clone())
            .expect("a busy machine");
        let old_heartbeat = simulation.agents[&name].newest_heartbeat();
        // The lease of the machine expires and its tasks are restarted elsewhere; in half of the histories a job is
        // cancelled too.
        simulation
            .agents
            .get_mut(&name)
            .expect("a machine")
            .inbound_partition_until = simulation.now.plus(secs(17));
        if seed % 2 == 0 {
            simulation.cancel(&ids[0]);
        }
        for at in [44, 56, 60, 70, 90] {
            run_until(&mut simulation, seed, at);
            let node = simulation.leader().unwrap_or(leader);
            simulation.deliver_duplicate(node, old_heartbeat.clone());
        }
        run_until(&mut simulation, seed, 900);
        assert_all_finished(&simulation, seed);
    }
}

/// Start and stop commands and their answers are delayed while the machine hangs, and arrive when it recovers.
#[test]
fn commands_delayed_by_a_hanging_machine_break_no_invariant() {
    for seed in 170..178 {
        let (mut simulation, ids, _) = site_with_running_jobs(seed, 3);
        let busy: Vec<String> = simulation.agents.keys().take(3).cloned().collect();
        submit_short_jobs(&mut simulation, seed, 0);
        let commands_sent_at = simulation
            .now
            .plus(Micros::from_millis(100 * (1 + seed % 8)));
        while simulation.now < commands_sent_at {
            simulation.step().expect("no invariant is violated");
        }
        for name in &busy {
            let until = simulation.now.plus(secs(4 + seed % 9));
            simulation
                .agents
                .get_mut(name)
                .expect("a machine")
                .hung_until = until;
        }
        simulation.cancel(&ids[0]);
        run_until(&mut simulation, seed, 44);
        simulation.cancel(&ids[1]);
        run_until(&mut simulation, seed, 900);
        assert_all_finished(&simulation, seed);
    }
}

/// Direct commands get no answer and are executed up to 20 seconds later. Among them are starts of jobs that
/// were cancelled in the meantime.
#[test]
fn commands_executed_after_their_timeout_break_no_invariant() {
    for seed in 430..446 {
        let faults = Faults {
            lost_answers: true,
            ..Faults::default()
        };
        let mut simulation = Simulation::new(seed, faults, Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        for round in 0..30u64 {
            let id = format!("job-{seed:03}{round:02}0");
            let kind = if round % 4 == 0 {
                JobKind::Gang
            } else {
                JobKind::Array
            };
            let spec = unconstrained_job(&mut simulation, kind, 2, 8);
            simulation.submit(&id, spec);
            run_until(&mut simulation, seed, 6 + round * 2);
            if round % 2 == 0 {
                simulation.cancel(&id);
            }
            if round % 10 == 9 {
                if let Some(agent) = simulation.agents.values_mut().find(|agent| !agent.is_gone) {
                    agent.hung_until = simulation.now.plus(secs(5));
                }
            }
        }
        simulation.heal();
        run_until(&mut simulation, seed, 600);
        assert_all_finished(&simulation, seed);
    }
}

/// The store delays the leader's writes, then the leader alone is partitioned from it, and then it is down for
/// all nodes, while users cancel and query jobs.
#[test]
fn cancellations_hold_while_the_store_is_slow_then_unreachable_for_the_leader_then_down() {
    for seed in 180..188 {
        let (mut simulation, ids, leader) = site_with_running_jobs(seed, 5);
        simulation.delayed_writes_until = simulation.now.plus(secs(6));
        simulation.cancel(&ids[0]);
        submit_short_jobs(&mut simulation, seed, 0);
        run_until(&mut simulation, seed, 45);
        simulation.cancel(&ids[1]);
        simulation.nodes[leader].store_partition_until = simulation.now.plus(secs(2 + seed % 12));
        run_until(&mut simulation, seed, 46);
        simulation.cancel(&ids[2]);
        run_until(&mut simulation, seed, 47);
        simulation.store.is_down = true;
        run_until(&mut simulation, seed, 47 + 60);
        simulation.store.is_down = false;
        simulation.cancel(&ids[3]);
        run_until(&mut simulation, seed, 900);
        assert_all_finished(&simulation, seed);
    }
}

/// Heartbeats are held until a new leader has acted on the state that it knows, and are then delivered to it
/// repeatedly.
#[test]
fn heartbeats_delivered_after_a_failover_break_no_invariant() {
    for seed in 260..270 {
        let (mut simulation, ids, leader) = site_with_running_jobs(seed, 4);
        let held_heartbeats: Vec<_> = simulation
            .agents
            .values()
            .map(|agent| agent.newest_heartbeat())
            .collect();
        simulation.crash_for(leader, secs(5));
        simulation.cancel(&ids[0]);
        run_until(&mut simulation, seed, 48 + seed % 10);
        submit_short_jobs(&mut simulation, seed, 0);
        simulation.cancel(&ids[1]);
        for i in 0..4 {
            run_until(&mut simulation, seed, 60 + i * 5);
            if let Some(node) = simulation.leader() {
                for heartbeat in &held_heartbeats {
                    simulation.deliver_duplicate(node, heartbeat.clone());
                }
            }
        }
        run_until(&mut simulation, seed, 1_500);
        assert_all_finished(&simulation, seed);
    }
}
