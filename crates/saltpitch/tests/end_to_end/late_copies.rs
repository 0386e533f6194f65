//! Tests that late copies of direct calls, which the agents have executed and answered, start nothing again.

use std::time::Duration;

use poem::http::Method;
use saltpitch_core::agent::Command;
use saltpitch_core::job::JobKind;

use crate::site::{
    self, lock, poll_until, repeat_executed_calls, submit, wait_for_status, wait_until_healthy,
    ControllerProcesses, Job, SharedSite, Site,
};

/// The service keeps its machines, on which the tasks of the other jobs run as well.
const SERVICE_ID: &str = "job-000001";
const DONE_ID: &str = "job-000002";
const CANCELLED_ID: &str = "job-000003";
/// Long enough that starts are sent by direct calls and do not wait for the next heartbeat.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(800);
/// The longest wait for one state of the site.
const MAX_WAIT: Duration = Duration::from_secs(30);
/// The pause between two checks of the site.
const CHECK_PAUSE: Duration = Duration::from_millis(100);

/// Returns whether some direct call started a task of this job that its agent has forgotten since.
fn has_forgotten_start(site: &Site, id: &str) -> bool {
    site.executed_calls.iter().any(|call| {
        let agent = &site.agents[&call.machine];
        call.commands.commands.iter().any(|command| match command {
            Command::Start { job, task, attempt } if **job == *id => {
                let key = ((job.to_string(), *task), *attempt);
                agent.forgotten_attempts.contains(&key)
            }
            _ => false,
        })
    })
}

/// Waits until the site has reached a state; panics if it takes too long.
async fn wait_until(site: &SharedSite, what: &str, is_reached: impl Fn(&Site) -> bool) {
    for _ in 0..MAX_WAIT.as_millis() / CHECK_PAUSE.as_millis() {
        if is_reached(&lock(site)) {
            return;
        }
        tokio::time::sleep(CHECK_PAUSE).await;
    }
    panic!("never reached: {what}");
}

/// Returns the attempts that agents have although they were told to forget them.
fn attempts_started_again(site: &Site) -> Vec<String> {
    let agents = site.agents.values();
    let attempts = agents.flat_map(|agent| {
        let known = agent.tasks.keys();
        known.filter(|key| agent.forgotten_attempts.contains(key))
    });
    attempts.map(|key| format!("{key:?}")).collect()
}

/// Repeats all calls and checks what the agents run afterwards.
fn assert_copies_start_nothing(site: &SharedSite) {
    assert!(repeat_executed_calls(site) > 0, "no call is repeated");
    let site = lock(site);
    assert_eq!(attempts_started_again(&site), Vec::<String>::new());
    assert_eq!(site.unfinished_tasks(DONE_ID), 0);
    assert_eq!(site.unfinished_tasks(CANCELLED_ID), 0);
    assert_eq!(site.unfinished_tasks(SERVICE_ID), 2);
}

#[tokio::test]
async fn late_copies_of_answered_starts_run_no_task_again_with_the_same_and_with_the_next_leader() {
    let (site, addresses) = site::start(2);
    let api = addresses.api.clone();
    lock(&site).heartbeat_pause = HEARTBEAT_PAUSE;
    let mut controllers = ControllerProcesses::new("late-copies", &addresses, None);
    controllers.start_all();
    for addr in &api {
        wait_until_healthy(*addr).await;
    }
    submit(&site, api[0], SERVICE_ID, JobKind::Service, 2).await;
    wait_for_status(api[0], SERVICE_ID, "running").await;
    let short = Job::new(DONE_ID, JobKind::Array, 2);
    short.with_production_priority().submit(&site, api[0]).await;
    wait_for_status(api[0], DONE_ID, "done").await;
    let long = Job::new(CANCELLED_ID, JobKind::Array, 2).running_for(600.0);
    long.with_production_priority().submit(&site, api[0]).await;
    wait_until(&site, "both long tasks run", |site| {
        site.unfinished_tasks(CANCELLED_ID) == 2
    })
    .await;
    let path = format!("/v2/runs/{CANCELLED_ID}/abort");
    poll_until(api[0], Method::POST, &path, None, |r| r.status == 200).await;
    wait_until(&site, "agents have forgotten started tasks", |site| {
        has_forgotten_start(site, DONE_ID) && has_forgotten_start(site, CANCELLED_ID)
    })
    .await;
    assert_copies_start_nothing(&site);

    let leader = usize::from(!lock(&site).is_leader("n0"));
    controllers.kill(leader);
    controllers.start(leader);
    assert_copies_start_nothing(&site);
    wait_until_healthy(api[leader]).await;
    assert_copies_start_nothing(&site);
}
