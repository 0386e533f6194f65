//! Messages to and from the agents: heartbeats and commands.

use saltpitch_core::agent::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};
use serde::{Deserialize, Serialize};

use super::{to_duration, DecodeError, FieldError};

const MAX_MACHINE_NAME_BYTES: usize = 150;

#[derive(Deserialize)]
struct RawHeartbeat {
    bollard: String,
    endpoint: String,
    hull_type: String,
    basin: String,
    #[serde(default)]
    lay_by: bool,
    watch: u64,
    log_no: u64,
    #[serde(default)]
    helm_mark: Option<u64>,
    #[serde(default)]
    warning_s: Option<f64>,
    #[serde(default)]
    legs: Option<Vec<RawTask>>,
}

#[derive(Deserialize)]
struct RawTask {
    leg: String,
    launch_no: u32,
    status: RawTaskState,
    #[serde(default)]
    cause: Option<RawExitCause>,
    #[serde(default)]
    kept: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawTaskState {
    Fetching,
    Waiting,
    Running,
    Saving,
    Exited,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawExitCause {
    Done,
    Halted,
    Peers,
    Incomplete,
    Error,
    NoRoom,
    Busy,
    NoSuch,
}

impl From<RawExitCause> for ExitCause {
    fn from(raw: RawExitCause) -> ExitCause {
        match raw {
            RawExitCause::Done => ExitCause::Done,
            RawExitCause::Halted => ExitCause::Stopped,
            RawExitCause::Peers => ExitCause::PeerLost,
            RawExitCause::Incomplete => ExitCause::GangIncomplete,
            RawExitCause::Error => ExitCause::Error,
            RawExitCause::NoRoom => ExitCause::NoRoom,
            RawExitCause::Busy => ExitCause::Busy,
            RawExitCause::NoSuch => ExitCause::NotFound,
        }
    }
}

#[derive(Serialize)]
struct RawCommand {
    order_kind: &'static str,
    leg: String,
    launch_no: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    slack_s: Option<f64>,
}

#[derive(Serialize)]
struct RawCommands {
    helm_mark: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    watch: Option<u64>,
    orders: Vec<RawCommand>,
}

/// Decodes a heartbeat. If any part of it is malformed, the whole heartbeat is refused.
pub fn decode_heartbeat(body: &[u8]) -> Result<Heartbeat, DecodeError> {
    let raw: RawHeartbeat = serde_json::from_slice(body)?;
    if !is_machine_name(&raw.bollard) {
        return Err(DecodeError::field("bollard", FieldError::NotAMachineName));
    }
    let tasks: Result<Vec<TaskStatus>, DecodeError> = raw
        .legs
        .unwrap_or_default()
        .into_iter()
        .map(decode_task)
        .collect();
    Ok(Heartbeat {
        machine: raw.bollard,
        addr: raw.endpoint,
        type_name: raw.hull_type,
        zone: raw.basin,
        spot: raw.lay_by,
        agent_epoch: raw.watch,
        sequence: raw.log_no,
        fencing_token: raw.helm_mark.unwrap_or(0),
        spot_notice: raw.warning_s.and_then(to_duration),
        tasks: tasks?,
    })
}

fn is_machine_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_MACHINE_NAME_BYTES && !name.contains([' ', '/'])
}

fn decode_task(raw: RawTask) -> Result<TaskStatus, DecodeError> {
    let Some((job, task)) = parse_task_id(&raw.leg) else {
        return Err(DecodeError::TaskId(raw.leg));
    };
    let state = match raw.status {
        RawTaskState::Fetching => TaskState::Fetching,
        RawTaskState::Waiting => TaskState::Waiting,
        RawTaskState::Running => TaskState::Running,
        RawTaskState::Saving => TaskState::Saving,
        RawTaskState::Exited => TaskState::Exited {
            cause: raw.cause.ok_or(DecodeError::ExitWithoutCause)?.into(),
            saved: raw.kept.unwrap_or(false),
        },
    };
    Ok(TaskStatus {
        job,
        task,
        attempt: raw.launch_no,
        state,
    })
}

/// Splits a task's id, `JOB/INDEX`, into the job's id and the task's index.
fn parse_task_id(id: &str) -> Option<(String, u32)> {
    let (job, index) = id.rsplit_once('/')?;
    Some((job.to_owned(), index.parse().ok()?))
}

/// Encodes commands: as the answer to a heartbeat or, with the epoch of the agent for which they are meant, as
/// the body of a direct call.
pub fn encode_commands(
    fencing_token: u64,
    agent_epoch: Option<u64>,
    commands: &[Command],
) -> Vec<u8> {
    let body = RawCommands {
        helm_mark: fencing_token,
        watch: agent_epoch,
        orders: commands.iter().map(encode_command).collect(),
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

fn encode_command(command: &Command) -> RawCommand {
    match command {
        Command::Start { job, task, attempt } => RawCommand {
            order_kind: "launch",
            leg: format!("{job}/{task}"),
            launch_no: *attempt,
            slack_s: None,
        },
        Command::Stop {
            job,
            task,
            attempt,
            grace,
        } => RawCommand {
            order_kind: "kill",
            leg: format!("{job}/{task}"),
            launch_no: *attempt,
            slack_s: Some(grace.as_secs_f64()),
        },
        Command::Forget { job, task, attempt } => RawCommand {
            order_kind: "reap",
            leg: format!("{job}/{task}"),
            launch_no: *attempt,
            slack_s: None,
        },
    }
}

/// Encodes the answer to a heartbeat by a controller that is not the leader: the leader's name, if it is known.
pub fn encode_redirect(leader: Option<&str>) -> Vec<u8> {
    match leader {
        Some(leader) => serde_json::json!({ "harbour_master": leader }),
        None => serde_json::json!({}),
    }
    .to_string()
    .into_bytes()
}

#[cfg(test)]
mod tests;
