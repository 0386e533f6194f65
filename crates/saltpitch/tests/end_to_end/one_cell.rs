//! Tests one cell of two controllers with users, the loss of its leader, and a store that refuses one controller.

use std::net::SocketAddr;
use std::time::Duration;

use poem::http::Method;
use saltpitch_core::job::JobKind;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::site::{
    self, call, lock, poll_until, submit, wait_for_status, wait_until_healthy, ControllerProcesses,
    Job, SharedSite,
};

/// The id of the service that runs until the test cancels it at its end.
const SERVICE_ID: &str = "job-000003";

/// Guards against jobs that are lost or stuck when the leader is killed, or when the store refuses one
/// controller. The test kills the leader while a service runs, restarts it, and then lets the store
/// refuse each controller in turn.
#[tokio::test]
async fn jobs_are_served_after_the_leader_is_killed_and_while_the_store_refuses_one_controller() {
    let (site, addresses) = site::start(2);
    let api = [addresses.api[0], addresses.api[1]];
    let mut controllers = ControllerProcesses::new("one-cell", &addresses, None);
    controllers.start_all();
    for addr in api {
        wait_until_healthy(addr).await;
    }

    // Clients that connect and send nothing, or only part of a request, must not delay other clients.
    let _stalled = open_stalled_connections(api).await;
    assert_bad_requests_are_refused_with_a_reason(api).await;
    assert_a_job_too_large_for_any_machine_is_refused(api).await;

    // Both controllers accept arrays, gangs and services.
    submit(&site, api[0], "job-000001", JobKind::Array, 6).await;
    submit(&site, api[1], "job-000002", JobKind::Gang, 3).await;
    submit(&site, api[0], SERVICE_ID, JobKind::Service, 2).await;
    wait_for_status(api[1], "job-000001", "done").await;
    wait_for_status(api[0], "job-000002", "done").await;
    wait_for_status(api[1], SERVICE_ID, "running").await;

    // The leader is killed: completed jobs stay completed, and the other controller runs new jobs.
    let leader = usize::from(!lock(&site).is_leader("n0"));
    let follower = 1 - leader;
    controllers.kill(leader);
    submit(&site, api[follower], "job-000004", JobKind::Array, 3).await;
    wait_for_status(api[follower], "job-000004", "done").await;
    wait_for_status(api[follower], "job-000001", "done").await;
    controllers.start(leader);
    wait_until_healthy(api[leader]).await;
    wait_for_status(api[leader], "job-000002", "done").await;

    for controller in [leader, follower] {
        assert_a_controller_refused_by_the_store_serves_users(&site, api, controller).await;
    }
    lock(&site).refused_controller = None;

    // The tasks of a cancelled service end, and every controller reports the service as cancelled.
    let path = format!("/v2/runs/{SERVICE_ID}/abort");
    let reply = poll_until(api[leader], Method::POST, &path, None, |r| r.status == 200).await;
    assert_eq!(reply.body["status"], "withdrawn");
    wait_for_status(api[follower], SERVICE_ID, "withdrawn").await;
    wait_until_all_tasks_have_ended(&site, SERVICE_ID).await;
}

/// Opens 100 connections; every third sends part of a request, the others send nothing.
async fn open_stalled_connections(api: [SocketAddr; 2]) -> Vec<TcpStream> {
    let mut connections = Vec::new();
    for n in 0..100 {
        let mut tcp = TcpStream::connect(api[n % 2])
            .await
            .expect("the controller accepts the connection");
        if n % 3 == 0 {
            let partial_request =
                b"POST /v2/runs HTTP/1.1\r\nhost: a\r\ncontent-length: 900\r\n\r\n{";
            tcp.write_all(partial_request)
                .await
                .expect("the partial request is written");
        }
        connections.push(tcp);
    }
    connections
}

async fn assert_bad_requests_are_refused_with_a_reason(api: [SocketAddr; 2]) {
    for (path, body, status) in [
        ("/v2/runs", json!([1]), 400),
        ("/v2/runs", json!({"ref": "job-1"}), 400),
        ("/v2/runs", json!({"ref": "x"}), 400),
        ("/nowhere", json!({}), 404),
        ("/v2/runs/job-77/abort", json!({}), 404),
        ("/up", json!({}), 405),
    ] {
        let reply = call(api[0], Method::POST, path, Some(body)).await;
        let reply = reply.expect("the controller replies");
        assert_eq!(reply.status, status, "{path}: {reply:?}");
        assert!(reply.body["error"].is_string(), "{path}: {reply:?}");
    }
}

async fn assert_a_job_too_large_for_any_machine_is_refused(api: [SocketAddr; 2]) {
    let mut oversized_job = Job::new("job-000009", JobKind::Array, 1).body;
    oversized_job["cpus"] = json!(9.0);
    let reply = call(api[0], Method::POST, "/v2/runs", Some(oversized_job)).await;
    assert_eq!(reply.expect("the controller replies").status, 422);
    let reply = call(api[1], Method::GET, "/v2/runs/job-000009", None).await;
    assert_eq!(reply.expect("the controller replies").status, 404);
}

/// Lets the store refuse one controller only, and checks that this controller still serves its users through
/// its peer. The caller runs this for both controllers, so that it covers the leader and the follower.
async fn assert_a_controller_refused_by_the_store_serves_users(
    site: &SharedSite,
    api: [SocketAddr; 2],
    controller: usize,
) {
    lock(site).refused_controller = Some(controller);
    let id = format!("job-00001{controller}");
    submit(site, api[controller], &id, JobKind::Array, 2).await;
    wait_for_status(api[controller], &id, "done").await;
    wait_for_status(api[controller], SERVICE_ID, "running").await;
    let path = "/v2/runs/job-000099";
    poll_until(api[controller], Method::GET, path, None, |r| {
        r.status == 404
    })
    .await;
    let health = call(api[controller], Method::GET, "/up", None).await;
    let health = health.expect("the controller replies");
    assert_eq!(
        health.status, 200,
        "a controller that serves through its peer is healthy"
    );
}

/// Waits until no task of a job is left on a machine.
async fn wait_until_all_tasks_have_ended(site: &SharedSite, id: &str) {
    for _ in 0..600 {
        if lock(site).unfinished_tasks(id) == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("tasks of the cancelled job {id} did not end");
}
