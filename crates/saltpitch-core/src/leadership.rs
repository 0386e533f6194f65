//! Who leads: when to take leadership, how long to go on without the store, when to give way.

use std::collections::BTreeMap;

use crate::records::{
    node_key, AckCursor, CancellationAck, LeaderRecord, NodeRecord, RecordCache, TermRecord,
    LEADER_KEY, TERM_KEY,
};
use crate::scheduler::{Precondition, Transaction, Write};
use crate::time::Micros;

/// How long the leadership lease in the state service lasts without renewal.
pub const LEADERSHIP_LEASE: Micros = Micros::from_secs(3);

/// How long after a bid was made its maker may yet take leadership on it.
const BID: Micros = Micros::from_secs(4);

/// Whether the leadership can be taken by this process as far as its records say: nobody holds it,
/// or an earlier incarnation of this same node does, which is proven over by this one.
pub fn is_leaderless(records: &RecordCache, me: &str, incarnation: u64) -> bool {
    match &records.leader {
        None => true,
        Some(l) => l.1.node == me && l.1.incarnation < incarnation,
    }
}

/// One try at the leadership: what to write and on what conditions, and who led before.
#[derive(Clone, Debug)]
pub struct ElectionAttempt {
    /// The term that it takes.
    pub term: u64,
    /// What to write, and on what conditions. The write of [`LEADER_KEY`] is to be attached to the
    /// leadership lease.
    pub transaction: Transaction,
    /// The leader before, if it is not proven gone.
    previous: Option<(String, u64)>,
    /// On the steady clock: from then on the leaders before that one answer nobody.
    earlier_at: Micros,
}

/// From when on no earlier leader can answer an agent.
#[derive(Clone, Debug)]
pub struct EarlierLeaders {
    /// The leader before, if it is not proven gone.
    pub previous: Option<(String, u64)>,
    /// When the leaders before that one are silent.
    pub earlier_at: Micros,
    /// When all of them are.
    pub all_at: Micros,
}

/// A bid on the records as this node has them; none if the leadership is not vacant. `bound`: how
/// long a leader may answer agents after it was last confirmed. `term_seen`: when this node first
/// saw the term that its records show.
///
/// All leaders before the one of that term are silent `bound` after it was seen. They answer for so
/// long after the store renewed their hold, which it did before it took the next term, or after each
/// other node gave its word, and this node's word would have named the term that it had seen. So
/// this holds however late that term's transaction was carried out, and through any number of
/// successions. `earlier_leaders_fenced_at` on record says the same for versions that go by it.
pub fn campaign(
    records: &RecordCache,
    me: &str,
    incarnation: u64,
    bound: Micros,
    wall: Micros,
    term_seen: Micros,
) -> Option<ElectionAttempt> {
    if !is_leaderless(records, me, incarnation) {
        return None;
    }
    let (term_rev, old) = &records.term;
    let previous = (*term_rev > 0)
        .then(|| (old.node.clone(), old.incarnation))
        .filter(|(name, incarnation)| records.incarnation_of(name) <= *incarnation);
    let term = TermRecord {
        term: old.term + 1,
        node: me.to_owned(),
        incarnation,
        earlier_leaders_fenced_at: match previous {
            Some(_) => old
                .earlier_leaders_fenced_at
                .max(wall.plus(bound).plus(BID)),
            None => old.earlier_leaders_fenced_at,
        },
    };
    let leader = LeaderRecord {
        node: me.to_owned(),
        incarnation,
        term: term.term,
    };
    let leader_rev = records.leader.as_ref().map_or(0, |l| l.0);
    Some(ElectionAttempt {
        term: term.term,
        transaction: Transaction {
            preconditions: vec![
                Precondition::new(TERM_KEY, *term_rev),
                Precondition::new(LEADER_KEY, leader_rev),
            ],
            writes: vec![
                Write {
                    key: TERM_KEY.to_owned(),
                    value: serde_json::to_string(&term).ok(),
                },
                Write {
                    key: LEADER_KEY.to_owned(),
                    value: serde_json::to_string(&leader).ok(),
                },
            ],
        },
        previous,
        earlier_at: if old.term > 1 {
            term_seen.plus(bound)
        } else {
            Micros::ZERO
        },
    })
}

impl ElectionAttempt {
    /// The bid was carried out at `rev`. None if the records have gone on since: then the leadership is
    /// another's already.
    pub fn won(
        self,
        records: &RecordCache,
        rev: u64,
        bound: Micros,
        now: Micros,
    ) -> Option<EarlierLeaders> {
        if records.term.0 != rev {
            return None;
        }
        let previous = self
            .previous
            .filter(|(name, incarnation)| records.incarnation_of(name) <= *incarnation);
        let earlier_at = now.max(self.earlier_at);
        let all_at = match &previous {
            Some(_) => earlier_at.max(now.plus(bound)),
            None => earlier_at,
        };
        Some(EarlierLeaders {
            previous,
            earlier_at,
            all_at,
        })
    }
}

/// What a leader writes that gives way: the leadership is free, and a new incarnation of this node proves that
/// the one that led answers nobody any more.
pub fn resignation(
    records: &RecordCache,
    me: &str,
    record: &NodeRecord,
    term_rev: u64,
) -> Transaction {
    let key = node_key(me);
    let node_rev = records.nodes.get(me).map_or(0, |n| n.0);
    let writes = vec![
        Write {
            key: LEADER_KEY.to_owned(),
            value: None,
        },
        Write {
            key: key.clone(),
            value: serde_json::to_string(record).ok(),
        },
    ];
    Transaction {
        preconditions: vec![
            Precondition::new(TERM_KEY, term_rev),
            Precondition::new(key, node_rev),
        ],
        writes,
    }
}

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
        known.cursor = ack.upto;
        if !ack.more {
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
        .since(Micros::from_secs(4))
        .max(Micros::from_secs(2))
}

/// What a leader knows of how well it is heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentReachability {
    /// Agents that are up as far as the leader knows.
    pub known: usize,
    /// Of these, heard lately.
    pub heard: usize,
    /// Agents that knock at the best placed peer, sent on to the leader.
    pub redirected: usize,
    /// Peers that answer this node.
    pub peers: usize,
    /// Nodes other than this one.
    pub others: usize,
}

impl AgentReachability {
    /// The agents do not reach this leader although others would hear them. Held for a while,
    /// this is the reason to resign before the agents' leases run out. When nobody else hears
    /// more, resigning would only make leadership flap.
    pub fn is_isolated(&self) -> bool {
        if self.known == 0 || self.heard * 2 >= self.known {
            return false;
        }
        if self.peers == 0 && self.others > 0 {
            return self.heard == 0;
        }
        self.redirected > self.heard
    }
}

/// When the leadership is vacant, the wait before a node tries to take it.
pub fn election_delay(random: u64, shy: bool) -> Micros {
    let base = Micros(random % 200_000);
    if shy {
        base.plus(Micros::from_secs(6))
    } else {
        base
    }
}
