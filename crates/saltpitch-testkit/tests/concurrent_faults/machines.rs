//! Unreachable machines, and jobs that wait for capacity, combined with other faults.

use saltpitch_core::job::{JobKind, Priority};
use saltpitch_core::Micros;
use saltpitch_testkit::{Faults, Simulation};

use crate::common::{
    assert_all_finished, run_until, secs, site_with_running_jobs, submit_short_jobs,
    unconstrained_job,
};

/// The team uses its whole limit, and the new leader can't query some of its machines. The tasks on these
/// machines count against the limit until they are proven gone, so no more tasks of the team start, and a
/// cancellation at that time releases no quota before its tasks are gone.
#[test]
fn quota_holds_when_a_new_leader_cannot_reach_machines() {
    for seed in 120..128 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        let mut ids = Vec::new();
        for i in 0..14 {
            let mut spec = unconstrained_job(&mut simulation, JobKind::Array, 2, 200);
            spec.team = "red".to_owned();
            let id = format!("job-{seed:03}{i:02}0");
            simulation.submit(&id, spec);
            ids.push(id);
        }
        run_until(&mut simulation, seed, 50);
        let running: usize = ids.iter().map(|id| simulation.running_tasks(id)).sum();
        assert_eq!(running, 20, "seed {seed}: the limit is not used up");
        let leader = simulation.leader().expect("a leader");
        simulation.crash_for(leader, secs(5));
        // Half of the machines hang or have an inbound partition.
        let until = simulation.now.plus(secs(12));
        for (i, agent) in simulation.agents.values_mut().enumerate() {
            match i % 4 {
                0 => agent.hung_until = until,
                1 => agent.inbound_partition_until = until.plus(secs(30)),
                _ => {}
            }
        }
        run_until(&mut simulation, seed, 51);
        let running_id = ids
            .iter()
            .find(|id| simulation.running_tasks(id) > 0)
            .cloned();
        simulation.cancel(&running_id.expect("a running job"));
        run_until(&mut simulation, seed, 53);
        for id in &ids[..3] {
            simulation.cancel(id);
        }
        run_until(&mut simulation, seed, 1_500);
        assert_all_finished(&simulation, seed);
    }
}

/// Agents can't connect to any controller, while direct commands reach them. Their tasks end with their leases
/// and are restarted elsewhere, and these machines get no new tasks.
#[test]
fn outbound_partitioned_machines_lose_their_leases_and_get_no_tasks() {
    for seed in 130..138 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        let spec = unconstrained_job(&mut simulation, JobKind::Service, 6, 0);
        simulation.submit("job-000001", spec);
        for i in 0..4 {
            let spec = unconstrained_job(&mut simulation, JobKind::Array, 2, 25);
            simulation.submit(&format!("job-{seed:03}{i:02}0"), spec);
        }
        run_until(&mut simulation, seed, 40);
        assert_eq!(simulation.running_tasks("job-000001"), 6, "seed {seed}");
        let leader = simulation.leader();
        let busy: Vec<String> = (simulation.agents.values())
            .filter(|agent| {
                !agent.is_gone && agent.tasks.values().any(|task| task.counts_as_running())
            })
            .map(|agent| agent.name.clone())
            .take(2)
            .collect();
        for name in &busy {
            let agent = simulation.agents.get_mut(name).expect("a machine");
            agent.outbound_partition_until = secs(100_000);
        }
        run_until(&mut simulation, seed, 62);
        for name in &busy {
            let agent = &simulation.agents[name];
            assert!(
                agent.is_gone || agent.tasks.values().all(|task| !task.counts_as_running()),
                "seed {seed}"
            );
        }
        run_until(&mut simulation, seed, 85);
        assert_eq!(
            simulation.running_tasks("job-000001"),
            6,
            "seed {seed}: the service does not run all of its tasks"
        );
        simulation.cancel(&format!("job-{seed:03}000"));
        run_until(&mut simulation, seed, 400);
        assert_eq!(
            (simulation.leader(), simulation.resignations),
            (leader, 0),
            "seed {seed}"
        );
        assert_all_finished(&simulation, seed);
    }
}

/// A zone with agents and a controller is partitioned for longer than a lease, with the leader inside it or
/// outside: no task runs twice and no busy machine is returned.
#[test]
fn a_zone_partition_longer_than_a_lease_breaks_no_invariant() {
    for seed in 200..208 {
        let (mut simulation, ids, _) = site_with_running_jobs(seed, 4);
        let until = simulation.now.plus(secs(40));
        simulation.zone_partition_until = until;
        // The store and the cloud belong to no zone. A zone that is partitioned from everything loses them too.
        let zone = if seed % 2 == 0 { "west" } else { "east" };
        for node in simulation.nodes.iter_mut().filter(|node| node.zone == zone) {
            node.store_partition_until = until;
        }
        run_until(&mut simulation, seed, 46);
        simulation.cancel(&ids[0]);
        submit_short_jobs(&mut simulation, seed, 0);
        run_until(&mut simulation, seed, 100);
        assert_eq!(simulation.busy_machines_returned, 0, "seed {seed}");
        run_until(&mut simulation, seed, 900);
        assert_all_finished(&simulation, seed);
    }
}

/// Jobs bound to one zone, either a named zone or any single one, lose machines. Their restarted tasks stay in that
/// zone.
#[test]
fn jobs_bound_to_one_zone_restart_there_after_machine_loss() {
    for seed in 210..218 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        for i in 0..4u32 {
            let kind = if i % 2 == 0 {
                JobKind::Array
            } else {
                JobKind::Gang
            };
            let mut spec = unconstrained_job(&mut simulation, kind, 3, 30);
            spec.one_zone = i >= 1;
            spec.zone = (i < 2).then(|| "east".to_owned());
            simulation.submit(&format!("job-{seed:03}{i:02}0"), spec);
        }
        for at in [30, 45, 60] {
            run_until(&mut simulation, seed, at);
            let busy: Vec<String> = (simulation.agents.values())
                .filter(|agent| {
                    !agent.is_gone && agent.tasks.values().any(|task| task.counts_as_running())
                })
                .map(|agent| agent.name.clone())
                .collect();
            for name in busy.iter().step_by(2) {
                let now = simulation.now;
                let agent = simulation.agents.get_mut(name).expect("a machine");
                if seed % 2 == 0 {
                    agent.is_gone = true;
                } else {
                    agent.hung_until = now.plus(secs(10));
                }
            }
        }
        run_until(&mut simulation, seed, 700);
        assert_all_finished(&simulation, seed);
    }
}

/// More jobs, of high to low priority, than the machines have room for arrive over links that delay each message
/// by a fifth of a second to more than a second. All jobs are done at the end, and the largest ones start in time.
#[test]
fn overload_over_slow_links_serves_every_group() {
    for seed in 220..223 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        simulation.slow_links_until = simulation.now.plus(secs(240));
        for round in 0..60u64 {
            run_until(&mut simulation, seed, 5 + round * 4);
            let (kind, tasks) = match round % 10 {
                3 => (JobKind::Gang, 4),
                7 => (JobKind::Array, 40),
                digit if digit % 3 == 0 => (JobKind::Gang, 1),
                _ => (JobKind::Array, 6),
            };
            let mut spec = unconstrained_job(&mut simulation, kind, tasks, 8);
            spec.class = if kind == JobKind::Gang {
                "train"
            } else {
                "batch"
            }
            .to_owned();
            if round % 4 == 0 {
                spec.priority = Priority::Low;
            }
            simulation.submit(&format!("job-{seed:03}{round:02}0"), spec);
        }
        run_until(&mut simulation, seed, 900);
        saltpitch_testkit::invariants::check_served(&simulation)
            .unwrap_or_else(|error| panic!("seed {seed}: {error}"));
        assert_all_finished(&simulation, seed);
    }
}

/// The leader crashes while machines with long tasks have an inbound partition or are partitioned both ways.
#[test]
fn failover_while_busy_machines_are_unreachable_breaks_no_invariant() {
    for seed in 230..240 {
        let (mut simulation, ids, leader) = site_with_running_jobs(seed, 5);
        let until = simulation.now.plus(secs(8 + (seed % 5) * 12));
        for (i, agent) in simulation.agents.values_mut().enumerate() {
            match i % 3 {
                0 => agent.inbound_partition_until = until,
                1 => {
                    agent.inbound_partition_until = until;
                    agent.outbound_partition_until = until;
                }
                _ => {}
            }
        }
        run_until(&mut simulation, seed, 41);
        simulation.crash_for(leader, secs(6));
        run_until(&mut simulation, seed, 46);
        simulation.cancel(&ids[0]);
        run_until(&mut simulation, seed, 1_500);
        assert_all_finished(&simulation, seed);
    }
}

/// After the faults have ended, no job waits while machines have room for it. Two situations, both of them played
/// here, left jobs waiting in histories with all faults: jobs that fail on every machine, and free processors only on
/// machines whose accelerators are in use.
#[test]
fn no_job_waits_while_machines_have_room() {
    for seed in 330..336 {
        let mut simulation = Simulation::new(seed, Faults::default(), Micros::ZERO);
        run_until(&mut simulation, seed, 5);
        // Jobs that fail on every machine (their ids end in 7) don't count as failures of the machines.
        for i in 0..4 {
            let mut spec = unconstrained_job(&mut simulation, JobKind::Array, 3, 5);
            spec.team = "blue".to_owned();
            simulation.submit(&format!("job-{seed:03}{i:02}7"), spec);
        }
        // All accelerators are in use while their machines have free processors, and all other machines are full.
        let mut gang = unconstrained_job(&mut simulation, JobKind::Gang, 3, 900);
        (gang.need.gpu, gang.need.cpu) = (2_000, 1_000);
        gang.team = "red".to_owned();
        simulation.submit("job-000010", gang);
        run_until(&mut simulation, seed, 40);
        for i in 0..8 {
            let mut spec = unconstrained_job(&mut simulation, JobKind::Service, 1, 0);
            spec.need.cpu = 8_000;
            spec.team = if i % 2 == 0 { "red" } else { "blue" }.to_owned();
            simulation.submit(&format!("job-{seed:03}{i:02}0"), spec);
        }
        run_until(&mut simulation, seed, 100);
        for i in 0..3 {
            let mut spec = unconstrained_job(&mut simulation, JobKind::Array, 2, 30);
            (spec.need.cpu, spec.spot) = (1_000, false);
            simulation.submit(&format!("job-{seed:03}{i:02}1"), spec);
        }
        run_until(&mut simulation, seed, 420);
    }
}
