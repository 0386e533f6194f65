//! Until when a leader may answer agents after its leadership lease was last renewed, and how its peers
//! extend that by acknowledging cancellations.

use std::collections::BTreeMap;

use crate::records::{AckCursor, CancellationAck};
use crate::time::Micros;

/// Beyond the drift of clocks: what messages and loops may take between a confirmation and its effect.
const MARGIN: Micros = Micros::from_secs(4);
/// However short the time for cancellations, a leader may answer for this long.
const MIN_BOUND: Micros = Micros::from_secs(2);

/// What a leader knows of one peer's acknowledgements.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct PeerAck {
    /// Where the peer's last page ended.
    cursor: AckCursor,
    /// When the last request that the peer answered in full was sent.
    acknowledged_at: Option<Micros>,
}

/// The acknowledgements of cancellations that a leader has received from its peers.
///
/// Invariant: whenever a leader renews an agent's lease, it has acted on every cancellation that any
/// controller can have confirmed to a user up to [`answer_bound`] earlier. A renewal of the leadership
/// lease establishes this for all controllers at once, because whatever was confirmed by then is in the
/// records that the leader follows. Without the state service each peer has to establish it for itself:
/// that a peer has no state service *now* says nothing about what it confirmed a moment ago. So an
/// acknowledgement carries whatever the peer knows beyond the leader's records, and it counts from the
/// time of the request. A peer that is silent, has restarted without reading the records, or speaks
/// protocol version 0 extends nothing.
#[derive(Clone, Debug, Default)]
pub struct CancellationAcks(BTreeMap<String, PeerAck>);

impl CancellationAcks {
    /// Where the peer's next page starts.
    pub fn cursor(&self, peer: &str) -> AckCursor {
        self.0.get(peer).map_or(AckCursor::default(), |p| p.cursor)
    }

    /// Records an acknowledgement whose request was sent at `asked_at`. The cancellations in it must
    /// have been acted on before.
    pub fn record(&mut self, peer: &str, ack: &CancellationAck, asked_at: Micros) {
        let known = self.0.entry(peer.to_owned()).or_default();
        known.cursor = ack.next;
        if !ack.has_more {
            known.acknowledged_at = known.acknowledged_at.max(Some(asked_at));
        }
    }

    /// Until when agents may be answered by the acknowledgements of `peers`; `None` if one of them
    /// gave none.
    pub fn valid_until<'a>(
        &self,
        peers: impl Iterator<Item = &'a str>,
        bound: Micros,
    ) -> Option<Micros> {
        let mut oldest: Option<Micros> = None;
        for peer in peers {
            let at = self.0.get(peer)?.acknowledged_at?;
            oldest = Some(oldest.map_or(at, |o| o.min(at)));
        }
        oldest.map(|at| at.plus(bound))
    }
}

/// How long a leader may go on answering agents after its last confirmed renewal. A cancelled
/// task must be gone `cancel` after its user was told, and an agent that was answered last at the
/// very end of this span keeps its tasks for one lease more.
pub fn answer_bound(cancel: Micros, lease: Micros) -> Micros {
    cancel
        .since(lease.with_drift())
        .since(MARGIN)
        .max(MIN_BOUND)
}
