//! Tests of how the scheduler distinguishes jobs at fault, which fail on every machine until their users cancel them,
//! from faulty machines.

mod harness;

use harness::site::{Behaviour, Site};
use harness::*;

const MACHINE_COUNT: u32 = 12;

/// Returns a configuration that keeps idle machines, so that a machine is returned only if it seems to be faulty.
fn config_keeping_idle_machines() -> SchedulerConfig {
    let mut config = config();
    config.policy = Policy::parse("idle_keep_s = 80000").expect("the policy is valid");
    config
}

/// Returns a site without team limits that keeps idle machines.
fn site() -> Site {
    let mut config = config_keeping_idle_machines();
    config.teams[0].cpu_max = 0;
    config.teams[1].cpu_max = 0;
    Site::new(
        SchedulerHarness::with_config(config, |_| {}, secs(0)),
        MACHINE_COUNT,
    )
}

/// Tasks of the job `bad` fail after two seconds, all others complete after ten.
fn bad_job_fails(job: &str, _task: u32, _machine: &str, run_s: u64) -> Option<ExitCause> {
    match job {
        "bad" => (run_s >= 2).then_some(ExitCause::Error),
        _ => (run_s >= 10).then_some(ExitCause::Done),
    }
}

/// After the first tasks of a huge array at fault have failed, it is tried with one task at a time, which leaves the
/// machines to other jobs. Otherwise its thousands of tasks would fail one after another on all machines.
#[test]
fn an_array_at_fault_is_tried_with_one_task_at_a_time() {
    let mut site = site();
    site.harness.submit("bad", spec(JobKind::Array, 2_000, 2));
    site.run_steps(12, bad_job_fails);
    let first_starts = site.started("bad");
    let requested_before = site.harness.requested_machine_count;
    assert!(
        first_starts >= 3,
        "{first_starts} tasks were started at first"
    );
    site.harness.submit("good", spec(JobKind::Array, 40, 2));
    for _ in 0..120 {
        site.step(bad_job_fails);
        assert!(
            site.running("bad") <= 1,
            "{} of its tasks run at a time",
            site.running("bad")
        );
    }
    let later_starts = site.started("bad") - first_starts;
    assert!(
        (1..=8).contains(&later_starts),
        "{later_starts} retries in two minutes"
    );
    assert_eq!(site.started("good"), 40, "each task is started once");
    let requested = site.harness.requested_machine_count - requested_before;
    assert!(
        requested <= 10,
        "{requested} machines were requested while it failed"
    );
    assert!(
        site.harness.returned_machines.is_empty(),
        "machines were returned: {:?}",
        site.harness.returned_machines
    );
}

/// A job that failed for a transient reason recovers without intervention and runs as fast as before.
#[test]
fn a_job_that_failed_for_a_transient_reason_recovers() {
    let mut site = site();
    site.harness.submit("bad", spec(JobKind::Array, 60, 2));
    site.run_steps(40, bad_job_fails);
    assert!(site.running("bad") <= 1);
    site.run_steps(120, |_, _, _, run_s| {
        (run_s >= 10).then_some(ExitCause::Done)
    });
    assert!(
        site.harness.scheduler.timeline("bad").is_some(),
        "the job has ended"
    );
    assert_eq!(site.harness.scheduler.used_by("red").cpu, 0);
}

/// One task of an array fails on every machine. Only this task backs off, and no machine is requested for it.
#[test]
fn a_failing_task_backs_off_without_scale_out() {
    let mut site = site();
    site.harness.submit("job", spec(JobKind::Array, 200, 2));
    let task_3_fails = |_: &str, task: u32, _: &str, run_s: u64| match task {
        3 => Some(ExitCause::Error),
        _ => (run_s >= 10).then_some(ExitCause::Done),
    };
    site.run_steps(90, task_3_fails);
    let attempts = site.started("job") - 199;
    assert!(
        (4..=9).contains(&attempts),
        "{attempts} attempts of the failing task"
    );
    let requested_before = site.harness.requested_machine_count;
    site.run_steps(60, task_3_fails);
    assert_eq!(
        site.harness.requested_machine_count, requested_before,
        "no machine is requested for the failing task"
    );
    site.run_steps(90, |_, _, _, run_s| {
        (run_s >= 10).then_some(ExitCause::Done)
    });
    assert!(
        site.harness.scheduler.timeline("job").is_some(),
        "the job has ended"
    );
}

/// The other tasks of such an array start as fast as in an array without a failing task.
#[test]
fn a_failing_task_does_not_delay_the_others() {
    let started = |behaviour: Behaviour| {
        let mut site = site();
        site.harness.submit("job", spec(JobKind::Array, 600, 2));
        site.run_steps(60, behaviour);
        site.started("job")
    };
    let without_failures = started(|_, _, _, run_s| (run_s >= 10).then_some(ExitCause::Done));
    let with_failing_task = started(|_, task, _, run_s| match task {
        3 => Some(ExitCause::Error),
        _ => (run_s >= 10).then_some(ExitCause::Done),
    });
    assert!(
        with_failing_task * 20 >= without_failures * 19,
        "{without_failures} starts without a failing task, {with_failing_task} with one"
    );
}

/// A gang at fault backs off as a whole, however many of its tasks fail.
#[test]
fn a_gang_at_fault_backs_off_and_can_be_cancelled() {
    let mut site = site();
    site.harness.submit("bad", spec(JobKind::Gang, 4, 2));
    site.run_steps(120, bad_job_fails);
    let attempts = site.started("bad") / 4;
    assert!(
        (4..=9).contains(&attempts),
        "{attempts} attempts of the gang"
    );
    assert!(
        site.harness.returned_machines.is_empty(),
        "machines were returned: {:?}",
        site.harness.returned_machines
    );
    site.harness
        .scheduler
        .cancelled_by_peer("bad", site.harness.now);
    let before = site.started("bad");
    site.run_steps(90, bad_job_fails);
    assert_eq!(
        site.started("bad"),
        before,
        "no task is started after the cancellation"
    );
    assert_eq!(site.harness.scheduler.used_by("red").cpu, 0);
}

/// Other tasks are not preempted for replicas that fail on every machine, however urgent the service is.
#[test]
fn no_task_is_preempted_for_a_service_at_fault() {
    let mut site = site();
    let long_array = JobSpec {
        checkpoint_interval: secs(5),
        save_time: secs(1),
        priority: Priority::Low,
        ..spec(JobKind::Array, MACHINE_COUNT * 4, 2)
    };
    site.harness.submit("long", long_array);
    site.run_steps(10, |_, _, _, _| None);
    let failing_service = JobSpec {
        priority: Priority::Production,
        ..spec(JobKind::Service, 6, 2)
    };
    site.harness.submit("bad", failing_service);
    let replicas_fail =
        |job: &str, _: u32, _: &str, _: u64| (job == "bad").then_some(ExitCause::Error);
    site.run_steps(40, replicas_fail);
    let before = site.stopped.get("long").copied().unwrap_or(0);
    assert!(before > 0, "tasks are preempted for the service at first");
    site.run_steps(60, replicas_fail);
    let after = site.stopped.get("long").copied().unwrap_or(0);
    assert!(
        after <= before + 1,
        "{before} tasks were preempted at first, {after} in all"
    );
}

/// A machine on which every task fails is found because the same jobs work on other machines, and it is returned.
#[test]
fn a_machine_on_which_several_jobs_fail_is_returned() {
    let mut site = site();
    let tasks_on_one_machine_fail = |_: &str, _: u32, machine: &str, run_s: u64| match machine {
        "vm-00" => Some(ExitCause::Error),
        _ => (run_s >= 5).then_some(ExitCause::Done),
    };
    for job in 0..4 {
        site.harness
            .submit(&format!("job-{job}"), spec(JobKind::Array, 60, 2));
    }
    site.run_steps(60, tasks_on_one_machine_fail);
    let returned: Vec<&String> = site.harness.returned_machines.iter().collect();
    assert_eq!(returned, ["vm-00"]);
}

/// A new leader infers from the recorded attempts that none of the array's tasks completed, and does not start the
/// whole array again.
#[test]
fn a_new_leader_keeps_trying_an_array_at_fault_with_one_task_at_a_time() {
    let put_records = |records: &mut RecordCache| {
        let job = JobRecord::accepted(secs(900), std::sync::Arc::new(spec(JobKind::Array, 100, 2)));
        put(records, &job_key("bad"), &job, 3);
        let checkpoint = CheckpointRecord {
            up_to_segment: 0,
            attempts: vec![5; 32],
            done: Vec::new(),
            allocations: Vec::new(),
        };
        put(records, &checkpoint_key("bad", 0), &checkpoint, 4);
    };
    let mut site = Site::new(
        SchedulerHarness::with_config(config_keeping_idle_machines(), put_records, secs(0)),
        MACHINE_COUNT,
    );
    for _ in 0..30 {
        site.step(bad_job_fails);
        assert!(
            site.running("bad") <= 1,
            "{} of its tasks run at a time",
            site.running("bad")
        );
    }
    assert!(site.started("bad") >= 1, "the array is tried");
    site.run_steps(90, |_, _, _, run_s| (run_s >= 5).then_some(ExitCause::Done));
    assert!(
        site.started("bad") > 60,
        "the array continues once a task has completed"
    );
}
