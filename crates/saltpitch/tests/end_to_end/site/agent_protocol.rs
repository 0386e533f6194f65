//! Encodes and decodes the agents' messages by their published protocol.

use saltpitch_core::agent::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};
use saltpitch_core::Micros;
use serde_json::{json, Value};

/// Encodes a heartbeat of an agent that listens on `addr`.
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
        TaskState::Exited { cause, .. } => ("exited", Some(cause_name(cause))),
    };
    json!({"leg": format!("{}/{}", task.job, task.task), "launch_no": task.attempt,
        "status": status, "cause": cause})
}

fn cause_name(cause: ExitCause) -> &'static str {
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

/// The commands in the reply to a heartbeat or in a direct request.
pub struct Commands {
    /// The fencing token of the leader that sent the commands.
    pub fencing_token: u64,
    /// The commands in the order in which the agent executes them.
    pub commands: Vec<Command>,
}

impl Commands {
    /// Decodes commands; panics if they violate the protocol.
    pub fn decode(body: &Value) -> Commands {
        let commands = body["orders"].as_array().into_iter().flatten();
        Commands {
            fencing_token: body["helm_mark"].as_u64().unwrap_or(0),
            commands: commands.map(decode_command).collect(),
        }
    }

    /// Returns the ids of the jobs that the commands name.
    pub fn job_ids(&self) -> impl Iterator<Item = &str> {
        self.commands.iter().map(|command| match command {
            Command::Start { job, .. }
            | Command::Stop { job, .. }
            | Command::Forget { job, .. } => &**job,
        })
    }
}

fn decode_command(command: &Value) -> Command {
    let id = command["leg"]
        .as_str()
        .expect("the command has a field `leg`");
    let (job, task) = id.rsplit_once('/').expect("the task id has a slash");
    let (job, task) = (
        job.into(),
        task.parse().expect("the task id ends with an index"),
    );
    let attempt = command["launch_no"]
        .as_u64()
        .expect("the command has a field `launch_no`") as u32;
    match command["order_kind"]
        .as_str()
        .expect("the command has a field `order_kind`")
    {
        "launch" => Command::Start { job, task, attempt },
        "reap" => Command::Forget { job, task, attempt },
        "kill" => Command::Stop {
            job,
            task,
            attempt,
            grace: Micros::from_secs_f64(
                command["slack_s"]
                    .as_f64()
                    .expect("the command has a field `slack_s`"),
            ),
        },
        other => panic!("unknown kind of command: {other}"),
    }
}
