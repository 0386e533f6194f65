//! How a leader is elected and resigns, and from when on earlier leaders are fenced.

use crate::records::{
    node_key, LeaderRecord, NodeRecord, RecordCache, TermRecord, LEADER_KEY, TERM_KEY,
};
use crate::scheduler::{Precondition, Transaction, Write};
use crate::time::Micros;

/// How long after an election attempt was made its maker may yet become leader by it.
const ATTEMPT_TIMEOUT: Micros = Micros::from_secs(4);
/// Candidates wait for up to this time, at random, so that one of them comes first.
const MAX_ELECTION_JITTER_US: u64 = 200_000;
/// How much longer a candidate waits that defers to the others.
const DEFERENCE: Micros = Micros::from_secs(6);

/// One process of a controller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProcessIdentity {
    /// The controller's name.
    pub node: String,
    /// The process's incarnation: a newer one proves that this one answers nobody.
    pub incarnation: u64,
}

impl ProcessIdentity {
    /// Whether a newer process of this controller is on record.
    fn is_superseded(&self, records: &RecordCache) -> bool {
        records.incarnation_of(&self.node) > self.incarnation
    }
}

/// One attempt at the leadership: what to write and on what conditions, and who led before.
#[derive(Clone, Debug)]
pub struct ElectionAttempt {
    /// The term that it takes.
    pub term: u64,
    /// What to write, and on what conditions. The write of [`LEADER_KEY`] is to be attached to the
    /// leadership lease.
    pub transaction: Transaction,
    /// The previous leader, if it is not proven gone.
    previous: Option<ProcessIdentity>,
    /// On the steady clock: from then on the leaders before that one answer nobody.
    earlier_fenced_at: Micros,
}

/// From when on no earlier leader can answer an agent.
#[derive(Clone, Debug)]
pub struct EarlierLeaders {
    /// The previous leader, if it is not proven gone.
    pub previous: Option<ProcessIdentity>,
    /// When the leaders before that one are fenced.
    pub earlier_fenced_at: Micros,
    /// When all of them are.
    pub all_fenced_at: Micros,
}

/// Whether this process can take the leadership as far as its records say: nobody holds it, or an earlier
/// incarnation of this same controller does, which is proven over by this one.
pub fn is_leaderless(records: &RecordCache, node: &str, incarnation: u64) -> bool {
    match &records.leader {
        None => true,
        Some(leader) => leader.value.node == node && leader.value.incarnation < incarnation,
    }
}

/// An election attempt on the records as this controller has them; `None` if there is a leader. `bound`:
/// how long a leader may answer agents after it was last confirmed. `term_seen_at`: when this controller
/// first saw the term that its records show.
///
/// All leaders before the one of that term are fenced `bound` after it was seen. They answer for so long
/// after the store renewed their lease, which it did before it took the next term, or after each other
/// controller acknowledged, and this controller's acknowledgement would have named the term that it had
/// seen. So this holds however late that term's transaction was carried out, and through any number of
/// successions. `earlier_leaders_fenced_at` on record says the same for versions that go by it.
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
        term: last.term + 1,
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
        earlier_fenced_at: match last.term > 1 {
            true => term_seen_at.plus(bound),
            false => Micros::ZERO,
        },
    })
}

impl ElectionAttempt {
    /// The attempt was carried out at this revision. `None` if the records have gone on since: then the
    /// leadership is another's already.
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

/// What a leader writes that resigns: there is no leader, and a new incarnation of this controller proves
/// that the one that led answers nobody any more.
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

/// How long a candidate waits before it campaigns while there is no leader. One that `defers` lets others
/// come first.
pub fn election_delay(random: u64, defers: bool) -> Micros {
    let jitter = Micros(random % MAX_ELECTION_JITTER_US);
    if defers {
        jitter.plus(DEFERENCE)
    } else {
        jitter
    }
}
