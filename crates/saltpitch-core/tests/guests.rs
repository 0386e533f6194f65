//! A guest team without a guarantee: it takes what is left over, delays nobody below a guarantee, and is
//! served all the same.

mod harness;

use harness::site::Site;
use harness::*;

const MACHINES: u32 = 12;

/// Team red has eight processors guaranteed, team blue, the guest, has none. Idle machines stay.
fn site() -> Site {
    let mut config = config();
    config.policy = Policy::parse("idle_keep_s = 80000").expect("a policy");
    for team in &mut config.teams {
        team.cpu_max = 0;
    }
    config.teams[1].cpu = 0;
    Site::new(SchedulerHarness::with(config, |_| {}, secs(0)), MACHINES)
}

fn guest(tasks: u32) -> JobSpec {
    JobSpec {
        team: "blue".to_owned(),
        class: "guest".to_owned(),
        priority: Priority::Low,
        ..spec(JobKind::Array, tasks, 2)
    }
}

/// The guest's tasks take five minutes, all others ten seconds.
fn behaviour(job: &str, _: u32, _: &str, ran: u64) -> Option<ExitCause> {
    let length = if job.starts_with("guest") { 300 } else { 10 };
    (ran >= length).then_some(ExitCause::Done)
}

/// A huge array of the guest's holds every machine. Work within a guarantee gets its room at once.
#[test]
fn a_guarantee_does_not_wait_for_a_guests_huge_array() {
    let mut site = site();
    site.harness.submit("guest", guest(25_000));
    site.steps(8, behaviour);
    assert_eq!(site.running("guest"), 48, "it takes what is left over");
    site.harness.submit("own", spec(JobKind::Array, 4, 2));
    site.steps(10, behaviour);
    assert_eq!(site.started("own"), 4);
    let stopped = site.stopped.get("guest").copied().unwrap_or(0);
    assert!(
        (4..=8).contains(&stopped),
        "{stopped} tasks were stopped for four"
    );
}

/// A swarm of one-task jobs of the guest's, four a second, does not delay it either.
#[test]
fn a_guarantee_does_not_wait_for_a_guests_swarm() {
    let mut site = site();
    for second in 0..40 {
        for n in 0..4 {
            site.harness
                .submit(&format!("guest-{second}-{n}"), guest(1));
        }
        site.step(behaviour);
    }
    site.harness.submit("own", spec(JobKind::Array, 4, 2));
    site.steps(10, behaviour);
    assert_eq!(site.started("own"), 4);
}

/// The guest's array begins within four minutes although other teams ask for more than there is.
#[test]
fn a_guest_is_served_beside_teams_that_ask_for_more_than_there_is() {
    let mut site = site();
    site.harness.submit("guest", guest(40));
    let mut begun_after = None;
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
            begun_after.get_or_insert(second);
        }
    }
    assert!(begun_after.is_some(), "it never began");
}
