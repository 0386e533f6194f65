//! The parts of the settings file that take more than one field each.

use saltpitch_core::quota::TeamLimits;
use saltpitch_core::scheduler::{Objective, ObjectiveTarget};
use saltpitch_core::Micros;
use serde_json::Value;

use super::error::SettingsError;
use super::fields::Fields;
use super::{AgentTimings, StoreLimits};

const OBJECTIVES: &str = "cluster.objectives";
const TEAMS: &str = "cluster.teams";
/// How soon work within a team's guarantee is to start when the objectives don't say.
const DEFAULT_GUARANTEE: Micros = Micros::from_secs(30);
/// The largest amount of a resource.
const MAX_AMOUNT: f64 = 1e9;
const BYTES_PER_KB: f64 = 1024.0;

/// What the agents keep to.
pub fn agent_timings(fields: &Fields<'_>) -> Result<AgentTimings, SettingsError> {
    Ok(AgentTimings {
        heartbeat_interval: fields.span("cluster.workers.report_s")?,
        agent_lease: fields.span("cluster.workers.lease_s")?,
        gang_peer_timeout: fields.span("cluster.workers.gang_peer_s")?,
        cancel_timeout: fields.span("cluster.workers.cancel_s")?,
    })
}

/// The state service's limits, present and next. A settings file without `next` has only the former, and
/// a limit that the next ones don't name stays as it is.
pub fn store_limits(fields: &Fields<'_>) -> Result<StoreLimits, SettingsError> {
    let rps = fields.number("cluster.state.rps", 1.0, 1e6)?;
    let write_rps = fields.number("cluster.state.write_rps", 1.0, 1e6)?;
    let value_kb = fields.number("cluster.state.value_kb", 4.0, 1e5)?;
    let txn_ops = fields.number("cluster.state.txn_ops", 2.0, 1e4)?;
    let next = NextLimits::new(fields)?;
    let smallest_value_kb = next.lower("value_kb", 1.0, 1e5, value_kb)?;
    let fewest_writes = next.lower("txn_ops", 2.0, 1e4, txn_ops)?;
    Ok(StoreLimits {
        rps,
        write_rps,
        max_value_bytes: (smallest_value_kb * BYTES_PER_KB) as usize,
        max_transaction_writes: fewest_writes as usize,
        next_rps: next.lower("rps", 1.0, 1e6, rps)?,
        next_write_rps: next.lower("write_rps", 1.0, 1e6, write_rps)?,
    })
}

/// The limits of the state service that are announced for later.
struct NextLimits<'a>(&'a Fields<'a>);

impl<'a> NextLimits<'a> {
    fn new(fields: &'a Fields<'a>) -> Result<NextLimits<'a>, SettingsError> {
        let path = "cluster.state.next";
        if fields.is_present(path) && !fields.value(path)?.is_object() {
            return Err(SettingsError::NotAnObjectField {
                path: path.to_owned(),
            });
        }
        Ok(NextLimits(fields))
    }

    /// The lower one of a present limit and the next one.
    fn lower(&self, name: &str, min: f64, max: f64, present: f64) -> Result<f64, SettingsError> {
        let path = format!("cluster.state.next.{name}");
        if !self.0.is_present(&path) {
            return Ok(present);
        }
        let next = self.0.number(&path, min, max)?;
        Ok(next.min(present))
    }
}

/// The service-level objectives of classes; kinds that say nothing of when to start or finish are passed
/// over.
pub fn objectives(fields: &Fields<'_>) -> Result<Vec<Objective>, SettingsError> {
    if fields.value(OBJECTIVES).is_err() {
        return Ok(Vec::new());
    }
    let list: Vec<Value> = fields.get(OBJECTIVES)?;
    let mut objectives = Vec::new();
    for (index, element) in list.iter().enumerate() {
        let objective = objective(&Fields(element));
        objectives.extend(objective.map_err(|error| in_list(OBJECTIVES, index, error))?);
    }
    Ok(objectives)
}

fn objective(fields: &Fields<'_>) -> Result<Option<Objective>, SettingsError> {
    let target = match fields.text("kind")?.as_str() {
        "wait" => ObjectiveTarget::Started(fields.span("within_s")?),
        "finished" => ObjectiveTarget::Finished(fields.span("within_s")?),
        "deadline" => ObjectiveTarget::Deadline(fields.number("times", 0.01, 1e3)?),
        _ => return Ok(None),
    };
    let class = fields.text("class")?;
    Ok(Some(Objective { class, target }))
}

/// How soon work within a team's guarantee is to start.
pub fn guarantee_start_target(fields: &Fields<'_>) -> Micros {
    let list: Vec<Value> = fields.get(OBJECTIVES).unwrap_or_default();
    list.iter()
        .filter(|element| element.get("kind").and_then(Value::as_str) == Some("guarantee"))
        .filter_map(|element| Fields(element).span("within_s").ok())
        .min()
        .unwrap_or(DEFAULT_GUARANTEE)
}

/// The teams' guarantees and quotas.
pub fn teams(fields: &Fields<'_>) -> Result<Vec<TeamLimits>, SettingsError> {
    let list: Vec<Value> = fields.get(TEAMS)?;
    let team =
        |(index, element)| team(&Fields(element)).map_err(|error| in_list(TEAMS, index, error));
    list.iter().enumerate().map(team).collect()
}

fn team(fields: &Fields<'_>) -> Result<TeamLimits, SettingsError> {
    Ok(TeamLimits {
        name: fields.text("name")?,
        cpu: amount(fields, "cpus")?,
        gpu: amount(fields, "gpus")?,
        cpu_max: amount(fields, "cpus_max")?,
        gpu_max: amount(fields, "gpus_max")?,
    })
}

/// An amount of a resource, in thousandths; zero if the file does not name it.
fn amount(fields: &Fields<'_>, name: &str) -> Result<u64, SettingsError> {
    if !fields.is_present(name) {
        return Ok(0);
    }
    let amount = fields.number(name, 0.0, MAX_AMOUNT)?;
    Ok((amount * 1e3).round() as u64)
}

fn in_list(list: &'static str, index: usize, error: SettingsError) -> SettingsError {
    SettingsError::Element {
        list,
        index,
        source: Box::new(error),
    }
}
