//! The agents' messages, written and read by their published protocol.

use saltpitch_core::agent::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};
use saltpitch_core::Micros;
use serde_json::{json, Value};

/// A heartbeat of an agent that listens on this address.
pub fn encode_heartbeat(heartbeat: &Heartbeat, addr: &str) -> Value {
    let tasks: Vec<Value> = heartbeat.tasks.iter().map(encode_task).collect();
    json!({"bollard": heartbeat.machine, "endpoint": addr, "hull_type": heartbeat.type_name,
        "basin": heartbeat.zone, "lay_by": heartbeat.spot, "watch": heartbeat.agent_epoch,
        "log_no": heartbeat.sequence, "helm_mark": heartbeat.fencing_token,
        "warning_s": null, "legs": tasks})
}

fn encode_task(task: &TaskStatus) -> Value {
    let (status, cause) = match task.state {
        TaskState::Fetching => ("fetching", None),
        TaskState::Waiting => ("waiting", None),
        TaskState::Running => ("running", None),
        TaskState::Saving => ("saving", None),
        TaskState::Exited { cause, .. } => ("exited", Some(cause_word(cause))),
    };
    json!({"leg": format!("{}/{}", task.job, task.task), "launch_no": task.attempt,
        "status": status, "cause": cause})
}

fn cause_word(cause: ExitCause) -> &'static str {
    match cause {
        ExitCause::Done => "done",
        ExitCause::Stopped => "halted",
        ExitCause::PeerLost => "peers",
        ExitCause::GangIncomplete => "incomplete",
        ExitCause::Error => "error",
        ExitCause::NoRoom => "no_room",
        ExitCause::Busy => "busy",
        ExitCause::NotFound => "no_such",
    }
}

/// The commands of an answer to a heartbeat or of a direct request.
pub struct Commands {
    /// The token of the leader that sent them.
    pub fencing_token: u64,
    /// The commands, in the order in which they are carried out.
    pub commands: Vec<Command>,
}

impl Commands {
    /// Reads them; panics if they break the protocol.
    pub fn decode(body: &Value) -> Commands {
        let commands = body["orders"].as_array().into_iter().flatten();
        Commands {
            fencing_token: body["helm_mark"].as_u64().unwrap_or(0),
            commands: commands.map(decode_command).collect(),
        }
    }

    /// The jobs that they name.
    pub fn jobs(&self) -> impl Iterator<Item = &str> {
        self.commands.iter().map(|command| match command {
            Command::Start { job, .. }
            | Command::Stop { job, .. }
            | Command::Forget { job, .. } => &**job,
        })
    }
}

fn decode_command(command: &Value) -> Command {
    let id = command["leg"].as_str().expect("leg");
    let (job, task) = id.rsplit_once('/').expect("a task's id");
    let (job, task) = (job.into(), task.parse().expect("a task's index"));
    let attempt = command["launch_no"].as_u64().expect("launch_no") as u32;
    match command["order_kind"].as_str().expect("order_kind") {
        "launch" => Command::Start { job, task, attempt },
        "reap" => Command::Forget { job, task, attempt },
        "kill" => Command::Stop {
            job,
            task,
            attempt,
            grace: Micros::from_secs_f64(command["slack_s"].as_f64().expect("slack_s")),
        },
        other => panic!("no such command: {other}"),
    }
}
