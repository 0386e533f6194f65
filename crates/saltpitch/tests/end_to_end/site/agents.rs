//! Agents: heartbeats, commands and running tasks.

use std::collections::HashMap;
use std::time::Duration;

use poem::http::Method;
use saltpitch_core::agent::{ExitCause, TaskState};
use saltpitch_core::job::JobKind;
use serde_json::Value;

use super::agent_protocol::{encode_heartbeat, Commands};
use super::http::call;
use super::{lock, Reply, SharedSite, Site};

/// The pause between two heartbeats of an agent.
const HEARTBEAT_PAUSE: Duration = Duration::from_millis(200);

/// Answers a direct request to an agent.
pub fn answer(site: &SharedSite, name: &str, uri: &str, body: &Value) -> Reply {
    let mut site = lock(site);
    let agent = &site.agents[name];
    if agent.is_gone {
        return Reply::empty(500);
    }
    if uri == "/show" {
        return Reply::new(200, next_heartbeat(&mut site, name));
    }
    let is_same_epoch = body["watch"].as_u64() == Some(agent.agent_epoch);
    let executed = is_same_epoch && execute(&mut site, name, &Commands::decode(body));
    let status = if executed { 200 } else { 409 };
    Reply::new(status, next_heartbeat(&mut site, name))
}

fn next_heartbeat(site: &mut Site, name: &str) -> Value {
    let addr = site.addrs[name].to_string();
    let agent = site.agents.get_mut(name).expect("an agent");
    encode_heartbeat(&agent.heartbeat(), &addr)
}

/// Carries out commands, unless a newer leader has sent some.
fn execute(site: &mut Site, name: &str, commands: &Commands) -> bool {
    let now = site.now();
    let specs = site.specs_of(commands.jobs());
    let agent = site.agents.get_mut(name).expect("an agent");
    if !agent.accept_token(commands.fencing_token) {
        return false;
    }
    let spec_of = |id: &str| specs.get(id).cloned();
    agent.execute(&commands.commands, &spec_of, &mut |_| 0, now);
    true
}

/// One agent: runs its tasks, sends heartbeats and follows redirects until its machine is returned.
pub async fn run(site: SharedSite, name: String) {
    let mut target = 0;
    loop {
        let (node, heartbeat) = {
            let mut site = lock(&site);
            if site.agents[&name].is_gone {
                return;
            }
            advance_tasks(&mut site, &name);
            (site.nodes[target], next_heartbeat(&mut site, &name))
        };
        let reply = call(node, Method::POST, "/v1/report", Some(heartbeat)).await;
        target = take_answer(&mut lock(&site), &name, reply, target);
        tokio::time::sleep(HEARTBEAT_PAUSE).await;
    }
}

/// Takes the answer to a heartbeat; returns the controller that gets the next one.
fn take_answer(site: &mut Site, name: &str, reply: Option<Reply>, target: usize) -> usize {
    let another = (target + 1) % site.names.len();
    let Some(reply) = reply else {
        return another;
    };
    match reply.status {
        200 => {
            execute(site, name, &Commands::decode(&reply.body));
            let now = site.now();
            site.agents
                .get_mut(name)
                .expect("an agent")
                .lease_renewed_at = now;
            target
        }
        421 => {
            let leader = reply.body["harbour_master"].as_str().unwrap_or_default();
            let known = site.names.iter().position(|name| name == leader);
            known.unwrap_or(another)
        }
        _ => another,
    }
}

/// Moves the tasks of one agent on as time passes.
fn advance_tasks(site: &mut Site, name: &str) {
    let now = site.now();
    let jobs = site.agents[name]
        .tasks
        .keys()
        .map(|((job, _), _)| job.as_str());
    let specs = site.specs_of(jobs);
    let ready_members = ready_members(site);
    let agent = site.agents.get_mut(name).expect("an agent");
    for ((id, _), held) in agent.tasks.iter_mut() {
        let Some(spec) = specs.get(&id.0) else {
            continue;
        };
        match held.state {
            TaskState::Fetching if now >= held.phase_ends_at => {
                held.state = match spec.kind {
                    JobKind::Gang => TaskState::Waiting,
                    JobKind::Array | JobKind::Service => TaskState::Running,
                };
                held.phase_ends_at = now.plus(spec.estimate);
            }
            TaskState::Waiting if ready_members.get(&id.0) == Some(&spec.tasks) => {
                held.state = TaskState::Running;
                held.phase_ends_at = now.plus(spec.estimate);
            }
            TaskState::Running if now >= held.phase_ends_at && spec.kind != JobKind::Service => {
                *site.completions.entry(id.clone()).or_default() += 1;
                held.state = TaskState::Exited {
                    cause: ExitCause::Done,
                    saved: false,
                };
            }
            _ => {}
        }
    }
}

/// How many tasks of each job wait for the rest of their gang, or run.
fn ready_members(site: &Site) -> HashMap<String, u32> {
    let mut members: HashMap<String, u32> = HashMap::new();
    for agent in site.agents.values().filter(|agent| !agent.is_gone) {
        for ((id, _), held) in &agent.tasks {
            if matches!(held.state, TaskState::Waiting | TaskState::Running) {
                *members.entry(id.0.clone()).or_default() += 1;
            }
        }
    }
    members
}
