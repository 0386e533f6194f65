//! What users send and are told.

use saltpitch_cells::link::Submission;
use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, JobState, Priority, MAX_TASKS};
use saltpitch_core::Micros;
use serde_json::{json, Map, Value};

use super::{milli, span};

/// The most ids in `waits_on`: a body of 64 KiB could hold more, a record of the state service not.
pub const MAX_NEEDS: usize = 1_000;

/// Fields of requests between cells, beyond those of the users' protocol.
const CLOSING: &str = "closing";
const UNLESS_BEGUN: &str = "unless_begun";

/// Whether `id` has the form that job ids always have.
pub fn is_job_id(id: &str) -> bool {
    id.strip_prefix("job-")
        .is_some_and(|d| (1..=40).contains(&d.len()) && d.bytes().all(|b| b.is_ascii_digit()))
}

/// The id in a submission, wherever the rest of it stands.
pub fn id_of(body: &Value) -> Result<&str, String> {
    let obj = body.as_object().ok_or("the body is not a JSON object")?;
    let id = text(obj, "ref")?;
    if is_job_id(id) {
        Ok(id)
    } else {
        Err("field `ref` is not a job id".to_owned())
    }
}

/// Reads and checks a submission; the reason names the field.
pub fn submission(body: &Value) -> Result<JobSpec, String> {
    let o = body.as_object().ok_or("the body is not a JSON object")?;
    let kind = match text(o, "rig")? {
        "sweep" => JobKind::Array,
        "ensemble" => JobKind::Gang,
        "service" => JobKind::Service,
        other => return Err(format!("field `rig` has no value {other:?}")),
    };
    let priority = match text(o, "precedence")? {
        "production" => Priority::Production,
        "urgent" => Priority::High,
        "normal" => Priority::Normal,
        "best_effort" => Priority::Low,
        other => return Err(format!("field `precedence` has no value {other:?}")),
    };
    let tasks = o
        .get("legs")
        .and_then(Value::as_u64)
        .filter(|n| (1..=u64::from(MAX_TASKS)).contains(n))
        .ok_or("field `legs` must be an integer from 1 to 100000")?;
    let need = Resources {
        cpu: amount(o, "cpus")?,
        gpu: amount(o, "accelerators")?,
        mem: amount(o, "mem_gb")?,
    };
    let types = match o.get("hulls_list") {
        None | Some(Value::Null) => None,
        Some(Value::Array(list)) if list.len() <= 100 => Some(
            list.iter()
                .map(|t| t.as_str().map(str::to_owned))
                .collect::<Option<Vec<_>>>()
                .ok_or("field `hulls_list` must hold names")?,
        ),
        Some(_) => return Err("field `hulls_list` must be a list or null".to_owned()),
    };
    let zone = match o.get("basin") {
        None | Some(Value::Null) => None,
        Some(Value::String(s)) => Some(s.clone()),
        Some(_) => return Err("field `basin` must be a string or null".to_owned()),
    };
    let deadline = match o.get("arrive_by_s") {
        None | Some(Value::Null) => None,
        Some(_) => Some(seconds(o, "arrive_by_s")?),
    };
    let dependencies = match o.get("waits_on") {
        None | Some(Value::Null) => Vec::new(),
        Some(Value::Array(list)) if list.len() <= MAX_NEEDS => {
            let mut names = list
                .iter()
                .map(|v| v.as_str().filter(|id| is_job_id(id)).map(str::to_owned))
                .collect::<Option<Vec<_>>>()
                .ok_or("field `waits_on` must hold job ids")?;
            names.sort();
            names.dedup();
            names
        }
        Some(Value::Array(_)) => {
            return Err(format!("field `waits_on` holds more than {MAX_NEEDS} ids"));
        }
        Some(_) => return Err("field `waits_on` must be a list or null".to_owned()),
    };
    Ok(JobSpec {
        class: text(o, "berth")?.to_owned(),
        team: text(o, "crew")?.to_owned(),
        kind,
        priority,
        tasks: tasks as u32,
        need,
        types,
        zone,
        one_zone: flag(o, "together")?,
        spread: flag(o, "spread")?,
        spot: flag(o, "lay_by")?,
        image: text(o, "hull")?.to_owned(),
        image_mb: amount(o, "image_gb")?,
        estimate: seconds(o, "passage_s")?,
        checkpoint: seconds(o, "moor_every_s")?,
        save: seconds(o, "tie_up_s")?,
        deadline,
        dependencies,
    })
}

fn text<'a>(o: &'a Map<String, Value>, name: &str) -> Result<&'a str, String> {
    o.get(name)
        .and_then(Value::as_str)
        .filter(|s| !s.is_empty() && s.len() <= 200)
        .ok_or_else(|| format!("field `{name}` must be a string of 1 to 200 bytes"))
}

fn flag(o: &Map<String, Value>, name: &str) -> Result<bool, String> {
    o.get(name)
        .and_then(Value::as_bool)
        .ok_or_else(|| format!("field `{name}` must be true or false"))
}

fn number(o: &Map<String, Value>, name: &str) -> Result<f64, String> {
    o.get(name)
        .and_then(Value::as_f64)
        .ok_or_else(|| format!("field `{name}` must be a number"))
}

fn amount(o: &Map<String, Value>, name: &str) -> Result<u64, String> {
    milli(number(o, name)?).ok_or_else(|| format!("field `{name}` is out of range"))
}

fn seconds(o: &Map<String, Value>, name: &str) -> Result<saltpitch_core::Micros, String> {
    span(number(o, name)?).ok_or_else(|| format!("field `{name}` is out of range"))
}

/// A job's state as users read it.
pub fn status_word(state: JobState, running: u64) -> &'static str {
    match state {
        JobState::Done => "done",
        JobState::Cancelled => "withdrawn",
        JobState::Active if running > 0 => "running",
        JobState::Active => "pending",
    }
}

pub fn short(id: &str, word: &str) -> Value {
    json!({"ref": id, "status": word})
}

pub fn full(id: &str, word: &str, done: u64, running: u64) -> Value {
    json!({"ref": id, "status": word, "done": done, "running": running})
}

/// A submission to another cell, in the words of the users' protocol.
pub fn submission_body(submission: &Submission) -> Value {
    let spec = &submission.spec;
    let mut body = json!({
        "ref": submission.id,
        "berth": spec.class,
        "crew": spec.team,
        "rig": kind_word(spec.kind),
        "precedence": priority_word(spec.priority),
        "legs": spec.tasks,
        "cpus": units(spec.need.cpu),
        "accelerators": units(spec.need.gpu),
        "mem_gb": units(spec.need.mem),
        "hull": spec.image,
        "image_gb": units(spec.image_mb),
        "hulls_list": spec.types,
        "basin": spec.zone,
        "together": spec.one_zone,
        "spread": spec.spread,
        "lay_by": spec.spot,
        "passage_s": spec.estimate.as_secs_f64(),
        "moor_every_s": spec.checkpoint.as_secs_f64(),
        "tie_up_s": spec.save.as_secs_f64(),
        "arrive_by_s": submission.deadline.map(Micros::as_secs_f64),
    });
    if submission.closing {
        body[CLOSING] = json!(true);
    }
    body
}

/// Whether a submission only closes a delegation.
pub fn is_closing(body: &Value) -> bool {
    body.get(CLOSING).and_then(Value::as_bool).unwrap_or(false)
}

/// The body of an abort at another cell.
pub fn abort_body(unless_begun: bool) -> Value {
    match unless_begun {
        true => json!({ UNLESS_BEGUN: true }),
        false => json!({}),
    }
}

/// Whether an abort is for a job of which nothing has begun only. A body that cannot be read asks for
/// nothing special.
pub fn unless_begun(body: &[u8]) -> bool {
    let value: Value = serde_json::from_slice(body).unwrap_or(Value::Null);
    let field = value.get(UNLESS_BEGUN);
    field.and_then(Value::as_bool).unwrap_or(false)
}

fn kind_word(kind: JobKind) -> &'static str {
    match kind {
        JobKind::Array => "sweep",
        JobKind::Gang => "ensemble",
        JobKind::Service => "service",
    }
}

fn priority_word(priority: Priority) -> &'static str {
    match priority {
        Priority::Production => "production",
        Priority::High => "urgent",
        Priority::Normal => "normal",
        Priority::Low => "best_effort",
    }
}

/// Thousandths as the wire writes amounts.
fn units(thousandths: u64) -> f64 {
    thousandths as f64 / 1e3
}

#[cfg(test)]
mod tests;
