//! A site on loopback: stand-ins for everything outside the controllers, and the controllers' processes.

mod agents;
mod cloud;
mod http;
mod jobs;
mod programs;
mod store;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use saltpitch_core::job::JobSpec;
use saltpitch_core::records::{job_key, JobRecord};
use saltpitch_core::Micros;
use saltpitch_testkit::agents::Agent;
use saltpitch_testkit::store::Store;
use serde_json::{json, Value};

pub use http::{call, free_addr, serve, until};
pub use jobs::{job, submit, submit_body, wait_for};
pub use programs::Programs;

/// A status and a body in JSON.
pub type Reply = (u16, Value);

/// Everything outside the controllers.
pub struct Site {
    pub started: Instant,
    pub store: Store,
    pub agents: HashMap<String, Agent>,
    pub addrs: HashMap<String, SocketAddr>,
    pub specs: HashMap<String, JobSpec>,
    /// The most machines that the cloud has at a time.
    pub max_machines: usize,
    pub nodes: Vec<SocketAddr>,
    pub names: Vec<String>,
    /// The node that the store refuses, as it serves the others.
    pub refused: Option<usize>,
    /// How often each task was completed.
    pub completions: HashMap<(String, u32), u32>,
}

pub type Shared = Arc<Mutex<Site>>;

/// Where the site's parts listen.
#[derive(Clone)]
pub struct Addresses {
    pub api: Vec<SocketAddr>,
    pub peer: Vec<SocketAddr>,
    pub cloud: SocketAddr,
    /// The state service, by controller.
    pub store: Vec<SocketAddr>,
}

impl Site {
    pub fn now(&self) -> Micros {
        Micros(self.started.elapsed().as_micros() as u64)
    }

    /// What users uploaded for a job. A guest's description is its home's.
    pub fn spec_of(&self, id: &str) -> Option<JobSpec> {
        let home = id
            .split_once('.')
            .and_then(|(_, sent)| saltpitch_cells::ids::home_id(sent));
        self.specs.get(home.unwrap_or(id)).cloned()
    }

    /// The descriptions of these jobs.
    fn specs_of<'a>(&self, ids: impl Iterator<Item = &'a str>) -> HashMap<String, JobSpec> {
        let known = ids.filter_map(|id| Some((id.to_owned(), self.spec_of(id)?)));
        known.collect()
    }

    /// A job's record.
    pub fn record(&self, id: &str) -> Option<JobRecord> {
        let entry = self.store.keys.get(&job_key(id))?;
        serde_json::from_str(&entry.value).ok()
    }

    /// The tasks of a job that machines have and that have not ended.
    pub fn held(&self, id: &str) -> usize {
        let machines = self.agents.values().filter(|machine| !machine.gone);
        let tasks = machines.flat_map(|machine| &machine.tasks);
        tasks
            .filter(|((task, _), held)| task.0 == id && !held.exited())
            .count()
    }
}

/// Starts the stand-ins of a site of so many controllers.
pub fn start(controllers: usize) -> (Shared, Addresses) {
    let addresses = Addresses {
        api: (0..controllers).map(|_| free_addr()).collect(),
        peer: (0..controllers).map(|_| free_addr()).collect(),
        cloud: free_addr(),
        store: (0..controllers).map(|_| free_addr()).collect(),
    };
    let site: Shared = Arc::new(Mutex::new(Site {
        started: Instant::now(),
        store: Store::default(),
        agents: HashMap::new(),
        addrs: HashMap::new(),
        specs: HashMap::new(),
        max_machines: usize::MAX,
        nodes: addresses.api.clone(),
        names: (0..controllers).map(|n| format!("n{n}")).collect(),
        refused: None,
        completions: HashMap::new(),
    }));
    let shared = site.clone();
    serve(addresses.cloud, move |method, uri, body| {
        cloud::cloud_call(shared.clone(), method, uri, body)
    });
    for (n, address) in addresses.store.iter().enumerate() {
        let shared = site.clone();
        serve(*address, move |method, uri, body| {
            let site = shared.clone();
            async move {
                let refused = site.lock().expect("lock").refused == Some(n);
                match refused {
                    true => (503, json!({"error": "trouble"})),
                    false => store::store_call(site, method, uri, body).await,
                }
            }
        });
    }
    (site, addresses)
}
