//! One cell on loopback: stand-ins for everything outside the controllers, and the controllers' processes.

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
use std::time::{Duration, Instant};

use saltpitch_core::job::JobSpec;
use saltpitch_core::records::{job_key, JobRecord, LEADER_KEY};
use saltpitch_core::Micros;
use saltpitch_testkit::agents::Agent;
use saltpitch_testkit::store::Store;

pub use agents::{repeat_executed_calls, ExecutedCall};
pub use http::{call, free_addr, poll_until, wait_until_healthy};
pub use jobs::{add_completed_jobs, submit, wait_for_status, Job};
pub use programs::ControllerProcesses;
pub use reply::Reply;
pub use store::{StoreConditions, StoreFault, StoreRequest};

use http::serve;

/// The state of the stand-ins for everything outside the controllers of one cell.
pub struct Site {
    started_at: Instant,
    /// The state service.
    pub store: Store,
    /// The agents by machine name, including those of machines that were returned.
    pub agents: HashMap<String, Agent>,
    /// The addresses on which the agents listen, by machine name.
    agent_addresses: HashMap<String, SocketAddr>,
    /// The description of each job that users uploaded, by job id.
    pub specs: HashMap<String, JobSpec>,
    /// The most machines that the cloud provides at a time.
    pub max_machines: usize,
    /// The addresses on which the controllers listen for agents.
    controller_addresses: Vec<SocketAddr>,
    /// The controllers' names, in the order of their addresses.
    controller_names: Vec<String>,
    /// Under which conditions the state service answers.
    pub store_conditions: StoreConditions,
    /// The only controller whose requests the store refuses, if any.
    pub refused_controller: Option<usize>,
    /// How often each task completed, by job id and task index.
    pub completions: HashMap<(String, u32), u32>,
    /// The pause between the reply to a heartbeat and the agent's next heartbeat.
    pub heartbeat_pause: Duration,
    /// The direct calls that agents have executed, in the order of their execution.
    pub executed_calls: Vec<Arc<ExecutedCall>>,
}

/// A site that its stand-ins and the test share.
pub type SharedSite = Arc<Mutex<Site>>;

/// Locks the site; panics if a stand-in panicked while it held the lock.
pub fn lock(site: &SharedSite) -> MutexGuard<'_, Site> {
    site.lock().expect("no stand-in panicked")
}

/// The addresses of the controllers and of the stand-ins, except the agents.
#[derive(Clone)]
pub struct Addresses {
    /// The addresses on which the controllers listen for users and agents.
    pub api: Vec<SocketAddr>,
    /// The addresses on which the controllers listen for each other.
    pub peer: Vec<SocketAddr>,
    /// The address of the cloud.
    pub cloud: SocketAddr,
    /// The addresses of the state service, one for each controller, so that it can refuse a single one.
    pub store: Vec<SocketAddr>,
}

impl Site {
    /// Returns the time since the site's start.
    pub fn now(&self) -> Micros {
        Micros(self.started_at.elapsed().as_micros() as u64)
    }

    /// Returns the description of a job that users uploaded. A delegated job is found under its id at the origin.
    fn spec_of(&self, id: &str) -> Option<JobSpec> {
        self.specs.get(origin_id(id)).cloned()
    }

    /// Returns the descriptions of these jobs; jobs without a description are left out.
    fn specs_of<'a>(&self, ids: impl Iterator<Item = &'a str>) -> HashMap<String, JobSpec> {
        let specs = ids.filter_map(|id| Some((id.to_owned(), self.spec_of(id)?)));
        specs.collect()
    }

    /// Returns a job's record from the store, if it exists and is readable.
    pub fn record(&self, id: &str) -> Option<JobRecord> {
        let entry = self.store.keys.get(&job_key(id))?;
        serde_json::from_str(&entry.value).ok()
    }

    /// Returns whether this controller is the leader on record.
    pub fn is_leader(&self, node: &str) -> bool {
        let record = self.store.keys.get(LEADER_KEY);
        record.is_some_and(|entry| entry.value.contains(&format!("\"{node}\"")))
    }

    /// Returns the agents of all machines that have not been returned.
    pub fn machines(&self) -> impl Iterator<Item = &Agent> {
        self.agents.values().filter(|agent| !agent.is_gone)
    }

    /// Returns the number of tasks of a job that are on machines and have not ended.
    pub fn unfinished_tasks(&self, id: &str) -> usize {
        self.machines()
            .flat_map(|agent| &agent.tasks)
            .filter(|(((job, _), _), task)| job == id && !task.has_exited())
            .count()
    }
}

/// Returns the id that a job has at the cell where it was submitted.
pub fn origin_id(id: &str) -> &str {
    let sent = id.split_once('.').map(|(_, sent)| sent);
    let id_at_origin = sent.and_then(saltpitch_cells::ids::origin_job_id);
    id_at_origin.unwrap_or(id)
}

/// Starts the stand-ins of a site with `controller_count` controllers.
pub fn start(controller_count: usize) -> (SharedSite, Addresses) {
    let addresses = Addresses {
        api: (0..controller_count).map(|_| free_addr()).collect(),
        peer: (0..controller_count).map(|_| free_addr()).collect(),
        cloud: free_addr(),
        store: (0..controller_count).map(|_| free_addr()).collect(),
    };
    let site: SharedSite = Arc::new(Mutex::new(Site {
        started_at: Instant::now(),
        store: Store::default(),
        agents: HashMap::new(),
        agent_addresses: HashMap::new(),
        specs: HashMap::new(),
        max_machines: usize::MAX,
        controller_addresses: addresses.api.clone(),
        controller_names: (0..controller_count).map(|n| format!("n{n}")).collect(),
        store_conditions: StoreConditions::default(),
        refused_controller: None,
        completions: HashMap::new(),
        heartbeat_pause: agents::HEARTBEAT_PAUSE,
        executed_calls: Vec::new(),
    }));
    let shared = site.clone();
    serve(addresses.cloud, move |method, uri, body| {
        cloud::answer(shared.clone(), method, uri, body)
    });
    for (n, address) in addresses.store.iter().enumerate() {
        let shared = site.clone();
        serve(*address, move |method, uri, body| {
            store::serve_request(shared.clone(), n, method, uri, body)
        });
    }
    (site, addresses)
}
