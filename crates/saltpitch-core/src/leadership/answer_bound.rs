//! Computes until when a leader may answer agents after the last renewal of its leadership lease, and tracks
//! the acknowledgements of cancellations by which its peers extend that time.

use std::collections::BTreeMap;

use crate::records::{AckCursor, CancellationAck};
use crate::time::Micros;

/// Allowance, in addition to clock drift, for message delays and loop intervals between a confirmation and
/// its effect.
const PROPAGATION_MARGIN: Micros = Micros::from_secs(4);
/// The lower limit of the bound, for settings in which the cancel timeout leaves less time than this.
const MIN_ANSWER_BOUND: Micros = Micros::from_secs(2);

/// The state of one peer's acknowledgements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PeerAck {
    /// The end of the last page that the peer sent.
    cursor: AckCursor,
    /// When the leader sent the last request that the peer has answered completely.
    acknowledged_at: Option<Micros>,
}

/// The acknowledgements of cancellations that a leader has received from its peers.
///
/// Invariant: whenever a leader renews an agent's lease, it has acted on every cancellation that any
/// controller can have confirmed to a user at least [`answer_bound`] before. A renewal of the leadership
/// lease establishes this for all controllers at once, because every cancellation confirmed by then is in
/// the records that the leader follows. While the leader cannot reach the state service, each peer has to
/// establish it separately: a peer that cannot reach the state service *now* may have confirmed a
/// cancellation a moment ago. An acknowledgement therefore contains every cancellation that the peer knows
/// and that the leader's records do not show, and it is valid as of the time at which the leader sent the
/// request. A peer that does not answer, that has restarted without reading the records, or that speaks
/// protocol version 0 does not extend the time.
#[derive(Clone, Debug, Default)]
pub struct CancellationAcks(BTreeMap<String, PeerAck>);

impl CancellationAcks {
    /// Returns the position at which the peer's next page starts.
    pub fn cursor(&self, peer: &str) -> AckCursor {
        self.0
            .get(peer)
            .map_or(AckCursor::default(), |state| state.cursor)
    }

    /// Records an acknowledgement whose request was sent at `requested_at`. The caller must have acted on
    /// the cancellations in it before.
    pub fn record(&mut self, peer: &str, ack: &CancellationAck, requested_at: Micros) {
        let state = self.0.entry(peer.to_owned()).or_default();
        state.cursor = ack.next;
        if !ack.has_more {
            state.acknowledged_at = state.acknowledged_at.max(Some(requested_at));
        }
    }

    /// Returns the time until which the acknowledgements of `peers` allow the leader to answer agents, or
    /// `None` if there are no peers or one of them has not acknowledged.
    pub fn valid_until<'a>(
        &self,
        peers: impl Iterator<Item = &'a str>,
        bound: Micros,
    ) -> Option<Micros> {
        let mut oldest: Option<Micros> = None;
        for peer in peers {
            let at = self.0.get(peer)?.acknowledged_at?;
            oldest = Some(oldest.map_or(at, |oldest| oldest.min(at)));
        }
        oldest.map(|at| at.plus(bound))
    }
}

/// Returns how long a leader may continue to answer agents after its last confirmed renewal. The tasks of a
/// cancelled job must be gone within `cancel_timeout` of the confirmation to the user, and an agent that is
/// answered at the end of the bound keeps its tasks for one more `agent_lease`.
pub fn answer_bound(cancel_timeout: Micros, agent_lease: Micros) -> Micros {
    cancel_timeout
        .since(agent_lease.with_drift())
        .since(PROPAGATION_MARGIN)
        .max(MIN_ANSWER_BOUND)
}
