//! A site on loopback: stand-ins for everything outside the controllers, and the controllers' processes.

mod agent_protocol;
mod agents;
mod cloud;
mod http;
mod jobs;
mod programs;
mod reply;
mod store;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Instant;

use saltpitch_core::job::JobSpec;
use saltpitch_core::records::{job_key, JobRecord};
use saltpitch_core::Micros;
use saltpitch_testkit::agents::Agent;
use saltpitch_testkit::store::Store;

pub use http::{call, free_addr, until, until_healthy};
pub use jobs::{submit, wait_for_status, Job};
pub use programs::Programs;
pub use reply::Reply;

use http::serve;

/// Everything outside the controllers.
pub struct Site {
    started: Instant,
    /// The state service.
    pub store: Store,
    /// The agents by name, with those of machines that were returned.
    pub agents: HashMap<String, Agent>,
    /// Where the agents listen.
    addrs: HashMap<String, SocketAddr>,
    /// What users uploaded for each job.
    pub specs: HashMap<String, JobSpec>,
    /// The most machines that the cloud has at a time.
    pub max_machines: usize,
    /// Where the controllers listen for agents.
    nodes: Vec<SocketAddr>,
    /// The controllers' names.
    names: Vec<String>,
    /// The controller that the store refuses, as it serves the others.
    pub refused_node: Option<usize>,
    /// How often each task was completed.
    pub completions: HashMap<(String, u32), u32>,
}

/// The site, shared by its stand-ins and the test.
pub type SharedSite = Arc<Mutex<Site>>;

/// Locks the site.
pub fn lock(site: &SharedSite) -> MutexGuard<'_, Site> {
    site.lock().expect("no stand-in panicked")
}

/// Where the site's parts listen.
#[derive(Clone)]
pub struct Addresses {
    /// Where the controllers listen for users and agents.
    pub api: Vec<SocketAddr>,
    /// Where the controllers listen for each other.
    pub peer: Vec<SocketAddr>,
    /// The cloud.
    pub cloud: SocketAddr,
    /// The state service, by controller.
    pub store: Vec<SocketAddr>,
}

impl Site {
    /// The time since the site's start.
    pub fn now(&self) -> Micros {
        Micros(self.started.elapsed().as_micros() as u64)
    }

    /// What users uploaded for a job; for a delegated job, under its id at the origin.
    fn spec_of(&self, id: &str) -> Option<JobSpec> {
        self.specs.get(origin_id(id)).cloned()
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

    /// The machines that are there, with their agents.
    pub fn machines(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values().filter(|agent| !agent.is_gone)
    }

    /// How many tasks of a job are on machines and have not ended.
    pub fn unfinished_tasks(&self, id: &str) -> usize {
        self.machines()
            .flat_map(|agent| &agent.tasks)
            .filter(|((task, _), held)| task.0 == id && !held.has_exited())
            .count()
    }
}

/// The id of a job at the cell where it was submitted.
pub fn origin_id(id: &str) -> &str {
    let sent = id.split_once('.').map(|(_, sent)| sent);
    let origin = sent.and_then(saltpitch_cells::ids::origin_job_id);
    origin.unwrap_or(id)
}

/// Starts the stand-ins of a site of so many controllers.
pub fn start(controllers: usize) -> (SharedSite, Addresses) {
    let addresses = Addresses {
        api: (0..controllers).map(|_| free_addr()).collect(),
        peer: (0..controllers).map(|_| free_addr()).collect(),
        cloud: free_addr(),
        store: (0..controllers).map(|_| free_addr()).collect(),
    };
    let site: SharedSite = Arc::new(Mutex::new(Site {
        started: Instant::now(),
        store: Store::default(),
        agents: HashMap::new(),
        addrs: HashMap::new(),
        specs: HashMap::new(),
        max_machines: usize::MAX,
        nodes: addresses.api.clone(),
        names: (0..controllers).map(|n| format!("n{n}")).collect(),
        refused_node: None,
        completions: HashMap::new(),
    }));
    let shared = site.clone();
    serve(addresses.cloud, move |method, uri, body| {
        cloud::answer(shared.clone(), method, uri, body)
    });
    for (n, address) in addresses.store.iter().enumerate() {
        let shared = site.clone();
        serve(*address, move |method, uri, body| {
            let site = shared.clone();
            async move {
                let refused = lock(&site).refused_node == Some(n);
                if refused {
                    return Reply::error(503, "trouble");
                }
                store::answer(site, method, uri, body).await
            }
        });
    }
    (site, addresses)
}
