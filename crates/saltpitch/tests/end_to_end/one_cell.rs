//! Two controllers serve users, and survive their leader and a store that refuses one of them.

use std::time::Duration;

use poem::http::Method;
use saltpitch_core::job::JobKind;
use serde_json::json;

use crate::site::{self, call, job, submit, until, wait_for, Programs};

#[tokio::test]
async fn the_program_serves_users_and_survives_its_leader() {
    let (site, addresses) = site::start(2);
    let api = [addresses.api[0], addresses.api[1]];
    let mut nodes = Programs::new("one-cell", &addresses, None);
    nodes.start_all();
    for a in api {
        until(a, Method::GET, "/up", None, |r| r.0 == 200).await;
    }

    // Clients that connect and say nothing, or stop in the middle, hold nobody up.
    let mut stalled = Vec::new();
    for n in 0..100 {
        let mut tcp = tokio::net::TcpStream::connect(api[n % 2])
            .await
            .expect("a connection");
        if n % 3 == 0 {
            use tokio::io::AsyncWriteExt;
            let part = b"POST /v2/runs HTTP/1.1\r\nhost: a\r\ncontent-length: 900\r\n\r\n{";
            tcp.write_all(part).await.expect("written");
        }
        stalled.push(tcp);
    }

    // What can't be taken, and why.
    for (path, body, status) in [
        ("/v2/runs", json!([1]), 400),
        ("/v2/runs", json!({"ref": "job-1"}), 400),
        ("/v2/runs", json!({"ref": "x"}), 400),
        ("/nowhere", json!({}), 404),
        ("/v2/runs/job-77/abort", json!({}), 404),
        ("/up", json!({}), 405),
    ] {
        let r = call(api[0], Method::POST, path, Some(body)).await;
        let r = r.expect("an answer");
        assert_eq!(r.0, status, "{path}: {r:?}");
        assert!(r.1["error"].is_string(), "{path}: {r:?}");
    }
    let (mut huge, _) = job("job-000009", JobKind::Array, 1);
    huge["cpus"] = json!(9.0);
    let r = call(api[0], Method::POST, "/v2/runs", Some(huge)).await;
    assert_eq!(r.expect("an answer").0, 422);
    let r = call(api[1], Method::GET, "/v2/runs/job-000009", None).await;
    assert_eq!(r.expect("an answer").0, 404);

    // Arrays, gangs and services, asked for on either node.
    submit(&site, api[0], "job-000001", JobKind::Array, 6).await;
    submit(&site, api[1], "job-000002", JobKind::Gang, 3).await;
    submit(&site, api[0], "job-000003", JobKind::Service, 2).await;
    wait_for(api[1], "job-000001", "done").await;
    wait_for(api[0], "job-000002", "done").await;
    wait_for(api[1], "job-000003", "running").await;

    // The leader dies without a word; what was over stays over, and work goes on.
    let leader = site.lock().expect("lock").store.keys["salt/leader"]
        .value
        .contains("\"n0\"");
    let (dead, alive) = if leader { (0, 1) } else { (1, 0) };
    nodes.kill(dead);
    submit(&site, api[alive], "job-000004", JobKind::Array, 3).await;
    wait_for(api[alive], "job-000004", "done").await;
    wait_for(api[alive], "job-000001", "done").await;
    nodes.start(dead);
    until(api[dead], Method::GET, "/up", None, |r| r.0 == 200).await;
    wait_for(api[dead], "job-000002", "done").await;

    // The store refuses one node alone: its users are served through the other, whoever leads.
    for n in [dead, alive] {
        site.lock().expect("lock").refused = Some(n);
        let id = format!("job-00001{n}");
        submit(&site, api[n], &id, JobKind::Array, 2).await;
        wait_for(api[n], &id, "done").await;
        wait_for(api[n], "job-000003", "running").await;
        let path = "/v2/runs/job-000099";
        until(api[n], Method::GET, path, None, |r| r.0 == 404).await;
        let up = call(api[n], Method::GET, "/up", None).await;
        assert_eq!(
            up.expect("an answer").0,
            200,
            "served through a peer is served"
        );
    }
    site.lock().expect("lock").refused = None;

    // A cancelled service leaves its machines, and is cancelled for every node.
    let path = "/v2/runs/job-000003/abort";
    let r = until(api[dead], Method::POST, path, None, |r| r.0 == 200).await;
    assert_eq!(r.1["status"], "withdrawn");
    wait_for(api[alive], "job-000003", "withdrawn").await;
    for _ in 0..600 {
        let left = site.lock().expect("lock").agents.values().any(|w| {
            !w.gone
                && w.tasks
                    .iter()
                    .any(|((id, _), h)| id.0 == "job-000003" && !h.exited())
        });
        if !left {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("tasks of a cancelled service stayed on their machines");
}
