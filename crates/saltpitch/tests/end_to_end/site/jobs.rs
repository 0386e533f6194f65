//! Jobs as users submit them.

use std::net::SocketAddr;

use poem::http::Method;
use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::Micros;
use serde_json::{json, Value};

use super::http::until;
use super::{lock, SharedSite};

/// How long a task of an array or a gang runs.
const RUN_S: f64 = 0.5;

/// A job as its user submits it, and as its machines' image describes it.
pub struct Job {
    /// The body of the submission.
    pub body: Value,
    /// What the agents know of it.
    pub spec: JobSpec,
}

impl Job {
    /// A job of so many small tasks.
    pub fn new(id: &str, kind: JobKind, tasks: u32) -> Job {
        let kind_word = match kind {
            JobKind::Array => "sweep",
            JobKind::Gang => "ensemble",
            JobKind::Service => "service",
        };
        let run_s = if kind == JobKind::Service { 0.0 } else { RUN_S };
        let body = json!({"ref": id, "berth": "class", "crew": "crew", "rig": kind_word,
            "precedence": "normal", "legs": tasks, "cpus": 2.0, "accelerators": 0.0, "mem_gb": 2.0,
            "hull": "img", "image_gb": 0.1, "hulls_list": null, "basin": null, "together": false,
            "spread": false, "lay_by": false, "passage_s": run_s, "moor_every_s": 0.0,
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
            estimate: Micros::from_secs_f64(run_s),
            checkpoint_interval: Micros::ZERO,
            save_time: Micros::ZERO,
            deadline: None,
            dependencies: Vec::new(),
        };
        Job { body, spec }
    }

    /// The same, with tasks that run for so many seconds.
    pub fn running_for(mut self, seconds: f64) -> Job {
        self.body["passage_s"] = json!(seconds);
        self.spec.estimate = Micros::from_secs_f64(seconds);
        self
    }

    /// The same in the highest priority.
    pub fn in_production(mut self) -> Job {
        self.body["precedence"] = json!("production");
        self.spec.priority = Priority::Production;
        self
    }

    /// Uploads the job's description and submits it until it is accepted.
    pub async fn submit(self, site: &SharedSite, addr: SocketAddr) {
        let id = self.body["ref"].as_str().expect("an id").to_owned();
        lock(site).specs.insert(id, self.spec);
        let accepted = |status: u16| status == 201 || status == 200;
        until(addr, Method::POST, "/v2/runs", Some(self.body), |reply| {
            accepted(reply.status)
        })
        .await;
    }
}

/// Submits a job until it is accepted.
pub async fn submit(site: &SharedSite, addr: SocketAddr, id: &str, kind: JobKind, tasks: u32) {
    Job::new(id, kind, tasks).submit(site, addr).await;
}

/// Waits until a controller answers with this status of a job.
pub async fn wait_for_status(addr: SocketAddr, id: &str, status: &str) {
    let path = format!("/v2/runs/{id}");
    until(addr, Method::GET, &path, None, |reply| {
        reply.status == 200 && reply.body["status"] == status
    })
    .await;
}
