//! The settings of a controller: the platform's file, the operators' policy and their file on cells. They are
//! read once at start and checked field by field.

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
use saltpitch_core::records::DEFAULT_MAX_ENDED_JOBS;
use saltpitch_core::scheduler::{Objective, SchedulerConfig};
use saltpitch_core::Micros;
use serde::Deserialize;
use serde_json::Value;

use self::fields::Fields;
use crate::rate_shares::{leader_change_share, SCALE_OUT_SHARE};

pub use error::SettingsError;

/// The number of segments of the placement log. They hold about three minutes of it and take a few megabytes in
/// the state service. All controllers of a site must use the same number.
const LOG_SEGMENTS: u64 = 2_048;
/// The largest size of a transaction, in bytes.
const MAX_TRANSACTION_BYTES: usize = 56 * 1024;

/// The number of sockets for each command to a machine that may be in flight. The limit grows with the sockets,
/// so that a site with more machines, and hence more sockets, reaches all of them in the same time.
const SOCKETS_PER_COMMAND: usize = 40;
/// The least number of commands to machines that may be in flight.
const MIN_COMMANDS_IN_FLIGHT: usize = 24;

/// The settings of a controller.
#[derive(Clone, Debug)]
pub struct Settings {
    /// This controller's name.
    pub node: String,
    /// This controller's zone.
    pub zone: String,
    /// The address on which it listens for users and agents.
    pub api_addr: SocketAddr,
    /// The address on which it listens for the other controllers.
    pub peer_bind: SocketAddr,
    /// The other controllers.
    pub peers: Vec<Peer>,
    /// The cloud's address.
    pub cloud_addr: SocketAddr,
    /// The state service's address.
    pub store_addr: SocketAddr,
    /// The site's zones.
    pub zones: Vec<String>,
    /// The number of the site's controllers, this one included.
    pub controller_count: usize,
    /// The teams' guarantees and quotas.
    pub teams: Vec<TeamLimits>,
    /// The intervals and timeouts of the agents.
    pub agents: AgentTimings,
    /// The state service's limits.
    pub store: StoreLimits,
    /// Requests a second that the cloud accepts from the site.
    pub cloud_rps: f64,
    /// The longest time until a change appears in the cloud's list of machines.
    pub max_list_lag: Micros,
    /// The most sockets that this process may have open.
    pub max_sockets: usize,
    /// The service-level objectives of job classes.
    pub objectives: Vec<Objective>,
    /// The time within which work that is covered by a team's guarantee should start.
    pub guarantee_start_target: Micros,
    /// The built-in policy, with the operators' own rules on top if there are any.
    pub policy: Policy,
    /// The operators' settings on other cells, if there are any.
    pub cells: Option<CellsSettings>,
}

/// Another controller.
#[derive(Clone, Debug, Deserialize)]
pub struct Peer {
    /// The controller's name.
    pub node: String,
    /// The controller's zone.
    #[serde(default, rename = "location")]
    pub zone: String,
    /// The address on which it listens for other controllers.
    pub addr: SocketAddr,
}

/// The intervals and timeouts of the agents.
#[derive(Clone, Debug)]
pub struct AgentTimings {
    /// The time between two heartbeats of an agent.
    pub heartbeat_interval: Micros,
    /// How long an agent keeps its tasks running after the last answer to one of its heartbeats.
    pub agent_lease: Micros,
    /// How long a gang's tasks keep running after one of them is gone.
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
    /// The longest value that is written, in bytes: the smaller of the present and the next limit, since the
    /// next one comes into force without notice.
    pub max_value_bytes: usize,
    /// The most writes in one transaction: likewise the smaller of the present and the next limit.
    pub max_transaction_writes: usize,
    /// Requests a second under the next limits: at most `rps`, and equal to it if no next limit is given.
    pub next_rps: f64,
    /// Changes a second under the next limits: at most `write_rps`, and equal to it if no next limit is given.
    pub next_write_rps: f64,
}

impl fmt::Display for StoreLimits {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} requests and {} changes a second, next {} and {}; writes are limited to {} bytes a value and {} changes a transaction",
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
    /// Reads and checks the platform's file and, if their paths are given, the operators' policy and their file
    /// on cells.
    pub fn load(
        path: &Path,
        policy: Option<&Path>,
        cells: Option<&Path>,
    ) -> Result<Settings, SettingsError> {
        let mut settings = Settings::parse(&read_file("settings", path)?)?;
        if let Some(path) = policy {
            settings.policy = load_policy(path)?;
        }
        if let Some(path) = cells {
            settings.cells = Some(settings.load_cells(path)?);
        }
        Ok(settings)
    }

    fn load_cells(&self, path: &Path) -> Result<CellsSettings, SettingsError> {
        let text = read_file("cells", path)?;
        let context = ControllerContext {
            node: &self.node,
            listens: &[("api_addr", self.api_addr), ("peer_bind", self.peer_bind)],
            teams: &self.teams,
            controllers: self.controller_count,
            max_transaction_writes: self.store.max_transaction_writes,
        };
        Ok(CellsSettings::parse(&text, &context)?)
    }

    /// Parses the platform's settings. The fields are checked in a fixed order; the error names the first invalid
    /// one.
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
            max_list_lag: fields.duration("cluster.cloud.list_lag_s")?,
            objectives: sections::objectives(&fields)?,
            max_sockets: fields.number("cluster.limits.sockets", 32.0, 1e7)? as usize,
            guarantee_start_target: sections::guarantee_start_target(&fields),
            policy: Policy::default(),
            cells: None,
        };
        // Nothing that the scheduler guarantees depends on the time of day, so this value is checked but not used.
        fields.number("cluster.clock_error_ms", 0.0, 1e6)?;
        contradictions::check(&settings)?;
        Ok(settings)
    }

    /// Returns the warnings about settings that work, but with a disadvantage.
    pub fn warnings(&self) -> Vec<contradictions::Warning> {
        contradictions::warnings(self)
    }

    /// Returns the configuration of the controller's state machine.
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
            max_ended_jobs: DEFAULT_MAX_ENDED_JOBS,
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

/// Reads a file; `file` says in an error which of the files it is.
fn read_file(file: &'static str, path: &Path) -> Result<String, SettingsError> {
    std::fs::read_to_string(path).map_err(|source| SettingsError::Unreadable {
        file,
        path: path.to_owned(),
        source,
    })
}

fn load_policy(path: &Path) -> Result<Policy, SettingsError> {
    let text = read_file("policy", path)?;
    Policy::parse(&text).map_err(|error| SettingsError::Policy {
        path: path.to_owned(),
        reason: error.to_string(),
    })
}

#[cfg(test)]
mod tests;
