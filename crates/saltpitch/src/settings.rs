//! The platform's settings file: read once at start, checked field by field.

use std::net::SocketAddr;
use std::path::Path;

use anyhow::{bail, Context, Result};
use saltpitch_cells::settings::{CellsSettings, Site};
use saltpitch_core::controller::{ControllerConfig, PeerIdentity};
use saltpitch_core::policy::Policy;
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::scheduler::{Objective, ObjectiveTarget, SchedulerConfig};
use saltpitch_core::Micros;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde_json::Value;

pub mod contradictions;

/// Keys of the log: about three minutes of it, a few megabytes in the store. All nodes of a site
/// must agree on it.
const LOG_RING: u64 = 2_048;

/// Direct calls to machines that may be under way at a time: one for so many sockets, so that a site with
/// more machines, and hence more sockets, reaches all of them in the same time; and at least.
const SOCKETS_PER_CALL: usize = 40;
const MIN_CALLS: usize = 24;

#[derive(Clone, Debug)]
pub struct Settings {
    pub node: String,
    pub zone: String,
    pub api: SocketAddr,
    pub peer_bind: SocketAddr,
    pub peers: Vec<Peer>,
    pub cloud: SocketAddr,
    pub state: SocketAddr,
    pub zones: Vec<String>,
    pub size: usize,
    pub teams: Vec<TeamLimits>,
    pub workers: Workers,
    pub store: StoreLimits,
    pub cloud_rps: f64,
    pub list_lag: Micros,
    pub sockets: usize,
    pub objectives: Vec<Objective>,
    pub guarantee_within: Micros,
    /// The operators' own rules, on top of the built-in ones.
    pub policy: Policy,
    /// The operators' file on other cells.
    pub cells: Option<CellsSettings>,
}

#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    pub node: String,
    #[serde(default, rename = "location")]
    pub zone: String,
    pub addr: SocketAddr,
}

#[derive(Clone, Debug)]
pub struct Workers {
    pub report: Micros,
    pub lease: Micros,
    pub gang_peer: Micros,
    pub cancel: Micros,
}

#[derive(Clone, Debug)]
pub struct StoreLimits {
    pub rps: f64,
    pub write_rps: f64,
    /// The most that is written: the smaller of the present and the next limits, since the latter come
    /// into force without notice.
    pub max_value_bytes: usize,
    pub max_transaction_writes: usize,
    /// The rates of the next limits, or the present ones if there are none.
    pub next_rps: f64,
    pub next_write_rps: f64,
}

impl std::fmt::Display for StoreLimits {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(
            f,
            "{} requests and {} changes a second, next {} and {}; nothing above {} bytes a value and {} changes a transaction is written",
            self.rps,
            self.write_rps,
            self.next_rps,
            self.next_write_rps,
            self.max_value_bytes,
            self.max_transaction_writes
        )
    }
}

/// Looks up fields by their path, so that every complaint names one.
struct Fields<'a>(&'a Value);

impl Fields<'_> {
    fn value(&self, path: &str) -> Result<&Value> {
        let mut v = self.0;
        for part in path.split('.') {
            v = v
                .get(part)
                .with_context(|| format!("settings: field `{path}` is missing"))?;
        }
        Ok(v)
    }

    fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T> {
        T::deserialize(self.value(path)?)
            .map_err(|e| anyhow::anyhow!("settings: field `{path}` is invalid: {e}"))
    }

    fn number(&self, path: &str, min: f64, max: f64) -> Result<f64> {
        let n: f64 = self.get(path)?;
        if !n.is_finite() || n < min || n > max {
            bail!("settings: field `{path}` must lie between {min} and {max}, not {n}");
        }
        Ok(n)
    }

    fn span(&self, path: &str) -> Result<Micros> {
        Ok(Micros::from_secs_f64(self.number(path, 0.001, 1e6)?))
    }

    fn text(&self, path: &str) -> Result<String> {
        let s: String = self.get(path)?;
        if s.is_empty() || s.len() > 200 {
            bail!("settings: field `{path}` must have 1 to 200 characters");
        }
        Ok(s)
    }
}

impl Settings {
    /// Reads the platform's file and, if there are any, the operators' policy and their file on other cells.
    pub fn load(path: &Path, policy: Option<&Path>, cells: Option<&Path>) -> Result<Settings> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("settings: cannot read {}", path.display()))?;
        let mut settings = Settings::parse(&text)?;
        if let Some(path) = policy {
            let text = std::fs::read_to_string(path)
                .with_context(|| format!("policy: cannot read {}", path.display()))?;
            settings.policy = Policy::parse(&text)
                .map_err(|e| anyhow::anyhow!("policy: {}:{e}", path.display()))?;
        }
        if let Some(path) = cells {
            settings.cells = Some(settings.load_cells(path)?);
        }
        Ok(settings)
    }

    fn load_cells(&self, path: &Path) -> Result<CellsSettings> {
        let text = std::fs::read_to_string(path)
            .with_context(|| format!("cells: cannot read {}", path.display()))?;
        let site = Site {
            node: &self.node,
            listens: &[("api_addr", self.api), ("peer_bind", self.peer_bind)],
            teams: &self.teams,
            controllers: self.size,
            max_transaction_writes: self.store.max_transaction_writes,
        };
        Ok(CellsSettings::parse(&text, &site)?)
    }

    pub fn parse(text: &str) -> Result<Settings> {
        let root: Value = serde_json::from_str(text).context("settings: not valid JSON")?;
        if !root.is_object() {
            bail!("settings: not a JSON object");
        }
        let f = Fields(&root);
        let s = Settings {
            node: f.text("node")?,
            zone: f.text("location")?,
            api: f.get("api_addr")?,
            peer_bind: f.get("peer_bind")?,
            peers: f.get("seeds")?,
            cloud: f.get("external.cloud")?,
            state: f.get("external.state")?,
            zones: f.get("cluster.zones")?,
            size: f.number("cluster.size", 1.0, 100.0)? as usize,
            teams: teams(&f)?,
            workers: Workers {
                report: f.span("cluster.workers.report_s")?,
                lease: f.span("cluster.workers.lease_s")?,
                gang_peer: f.span("cluster.workers.gang_peer_s")?,
                cancel: f.span("cluster.workers.cancel_s")?,
            },
            store: store_limits(&f)?,
            cloud_rps: f.number("cluster.cloud.rps", 0.1, 1e5)?,
            list_lag: f.span("cluster.cloud.list_lag_s")?,
            objectives: objectives(&f)?,
            sockets: f.number("cluster.limits.sockets", 32.0, 1e7)? as usize,
            guarantee_within: guarantee(&f),
            policy: Policy::default(),
            cells: None,
        };
        // Nothing that is promised rests on the time of day; what the file says is checked all the same.
        f.number("cluster.clock_error_ms", 0.0, 1e6)?;
        contradictions::check(&s)?;
        Ok(s)
    }

    /// What still works but is worth a look.
    pub fn warnings(&self) -> Vec<contradictions::Warning> {
        contradictions::warnings(self)
    }

    /// What a controller has to know about itself and the site.
    pub fn controller(&self) -> ControllerConfig {
        let identity = |peer: &Peer| PeerIdentity {
            name: peer.node.clone(),
            zone: peer.zone.clone(),
        };
        ControllerConfig {
            name: self.node.clone(),
            zone: self.zone.clone(),
            peers: self.peers.iter().map(identity).collect(),
            scheduler: self.scheduler(),
            knows_delegations: self.cells.is_some(),
        }
    }

    /// The scheduler's part of the settings.
    fn scheduler(&self) -> SchedulerConfig {
        SchedulerConfig {
            heartbeat_interval: self.workers.report,
            lease: self.workers.lease,
            gang_peer: self.workers.gang_peer,
            cancel: self.workers.cancel,
            nodes: self.size,
            calls: (self.sockets / SOCKETS_PER_CALL).max(MIN_CALLS),
            max_transaction_writes: self.store.max_transaction_writes,
            max_transaction_bytes: 56 * 1024,
            write_rate: self.store.write_rps * crate::store::leader_share(self.size),
            next_write_rate: self.store.next_write_rps * crate::store::leader_share(self.size),
            max_value_bytes: self.store.max_value_bytes,
            scale_out_rate: self.cloud_rps * crate::cloud::SCALE_OUT_SHARE,
            log_segments: LOG_RING,
            teams: self.teams.clone(),
            objectives: self.objectives.clone(),
            guarantee_within: self.guarantee_within,
            policy: self.policy.clone(),
        }
    }
}

/// The store's limits, present and next. A settings file without `next` has only the former.
fn store_limits(f: &Fields) -> Result<StoreLimits> {
    let rps = f.number("cluster.state.rps", 1.0, 1e6)?;
    let write_rps = f.number("cluster.state.write_rps", 1.0, 1e6)?;
    let value_kb = f.number("cluster.state.value_kb", 4.0, 1e5)?;
    let max_transaction_writes = f.number("cluster.state.txn_ops", 2.0, 1e4)?;
    let there = |path: &str| f.value(path).is_ok_and(|v| !v.is_null());
    if there("cluster.state.next") && !f.value("cluster.state.next")?.is_object() {
        bail!("settings: field `cluster.state.next` must be an object");
    }
    // A limit that the next ones don't name stays as it is.
    let next = |name: &str, min: f64, max: f64, present: f64| -> Result<f64> {
        let path = format!("cluster.state.next.{name}");
        if there(&path) {
            f.number(&path, min, max)
        } else {
            Ok(present)
        }
    };
    Ok(StoreLimits {
        rps,
        write_rps,
        max_value_bytes: (next("value_kb", 1.0, 1e5, value_kb)?.min(value_kb) * 1024.0) as usize,
        max_transaction_writes: next("txn_ops", 2.0, 1e4, max_transaction_writes)?
            .min(max_transaction_writes) as usize,
        next_rps: next("rps", 1.0, 1e6, rps)?.min(rps),
        next_write_rps: next("write_rps", 1.0, 1e6, write_rps)?.min(write_rps),
    })
}

/// The aims on classes; kinds that say nothing of when to start or finish are passed over.
fn objectives(f: &Fields) -> Result<Vec<Objective>> {
    if f.value("cluster.objectives").is_err() {
        return Ok(Vec::new());
    }
    let list: Vec<Value> = f.get("cluster.objectives")?;
    let mut all = Vec::new();
    for (i, o) in list.iter().enumerate() {
        let o = Fields(o);
        let place = || format!("settings: field `cluster.objectives[{i}]`");
        let target = match o.text("kind").with_context(place)?.as_str() {
            "wait" => ObjectiveTarget::Started(o.span("within_s").with_context(place)?),
            "finished" => ObjectiveTarget::Finished(o.span("within_s").with_context(place)?),
            "deadline" => {
                ObjectiveTarget::Deadline(o.number("times", 0.01, 1e3).with_context(place)?)
            }
            _ => continue,
        };
        let class = o.text("class").with_context(place)?;
        all.push(Objective { class, target });
    }
    Ok(all)
}

/// How soon work within a team's guarantee is to start, if the aims say so.
fn guarantee(f: &Fields) -> Micros {
    let list: Vec<Value> = f.get("cluster.objectives").unwrap_or_default();
    list.iter()
        .filter(|o| o.get("kind").and_then(Value::as_str) == Some("guarantee"))
        .filter_map(|o| Fields(o).span("within_s").ok())
        .min()
        .unwrap_or(Micros::from_secs(30))
}

fn teams(f: &Fields) -> Result<Vec<TeamLimits>> {
    let list: Vec<Value> = f.get("cluster.teams")?;
    let mut teams = Vec::new();
    for (i, t) in list.iter().enumerate() {
        let t = Fields(t);
        let amount = |name: &str| -> Result<u64> {
            if t.0.get(name).is_none_or(Value::is_null) {
                return Ok(0);
            }
            let n = t
                .number(name, 0.0, 1e9)
                .with_context(|| format!("settings: field `cluster.teams[{i}]`"))?;
            Ok((n * 1e3).round() as u64)
        };
        teams.push(TeamLimits {
            name: t
                .text("name")
                .with_context(|| format!("settings: field `cluster.teams[{i}]`"))?,
            cpu: amount("cpus")?,
            gpu: amount("gpus")?,
            cpu_max: amount("cpus_max")?,
            gpu_max: amount("gpus_max")?,
        });
    }
    Ok(teams)
}

#[cfg(test)]
mod tests;
