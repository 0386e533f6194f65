//! Two controllers serve users, and survive the loss of their leader and a store that refuses one of them.

use std::net::SocketAddr;
use std::time::Duration;

use poem::http::Method;
use saltpitch_core::job::JobKind;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use crate::site::{
    self, call, lock, submit, until, until_healthy, wait_for_status, Job, Programs, SharedSite,
};

const SERVICE: &str = "job-000003";

#[tokio::test]
async fn the_program_serves_users_and_survives_its_leader() {
    let (site, addresses) = site::start(2);
    let api = [addresses.api[0], addresses.api[1]];
    let mut nodes = Programs::new("one-cell", &addresses, None);
    nodes.start_all();
    for addr in api {
        until_healthy(addr).await;
    }

    // Clients that connect and send nothing, or stop in the middle, delay nobody.
    let _stalled = open_stalled_connections(api).await;
    bad_requests_are_refused_with_a_reason(api).await;
    a_job_that_can_never_run_is_refused(api).await;

    // Arrays, gangs and services, asked for on either node.
    submit(&site, api[0], "job-000001", JobKind::Array, 6).await;
    submit(&site, api[1], "job-000002", JobKind::Gang, 3).await;
    submit(&site, api[0], SERVICE, JobKind::Service, 2).await;
    wait_for_status(api[1], "job-000001", "done").await;
    wait_for_status(api[0], "job-000002", "done").await;
    wait_for_status(api[1], SERVICE, "running").await;

    // The leader fails without notice; what was done stays done, and work goes on.
    let leader = usize::from(!leads(&site, "n0"));
    let follower = 1 - leader;
    nodes.kill(leader);
    submit(&site, api[follower], "job-000004", JobKind::Array, 3).await;
    wait_for_status(api[follower], "job-000004", "done").await;
    wait_for_status(api[follower], "job-000001", "done").await;
    nodes.start(leader);
    until_healthy(api[leader]).await;
    wait_for_status(api[leader], "job-000002", "done").await;

    for node in [leader, follower] {
        a_node_without_the_store_serves_through_its_peer(&site, api, node).await;
    }
    lock(&site).refused_node = None;

    // A cancelled service leaves its machines, and is cancelled for every node.
    let path = format!("/v2/runs/{SERVICE}/abort");
    let reply = until(api[leader], Method::POST, &path, None, |r| r.status == 200).await;
    assert_eq!(reply.body["status"], "withdrawn");
    wait_for_status(api[follower], SERVICE, "withdrawn").await;
    wait_until_no_task_is_left(&site, SERVICE).await;
}

async fn open_stalled_connections(api: [SocketAddr; 2]) -> Vec<TcpStream> {
    let mut stalled = Vec::new();
    for n in 0..100 {
        let mut tcp = TcpStream::connect(api[n % 2]).await.expect("a connection");
        if n % 3 == 0 {
            let part = b"POST /v2/runs HTTP/1.1\r\nhost: a\r\ncontent-length: 900\r\n\r\n{";
            tcp.write_all(part).await.expect("written");
        }
        stalled.push(tcp);
    }
    stalled
}

async fn bad_requests_are_refused_with_a_reason(api: [SocketAddr; 2]) {
    for (path, body, status) in [
        ("/v2/runs", json!([1]), 400),
        ("/v2/runs", json!({"ref": "job-1"}), 400),
        ("/v2/runs", json!({"ref": "x"}), 400),
        ("/nowhere", json!({}), 404),
        ("/v2/runs/job-77/abort", json!({}), 404),
        ("/up", json!({}), 405),
    ] {
        let reply = call(api[0], Method::POST, path, Some(body)).await;
        let reply = reply.expect("an answer");
        assert_eq!(reply.status, status, "{path}: {reply:?}");
        assert!(reply.body["error"].is_string(), "{path}: {reply:?}");
    }
}

async fn a_job_that_can_never_run_is_refused(api: [SocketAddr; 2]) {
    let mut huge = Job::new("job-000009", JobKind::Array, 1).body;
    huge["cpus"] = json!(9.0);
    let reply = call(api[0], Method::POST, "/v2/runs", Some(huge)).await;
    assert_eq!(reply.expect("an answer").status, 422);
    let reply = call(api[1], Method::GET, "/v2/runs/job-000009", None).await;
    assert_eq!(reply.expect("an answer").status, 404);
}

/// Whether this controller leads by the records.
fn leads(site: &SharedSite, node: &str) -> bool {
    let leader = &lock(site).store.keys["salt/leader"].value;
    leader.contains(&format!("\"{node}\""))
}

/// The store refuses one node alone: its users are served through the other, whichever leads.
async fn a_node_without_the_store_serves_through_its_peer(
    site: &SharedSite,
    api: [SocketAddr; 2],
    node: usize,
) {
    lock(site).refused_node = Some(node);
    let id = format!("job-00001{node}");
    submit(site, api[node], &id, JobKind::Array, 2).await;
    wait_for_status(api[node], &id, "done").await;
    wait_for_status(api[node], SERVICE, "running").await;
    let path = "/v2/runs/job-000099";
    until(api[node], Method::GET, path, None, |r| r.status == 404).await;
    let up = call(api[node], Method::GET, "/up", None).await;
    let up = up.expect("an answer");
    assert_eq!(up.status, 200, "a node served through its peer is healthy");
}

async fn wait_until_no_task_is_left(site: &SharedSite, id: &str) {
    for _ in 0..600 {
        if lock(site).unfinished_tasks(id) == 0 {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("tasks of the cancelled job {id} stayed on their machines");
}
