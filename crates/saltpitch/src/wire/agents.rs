//! Reports and orders.

use saltpitch_core::agent::{Command, ExitCause, Heartbeat, TaskState, TaskStatus};
use serde::{Deserialize, Serialize};

use super::span;

#[derive(Deserialize)]
struct RawReport {
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
    status: RawState,
    #[serde(default)]
    cause: Option<RawCause>,
    #[serde(default)]
    kept: Option<bool>,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawState {
    Fetching,
    Waiting,
    Running,
    Saving,
    Exited,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum RawCause {
    Done,
    Halted,
    Peers,
    Incomplete,
    Error,
    NoRoom,
    Busy,
    NoSuch,
}

/// Reads a report; a malformed one is refused whole.
pub fn decode_heartbeat(body: &[u8]) -> Result<Heartbeat, String> {
    let raw: RawReport = serde_json::from_slice(body).map_err(|e| e.to_string())?;
    if raw.bollard.is_empty() || raw.bollard.len() > 150 || raw.bollard.contains([' ', '/']) {
        return Err("field `bollard` is not a machine's name".to_owned());
    }
    let mut tasks = Vec::new();
    for t in raw.legs.unwrap_or_default() {
        let (job, task) = task_id(&t.leg).ok_or_else(|| format!("no task id: {:?}", t.leg))?;
        let state = match t.status {
            RawState::Fetching => TaskState::Fetching,
            RawState::Waiting => TaskState::Waiting,
            RawState::Running => TaskState::Running,
            RawState::Saving => TaskState::Saving,
            RawState::Exited => TaskState::Exited {
                cause: match t.cause.ok_or("an exited task has no `cause`")? {
                    RawCause::Done => ExitCause::Done,
                    RawCause::Halted => ExitCause::Stopped,
                    RawCause::Peers => ExitCause::Peers,
                    RawCause::Incomplete => ExitCause::Incomplete,
                    RawCause::Error => ExitCause::Error,
                    RawCause::NoRoom => ExitCause::NoRoom,
                    RawCause::Busy => ExitCause::Busy,
                    RawCause::NoSuch => ExitCause::Unknown,
                },
                saved: t.kept.unwrap_or(false),
            },
        };
        tasks.push(TaskStatus {
            job,
            task,
            attempt: t.launch_no,
            state,
        });
    }
    Ok(Heartbeat {
        machine: raw.bollard,
        addr: raw.endpoint,
        type_name: raw.hull_type,
        zone: raw.basin,
        spot: raw.lay_by,
        agent_epoch: raw.watch,
        sequence: raw.log_no,
        fencing_token: raw.helm_mark.unwrap_or(0),
        spot_notice: raw.warning_s.and_then(span),
        tasks,
    })
}

fn task_id(s: &str) -> Option<(String, u32)> {
    let (job, task) = s.rsplit_once('/')?;
    Some((job.to_owned(), task.parse().ok()?))
}

#[derive(Serialize)]
struct RawOrder {
    order_kind: &'static str,
    leg: String,
    launch_no: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    slack_s: Option<f64>,
}

#[derive(Serialize)]
struct RawOrders {
    helm_mark: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    watch: Option<u64>,
    orders: Vec<RawOrder>,
}

/// The body that carries orders: the answer to a report, or, with a session, a direct request.
pub fn encode_commands(token: u64, agent_epoch: Option<u64>, list: &[Command]) -> Vec<u8> {
    let orders = list.iter().map(raw).collect();
    let body = RawOrders {
        helm_mark: token,
        watch: agent_epoch,
        orders,
    };
    serde_json::to_vec(&body).unwrap_or_default()
}

fn raw(o: &Command) -> RawOrder {
    match o {
        Command::Start { job, task, attempt } => RawOrder {
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
        } => RawOrder {
            order_kind: "kill",
            leg: format!("{job}/{task}"),
            launch_no: *attempt,
            slack_s: Some(grace.as_secs_f64()),
        },
        Command::Forget { job, task, attempt } => RawOrder {
            order_kind: "reap",
            leg: format!("{job}/{task}"),
            launch_no: *attempt,
            slack_s: None,
        },
    }
}

/// A 421: who handles reports, if that is known.
pub fn redirect(leader: Option<&str>) -> Vec<u8> {
    match leader {
        Some(l) => serde_json::json!({ "harbour_master": l }),
        None => serde_json::json!({}),
    }
    .to_string()
    .into_bytes()
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn reports_are_read_or_refused_whole() {
        let good = br#"{"bollard":"vm-1","endpoint":"10.1.0.2:9000","hull_type":"g8","basin":"a",
            "watch":1,"log_no":8,"helm_mark":4,"warning_s":null,"new":1,
            "legs":[{"leg":"job-1/3","launch_no":2,"status":"exited","cause":"no_such"}]}"#;
        let r = decode_heartbeat(good).expect("well formed");
        assert_eq!(
            (r.agent_epoch, r.sequence, r.fencing_token, r.spot),
            (1, 8, 4, false)
        );
        assert_eq!(r.tasks[0].task, 3);
        let text = String::from_utf8_lossy(good);
        for (from, to) in [
            ("\"log_no\":8", "\"log_no\":-8"),
            ("job-1/3", "job-1"),
            ("exited", "asleep"),
            (",\"cause\":\"no_such\"", ""),
            ("vm-1", "vm 1"),
            ("}", ""),
        ] {
            assert!(
                decode_heartbeat(text.replace(from, to).as_bytes()).is_err(),
                "{from}"
            );
        }
    }
}
