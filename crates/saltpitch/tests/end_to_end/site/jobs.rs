//! Jobs as users submit them.

use std::net::SocketAddr;

use poem::http::Method;
use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::Micros;
use serde_json::{json, Value};

use super::http::until;
use super::Shared;

pub fn job(id: &str, kind: JobKind, tasks: u32) -> (Value, JobSpec) {
    let word = match kind {
        JobKind::Array => "sweep",
        JobKind::Gang => "ensemble",
        JobKind::Service => "service",
    };
    let run = if kind == JobKind::Service { 0.0 } else { 0.5 };
    let body = json!({"ref": id, "berth": "class", "crew": "crew", "rig": word,
        "precedence": "normal", "legs": tasks, "cpus": 2.0, "accelerators": 0.0, "mem_gb": 2.0,
        "hull": "img", "image_gb": 0.1, "hulls_list": null, "basin": null, "together": false,
        "spread": false, "lay_by": false, "passage_s": run, "moor_every_s": 0.0,
        "tie_up_s": 0.0, "arrive_by_s": null});
    let spec = JobSpec {
        class: "class".to_owned(),
        team: "crew".to_owned(),
        kind,
        priority: Priority::Normal,
        tasks,
        need: Resources {
            cpu: 2_000,
            gpu: 0,
            mem: 2_000,
        },
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        image: "img".to_owned(),
        image_mb: 100,
        estimate: Micros::from_secs_f64(run),
        checkpoint: Micros::ZERO,
        save: Micros::ZERO,
        deadline: None,
        dependencies: Vec::new(),
    };
    (body, spec)
}

/// Submits a job until it is accepted.
pub async fn submit(site: &Shared, addr: SocketAddr, id: &str, kind: JobKind, tasks: u32) {
    let (body, spec) = job(id, kind, tasks);
    submit_body(site, addr, id, body, spec).await;
}

/// Uploads a job's description and submits it until it is accepted.
pub async fn submit_body(site: &Shared, addr: SocketAddr, id: &str, body: Value, spec: JobSpec) {
    site.lock().expect("lock").specs.insert(id.to_owned(), spec);
    until(addr, Method::POST, "/v2/runs", Some(body), |r| {
        r.0 == 201 || r.0 == 200
    })
    .await;
}

pub async fn wait_for(addr: SocketAddr, id: &str, word: &str) {
    let path = format!("/v2/runs/{id}");
    until(addr, Method::GET, &path, None, |r| {
        r.0 == 200 && r.1["status"] == word
    })
    .await;
}
