//! The operators' cells file, which is read once at start and validated field by field.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use garde::Validate;
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::Micros;
use serde::Deserialize;

/// The preconditions that a transaction of the state service may have for each write that it may have.
const PRECONDITIONS_PER_WRITE: usize = 4;

/// The reason why the cells file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// The file is not TOML, or a field is missing, unknown or of the wrong type.
    #[error("cells: line {line}, `{content}`: {reason}")]
    Unreadable {
        /// The line number, counted from 1.
        line: usize,
        /// The text of the line.
        content: String,
        /// The parser's message.
        reason: String,
    },
    /// A field has an invalid value.
    #[error("cells: field `{field}` {reason}")]
    Field {
        /// The path of the field, with list indexes.
        field: String,
        /// Why the value is invalid.
        reason: String,
    },
}

impl SettingsError {
    fn unreadable(text: &str, error: &toml::de::Error) -> SettingsError {
        let start = error.span().map_or(0, |span| span.start);
        let before = text.get(..start).unwrap_or_default();
        let line = before.matches('\n').count() + 1;
        let content = text.lines().nth(line - 1).unwrap_or_default();
        SettingsError::Unreadable {
            line,
            content: content.trim().to_owned(),
            reason: error.message().to_owned(),
        }
    }

    fn field(field: impl Into<String>, reason: impl Into<String>) -> SettingsError {
        SettingsError::Field {
            field: field.into(),
            reason: reason.into(),
        }
    }
}

/// The settings of this controller with which the cells file must be consistent.
#[derive(Clone, Debug)]
pub struct ControllerContext<'a> {
    /// This controller's name.
    pub node: &'a str,
    /// The addresses on which the controller listens anyway, each with the name of its settings field.
    pub listens: &'a [(&'a str, SocketAddr)],
    /// The teams of this cell.
    pub teams: &'a [TeamLimits],
    /// The number of controllers of this cell.
    pub controllers: usize,
    /// The most writes in one transaction of the state service.
    pub max_transaction_writes: usize,
}

/// The contents of the cells file.
///
/// The fields of this and the following types have the names of the file, because error texts name a field by
/// its path in the Rust types.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct CellsSettings {
    /// This cell's name.
    #[garde(custom(check_cell_name))]
    pub cell: String,
    /// The peer cells that run jobs for this cell or whose jobs this cell runs.
    #[garde(length(min = 1, max = 16), dive)]
    pub neighbour: Vec<PeerCellSettings>,
}

/// The settings of one peer cell.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct PeerCellSettings {
    /// The peer cell's name.
    #[garde(custom(check_cell_name))]
    pub name: String,
    /// How jobs are delegated to the peer cell. `None`: no job is delegated to it.
    #[serde(default)]
    #[garde(dive)]
    pub lend: Option<DelegationSettings>,
    /// How jobs of the peer cell are hosted. `None`: no job of it is accepted.
    #[serde(default)]
    #[garde(dive)]
    pub guests: Option<HostingSettings>,
}

/// How this cell, as the origin, delegates jobs to a peer cell.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DelegationSettings {
    /// The listeners that the peer cell's controllers have opened for this cell.
    #[garde(length(min = 1, max = 32))]
    pub addresses: Vec<SocketAddr>,
    /// The time within which the peer cell removes the tasks of a cancelled job, in seconds.
    #[garde(range(min = 0.1, max = 86_400.0), custom(check_finite))]
    pub cancel_s: f64,
    /// The machine types that the peer cell has.
    #[garde(length(min = 1, max = 100))]
    pub machine_types: Vec<String>,
    /// The time that a job must have waited at the origin before it is delegated, in seconds.
    #[serde(default = "default_after_s")]
    #[garde(range(min = 1.0, max = 86_400.0), custom(check_finite))]
    pub after_s: f64,
    /// The minimum run time of a job's tasks, in seconds. Shorter jobs are not delegated.
    #[serde(default = "default_min_run_s")]
    #[garde(range(min = 0.0, max = 86_400.0), custom(check_finite))]
    pub min_run_s: f64,
    /// The time that the origin must have had capacity for a delegated job that has not started before it
    /// reclaims the job, in seconds.
    #[serde(default = "default_recall_after_s")]
    #[garde(range(min = 1.0, max = 86_400.0), custom(check_finite))]
    pub recall_after_s: f64,
    /// The most delegations of one job.
    #[serde(default = "default_max_moves")]
    #[garde(range(min = 1, max = 1_000))]
    pub max_moves: u32,
    /// The most jobs delegated to the peer cell at a time.
    #[garde(range(min = 1, max = 100_000))]
    pub max_jobs: usize,
    /// The most tasks delegated to the peer cell at a time.
    #[garde(range(min = 1, max = 10_000_000))]
    pub max_tasks: u64,
    /// The most calls per second to the peer cell.
    #[serde(default = "default_calls_per_s")]
    #[garde(range(min = 0.1, max = 1_000.0), custom(check_finite))]
    pub calls_per_s: f64,
    /// The most writes per second to this cell's state service for delegations to the peer cell.
    #[serde(default = "default_changes_per_s")]
    #[garde(range(min = 0.1, max = 1_000.0), custom(check_finite))]
    pub changes_per_s: f64,
}

/// How this cell, as the host, runs jobs of a peer cell.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct HostingSettings {
    /// The address on which each controller listens for the peer cell, by the controller's name.
    #[garde(length(min = 1, max = 100))]
    pub listen: BTreeMap<String, SocketAddr>,
    /// The team that the peer cell's jobs belong to. It must not have a guarantee.
    #[garde(length(min = 1, max = 200))]
    pub team: String,
    /// Whether machines may be rented for the peer cell's jobs.
    #[serde(default)]
    #[garde(skip)]
    pub may_rent: bool,
    /// The most active jobs of the peer cell at a time.
    #[garde(range(min = 1, max = 100_000))]
    pub max_jobs: usize,
    /// The most tasks of these jobs.
    #[garde(range(min = 1, max = 10_000_000))]
    pub max_tasks: u64,
    /// The most jobs without any placed task. At this number the cell has no capacity to spare and accepts no
    /// further jobs.
    #[serde(default = "default_max_waiting")]
    #[garde(range(min = 1, max = 100_000))]
    pub max_waiting: usize,
}

fn default_after_s() -> f64 {
    20.0
}

fn default_min_run_s() -> f64 {
    10.0
}

fn default_recall_after_s() -> f64 {
    30.0
}

fn default_max_moves() -> u32 {
    3
}

fn default_calls_per_s() -> f64 {
    5.0
}

fn default_changes_per_s() -> f64 {
    2.0
}

fn default_max_waiting() -> usize {
    2
}

/// Rejects NaN, which a range check alone lets through, and infinities.
fn check_finite(value: &f64, _: &()) -> garde::Result {
    if value.is_finite() {
        return Ok(());
    }
    Err(garde::Error::new("must be a finite number"))
}

/// Checks a cell's name, which becomes part of job ids and of keys in the state service.
fn check_cell_name(name: &str, _: &()) -> garde::Result {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if (1..=40).contains(&name.len()) && name.bytes().all(allowed) {
        return Ok(());
    }
    Err(garde::Error::new(
        "must have 1 to 40 lowercase letters, digits or hyphens",
    ))
}

impl DelegationSettings {
    /// Returns [`DelegationSettings::cancel_s`] as a duration.
    pub fn cancel_timeout(&self) -> Micros {
        Micros::from_secs_f64(self.cancel_s)
    }

    /// Returns [`DelegationSettings::after_s`] as a duration.
    pub fn min_wait(&self) -> Micros {
        Micros::from_secs_f64(self.after_s)
    }

    /// Returns [`DelegationSettings::min_run_s`] as a duration.
    pub fn min_run_time(&self) -> Micros {
        Micros::from_secs_f64(self.min_run_s)
    }

    /// Returns [`DelegationSettings::recall_after_s`] as a duration.
    pub fn reclaim_after(&self) -> Micros {
        Micros::from_secs_f64(self.recall_after_s)
    }
}

impl CellsSettings {
    /// Parses and validates the text of the file.
    pub fn parse(
        text: &str,
        context: &ControllerContext<'_>,
    ) -> Result<CellsSettings, SettingsError> {
        let settings: CellsSettings =
            toml::from_str(text).map_err(|error| SettingsError::unreadable(text, &error))?;
        settings.check_ranges()?;
        settings.check_names()?;
        settings.check_teams(context)?;
        settings.check_addresses(context)?;
        settings.check_transaction(context)?;
        Ok(settings)
    }

    /// Returns the settings of the peer cell named `name`.
    pub fn peer_cell(&self, name: &str) -> Option<&PeerCellSettings> {
        self.neighbour.iter().find(|peer| peer.name == name)
    }

    fn check_ranges(&self) -> Result<(), SettingsError> {
        self.validate().map_err(|report| {
            let first = report.iter().next();
            let (path, reason) = first.map_or_else(
                || (String::new(), "is invalid".to_owned()),
                |(path, error)| (path.to_string(), error.to_string()),
            );
            SettingsError::field(path, reason)
        })
    }

    fn check_names(&self) -> Result<(), SettingsError> {
        let mut names = BTreeSet::new();
        for (index, peer) in self.neighbour.iter().enumerate() {
            let field = format!("neighbour[{index}].name");
            if peer.name == self.cell {
                return Err(SettingsError::field(field, "names this cell itself"));
            }
            if !names.insert(&peer.name) {
                let reason = format!("names {} twice", peer.name);
                return Err(SettingsError::field(field, reason));
            }
            if peer.lend.is_none() && peer.guests.is_none() {
                let field = format!("neighbour[{index}]");
                let reason = "has neither `lend` nor `guests`";
                return Err(SettingsError::field(field, reason));
            }
        }
        Ok(())
    }

    fn check_teams(&self, context: &ControllerContext<'_>) -> Result<(), SettingsError> {
        for (index, peer) in self.neighbour.iter().enumerate() {
            let Some(hosting) = &peer.guests else {
                continue;
            };
            let field = format!("neighbour[{index}].guests.team");
            let team = context.teams.iter().find(|team| team.name == hosting.team);
            let Some(team) = team else {
                let reason = format!("names {}, which is no team of this cell", hosting.team);
                return Err(SettingsError::field(field, reason));
            };
            if team.cpu > 0 || team.gpu > 0 {
                let reason = format!("names {}, which has a guarantee", hosting.team);
                return Err(SettingsError::field(field, reason));
            }
        }
        Ok(())
    }

    fn check_addresses(&self, context: &ControllerContext<'_>) -> Result<(), SettingsError> {
        let mut listeners: BTreeMap<SocketAddr, String> = BTreeMap::new();
        for (field, address) in context.listens {
            listeners.insert(*address, (*field).to_owned());
        }
        for (index, peer) in self.neighbour.iter().enumerate() {
            let Some(hosting) = &peer.guests else {
                continue;
            };
            for (node, address) in &hosting.listen {
                let field = format!("neighbour[{index}].guests.listen.{node}");
                if let Some(other) = listeners.insert(*address, field.clone()) {
                    let reason = format!("is {address}, which `{other}` uses already");
                    return Err(SettingsError::field(field, reason));
                }
            }
            if !hosting.listen.contains_key(context.node) {
                let field = format!("neighbour[{index}].guests.listen");
                let reason = format!("has no address for this controller, {}", context.node);
                return Err(SettingsError::field(field, reason));
            }
        }
        self.check_delegation_addresses(&listeners)
    }

    /// Checks that no address for delegation is a listener of this cell itself.
    fn check_delegation_addresses(
        &self,
        listeners: &BTreeMap<SocketAddr, String>,
    ) -> Result<(), SettingsError> {
        for (index, peer) in self.neighbour.iter().enumerate() {
            let addresses = peer
                .lend
                .iter()
                .flat_map(|delegation| &delegation.addresses);
            for address in addresses {
                if let Some(other) = listeners.get(address) {
                    let field = format!("neighbour[{index}].lend.addresses");
                    let reason = format!("holds {address}, which `{other}` uses already");
                    return Err(SettingsError::field(field, reason));
                }
            }
        }
        Ok(())
    }

    /// Checks that a transaction may have enough preconditions for a delegation, which is committed on
    /// condition of the term, of the job's record and of the announcements of all controllers.
    fn check_transaction(&self, context: &ControllerContext<'_>) -> Result<(), SettingsError> {
        let delegates = self.neighbour.iter().any(|peer| peer.lend.is_some());
        let needed = context.controllers + 2;
        let allowed = context
            .max_transaction_writes
            .saturating_mul(PRECONDITIONS_PER_WRITE);
        if delegates && needed > allowed {
            let reason = format!(
                "needs transactions with {needed} conditions, and `cluster.state.txn_ops` allows {allowed}"
            );
            return Err(SettingsError::field("neighbour[].lend", reason));
        }
        Ok(())
    }
}
