//! Tests of jobs that need no accelerators on machines that have some.

mod harness;

use std::sync::Arc;

use harness::site::Site;
use harness::*;

/// Returns a catalog whose only machine type, `accel`, has two accelerators.
fn accelerator_catalog() -> Arc<Catalog> {
    let mut catalog = (*catalog()).clone();
    catalog.types[0].name = "accel".to_owned();
    catalog.types[0].size.gpu = 2_000;
    Arc::new(catalog)
}

/// Returns a site of four machines with accelerators, without team limits.
fn site() -> Site {
    let mut config = config();
    for team in &mut config.teams {
        team.cpu_max = 0;
        team.gpu_max = 0;
    }
    let harness = SchedulerHarness::with_catalog(config, accelerator_catalog(), |_| {}, secs(0));
    Site::of_type("accel", harness, 4)
}

/// Returns a gang whose tasks each need all accelerators of a machine.
fn training_spec(tasks: u32) -> JobSpec {
    let mut spec = spec(JobKind::Gang, tasks, 2);
    spec.need.gpu = 2_000;
    spec
}

/// Training tasks run for ten seconds, simulation tasks for an hour.
fn behaviour(job: &str, _: u32, _: &str, run_s: u64) -> Option<ExitCause> {
    let duration_s = if job.starts_with("train") { 10 } else { 3_600 };
    (run_s >= duration_s).then_some(ExitCause::Done)
}

/// Guards against a failure seen in an incident: long simulations that can save were placed beside a training job, and
/// after it had ended they kept the machines for as long as they ran. Once no other training job has arrived for the
/// time that such an idle machine is kept, the simulations must save and the machines be returned.
#[test]
fn shared_machines_are_emptied_and_returned_once_no_job_needs_their_accelerators() {
    let mut site = site();
    site.harness.submit("train-1", training_spec(4));
    let simulation = JobSpec {
        checkpoint_interval: secs(10),
        save_time: secs(1),
        priority: Priority::Low,
        ..spec(JobKind::Array, 12, 2)
    };
    site.harness.submit("simulation", simulation);
    // A second training job waits for machines in another zone, so that the accelerators remain contested and the
    // simulation may only share these machines.
    let other_zone = JobSpec {
        zone: Some("west".to_owned()),
        ..training_spec(4)
    };
    site.harness.submit("train-2", other_zone);
    site.run_steps(8, behaviour);
    assert!(
        site.running("simulation") > 0,
        "the simulation shares the machines"
    );
    site.run_steps(60, behaviour);
    assert!(site
        .stopped
        .get("simulation")
        .is_some_and(|count| *count > 0));
    assert_eq!(
        site.harness.returned_machines.len(),
        4,
        "the four machines are returned: {:?}",
        site.harness.returned_machines
    );
}

/// As long as training jobs keep arriving, other tasks on their machines continue to run between these jobs.
#[test]
fn tasks_stay_on_shared_machines_while_accelerators_are_in_demand() {
    let mut site = site();
    let simulation = JobSpec {
        checkpoint_interval: secs(10),
        save_time: secs(1),
        priority: Priority::Low,
        ..spec(JobKind::Array, 4, 2)
    };
    for round in 0..6 {
        site.harness
            .submit(&format!("train-{round}"), training_spec(4));
        if round == 0 {
            site.harness.submit("simulation", simulation.clone());
        }
        site.run_steps(16, behaviour);
    }
    assert_eq!(site.running("simulation"), 4);
    assert!(
        site.harness.returned_machines.is_empty(),
        "machines were returned: {:?}",
        site.harness.returned_machines
    );
}
