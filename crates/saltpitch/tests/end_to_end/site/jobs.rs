//! Jobs as users submit them, and waits for their status.

use std::net::SocketAddr;

use poem::http::Method;
use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::records::job_key;
use saltpitch_core::scheduler::Write;
use saltpitch_core::Micros;
use serde_json::{json, Value};

use super::http::poll_until;
use super::{lock, SharedSite};

/// The default run time in seconds of a task of an array or a gang.
const DEFAULT_RUN_S: f64 = 0.5;

/// A job, both as its user submits it and as the agents see it.
pub struct Job {
    /// The body of the submission.
    pub body: Value,
    /// The description of the job that the agents use.
    pub spec: JobSpec,
}

impl Job {
    /// Creates a job of `tasks` small tasks.
    pub fn new(id: &str, kind: JobKind, tasks: u32) -> Job {
        let kind_name = match kind {
            JobKind::Array => "sweep",
            JobKind::Gang => "ensemble",
            JobKind::Service => "service",
        };
        let run_s = if kind == JobKind::Service {
            0.0
        } else {
            DEFAULT_RUN_S
        };
        let body = json!({"ref": id, "berth": "class", "crew": "crew", "rig": kind_name,
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

    /// Sets the run time of the tasks.
    pub fn running_for(mut self, seconds: f64) -> Job {
        self.body["passage_s"] = json!(seconds);
        self.spec.estimate = Micros::from_secs_f64(seconds);
        self
    }

    /// Sets the highest priority.
    pub fn with_production_priority(mut self) -> Job {
        self.body["precedence"] = json!("production");
        self.spec.priority = Priority::Production;
        self
    }

    /// Gives the job's description to the site, and repeats the submission until a controller accepts it.
    pub async fn submit(self, site: &SharedSite, addr: SocketAddr) {
        let id = self.body["ref"]
            .as_str()
            .expect("the body has an id")
            .to_owned();
        lock(site).specs.insert(id, self.spec);
        let is_accepted = |status: u16| status == 201 || status == 200;
        poll_until(addr, Method::POST, "/v2/runs", Some(self.body), |reply| {
            is_accepted(reply.status)
        })
        .await;
    }
}

/// Creates a job and repeats its submission until a controller accepts it.
pub async fn submit(site: &SharedSite, addr: SocketAddr, id: &str, kind: JobKind, tasks: u32) {
    Job::new(id, kind, tasks).submit(site, addr).await;
}

/// Waits until a controller reports this status of a job.
pub async fn wait_for_status(addr: SocketAddr, id: &str, status: &str) {
    let path = format!("/v2/runs/{id}");
    poll_until(addr, Method::GET, &path, None, |reply| {
        reply.status == 200 && reply.body["status"] == status
    })
    .await;
}

/// Puts the records of `count` completed jobs into the store, listed in pages of `page_rows`. Returns the id of the
/// last one.
pub fn add_completed_jobs(site: &SharedSite, count: usize, page_rows: usize) -> String {
    let mut site = lock(site);
    site.store_conditions.max_page_rows = page_rows;
    let id = |number: usize| format!("job-{:07}", 1_000_000 + number);
    for number in 0..count {
        let write = Write {
            key: job_key(&id(number)),
            value: Some(r#"{"s":"done","t":0,"f":1796000000000000}"#.to_owned()),
        };
        site.store.txn(&[], &[write], None);
    }
    id(count - 1)
}
