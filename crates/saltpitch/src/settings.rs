//! The settings of a controller: the platform's file, the operators' policy and their file on cells, read
//! once at start and checked field by field.

pub mod contradictions;
mod error;
mod fields;
mod sections;

use std::fmt;
use std::net::SocketAddr;
use std::path::Path;

use saltpitch_cells::settings::{CellsSettings, ControllerContext};
use saltpitch_core::controller::{ControllerConfig, PeerIdentity};
use saltpitch_core::policy::Policy;
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::scheduler::{Objective, SchedulerConfig};
use saltpitch_core::Micros;
use serde::Deserialize;
use serde_json::Value;

use self::fields::Fields;
use crate::rate_shares::{leader_change_share, SCALE_OUT_SHARE};

pub use error::SettingsError;

/// Segments of the placement log: about three minutes of it, a few megabytes in the store. All
/// controllers of a site must agree on it.
const LOG_SEGMENTS: u64 = 2_048;
/// The most bytes of one transaction.
const MAX_TRANSACTION_BYTES: usize = 56 * 1024;

/// Commands to machines that may be in flight at a time: one for so many sockets, so that a site with more
/// machines, and hence more sockets, reaches all of them in the same time; and at least.
const SOCKETS_PER_COMMAND: usize = 40;
const MIN_COMMANDS_IN_FLIGHT: usize = 24;

/// The settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This controller's name.
    pub node: String,
    /// Its zone.
    pub zone: String,
    /// Where it listens for users and agents.
    pub api_addr: SocketAddr,
    /// Where it listens for the other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// The cloud's address.
    pub cloud_addr: SocketAddr,
    /// The state service's address.
    pub store_addr: SocketAddr,
    /// The site's zones.
    pub zones: Vec<String>,
    /// The number of controllers.
    pub controller_count: usize,
    /// The teams' guarantees and quotas.
    pub teams: Vec<TeamLimits>,
    /// What the agents keep to.
    pub agents: AgentTimings,
    /// The state service's limits.
    pub store: StoreLimits,
    /// Requests a second that the cloud takes from the site.
    pub cloud_rps: f64,
    /// How long after a change the cloud's list of machines shows it at the latest.
    pub max_list_lag: Micros,
    /// Sockets that this process may have open.
    pub max_sockets: usize,
    /// The service-level objectives of classes.
    pub objectives: Vec<Objective>,
    /// How soon work within a team's guarantee is to start.
    pub guarantee_start_target: Micros,
    /// The operators' own rules, on top of the built-in ones.
    pub policy: Policy,
    /// The operators' file on cells.
    pub cells: Option<CellsSettings>,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// Its name.
    pub node: String,
    /// Its zone.
    #[serde(default, rename = "location")]
    pub zone: String,
    /// Where it listens for other controllers.
    pub addr: SocketAddr,
}

/// What the agents keep to.
#[derive(Clone, Debug)]
pub struct AgentTimings {
    /// The time between two heartbeats of an agent.
    pub heartbeat_interval: Micros,
    /// How long after its last answer an agent stops its tasks.
    pub agent_lease: Micros,
    /// How long a gang's tasks run on without one of them.
    pub gang_peer_timeout: Micros,
    /// The time within which the tasks of a cancelled job must have ended.
    pub cancel_timeout: Micros,
}

/// The state service's limits.
#[derive(Clone, Debug)]
pub struct StoreLimits {
    /// Requests a second.
    pub rps: f64,
    /// Changes a second.
    pub write_rps: f64,
    /// The longest value that is written: the smaller one of the present and the next limits, since the
    /// latter come into force without notice.
    pub max_value_bytes: usize,
    /// The most writes of a transaction, in the same way.
    pub max_transaction_writes: usize,
    /// Requests a second of the next limits, or of the present ones if there are none.
    pub next_rps: f64,
    /// Changes a second of the next limits, or of the present ones if there are none.
    pub next_write_rps: f64,
}

impl fmt::Display for StoreLimits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
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

impl Settings {
    /// Reads the platform's file and, if there are any, the operators' policy and their file on cells.
    pub fn load(
        path: &Path,
        policy: Option<&Path>,
        cells: Option<&Path>,
    ) -> Result<Settings, SettingsError> {
        let mut settings = Settings::parse(&read("settings", path)?)?;
        if let Some(path) = policy {
            settings.policy = load_policy(path)?;
        }
        if let Some(path) = cells {
            settings.cells = Some(settings.load_cells(path)?);
        }
        Ok(settings)
    }

    fn load_cells(&self, path: &Path) -> Result<CellsSettings, SettingsError> {
        let text = read("cells", path)?;
        let context = ControllerContext {
            node: &self.node,
            listens: &[("api_addr", self.api_addr), ("peer_bind", self.peer_bind)],
            teams: &self.teams,
            controllers: self.controller_count,
            max_transaction_writes: self.store.max_transaction_writes,
        };
        Ok(CellsSettings::parse(&text, &context)?)
    }

    /// Reads the platform's settings. Fields are checked in a fixed order; the error names the first
    /// wrong one.
    pub fn parse(text: &str) -> Result<Settings, SettingsError> {
        let root: Value = serde_json::from_str(text).map_err(SettingsError::NotJson)?;
        if !root.is_object() {
            return Err(SettingsError::NotAnObject);
        }
        let fields = Fields(&root);
        let settings = Settings {
            node: fields.text("node")?,
            zone: fields.text("location")?,
            api_addr: fields.get("api_addr")?,
            peer_bind: fields.get("peer_bind")?,
            peers: fields.get("seeds")?,
            cloud_addr: fields.get("external.cloud")?,
            store_addr: fields.get("external.state")?,
            zones: fields.get("cluster.zones")?,
            controller_count: fields.number("cluster.size", 1.0, 100.0)? as usize,
            teams: sections::teams(&fields)?,
            agents: sections::agent_timings(&fields)?,
            store: sections::store_limits(&fields)?,
            cloud_rps: fields.number("cluster.cloud.rps", 0.1, 1e5)?,
            max_list_lag: fields.span("cluster.cloud.list_lag_s")?,
            objectives: sections::objectives(&fields)?,
            max_sockets: fields.number("cluster.limits.sockets", 32.0, 1e7)? as usize,
            guarantee_start_target: sections::guarantee_start_target(&fields),
            policy: Policy::default(),
            cells: None,
        };
        // No guarantee depends on the time of day, so the value is not used; it is checked all the same.
        fields.number("cluster.clock_error_ms", 0.0, 1e6)?;
        contradictions::check(&settings)?;
        Ok(settings)
    }

    /// Everything in these settings that works but is worth a look.
    pub fn warnings(&self) -> Vec<contradictions::Warning> {
        contradictions::warnings(self)
    }

    /// What the state machine of a controller has to know about itself and the site.
    pub fn controller_config(&self) -> ControllerConfig {
        let identity = |peer: &Peer| PeerIdentity {
            name: peer.node.clone(),
            zone: peer.zone.clone(),
        };
        ControllerConfig {
            name: self.node.clone(),
            zone: self.zone.clone(),
            peers: self.peers.iter().map(identity).collect(),
            scheduler: self.scheduler_config(),
            knows_delegations: self.cells.is_some(),
        }
    }

    fn scheduler_config(&self) -> SchedulerConfig {
        let change_share = leader_change_share(self.controller_count);
        SchedulerConfig {
            heartbeat_interval: self.agents.heartbeat_interval,
            agent_lease: self.agents.agent_lease,
            gang_peer_timeout: self.agents.gang_peer_timeout,
            cancel_timeout: self.agents.cancel_timeout,
            controller_count: self.controller_count,
            max_concurrent_calls: (self.max_sockets / SOCKETS_PER_COMMAND)
                .max(MIN_COMMANDS_IN_FLIGHT),
            max_transaction_writes: self.store.max_transaction_writes,
            max_transaction_bytes: MAX_TRANSACTION_BYTES,
            write_rate: self.store.write_rps * change_share,
            next_write_rate: self.store.next_write_rps * change_share,
            max_value_bytes: self.store.max_value_bytes,
            scale_out_rate: self.cloud_rps * SCALE_OUT_SHARE,
            log_segments: LOG_SEGMENTS,
            teams: self.teams.clone(),
            objectives: self.objectives.clone(),
            guarantee_start_target: self.guarantee_start_target,
            policy: self.policy.clone(),
        }
    }
}

/// Reads a file; `file` says in errors which one it is.
fn read(file: &'static str, path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file,
        path: path.to_owned(),
        source,
    })
}

fn load_policy(path: &Path) -> Result<Policy, SettingsError> {
    let text = read("policy", path)?;
    Policy::parse(&text).map_err(|error| SettingsError::Policy {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

#[cfg(test)]
mod tests;
