//! Checks of settings that are valid by themselves but contradict each other.

use std::fmt;

use saltpitch_core::leadership::answer_bound;
use saltpitch_core::Micros;

use super::Settings;

/// The longest time between two heartbeats, as a multiple of the interval: agents send up to a quarter later.
const MAX_HEARTBEAT_INTERVAL_FACTOR: f64 = 1.25;
/// The number of heartbeat intervals that a lease should span, so that the loss of one heartbeat has no effect.
const MIN_HEARTBEATS_PER_LEASE: f64 = 3.0;
/// Requests a second that each controller needs to follow the records at all.
const CONTROLLER_REQUESTS_PER_S: f64 = 0.5;
/// Requests a second that the leader needs in addition to renew its lease and to write.
const LEADER_REQUESTS_PER_S: f64 = 2.5;
/// The number of changes in the transaction of an election.
const ELECTION_CHANGES: f64 = 2.0;
/// The rate of changes below which the records of placements are delayed on all but the smallest sites.
const LOW_CHANGES_PER_S: f64 = 10.0;
/// The limit on values below which one placement record holds only a few dozen tasks.
const SMALL_VALUE_BYTES: usize = 2 * 1024;

/// A combination of settings with which the service cannot run.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Contradiction {
    /// A task of a cancelled job could run longer than the time allowed for cancellations.
    #[error("settings: field `cluster.workers.cancel_s` must exceed `lease_s`")]
    CancelWithinLease,
    /// Every lease would expire between two heartbeats.
    #[error("settings: field `cluster.workers.report_s` is {report_s}, so that heartbeats up to a quarter later don't renew a lease of `lease_s` {lease_s}")]
    HeartbeatsOutlastLease {
        /// The interval between heartbeats, in seconds.
        report_s: f64,
        /// The lease, in seconds.
        lease_s: f64,
    },
    /// The list of the other controllers contains this one.
    #[error("settings: field `seeds` names this node itself")]
    OwnNameAmongPeers,
    /// Two other controllers have the same name.
    #[error("settings: field `seeds` names {0} twice")]
    DuplicatePeer(String),
    /// The state service accepts fewer requests than the controllers need to lead and to follow the records.
    #[error("settings: field `{field}` is {rate} requests a second, and {controllers} controllers need {needed}")]
    TooFewRequests {
        /// The field's path.
        field: &'static str,
        /// The field's value.
        rate: f64,
        /// The number of controllers that share it.
        controllers: usize,
        /// The requests a second that they need.
        needed: f64,
    },
    /// The state service accepts fewer changes in a burst than an election writes at once.
    #[error("settings: field `{field}` is {rate} changes a second, and an election writes {needed} at once")]
    TooFewChanges {
        /// The field's path.
        field: &'static str,
        /// The field's value.
        rate: f64,
        /// The number of changes that an election writes at once.
        needed: f64,
    },
}

/// Returns an error for the first contradiction in the settings.
pub fn check(settings: &Settings) -> Result<(), Contradiction> {
    check_agents(settings)?;
    check_peers(settings)?;
    check_rates(settings)
}

fn check_agents(settings: &Settings) -> Result<(), Contradiction> {
    let agents = &settings.agents;
    if agents.cancel_timeout <= agents.agent_lease {
        return Err(Contradiction::CancelWithinLease);
    }
    if agents
        .heartbeat_interval
        .times(MAX_HEARTBEAT_INTERVAL_FACTOR)
        >= agents.agent_lease
    {
        return Err(Contradiction::HeartbeatsOutlastLease {
            report_s: agents.heartbeat_interval.as_secs_f64(),
            lease_s: agents.agent_lease.as_secs_f64(),
        });
    }
    Ok(())
}

fn check_peers(settings: &Settings) -> Result<(), Contradiction> {
    let mut names: Vec<&str> = settings.peers.iter().map(|p| p.node.as_str()).collect();
    if names.contains(&settings.node.as_str()) {
        return Err(Contradiction::OwnNameAmongPeers);
    }
    names.sort_unstable();
    match names.windows(2).find(|pair| pair[0] == pair[1]) {
        Some(pair) => Err(Contradiction::DuplicatePeer(pair[0].to_owned())),
        None => Ok(()),
    }
}

fn check_rates(settings: &Settings) -> Result<(), Contradiction> {
    let store = &settings.store;
    let controllers = settings.controller_count;
    let needed = LEADER_REQUESTS_PER_S + CONTROLLER_REQUESTS_PER_S * controllers as f64;
    let requests = [
        ("cluster.state.rps", store.rps),
        ("cluster.state.next.rps", store.next_rps),
    ];
    for (field, rate) in requests {
        if rate < needed {
            return Err(Contradiction::TooFewRequests {
                field,
                rate,
                controllers,
                needed,
            });
        }
    }
    let changes = [
        ("cluster.state.write_rps", store.write_rps),
        ("cluster.state.next.write_rps", store.next_write_rps),
    ];
    for (field, rate) in changes {
        if rate < ELECTION_CHANGES {
            return Err(Contradiction::TooFewChanges {
                field,
                rate,
                needed: ELECTION_CHANGES,
            });
        }
    }
    Ok(())
}

/// A combination of settings with which the service runs, but with a disadvantage.
#[derive(Clone, Debug, PartialEq)]
pub enum Warning {
    /// The loss of one or two heartbeats lets an agent's lease expire and ends the tasks on its machine.
    FewHeartbeatsPerLease,
    /// A leader that cannot reach the state service may answer agents only for so short a time that every outage
    /// lets leases expire.
    ShortAnswerBound(Micros),
    /// The rate of changes is so low that the records of placements are delayed.
    FewChanges(f64),
    /// Placement records hold few tasks, so that more changes are needed for the same work.
    SmallValues(usize),
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Warning::FewHeartbeatsPerLease => write!(
                f,
                "`cluster.workers.lease_s` spans fewer than {MIN_HEARTBEATS_PER_LEASE} heartbeats: the loss of one may let a lease expire and end a machine's tasks"
            ),
            Warning::ShortAnswerBound(bound) => write!(
                f,
                "`cluster.workers.cancel_s` exceeds `lease_s` by little: a leader that cannot reach the state service answers agents for only {:.1} s",
                bound.as_secs_f64()
            ),
            Warning::FewChanges(rate) => write!(
                f,
                "`cluster.state.write_rps` is, now or next, {rate} changes a second: placements will be delayed"
            ),
            Warning::SmallValues(bytes) => write!(
                f,
                "`cluster.state.value_kb` is, now or next, {bytes} bytes: placement records hold few tasks"
            ),
        }
    }
}

/// Returns the warnings about the settings.
pub fn warnings(settings: &Settings) -> Vec<Warning> {
    let (agents, store) = (&settings.agents, &settings.store);
    let bound = answer_bound(agents.cancel_timeout, agents.agent_lease);
    let found = [
        (agents.heartbeat_interval.times(MIN_HEARTBEATS_PER_LEASE) > agents.agent_lease)
            .then_some(Warning::FewHeartbeatsPerLease),
        (bound < agents.heartbeat_interval.times(2.0)).then_some(Warning::ShortAnswerBound(bound)),
        (store.next_write_rps < LOW_CHANGES_PER_S)
            .then_some(Warning::FewChanges(store.next_write_rps)),
        (store.max_value_bytes < SMALL_VALUE_BYTES)
            .then_some(Warning::SmallValues(store.max_value_bytes)),
    ];
    found.into_iter().flatten().collect()
}
