//! Machines: heartbeats, commands and running tasks.

use std::collections::HashMap;
use std::time::Duration;

use poem::http::Method;
use saltpitch_core::agent::{Command, ExitCause, TaskState};
use saltpitch_core::job::JobKind;
use saltpitch_core::Micros;
use serde_json::{json, Value};

use super::http::call;
use super::{Reply, Shared, Site};

fn report_body(s: &mut Site, name: &str) -> Value {
    let addr = s.addrs[name].to_string();
    let r = s.agents.get_mut(name).expect("an agent").heartbeat();
    let legs: Vec<Value> = r
        .tasks
        .iter()
        .map(|t| {
            let (status, cause) = match t.state {
                TaskState::Fetching => ("fetching", None),
                TaskState::Waiting => ("waiting", None),
                TaskState::Running => ("running", None),
                TaskState::Saving => ("saving", None),
                TaskState::Exited { cause, .. } => (
                    "exited",
                    Some(match cause {
                        ExitCause::Done => "done",
                        ExitCause::Stopped => "halted",
                        ExitCause::Peers => "peers",
                        ExitCause::Incomplete => "incomplete",
                        ExitCause::Error => "error",
                        ExitCause::NoRoom => "no_room",
                        ExitCause::Busy => "busy",
                        ExitCause::Unknown => "no_such",
                    }),
                ),
            };
            json!({"leg": format!("{}/{}", t.job, t.task), "launch_no": t.attempt,
                "status": status, "cause": cause})
        })
        .collect();
    json!({"bollard": r.machine, "endpoint": addr, "hull_type": r.type_name, "basin": r.zone,
        "lay_by": r.spot, "watch": r.agent_epoch, "log_no": r.sequence, "helm_mark": r.fencing_token,
        "warning_s": null, "legs": legs})
}

fn execute(s: &mut Site, name: &str, fencing_token: u64, commands: &Value) -> bool {
    let now = s.now();
    let commands: Vec<Command> = commands
        .as_array()
        .into_iter()
        .flatten()
        .map(|o| {
            let (job, task) = o["leg"]
                .as_str()
                .and_then(|l| l.rsplit_once('/'))
                .expect("leg");
            let (job, task) = (job.into(), task.parse().expect("task"));
            let attempt = o["launch_no"].as_u64().expect("launch_no") as u32;
            match o["order_kind"].as_str().expect("order_kind") {
                "launch" => Command::Start { job, task, attempt },
                "reap" => Command::Forget { job, task, attempt },
                "kill" => Command::Stop {
                    job,
                    task,
                    attempt,
                    grace: Micros::from_secs_f64(o["slack_s"].as_f64().expect("slack_s")),
                },
                other => panic!("no such order: {other}"),
            }
        })
        .collect();
    let specs = s.specs_of(commands.iter().map(|order| match order {
        Command::Start { job, .. } | Command::Stop { job, .. } | Command::Forget { job, .. } => {
            &**job
        }
    }));
    let w = s.agents.get_mut(name).expect("worker");
    if !w.take_token(fencing_token) {
        return false;
    }
    w.execute(&commands, &|id| specs.get(id).cloned(), &mut |_| 0, now);
    true
}

pub fn agent_call(site: &Shared, name: &str, uri: &str, body: &Value) -> Reply {
    let mut s = site.lock().expect("lock");
    if s.agents[name].gone {
        return (500, json!({}));
    }
    if uri == "/show" {
        return (200, report_body(&mut s, name));
    }
    let same = body["watch"].as_u64() == Some(s.agents[name].agent_epoch);
    let fencing_token = body["helm_mark"].as_u64().unwrap_or(0);
    let done = same && execute(&mut s, name, fencing_token, &body["orders"]);
    let report = report_body(&mut s, name);
    (if done { 200 } else { 409 }, report)
}

/// One agent: heartbeats, follows redirects, runs its tasks.
pub async fn work(site: Shared, name: String) {
    let mut target = 0;
    loop {
        let (node, body) = {
            let mut s = site.lock().expect("lock");
            if s.agents[&name].gone {
                return;
            }
            run_tasks(&mut s, &name);
            (s.nodes[target], report_body(&mut s, &name))
        };
        match call(node, Method::POST, "/v1/report", Some(body)).await {
            Some((200, answer)) => {
                let fencing_token = answer["helm_mark"].as_u64().unwrap_or(0);
                let mut s = site.lock().expect("lock");
                execute(&mut s, &name, fencing_token, &answer["orders"]);
                let now = s.now();
                s.agents.get_mut(&name).expect("worker").lease_from = now;
            }
            Some((421, answer)) => {
                let s = site.lock().expect("lock");
                let named = answer["harbour_master"].as_str().unwrap_or_default();
                target = s
                    .names
                    .iter()
                    .position(|n| n == named)
                    .unwrap_or((target + 1) % s.names.len());
            }
            _ => target = (target + 1) % site.lock().expect("lock").names.len(),
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
}

fn run_tasks(s: &mut Site, name: &str) {
    let now = s.now();
    let held = s.agents[name].tasks.keys();
    let specs = s.specs_of(held.map(|((job, _), _)| job.as_str()));
    let mut waiting: HashMap<String, u32> = HashMap::new();
    for w in s.agents.values().filter(|w| !w.gone) {
        for ((id, _), h) in &w.tasks {
            if matches!(h.state, TaskState::Waiting | TaskState::Running) {
                *waiting.entry(id.0.clone()).or_default() += 1;
            }
        }
    }
    let Site {
        agents,
        completions,
        ..
    } = s;
    let w = agents.get_mut(name).expect("worker");
    for ((id, _), h) in w.tasks.iter_mut() {
        let Some(spec) = specs.get(&id.0) else {
            continue;
        };
        let gang = spec.kind == JobKind::Gang;
        match h.state {
            TaskState::Fetching if now >= h.until => {
                h.state = if gang {
                    TaskState::Waiting
                } else {
                    TaskState::Running
                };
                h.until = now.plus(spec.estimate);
            }
            TaskState::Waiting if waiting.get(&id.0) == Some(&spec.tasks) => {
                h.state = TaskState::Running;
                h.until = now.plus(spec.estimate);
            }
            TaskState::Running if now >= h.until && spec.kind != JobKind::Service => {
                *completions.entry(id.clone()).or_default() += 1;
                h.state = TaskState::Exited {
                    cause: ExitCause::Done,
                    saved: false,
                };
            }
            _ => {}
        }
    }
}
