//! Jobs with a mistake, which fail on every machine until their users cancel them, told apart from faulty
//! machines.

mod harness;

use harness::site::{Behaviour, Site};
use harness::*;

const MACHINES: u32 = 12;

/// Idle machines stay: what goes back does so because it seems to be at fault.
fn patient() -> SchedulerConfig {
    let mut config = config();
    config.policy = Policy::parse("idle_keep_s = 80000").expect("a policy");
    config
}

fn site() -> Site {
    let mut config = patient();
    config.teams[0].cpu_max = 0;
    config.teams[1].cpu_max = 0;
    Site::new(SchedulerHarness::with(config, |_| {}, secs(0)), MACHINES)
}

/// Everything of `bad` fails after two seconds, everything else is done after ten.
fn bad_job_fails(job: &str, _task: u32, _machine: &str, ran: u64) -> Option<ExitCause> {
    match job {
        "bad" => (ran >= 2).then_some(ExitCause::Error),
        _ => (ran >= 10).then_some(ExitCause::Done),
    }
}

/// A huge array with a mistake: after its first tasks have failed it is tried one task at a time, and
/// leaves the machines to others. Without that its thousands of tasks fail in turn, everywhere.
#[test]
fn an_array_with_a_mistake_is_tried_with_one_task_at_a_time() {
    let mut site = site();
    site.harness.submit("bad", spec(JobKind::Array, 2_000, 2));
    site.steps(12, bad_job_fails);
    let at_first = site.started("bad");
    let rented = site.harness.rented;
    assert!(at_first >= 3, "{at_first} starts");
    site.harness.submit("good", spec(JobKind::Array, 40, 2));
    for _ in 0..120 {
        site.step(bad_job_fails);
        assert!(
            site.running("bad") <= 1,
            "{} at a time",
            site.running("bad")
        );
    }
    let later = site.started("bad") - at_first;
    assert!((1..=8).contains(&later), "{later} tries in two minutes");
    assert_eq!(site.started("good"), 40, "each task ran once");
    let more = site.harness.rented - rented;
    assert!(more <= 10, "{more} machines rented while it failed");
    assert!(
        site.harness.returns.is_empty(),
        "{:?}",
        site.harness.returns
    );
}

/// What failed for a passing reason goes on by itself, and as fast as before.
#[test]
fn a_job_that_failed_for_a_passing_reason_recovers() {
    let mut site = site();
    site.harness.submit("bad", spec(JobKind::Array, 60, 2));
    site.steps(40, bad_job_fails);
    assert!(site.running("bad") <= 1);
    site.steps(120, |_, _, _, ran| (ran >= 10).then_some(ExitCause::Done));
    assert!(site.harness.scheduler.timeline("bad").is_some(), "it ended");
    assert_eq!(site.harness.scheduler.used_by("red").cpu, 0);
}

/// One index of an array fails everywhere: it alone waits, and nothing is rented for it.
#[test]
fn one_bad_index_holds_back_only_itself() {
    let mut site = site();
    site.harness.submit("job", spec(JobKind::Array, 200, 2));
    let index_3_fails = |_: &str, task: u32, _: &str, ran: u64| match task {
        3 => Some(ExitCause::Error),
        _ => (ran >= 10).then_some(ExitCause::Done),
    };
    site.steps(90, index_3_fails);
    let tries = site.started("job") - 199;
    assert!((4..=9).contains(&tries), "{tries} tries of one index");
    let rented = site.harness.rented;
    site.steps(60, index_3_fails);
    assert_eq!(site.harness.rented, rented, "nothing is rented for it");
    site.steps(90, |_, _, _, ran| (ran >= 10).then_some(ExitCause::Done));
    assert!(site.harness.scheduler.timeline("job").is_some(), "it ended");
}

/// The other indices of that array start as if it were not there.
#[test]
fn one_bad_index_does_not_delay_the_others() {
    let started = |behaviour: Behaviour| {
        let mut site = site();
        site.harness.submit("job", spec(JobKind::Array, 600, 2));
        site.steps(60, behaviour);
        site.started("job")
    };
    let all_work = started(|_, _, _, ran| (ran >= 10).then_some(ExitCause::Done));
    let one_fails = started(|_, task, _, ran| match task {
        3 => Some(ExitCause::Error),
        _ => (ran >= 10).then_some(ExitCause::Done),
    });
    assert!(
        one_fails * 20 >= all_work * 19,
        "{all_work} starts, then {one_fails}"
    );
}

/// A gang with a mistake backs off as a whole, however many of its members fail.
#[test]
fn a_gang_with_a_mistake_backs_off_and_can_be_cancelled() {
    let mut site = site();
    site.harness.submit("bad", spec(JobKind::Gang, 4, 2));
    site.steps(120, bad_job_fails);
    let attempts = site.started("bad") / 4;
    assert!((4..=9).contains(&attempts), "{attempts} attempts");
    assert!(
        site.harness.returns.is_empty(),
        "{:?}",
        site.harness.returns
    );
    site.harness
        .scheduler
        .cancelled_by_peer("bad", site.harness.now);
    let before = site.started("bad");
    site.steps(90, bad_job_fails);
    assert_eq!(site.started("bad"), before, "nothing starts after that");
    assert_eq!(site.harness.scheduler.used_by("red").cpu, 0);
}

/// Replicas that fail everywhere don't take machines from anybody, however urgent they are.
#[test]
fn nothing_is_stopped_for_a_service_that_fails_everywhere() {
    let mut site = site();
    let saves = JobSpec {
        checkpoint_interval: secs(5),
        save_time: secs(1),
        priority: Priority::Low,
        ..spec(JobKind::Array, MACHINES * 4, 2)
    };
    site.harness.submit("long", saves);
    site.steps(10, |_, _, _, _| None);
    let urgent = JobSpec {
        priority: Priority::Production,
        ..spec(JobKind::Service, 6, 2)
    };
    site.harness.submit("bad", urgent);
    let replicas_fail =
        |job: &str, _: u32, _: &str, _: u64| (job == "bad").then_some(ExitCause::Error);
    site.steps(40, replicas_fail);
    let before = site.stopped.get("long").copied().unwrap_or(0);
    assert!(before > 0, "it had its room made at first");
    site.steps(60, replicas_fail);
    let after = site.stopped.get("long").copied().unwrap_or(0);
    assert!(after <= before + 1, "{before}, then {after} stopped for it");
}

/// A machine on which everything fails is found by jobs that work elsewhere, and goes back.
#[test]
fn a_machine_on_which_several_jobs_fail_goes_back() {
    let mut site = site();
    let one_fails = |_: &str, _: u32, machine: &str, ran: u64| match machine {
        "vm-00" => Some(ExitCause::Error),
        _ => (ran >= 5).then_some(ExitCause::Done),
    };
    for job in 0..4 {
        site.harness
            .submit(&format!("job-{job}"), spec(JobKind::Array, 60, 2));
    }
    site.steps(60, one_fails);
    let returned: Vec<&String> = site.harness.returns.iter().collect();
    assert_eq!(returned, ["vm-00"]);
}

/// A new leader knows from the attempts on record that none of the array's tasks completed.
#[test]
fn a_new_leader_does_not_try_a_mistaken_array_whole_again() {
    let recorded = |records: &mut RecordCache| {
        let job = JobRecord::accepted(secs(900), std::sync::Arc::new(spec(JobKind::Array, 100, 2)));
        put(records, &job_key("bad"), &job, 3);
        let chunk = CheckpointRecord {
            up_to_segment: 0,
            attempts: vec![5; 32],
            done: Vec::new(),
            allocations: Vec::new(),
        };
        put(records, &checkpoint_key("bad", 0), &chunk, 4);
    };
    let mut site = Site::new(
        SchedulerHarness::with(patient(), recorded, secs(0)),
        MACHINES,
    );
    for _ in 0..30 {
        site.step(bad_job_fails);
        assert!(
            site.running("bad") <= 1,
            "{} at a time",
            site.running("bad")
        );
    }
    assert!(site.started("bad") >= 1, "it is tried");
    site.steps(90, |_, _, _, ran| (ran >= 5).then_some(ExitCause::Done));
    assert!(site.started("bad") > 60, "it goes on once a task completed");
}
