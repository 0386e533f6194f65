//! The stand-in for the cloud, with one machine type and machines that are ready at once.

use poem::http::Method;
use saltpitch_core::catalog::Resources;
use saltpitch_core::Micros;
use saltpitch_testkit::agents::Agent;
use serde_json::{json, Value};

use super::agents;
use super::http::{free_addr, serve};
use super::{lock, Reply, SharedSite, Site};

const MACHINE_TYPE: &str = "box";
/// The most machines that one request starts.
const MAX_MACHINES_PER_REQUEST: u64 = 2;

/// Answers a request to the cloud.
pub async fn answer(site: SharedSite, method: Method, uri: String, body: Value) -> Reply {
    let path = uri.split('?').next().unwrap_or_default();
    match (method, path) {
        (Method::GET, "/catalog") => catalog(),
        (Method::GET, "/machines") => list(&lock(&site)),
        (Method::POST, "/machines") => scale_out(&site, &body),
        (Method::POST, "/machines/return") => scale_in(&mut lock(&site), &body),
        _ => Reply::empty(404),
    }
}

/// Replies with the catalog of machine types.
fn catalog() -> Reply {
    let machine_type = json!({"sku": MACHINE_TYPE, "cpus": 8, "accelerators": 1, "mem_gb": 32,
        "cache_gb": 50, "fetch_gb_per_s": 1.0, "rate": 1.0, "low_price": 0.4,
        "ready_s": 1, "basins": ["a", "b"]});
    Reply::new(200, json!({ "hulls_list": [machine_type] }))
}

/// Replies with all machines on one page.
fn list(site: &Site) -> Reply {
    let mut machines: Vec<Value> = site
        .machines()
        .map(|agent| encode_machine(site, agent))
        .collect();
    machines.sort_by_key(|machine| machine["ref"].to_string());
    Reply::new(200, json!({"bollards": machines, "has_next": false}))
}

/// Returns a machine as the list encodes it.
fn encode_machine(site: &Site, agent: &Agent) -> Value {
    json!({"ref": agent.name, "endpoint": site.agent_addresses[&agent.name].to_string(),
        "hull_type": MACHINE_TYPE, "basin": agent.zone, "lay_by": agent.spot,
        "status": "running", "age_s": 5.0})
}

/// Returns machines to the cloud; their agents stop.
fn scale_in(site: &mut Site, body: &Value) -> Reply {
    for name in body["bollards"].as_array().into_iter().flatten() {
        let name = name.as_str().unwrap_or_default();
        if let Some(agent) = site.agents.get_mut(name) {
            agent.is_gone = true;
        }
    }
    Reply::empty(200)
}

/// Starts up to [`MAX_MACHINES_PER_REQUEST`] machines; replies with an error only if none can be started.
fn scale_out(site: &SharedSite, body: &Value) -> Reply {
    let count = body["count"].as_u64().unwrap_or(0);
    let mut names = Vec::new();
    for _ in 0..count.min(MAX_MACHINES_PER_REQUEST) {
        match start_machine(site, body) {
            Some(name) => names.push(name),
            None => break,
        }
    }
    if names.is_empty() {
        return Reply::error(503, "no capacity");
    }
    Reply::new(200, json!({ "bollards": names }))
}

/// Starts a machine and its agent and returns the machine's name, or `None` if the cloud has no capacity left.
fn start_machine(shared: &SharedSite, body: &Value) -> Option<String> {
    let (name, addr) = {
        let mut site = lock(shared);
        if site.machines().count() >= site.max_machines {
            return None;
        }
        let name = format!("vm-{:06}", site.agents.len());
        let addr = free_addr();
        let zone = body["basin"].as_str().unwrap_or_default();
        let spot = body["lay_by"].as_bool().unwrap_or(false);
        let agent = new_agent(&name, zone, spot, site.now());
        site.agents.insert(name.clone(), agent);
        site.agent_addresses.insert(name.clone(), addr);
        (name, addr)
    };
    let (site, agent) = (shared.clone(), name.clone());
    serve(addr, move |_, uri, body| {
        let (site, agent) = (site.clone(), agent.clone());
        async move { agents::answer(&site, &agent, &uri, &body) }
    });
    tokio::spawn(agents::run(shared.clone(), name.clone()));
    Some(name)
}

fn new_agent(name: &str, zone: &str, spot: bool, now: Micros) -> Agent {
    Agent {
        name: name.to_owned(),
        type_name: MACHINE_TYPE.to_owned(),
        zone: zone.to_owned(),
        spot,
        size: Resources {
            cpu: 8_000,
            gpu: 1_000,
            mem: 32_000,
        },
        is_slow: false,
        up_at: now,
        is_gone: false,
        hung_until: Micros::ZERO,
        inbound_partition_until: Micros::ZERO,
        outbound_partition_until: Micros::ZERO,
        agent_epoch: 1,
        sequence: 0,
        fencing_token: 0,
        lease_renewed_at: now,
        spot_notice: None,
        tasks: Default::default(),
        forgotten_attempts: Default::default(),
        target_node: 0,
        next_heartbeat_at: Micros::ZERO,
        pending_heartbeat: None,
        has_changes: false,
    }
}
