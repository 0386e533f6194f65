//! Tests of a guest team without a guarantee: it uses spare capacity, does not delay work within a guarantee, and is
//! served nevertheless.

mod harness;

use harness::site::Site;
use harness::*;

const MACHINE_COUNT: u32 = 12;

/// Returns a site where the team red has a guarantee of eight processors, and the guest team blue has none. Idle
/// machines are kept.
fn site() -> Site {
    let mut config = config();
    config.policy = Policy::parse("idle_keep_s = 80000").expect("the policy is valid");
    for team in &mut config.teams {
        team.cpu_max = 0;
    }
    config.teams[1].cpu = 0;
    Site::new(
        SchedulerHarness::with_config(config, |_| {}, secs(0)),
        MACHINE_COUNT,
    )
}

/// Returns a low-priority array of the guest team.
fn guest_spec(tasks: u32) -> JobSpec {
    JobSpec {
        team: "blue".to_owned(),
        class: "guest".to_owned(),
        priority: Priority::Low,
        ..spec(JobKind::Array, tasks, 2)
    }
}

/// The guest team's tasks run for five minutes, all others for ten seconds.
fn behaviour(job: &str, _: u32, _: &str, run_s: u64) -> Option<ExitCause> {
    let duration_s = if job.starts_with("guest") { 300 } else { 10 };
    (run_s >= duration_s).then_some(ExitCause::Done)
}

/// A huge array of the guest team occupies every machine. Work within a guarantee is placed at once.
#[test]
fn guaranteed_work_does_not_wait_for_a_huge_guest_array() {
    let mut site = site();
    site.harness.submit("guest", guest_spec(25_000));
    site.run_steps(8, behaviour);
    assert_eq!(
        site.running("guest"),
        48,
        "the guest array uses all spare capacity"
    );
    site.harness.submit("own", spec(JobKind::Array, 4, 2));
    site.run_steps(10, behaviour);
    assert_eq!(site.started("own"), 4);
    let stopped = site.stopped.get("guest").copied().unwrap_or(0);
    assert!(
        (4..=8).contains(&stopped),
        "{stopped} guest tasks were stopped for four tasks"
    );
}

/// Four one-task jobs of the guest team per second don't delay work within a guarantee either.
#[test]
fn guaranteed_work_does_not_wait_for_many_small_guest_jobs() {
    let mut site = site();
    for second in 0..40 {
        for number in 0..4 {
            site.harness
                .submit(&format!("guest-{second}-{number}"), guest_spec(1));
        }
        site.step(behaviour);
    }
    site.harness.submit("own", spec(JobKind::Array, 4, 2));
    site.run_steps(10, behaviour);
    assert_eq!(site.started("own"), 4);
}

/// A guest array starts within four minutes although another team requests more capacity than there is.
#[test]
fn a_guest_team_is_served_while_another_team_requests_more_than_there_is() {
    let mut site = site();
    site.harness.submit("guest", guest_spec(40));
    let mut started_after_s = None;
    for second in 0..240 {
        if second % 2 == 0 {
            let busy = JobSpec {
                class: "busy".to_owned(),
                ..spec(JobKind::Array, 12, 2)
            };
            site.harness.submit(&format!("own-{second}"), busy);
        }
        site.step(behaviour);
        if site.started("guest") > 0 {
            started_after_s.get_or_insert(second);
        }
    }
    assert!(started_after_s.is_some(), "the guest array never started");
}
