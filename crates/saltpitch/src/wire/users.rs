//! Messages of users, and of other cells, which act as users.

use saltpitch_cells::link::{HostStatus, Submission};
use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, JobState, Priority};
use saltpitch_core::Micros;
use serde::Deserialize;
use serde_json::{json, Value};

use self::field::{is_text, Field};
use super::{DecodeError, FieldError};

mod field;

/// The largest number of ids in `waits_on`. A body of 64 KiB could hold more, but a record in the state service
/// could not.
pub const MAX_DEPENDENCIES: usize = 1_000;

/// A job id is this prefix followed by one to [`MAX_JOB_ID_DIGITS`] digits.
const JOB_ID_PREFIX: &str = "job-";
const MAX_JOB_ID_DIGITS: usize = 40;

/// Fields of requests between cells that the users' protocol does not have.
const CLOSING: &str = "closing";
const UNLESS_BEGUN: &str = "unless_begun";

/// A job's status as users read it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobStatus {
    /// Accepted; no task is running.
    Pending,
    /// At least one task is running.
    Running,
    /// Completed; this is final.
    Done,
    /// Cancelled; this is final.
    Cancelled,
}

impl JobStatus {
    /// Returns the status of a job in this state with this number of running tasks.
    pub fn new(state: JobState, running: u64) -> JobStatus {
        match state {
            JobState::Done => JobStatus::Done,
            JobState::Cancelled => JobStatus::Cancelled,
            JobState::Active if running > 0 => JobStatus::Running,
            JobState::Active => JobStatus::Pending,
        }
    }

    /// Returns the name of the status in messages.
    pub fn as_str(self) -> &'static str {
        match self {
            JobStatus::Pending => "pending",
            JobStatus::Running => "running",
            JobStatus::Done => "done",
            JobStatus::Cancelled => "withdrawn",
        }
    }

    /// Parses the name of a status in messages.
    pub fn parse(name: &str) -> Option<JobStatus> {
        let all = [
            JobStatus::Pending,
            JobStatus::Running,
            JobStatus::Done,
            JobStatus::Cancelled,
        ];
        all.into_iter().find(|status| status.as_str() == name)
    }
}

impl From<HostStatus> for JobStatus {
    fn from(status: HostStatus) -> JobStatus {
        match status {
            HostStatus::Pending => JobStatus::Pending,
            HostStatus::Running => JobStatus::Running,
            HostStatus::Done => JobStatus::Done,
            HostStatus::Withdrawn => JobStatus::Cancelled,
        }
    }
}

/// A submission as it was sent, apart from its id. Unknown fields are ignored.
#[derive(Default, Deserialize)]
#[serde(default)]
struct RawSubmission {
    berth: Field<String>,
    crew: Field<String>,
    rig: Field<String>,
    precedence: Field<String>,
    legs: Field<u64>,
    cpus: Field<f64>,
    accelerators: Field<f64>,
    mem_gb: Field<f64>,
    hull: Field<String>,
    image_gb: Field<f64>,
    hulls_list: Field<Vec<Field<String>>>,
    basin: Field<String>,
    together: Field<bool>,
    spread: Field<bool>,
    lay_by: Field<bool>,
    passage_s: Field<f64>,
    moor_every_s: Field<f64>,
    tie_up_s: Field<f64>,
    arrive_by_s: Field<f64>,
    waits_on: Field<Vec<Field<String>>>,
}

/// Returns whether `id` has the form of a job id.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix(JOB_ID_PREFIX).is_some_and(|number| {
        (1..=MAX_JOB_ID_DIGITS).contains(&number.len())
            && number.bytes().all(|byte| byte.is_ascii_digit())
    })
}

/// Decodes the job id of a submission, whose other fields may be invalid.
pub fn decode_job_id(body: &Value) -> Result<&str, DecodeError> {
    let object = body.as_object().ok_or(DecodeError::NotAnObject)?;
    let id = object
        .get("ref")
        .and_then(Value::as_str)
        .filter(|id| is_text(id))
        .ok_or(DecodeError::field("ref", FieldError::NotText))?;
    if is_job_id(id) {
        Ok(id)
    } else {
        Err(DecodeError::field("ref", FieldError::NotAJobId))
    }
}

/// Decodes a submission. The fields are checked in a fixed order; the error names the first invalid one.
pub fn decode_submission(body: &Value) -> Result<JobSpec, DecodeError> {
    if !body.is_object() {
        return Err(DecodeError::NotAnObject);
    }
    let raw = RawSubmission::deserialize(body)?;
    let kind = decode_kind(raw.rig.text("rig")?)?;
    let priority = decode_priority(raw.precedence.text("precedence")?)?;
    let tasks = raw.legs.task_count("legs")?;
    let need = Resources {
        cpu: raw.cpus.amount("cpus")?,
        gpu: raw.accelerators.amount("accelerators")?,
        mem: raw.mem_gb.amount("mem_gb")?,
    };
    let types = raw.hulls_list.optional_names("hulls_list")?;
    let zone = raw.basin.optional_string("basin")?;
    let deadline = raw.arrive_by_s.optional_duration("arrive_by_s")?;
    let dependencies = raw.waits_on.job_ids("waits_on")?;
    Ok(JobSpec {
        class: raw.berth.text("berth")?,
        team: raw.crew.text("crew")?,
        kind,
        priority,
        tasks,
        need,
        types,
        zone,
        one_zone: raw.together.flag("together")?,
        spread: raw.spread.flag("spread")?,
        spot: raw.lay_by.flag("lay_by")?,
        image: raw.hull.text("hull")?,
        image_mb: raw.image_gb.amount("image_gb")?,
        estimate: raw.passage_s.duration("passage_s")?,
        checkpoint_interval: raw.moor_every_s.duration("moor_every_s")?,
        save_time: raw.tie_up_s.duration("tie_up_s")?,
        deadline,
        dependencies,
    })
}

fn decode_kind(name: String) -> Result<JobKind, DecodeError> {
    match name.as_str() {
        "sweep" => Ok(JobKind::Array),
        "ensemble" => Ok(JobKind::Gang),
        "service" => Ok(JobKind::Service),
        _ => Err(DecodeError::field("rig", FieldError::UnknownValue(name))),
    }
}

fn encode_kind(kind: JobKind) -> &'static str {
    match kind {
        JobKind::Array => "sweep",
        JobKind::Gang => "ensemble",
        JobKind::Service => "service",
    }
}

fn decode_priority(name: String) -> Result<Priority, DecodeError> {
    match name.as_str() {
        "production" => Ok(Priority::Production),
        "urgent" => Ok(Priority::High),
        "normal" => Ok(Priority::Normal),
        "best_effort" => Ok(Priority::Low),
        _ => Err(DecodeError::field(
            "precedence",
            FieldError::UnknownValue(name),
        )),
    }
}

fn encode_priority(priority: Priority) -> &'static str {
    match priority {
        Priority::Production => "production",
        Priority::High => "urgent",
        Priority::Normal => "normal",
        Priority::Low => "best_effort",
    }
}

/// Encodes the answer with a job's status.
pub fn encode_status(id: &str, status: JobStatus) -> Value {
    json!({"ref": id, "status": status.as_str()})
}

/// Encodes the answer with a job's status and the numbers of its tasks that are done and running.
pub fn encode_progress(id: &str, status: JobStatus, done: u64, running: u64) -> Value {
    json!({"ref": id, "status": status.as_str(), "done": done, "running": running})
}

/// Encodes the answer that says why a request is refused.
pub fn encode_error(reason: &str) -> Value {
    json!({ "error": reason })
}

/// Encodes a submission to another cell, which decodes it with [`decode_submission`].
pub fn encode_submission(submission: &Submission) -> Value {
    let spec = &submission.spec;
    let mut body = json!({
        "ref": submission.id,
        "berth": spec.class,
        "crew": spec.team,
        "rig": encode_kind(spec.kind),
        "precedence": encode_priority(spec.priority),
        "legs": spec.tasks,
        "cpus": from_thousandths(spec.need.cpu),
        "accelerators": from_thousandths(spec.need.gpu),
        "mem_gb": from_thousandths(spec.need.mem),
        "hull": spec.image,
        "image_gb": from_thousandths(spec.image_mb),
        "hulls_list": spec.types,
        "basin": spec.zone,
        "together": spec.one_zone,
        "spread": spec.spread,
        "lay_by": spec.spot,
        "passage_s": spec.estimate.as_secs_f64(),
        "moor_every_s": spec.checkpoint_interval.as_secs_f64(),
        "tie_up_s": spec.save_time.as_secs_f64(),
        "arrive_by_s": submission.deadline.map(Micros::as_secs_f64),
    });
    if submission.closing {
        body[CLOSING] = json!(true);
    }
    body
}

/// Returns whether a submission only closes a delegation.
pub fn decode_closing(body: &Value) -> bool {
    is_flag_set(body, CLOSING)
}

/// Encodes the request to another cell to cancel a job.
pub fn encode_cancellation(unless_begun: bool) -> Value {
    if unless_begun {
        json!({ UNLESS_BEGUN: true })
    } else {
        json!({})
    }
}

/// Returns whether a cancellation applies only to a job of which no task has begun. If the body cannot be
/// decoded, the cancellation is unconditional.
pub fn decode_unless_begun(body: &[u8]) -> bool {
    let body: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    is_flag_set(&body, UNLESS_BEGUN)
}

fn is_flag_set(body: &Value, flag: &str) -> bool {
    body.get(flag).and_then(Value::as_bool).unwrap_or(false)
}

/// Converts thousandths to the amount in messages.
fn from_thousandths(thousandths: u64) -> f64 {
    thousandths as f64 / 1e3
}

#[cfg(test)]
mod tests;
