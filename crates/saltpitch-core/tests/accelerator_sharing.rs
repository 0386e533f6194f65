//! Work without accelerators on machines that have some.

mod harness;

use std::sync::Arc;

use harness::site::Site;
use harness::*;

/// One type, with accelerators.
fn accelerators() -> Arc<Catalog> {
    let mut catalog = (*catalog()).clone();
    catalog.types[0].name = "accel".to_owned();
    catalog.types[0].size.gpu = 2_000;
    Arc::new(catalog)
}

fn site() -> Site {
    let mut config = config();
    for team in &mut config.teams {
        team.cpu_max = 0;
        team.gpu_max = 0;
    }
    let harness = SchedulerHarness::of(config, accelerators(), |_| {}, secs(0));
    Site::of_type("accel", harness, 4)
}

fn training(tasks: u32) -> JobSpec {
    let mut spec = spec(JobKind::Gang, tasks, 2);
    spec.need.gpu = 2_000;
    spec
}

/// Trains for ten seconds, simulates for an hour.
fn behaviour(job: &str, _: u32, _: &str, ran: u64) -> Option<ExitCause> {
    let length = if job.starts_with("train") { 10 } else { 3_600 };
    (ran >= length).then_some(ExitCause::Done)
}

/// The incident's day: long simulations that can save move in beside a training job. Once that is over
/// and no other comes for as long as such a machine is kept, they save and the machines go back.
/// Without it they stayed for as long as the simulations ran.
#[test]
fn borrowers_leave_machines_that_are_kept_no_longer() {
    let mut site = site();
    site.harness.submit("train-1", training(4));
    let simulation = JobSpec {
        checkpoint_interval: secs(10),
        save_time: secs(1),
        priority: Priority::Low,
        ..spec(JobKind::Array, 12, 2)
    };
    site.harness.submit("simulation", simulation);
    // Another one has its machines elsewhere, so that others only borrow here.
    let elsewhere = JobSpec {
        zone: Some("west".to_owned()),
        ..training(4)
    };
    site.harness.submit("train-2", elsewhere);
    site.steps(8, behaviour);
    assert!(site.running("simulation") > 0, "they borrow");
    site.steps(60, behaviour);
    assert!(site.stopped.get("simulation").is_some_and(|n| *n > 0));
    assert_eq!(site.harness.returns.len(), 4, "{:?}", site.harness.returns);
}

/// As long as training jobs keep coming, what borrows stays between them.
#[test]
fn borrowers_stay_while_accelerators_are_in_use() {
    let mut site = site();
    let simulation = JobSpec {
        checkpoint_interval: secs(10),
        save_time: secs(1),
        priority: Priority::Low,
        ..spec(JobKind::Array, 4, 2)
    };
    for round in 0..6 {
        site.harness.submit(&format!("train-{round}"), training(4));
        if round == 0 {
            site.harness.submit("simulation", simulation.clone());
        }
        site.steps(16, behaviour);
    }
    assert_eq!(site.running("simulation"), 4);
    assert!(
        site.harness.returns.is_empty(),
        "{:?}",
        site.harness.returns
    );
}
