//! Builds the transactions by which a controller becomes leader or resigns, and computes when the earlier
//! leaders are fenced, that is, when they can no longer answer any agent.

use super::fencing_tokens::{has_earlier_term, next_term};
use crate::records::{
    node_key, LeaderRecord, NodeRecord, RecordCache, TermRecord, LEADER_KEY, TERM_KEY,
};
use crate::scheduler::{Precondition, Transaction, Write};
use crate::time::Micros;

/// How long after its start an election attempt may still succeed.
const ATTEMPT_TIMEOUT: Micros = Micros::from_secs(4);
/// The upper limit of a candidate's random delay, which makes it likely that one candidate comes first.
const MAX_ELECTION_JITTER_US: u64 = 200_000;
/// The additional delay of a candidate that lets the others come first.
const DEFERRAL_DELAY: Micros = Micros::from_secs(6);

/// Identifies one process of a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// The controller's name.
    pub node: String,
    /// The process's incarnation. A newer incarnation on record proves that this process answers no agent.
    pub incarnation: u64,
}

impl ProcessIdentity {
    /// Returns whether the records show a newer process of this controller.
    fn is_superseded(&self, records: &RecordCache) -> bool {
        records.incarnation_of(&self.node) > self.incarnation
    }
}

/// One attempt to become leader: the transaction to commit and what is known about the earlier leaders.
#[derive(Clone, Debug)]
pub struct ElectionAttempt {
    /// The term that the attempt takes.
    pub term: u64,
    /// The transaction that takes the term. The caller must attach the write of [`LEADER_KEY`] to the
    /// leadership lease.
    pub transaction: Transaction,
    /// The previous leader, unless it is proven gone.
    previous: Option<ProcessIdentity>,
    /// The time on the steady clock from which the leaders before the previous one answer no agent.
    earlier_fenced_at: Micros,
}

/// The times from which earlier leaders can no longer answer agents.
#[derive(Clone, Debug)]
pub struct EarlierLeaders {
    /// The previous leader, unless it is proven gone.
    pub previous: Option<ProcessIdentity>,
    /// When all leaders before the previous one are fenced.
    pub earlier_fenced_at: Micros,
    /// When all earlier leaders, including the previous one, are fenced.
    pub all_fenced_at: Micros,
}

/// Returns whether the records allow this process to take the leadership: either there is no leader, or the
/// leader is an earlier incarnation of the same controller, whose end this process proves.
pub fn is_leaderless(records: &RecordCache, node: &str, incarnation: u64) -> bool {
    match &records.leader {
        None => true,
        Some(leader) => leader.value.node == node && leader.value.incarnation < incarnation,
    }
}

/// Builds an election attempt from this controller's copy of the records, or returns `None` if there is a
/// leader. `bound` is how long a leader may answer agents after its last confirmation, and `term_seen_at` is
/// when this controller first saw the term that its records show.
///
/// All leaders before the leader of that term are fenced `bound` after `term_seen_at`. Such a leader answers
/// agents for at most `bound` after one of two events. Either the store renewed its lease, which it can only
/// have done before it accepted the next term; or all other controllers acknowledged, and the
/// acknowledgement of this controller would have named the next term if it had seen it by then. The rule
/// therefore holds regardless of how late the term's transaction was carried out, and over any number of
/// successive leaders. The recorded field `earlier_leaders_fenced_at` carries the same information for
/// versions that rely on it.
pub fn campaign(
    records: &RecordCache,
    node: &str,
    incarnation: u64,
    bound: Micros,
    wall: Micros,
    term_seen_at: Micros,
) -> Option<ElectionAttempt> {
    if !is_leaderless(records, node, incarnation) {
        return None;
    }
    let term_revision = records.term.revision;
    let last = &records.term.value;
    let previous = (term_revision > 0).then(|| ProcessIdentity {
        node: last.node.clone(),
        incarnation: last.incarnation,
    });
    let previous = previous.filter(|process| !process.is_superseded(records));
    let term = TermRecord {
        term: next_term(last.term),
        node: node.to_owned(),
        incarnation,
        earlier_leaders_fenced_at: match previous {
            Some(_) => {
                let fenced_at = wall.plus(bound).plus(ATTEMPT_TIMEOUT);
                last.earlier_leaders_fenced_at.max(fenced_at)
            }
            None => last.earlier_leaders_fenced_at,
        },
    };
    let leader = LeaderRecord {
        node: node.to_owned(),
        incarnation,
        term: term.term,
    };
    let leader_revision = records.leader.as_ref().map_or(0, |leader| leader.revision);
    Some(ElectionAttempt {
        term: term.term,
        transaction: Transaction {
            preconditions: vec![
                Precondition::new(TERM_KEY, term_revision),
                Precondition::new(LEADER_KEY, leader_revision),
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
        earlier_fenced_at: match has_earlier_term(last.term) {
            true => term_seen_at.plus(bound),
            false => Micros::ZERO,
        },
    })
}

impl ElectionAttempt {
    /// Returns when the earlier leaders are fenced, given that the attempt's transaction was committed at
    /// `revision`. Returns `None` if the term has changed since: then another controller already leads.
    pub fn earlier_leaders(
        self,
        records: &RecordCache,
        revision: u64,
        bound: Micros,
        now: Micros,
    ) -> Option<EarlierLeaders> {
        if records.term.revision != revision {
            return None;
        }
        let previous = self
            .previous
            .filter(|process| !process.is_superseded(records));
        let earlier_fenced_at = now.max(self.earlier_fenced_at);
        let all_fenced_at = match &previous {
            Some(_) => earlier_fenced_at.max(now.plus(bound)),
            None => earlier_fenced_at,
        };
        Some(EarlierLeaders {
            previous,
            earlier_fenced_at,
            all_fenced_at,
        })
    }
}

/// Builds the transaction by which a leader resigns. It deletes the leader's record and writes a new
/// incarnation of this controller, which proves that the incarnation that led no longer answers agents.
pub fn resignation(
    records: &RecordCache,
    node: &str,
    record: &NodeRecord,
    term_revision: u64,
) -> Transaction {
    let key = node_key(node);
    let node_revision = records.nodes.get(node).map_or(0, |known| known.revision);
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
            Precondition::new(TERM_KEY, term_revision),
            Precondition::new(key, node_revision),
        ],
        writes,
    }
}

/// Returns how long a candidate waits before it campaigns while there is no leader. A candidate that
/// `defers` waits longer, to let others come first.
pub fn election_delay(random: u64, defers: bool) -> Micros {
    let jitter = Micros(random % MAX_ELECTION_JITTER_US);
    if defers {
        jitter.plus(DEFERRAL_DELAY)
    } else {
        jitter
    }
}
