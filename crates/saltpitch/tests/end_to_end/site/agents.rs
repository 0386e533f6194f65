//! The stand-ins for the agents: heartbeats, commands and running tasks.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use poem::http::Method;
use saltpitch_core::agent::{ExitCause, TaskState};
use saltpitch_core::job::JobKind;
use serde_json::Value;

use super::agent_protocol::{encode_heartbeat, Commands};
use super::http::call;
use super::{lock, Reply, SharedSite, Site};

/// The default pause between the reply to a heartbeat and the next heartbeat.
pub const HEARTBEAT_PAUSE: Duration = Duration::from_millis(200);

/// Answers a request that a controller sends to an agent directly.
pub fn answer(site: &SharedSite, name: &str, uri: &str, body: &Value) -> Reply {
    let mut site = lock(site);
    let agent = &site.agents[name];
    if agent.is_gone {
        return Reply::empty(500);
    }
    if uri == "/show" {
        return Reply::new(200, next_heartbeat(&mut site, name));
    }
    let call = ExecutedCall {
        machine: name.to_owned(),
        agent_epoch: body["watch"].as_u64(),
        commands: Commands::decode(body),
    };
    let is_executed = execute_call(&mut site, &call);
    if is_executed {
        site.executed_calls.push(Arc::new(call));
    }
    let status = if is_executed { 200 } else { 409 };
    Reply::new(status, next_heartbeat(&mut site, name))
}

/// A direct call that an agent has executed.
pub struct ExecutedCall {
    /// The name of the agent's machine.
    pub machine: String,
    /// The epoch that the commands are for.
    pub agent_epoch: Option<u64>,
    /// The commands.
    pub commands: Commands,
}

/// Executes a direct call unless it is for another epoch or from an earlier term. Returns whether it was executed.
fn execute_call(site: &mut Site, call: &ExecutedCall) -> bool {
    let agent_epoch = site.agents[&call.machine].agent_epoch;
    call.agent_epoch == Some(agent_epoch) && execute(site, &call.machine, &call.commands)
}

/// Delivers all direct calls that agents have executed so far once more, and returns how many there are. Nobody gets
/// the answers.
pub fn repeat_executed_calls(site: &SharedSite) -> usize {
    let mut site = lock(site);
    let calls = site.executed_calls.clone();
    for call in &calls {
        execute_call(&mut site, call);
    }
    calls.len()
}

/// Returns the next heartbeat of an agent as the protocol encodes it.
fn next_heartbeat(site: &mut Site, name: &str) -> Value {
    let addr = site.agent_addresses[name].to_string();
    let agent = site.agents.get_mut(name).expect("the agent exists");
    encode_heartbeat(&agent.heartbeat(), &addr)
}

/// Executes commands and returns true; returns false if the agent has seen the fencing token of a newer leader.
fn execute(site: &mut Site, name: &str, commands: &Commands) -> bool {
    let now = site.now();
    let specs = site.specs_of(commands.job_ids());
    let agent = site.agents.get_mut(name).expect("the agent exists");
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
            (
                site.controller_addresses[target],
                next_heartbeat(&mut site, &name),
            )
        };
        let reply = call(node, Method::POST, "/v1/report", Some(heartbeat)).await;
        target = handle_heartbeat_reply(&mut lock(&site), &name, reply, target);
        let pause = lock(&site).heartbeat_pause;
        tokio::time::sleep(pause).await;
    }
}

/// Handles the reply to a heartbeat; returns the index of the controller that gets the next heartbeat.
fn handle_heartbeat_reply(
    site: &mut Site,
    name: &str,
    reply: Option<Reply>,
    target: usize,
) -> usize {
    let next_target = (target + 1) % site.controller_names.len();
    let Some(reply) = reply else {
        return next_target;
    };
    match reply.status {
        200 => {
            execute(site, name, &Commands::decode(&reply.body));
            let now = site.now();
            site.agents
                .get_mut(name)
                .expect("the agent exists")
                .lease_renewed_at = now;
            target
        }
        421 => {
            let leader = reply.body["harbour_master"].as_str().unwrap_or_default();
            let leader_index = site.controller_names.iter().position(|name| name == leader);
            leader_index.unwrap_or(next_target)
        }
        _ => next_target,
    }
}

/// Advances the states of an agent's tasks to the present time.
fn advance_tasks(site: &mut Site, name: &str) {
    let now = site.now();
    let jobs = site.agents[name]
        .tasks
        .keys()
        .map(|((job, _), _)| job.as_str());
    let specs = site.specs_of(jobs);
    let ready_members = count_ready_members(site);
    let agent = site.agents.get_mut(name).expect("the agent exists");
    for ((id, _), task) in agent.tasks.iter_mut() {
        let Some(spec) = specs.get(&id.0) else {
            continue;
        };
        match task.state {
            TaskState::Fetching if now >= task.phase_ends_at => {
                task.state = match spec.kind {
                    JobKind::Gang => TaskState::Waiting,
                    JobKind::Array | JobKind::Service => TaskState::Running,
                };
                task.phase_ends_at = now.plus(spec.estimate);
            }
            TaskState::Waiting if ready_members.get(&id.0) == Some(&spec.tasks) => {
                task.state = TaskState::Running;
                task.phase_ends_at = now.plus(spec.estimate);
            }
            TaskState::Running if now >= task.phase_ends_at && spec.kind != JobKind::Service => {
                *site.completions.entry(id.clone()).or_default() += 1;
                task.state = TaskState::Exited {
                    cause: ExitCause::Done,
                    saved: false,
                };
            }
            _ => {}
        }
    }
}

/// Returns for each job how many of its tasks wait for the rest of their gang or run.
fn count_ready_members(site: &Site) -> HashMap<String, u32> {
    let mut members: HashMap<String, u32> = HashMap::new();
    for agent in site.agents.values().filter(|agent| !agent.is_gone) {
        for ((id, _), task) in &agent.tasks {
            if matches!(task.state, TaskState::Waiting | TaskState::Running) {
                *members.entry(id.0.clone()).or_default() += 1;
            }
        }
    }
    members
}
