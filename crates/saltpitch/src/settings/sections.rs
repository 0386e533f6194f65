//! The sections of the settings file that consist of several fields.

use saltpitch_core::quota::TeamLimits;
use saltpitch_core::scheduler::{Objective, ObjectiveTarget};
use saltpitch_core::Micros;
use serde_json::Value;

use super::error::SettingsError;
use super::fields::Fields;
use super::{AgentTimings, StoreLimits};

const OBJECTIVES: &str = "cluster.objectives";
const TEAMS: &str = "cluster.teams";
/// The time within which work that is covered by a team's guarantee should start if no objective sets it.
const DEFAULT_GUARANTEE_START_TARGET: Micros = Micros::from_secs(30);
/// The largest amount of a resource in a quota.
const MAX_RESOURCE_AMOUNT: f64 = 1e9;
const BYTES_PER_KB: f64 = 1024.0;

/// Returns the intervals and timeouts of the agents.
pub fn agent_timings(fields: &Fields<'_>) -> Result<AgentTimings, SettingsError> {
    Ok(AgentTimings {
        heartbeat_interval: fields.duration("cluster.workers.report_s")?,
        agent_lease: fields.duration("cluster.workers.lease_s")?,
        gang_peer_timeout: fields.duration("cluster.workers.gang_peer_s")?,
        cancel_timeout: fields.duration("cluster.workers.cancel_s")?,
    })
}

/// Returns the present and the next limits of the state service. A limit that `next` does not name, or all of
/// them if the file has no `next`, stays as it is.
pub fn store_limits(fields: &Fields<'_>) -> Result<StoreLimits, SettingsError> {
    let rps = fields.number("cluster.state.rps", 1.0, 1e6)?;
    let write_rps = fields.number("cluster.state.write_rps", 1.0, 1e6)?;
    let value_kb = fields.number("cluster.state.value_kb", 4.0, 1e5)?;
    let txn_ops = fields.number("cluster.state.txn_ops", 2.0, 1e4)?;
    let next = NextLimits::new(fields)?;
    let lower_value_kb = next.lower_of("value_kb", 1.0, 1e5, value_kb)?;
    let lower_txn_ops = next.lower_of("txn_ops", 2.0, 1e4, txn_ops)?;
    Ok(StoreLimits {
        rps,
        write_rps,
        max_value_bytes: (lower_value_kb * BYTES_PER_KB) as usize,
        max_transaction_writes: lower_txn_ops as usize,
        next_rps: next.lower_of("rps", 1.0, 1e6, rps)?,
        next_write_rps: next.lower_of("write_rps", 1.0, 1e6, write_rps)?,
    })
}

/// The section with the limits that the state service will have later.
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

    /// Returns the lower of the present limit and the next one.
    fn lower_of(&self, name: &str, min: f64, max: f64, present: f64) -> Result<f64, SettingsError> {
        let path = format!("cluster.state.next.{name}");
        if !self.0.is_present(&path) {
            return Ok(present);
        }
        let next = self.0.number(&path, min, max)?;
        Ok(next.min(present))
    }
}

/// Returns the service-level objectives of job classes: when their jobs should start or finish. Objectives of
/// other kinds are ignored.
pub fn objectives(fields: &Fields<'_>) -> Result<Vec<Objective>, SettingsError> {
    if fields.value(OBJECTIVES).is_err() {
        return Ok(Vec::new());
    }
    let list: Vec<Value> = fields.get(OBJECTIVES)?;
    let mut objectives = Vec::new();
    for (index, element) in list.iter().enumerate() {
        let objective = objective(&Fields(element));
        objectives.extend(objective.map_err(|error| element_error(OBJECTIVES, index, error))?);
    }
    Ok(objectives)
}

fn objective(fields: &Fields<'_>) -> Result<Option<Objective>, SettingsError> {
    let target = match fields.text("kind")?.as_str() {
        "wait" => ObjectiveTarget::Started(fields.duration("within_s")?),
        "finished" => ObjectiveTarget::Finished(fields.duration("within_s")?),
        "deadline" => ObjectiveTarget::Deadline(fields.number("times", 0.01, 1e3)?),
        _ => return Ok(None),
    };
    let class = fields.text("class")?;
    Ok(Some(Objective { class, target }))
}

/// Returns the time within which work that is covered by a team's guarantee should start: the shortest of the
/// objectives of this kind. An objective without a valid time is ignored.
pub fn guarantee_start_target(fields: &Fields<'_>) -> Micros {
    let list: Vec<Value> = fields.get(OBJECTIVES).unwrap_or_default();
    list.iter()
        .filter(|element| element.get("kind").and_then(Value::as_str) == Some("guarantee"))
        .filter_map(|element| Fields(element).duration("within_s").ok())
        .min()
        .unwrap_or(DEFAULT_GUARANTEE_START_TARGET)
}

/// Returns the teams' guarantees and quotas.
pub fn teams(fields: &Fields<'_>) -> Result<Vec<TeamLimits>, SettingsError> {
    let list: Vec<Value> = fields.get(TEAMS)?;
    let team = |(index, element)| {
        team(&Fields(element)).map_err(|error| element_error(TEAMS, index, error))
    };
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

/// Returns an amount of a resource in thousandths; zero if the file does not set it.
fn amount(fields: &Fields<'_>, name: &str) -> Result<u64, SettingsError> {
    if !fields.is_present(name) {
        return Ok(0);
    }
    let amount = fields.number(name, 0.0, MAX_RESOURCE_AMOUNT)?;
    Ok((amount * 1e3).round() as u64)
}

fn element_error(list: &'static str, index: usize, error: SettingsError) -> SettingsError {
    SettingsError::Element {
        list,
        index,
        source: Box::new(error),
    }
}
