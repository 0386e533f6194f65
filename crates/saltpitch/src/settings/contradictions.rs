//! Settings that are valid one by one and contradict each other.

use std::fmt;

use saltpitch_core::leadership::answer_bound;
use saltpitch_core::Micros;

use super::Settings;

/// A heartbeat is sent up to a quarter later than the interval says.
const HEARTBEAT_JITTER: f64 = 1.25;
/// Heartbeats that a lease should span, so that the loss of one costs nothing.
const HEARTBEATS_PER_LEASE: f64 = 3.0;
/// Requests a second that each controller needs to follow the records at all.
const REQUESTS_PER_CONTROLLER: f64 = 0.5;
/// Requests a second that the leader needs to renew its lease and to write.
const REQUESTS_OF_LEADER: f64 = 2.5;
/// Changes in one transaction of an election.
const ELECTION_CHANGES: f64 = 2.0;
/// Changes a second below which placements wait for their turn on all but the smallest sites.
const FEW_CHANGES: f64 = 10.0;
/// Bytes of a value below which one placement record holds only a few dozen tasks.
const SMALL_VALUE: usize = 2 * 1024;

/// A combination of settings on which the service cannot run.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum Contradiction {
    /// A task can outlive the time that a cancellation allows it.
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
    /// This controller is named among the others.
    #[error("settings: field `seeds` names this node itself")]
    OwnNameAmongPeers,
    /// Two other controllers have the same name.
    #[error("settings: field `seeds` names {0} twice")]
    DuplicatePeer(String),
    /// The state service takes fewer requests than the controllers need to lead and follow.
    #[error("settings: field `{field}` is {rate} requests a second, and {controllers} controllers need {needed}")]
    TooFewRequests {
        /// Which field.
        field: &'static str,
        /// What it says.
        rate: f64,
        /// How many controllers share it.
        controllers: usize,
        /// What they need.
        needed: f64,
    },
    /// The state service takes fewer changes in a burst than an election writes at once.
    #[error("settings: field `{field}` is {rate} changes a second, and an election writes {needed} at once")]
    TooFewChanges {
        /// Which field.
        field: &'static str,
        /// What it says.
        rate: f64,
        /// What an election needs.
        needed: f64,
    },
}

/// The first contradiction in these settings.
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
    if agents.heartbeat_interval.times(HEARTBEAT_JITTER) >= agents.agent_lease {
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
    let needed = REQUESTS_OF_LEADER + REQUESTS_PER_CONTROLLER * controllers as f64;
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

/// A combination on which the service runs, at a price.
#[derive(Clone, Debug, PartialEq)]
pub enum Warning {
    /// The loss of a single heartbeat or two costs a machine its tasks.
    FewHeartbeatsPerLease,
    /// A leader without the state service may answer for so short a time that any outage costs leases.
    ShortAnswerBound(Micros),
    /// Placements wait for their turn to be written.
    FewChanges(f64),
    /// Placement records hold few tasks, so that more changes are needed for the same work.
    SmallValues(usize),
}

impl fmt::Display for Warning {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Warning::FewHeartbeatsPerLease => write!(
                f,
                "`cluster.workers.lease_s` spans fewer than {HEARTBEATS_PER_LEASE} heartbeats: the loss of one may cost a machine its tasks"
            ),
            Warning::ShortAnswerBound(bound) => write!(
                f,
                "`cluster.workers.cancel_s` exceeds `lease_s` by little: a leader without the state service answers agents for {:.1} s only",
                bound.as_secs_f64()
            ),
            Warning::FewChanges(rate) => write!(
                f,
                "`cluster.state.write_rps` is, now or next, {rate} changes a second: placements will wait for their turn"
            ),
            Warning::SmallValues(bytes) => write!(
                f,
                "`cluster.state.value_kb` is, now or next, {bytes} bytes: placement records hold few tasks"
            ),
        }
    }
}

/// Everything in these settings that is worth a look.
pub fn warnings(settings: &Settings) -> Vec<Warning> {
    let (agents, store) = (&settings.agents, &settings.store);
    let bound = answer_bound(agents.cancel_timeout, agents.agent_lease);
    let found = [
        (agents.heartbeat_interval.times(HEARTBEATS_PER_LEASE) > agents.agent_lease)
            .then_some(Warning::FewHeartbeatsPerLease),
        (bound < agents.heartbeat_interval.times(2.0)).then_some(Warning::ShortAnswerBound(bound)),
        (store.next_write_rps < FEW_CHANGES).then_some(Warning::FewChanges(store.next_write_rps)),
        (store.max_value_bytes < SMALL_VALUE)
            .then_some(Warning::SmallValues(store.max_value_bytes)),
    ];
    found.into_iter().flatten().collect()
}
