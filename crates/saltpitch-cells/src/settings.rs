//! The operators' file on cells: read once at start, checked field by field.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use garde::Validate;
use saltpitch_core::quota::TeamLimits;
use saltpitch_core::Micros;
use serde::Deserialize;

/// Why the file cannot be used.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SettingsError {
    /// It is not TOML, or a field is missing, unknown or of the wrong type.
    #[error("cells: line {line}, `{content}`: {reason}")]
    Unreadable {
        /// Where, counted from 1.
        line: usize,
        /// What is there.
        content: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A field has a value that it may not have.
    #[error("cells: field `{field}` {reason}")]
    Field {
        /// The field, with the place in its list.
        field: String,
        /// What is wrong with it.
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

/// What a controller's own settings say that the file has to agree with.
#[derive(Clone, Debug)]
pub struct ControllerContext<'a> {
    /// This controller's name.
    pub node: &'a str,
    /// The addresses that it listens on already, with the names of their fields.
    pub listens: &'a [(&'a str, SocketAddr)],
    /// The teams.
    pub teams: &'a [TeamLimits],
    /// How many controllers there are.
    pub controllers: usize,
    /// The most changes in one transaction of the state service.
    pub max_transaction_writes: usize,
}

/// The file.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct CellsSettings {
    /// This cell's name.
    #[garde(custom(cell_name))]
    pub cell: String,
    /// The cells that work is lent to or taken from.
    #[garde(length(min = 1, max = 16), dive)]
    pub neighbour: Vec<PeerCellSettings>,
}

/// One other cell.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct PeerCellSettings {
    /// Its name.
    #[garde(custom(cell_name))]
    pub name: String,
    /// Whether and how work is lent to it.
    #[serde(default)]
    #[garde(dive)]
    pub lend: Option<DelegationSettings>,
    /// Whether and how work is taken from it.
    #[serde(default)]
    #[garde(dive)]
    pub guests: Option<HostingSettings>,
}

/// How work is lent to a peer cell.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct DelegationSettings {
    /// The listeners that the peer cell's controllers have opened for this cell.
    #[garde(length(min = 1, max = 32))]
    pub addresses: Vec<SocketAddr>,
    /// The time within which the peer cell removes the tasks of a cancelled job.
    #[garde(range(min = 0.1, max = 86_400.0), custom(finite))]
    pub cancel_s: f64,
    /// The machine types that the peer cell has.
    #[garde(length(min = 1, max = 100))]
    pub machine_types: Vec<String>,
    /// How long a job waits at the origin before it is lent.
    #[serde(default = "default_after_s")]
    #[garde(range(min = 1.0, max = 86_400.0), custom(finite))]
    pub after_s: f64,
    /// Jobs whose tasks run for less than this stay.
    #[serde(default = "default_min_run_s")]
    #[garde(range(min = 0.0, max = 86_400.0), custom(finite))]
    pub min_run_s: f64,
    /// How long the origin must have had room for a lent job that does not run before it is fetched back.
    #[serde(default = "default_recall_after_s")]
    #[garde(range(min = 1.0, max = 86_400.0), custom(finite))]
    pub recall_after_s: f64,
    /// How often one job may be lent.
    #[serde(default = "default_max_moves")]
    #[garde(range(min = 1, max = 1_000))]
    pub max_moves: u32,
    /// The most jobs lent at a time.
    #[garde(range(min = 1, max = 100_000))]
    pub max_jobs: usize,
    /// The most tasks lent at a time.
    #[garde(range(min = 1, max = 10_000_000))]
    pub max_tasks: u64,
    /// Calls a second to the peer cell.
    #[serde(default = "default_calls_per_s")]
    #[garde(range(min = 0.1, max = 1_000.0), custom(finite))]
    pub calls_per_s: f64,
    /// Changes a second in this cell's state service that delegations to the peer cell may take.
    #[serde(default = "default_changes_per_s")]
    #[garde(range(min = 0.1, max = 1_000.0), custom(finite))]
    pub changes_per_s: f64,
}

/// How work is taken from a peer cell.
#[derive(Clone, Debug, PartialEq, Deserialize, Validate)]
#[serde(deny_unknown_fields)]
pub struct HostingSettings {
    /// Where each controller listens for the peer cell, by the controller's name.
    #[garde(length(min = 1, max = 100))]
    pub listen: BTreeMap<String, SocketAddr>,
    /// The team that the peer cell's jobs belong to. It must have no guarantee.
    #[garde(length(min = 1, max = 200))]
    pub team: String,
    /// Whether machines may be rented for them.
    #[serde(default)]
    #[garde(skip)]
    pub may_rent: bool,
    /// The most jobs at a time.
    #[garde(range(min = 1, max = 100_000))]
    pub max_jobs: usize,
    /// The most tasks at a time.
    #[garde(range(min = 1, max = 10_000_000))]
    pub max_tasks: u64,
    /// The most jobs of which nothing runs: beyond them there is no room to spare.
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

/// A bound alone lets through what is no number at all.
fn finite(value: &f64, _: &()) -> garde::Result {
    if value.is_finite() {
        return Ok(());
    }
    Err(garde::Error::new("must be a finite number"))
}

/// Cells' names become part of ids and of keys in the state service.
fn cell_name(name: &str, _: &()) -> garde::Result {
    let allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    if (1..=40).contains(&name.len()) && name.bytes().all(allowed) {
        return Ok(());
    }
    Err(garde::Error::new(
        "must have 1 to 40 small letters, digits or hyphens",
    ))
}

impl DelegationSettings {
    /// See [`DelegationSettings::cancel_s`].
    pub fn cancel(&self) -> Micros {
        Micros::from_secs_f64(self.cancel_s)
    }

    /// See [`DelegationSettings::after_s`].
    pub fn after(&self) -> Micros {
        Micros::from_secs_f64(self.after_s)
    }

    /// See [`DelegationSettings::min_run_s`].
    pub fn min_run(&self) -> Micros {
        Micros::from_secs_f64(self.min_run_s)
    }

    /// See [`DelegationSettings::recall_after_s`].
    pub fn reclaim_after(&self) -> Micros {
        Micros::from_secs_f64(self.recall_after_s)
    }
}

impl CellsSettings {
    /// Reads and checks the file.
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

    /// The peer cell of this name.
    pub fn peer_cell(&self, name: &str) -> Option<&PeerCellSettings> {
        self.neighbour.iter().find(|other| other.name == name)
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
        for (at, neighbour) in self.neighbour.iter().enumerate() {
            let field = format!("neighbour[{at}].name");
            if neighbour.name == self.cell {
                return Err(SettingsError::field(field, "names this cell itself"));
            }
            if !names.insert(&neighbour.name) {
                let reason = format!("names {} twice", neighbour.name);
                return Err(SettingsError::field(field, reason));
            }
            if neighbour.lend.is_none() && neighbour.guests.is_none() {
                let field = format!("neighbour[{at}]");
                let reason = "has neither `lend` nor `guests`";
                return Err(SettingsError::field(field, reason));
            }
        }
        Ok(())
    }

    fn check_teams(&self, context: &ControllerContext<'_>) -> Result<(), SettingsError> {
        for (at, neighbour) in self.neighbour.iter().enumerate() {
            let Some(guests) = &neighbour.guests else {
                continue;
            };
            let field = format!("neighbour[{at}].guests.team");
            let team = context.teams.iter().find(|team| team.name == guests.team);
            let Some(team) = team else {
                let reason = format!("names {}, which is no team of this cell", guests.team);
                return Err(SettingsError::field(field, reason));
            };
            if team.cpu > 0 || team.gpu > 0 {
                let reason = format!("names {}, which has a guarantee", guests.team);
                return Err(SettingsError::field(field, reason));
            }
        }
        Ok(())
    }

    fn check_addresses(&self, context: &ControllerContext<'_>) -> Result<(), SettingsError> {
        let mut taken: BTreeMap<SocketAddr, String> = BTreeMap::new();
        for (field, address) in context.listens {
            taken.insert(*address, (*field).to_owned());
        }
        for (at, neighbour) in self.neighbour.iter().enumerate() {
            let Some(guests) = &neighbour.guests else {
                continue;
            };
            for (node, address) in &guests.listen {
                let field = format!("neighbour[{at}].guests.listen.{node}");
                if let Some(other) = taken.insert(*address, field.clone()) {
                    let reason = format!("is {address}, which `{other}` uses already");
                    return Err(SettingsError::field(field, reason));
                }
            }
            if !guests.listen.contains_key(context.node) {
                let field = format!("neighbour[{at}].guests.listen");
                let reason = format!("has no address for this controller, {}", context.node);
                return Err(SettingsError::field(field, reason));
            }
        }
        self.check_calls_elsewhere(&taken)
    }

    /// Nothing is lent to a listener of this cell's own.
    fn check_calls_elsewhere(
        &self,
        own: &BTreeMap<SocketAddr, String>,
    ) -> Result<(), SettingsError> {
        for (at, neighbour) in self.neighbour.iter().enumerate() {
            let addresses = neighbour.lend.iter().flat_map(|lend| &lend.addresses);
            for address in addresses {
                if let Some(other) = own.get(address) {
                    let field = format!("neighbour[{at}].lend.addresses");
                    let reason = format!("holds {address}, which `{other}` uses already");
                    return Err(SettingsError::field(field, reason));
                }
            }
        }
        Ok(())
    }

    /// A delegation is committed on condition of the term, the job and all announcements.
    fn check_transaction(&self, context: &ControllerContext<'_>) -> Result<(), SettingsError> {
        let delegating = self.neighbour.iter().any(|other| other.lend.is_some());
        let needed = context.controllers + 2;
        let allowed = context.max_transaction_writes.saturating_mul(4);
        if delegating && needed > allowed {
            let reason = format!(
                "needs transactions with {needed} conditions, and `cluster.state.txn_ops` allows {allowed}"
            );
            return Err(SettingsError::field("neighbour[].lend", reason));
        }
        Ok(())
    }
}
