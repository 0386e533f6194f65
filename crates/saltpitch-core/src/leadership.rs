//! Who leads: when to take office, how long to go on without the store, when to give way.

use std::collections::BTreeMap;

use crate::leader::Write;
use crate::records::{
    node_key, Cursor, LeaderRecord, NodeRecord, TermRecord, View, Word, LEADER_KEY, TERM_KEY,
};
use crate::time::Micros;

/// How long the hold on the leadership lasts without renewal.
pub const HOLD: Micros = Micros::from_secs(3);

/// How long after a bid was made its maker may yet take office on it.
const BID: Micros = Micros::from_secs(4);

/// Whether the leadership can be taken by this process as far as its records say: nobody holds it,
/// or an earlier life of this same node does, which is proven over by this one.
pub fn vacant(view: &View, me: &str, life: u64) -> bool {
    match &view.leader {
        None => true,
        Some(l) => l.1.node == me && l.1.life < life,
    }
}

/// One try at the leadership: what to write and on what conditions, and who led before.
#[derive(Clone, Debug)]
pub struct Bid {
    pub term: u64,
    pub when: Vec<(String, u64)>,
    /// The write of [`LEADER_KEY`] is to be attached to the hold.
    pub writes: Vec<Write>,
    /// The leader before, if it is not proven gone.
    previous: Option<(String, u64)>,
    /// On the steady clock: from then on the leaders before that one answer nobody.
    elders_at: Micros,
}

/// From when on no earlier leader can answer a worker.
#[derive(Clone, Debug)]
pub struct Silence {
    /// The leader before, if it is not proven gone.
    pub previous: Option<(String, u64)>,
    pub elders_at: Micros,
    pub all_at: Micros,
}

/// A bid on the records as this node has them; none if the leadership is not vacant. `bound`: how
/// long a leader may answer workers after it was last confirmed. `term_seen`: when this node first
/// saw the term that its records show.
///
/// All leaders before the one of that term are silent `bound` after it was seen. They answer for so
/// long after the store renewed their hold, which it did before it took the next term, or after each
/// other node gave its word, and this node's word would have named the term that it had seen. So
/// this holds however late that term's transaction was carried out, and through any number of
/// successions. `quiet` in the record says the same for versions that go by it.
pub fn bid(
    view: &View,
    me: &str,
    life: u64,
    bound: Micros,
    wall: Micros,
    term_seen: Micros,
) -> Option<Bid> {
    if !vacant(view, me, life) {
        return None;
    }
    let (term_rev, old) = &view.term;
    let previous = (*term_rev > 0)
        .then(|| (old.node.clone(), old.life))
        .filter(|(name, life)| view.life(name) <= *life);
    let term = TermRecord {
        term: old.term + 1,
        node: me.to_owned(),
        life,
        quiet: match previous {
            Some(_) => old.quiet.max(wall.plus(bound).plus(BID)),
            None => old.quiet,
        },
    };
    let leader = LeaderRecord {
        node: me.to_owned(),
        life,
        term: term.term,
    };
    let leader_rev = view.leader.as_ref().map_or(0, |l| l.0);
    Some(Bid {
        term: term.term,
        when: vec![
            (TERM_KEY.to_owned(), *term_rev),
            (LEADER_KEY.to_owned(), leader_rev),
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
        previous,
        elders_at: if old.term > 1 {
            term_seen.plus(bound)
        } else {
            Micros::ZERO
        },
    })
}

impl Bid {
    /// The bid was carried out at `rev`. None if the records have gone on since: then the office is
    /// another's already.
    pub fn won(self, view: &View, rev: u64, bound: Micros, now: Micros) -> Option<Silence> {
        if view.term.0 != rev {
            return None;
        }
        let previous = self
            .previous
            .filter(|(name, life)| view.life(name) <= *life);
        let elders_at = now.max(self.elders_at);
        let all_at = match &previous {
            Some(_) => elders_at.max(now.plus(bound)),
            None => elders_at,
        };
        Some(Silence {
            previous,
            elders_at,
            all_at,
        })
    }
}

/// What a leader writes that gives way: the office is free, and a new life of this node proves that
/// the one that led answers nobody any more.
pub fn resignation(
    view: &View,
    me: &str,
    life: u64,
    term_rev: u64,
) -> (Vec<(String, u64)>, Vec<Write>) {
    let key = node_key(me);
    let node_rev = view.nodes.get(me).map_or(0, |n| n.0);
    let writes = vec![
        Write {
            key: LEADER_KEY.to_owned(),
            value: None,
        },
        Write {
            key: key.clone(),
            value: serde_json::to_string(&NodeRecord { life }).ok(),
        },
    ];
    (
        vec![(TERM_KEY.to_owned(), term_rev), (key, node_rev)],
        writes,
    )
}

/// Where a leader stands with one other node: which process of it spoke last, up to which entry of
/// its list of cancellations, and when the last question that it answered in full was asked.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Heard {
    cursor: Cursor,
    complete: Option<Micros>,
}

/// What every other node has told a leader of the cancellations that it may have confirmed to users.
///
/// At each moment at which a leader renews a lease, it has acted on every cancellation that any node
/// can have confirmed up to [`answer_bound`] earlier. The store's renewal of the hold says so for all
/// nodes at once, since whatever was confirmed by then is in the records that the leader follows.
/// Without the store each node has to say it by itself: that a node has no store *now* tells nothing
/// of what it confirmed since the leader lost its own. So a node's word carries whatever that node
/// knows beyond the leader's records, and counts from when it was asked. A node that is silent, has
/// started anew and not read the records since, or is too old to give its word prolongs nothing.
#[derive(Clone, Debug, Default)]
pub struct Words(BTreeMap<String, Heard>);

impl Words {
    /// From where the next word of this node is to go on.
    pub fn cursor(&self, node: &str) -> Cursor {
        self.0.get(node).map_or(Cursor::default(), |h| h.cursor)
    }

    /// A word in answer to a question of the time `asked`. The cancellations in it must have been
    /// acted on before.
    pub fn take(&mut self, node: &str, word: &Word, asked: Micros) {
        let h = self.0.entry(node.to_owned()).or_default();
        h.cursor = word.upto;
        if !word.more {
            h.complete = Some(h.complete.map_or(asked, |old| old.max(asked)));
        }
    }

    /// Until when these other nodes' words allow to answer workers. None: one of them gave none.
    pub fn until<'a>(
        &self,
        others: impl Iterator<Item = &'a str>,
        bound: Micros,
    ) -> Option<Micros> {
        let mut oldest: Option<Micros> = None;
        for node in others {
            let at = self.0.get(node)?.complete?;
            oldest = Some(oldest.map_or(at, |o| o.min(at)));
        }
        oldest.map(|at| at.plus(bound))
    }
}

/// How long a leader may go on answering workers after its last confirmed renewal. A cancelled
/// task must be gone `cancel` after its user was told, and a worker that was answered last at the
/// very end of this span keeps its tasks for one lease more.
pub fn answer_bound(cancel: Micros, lease: Micros) -> Micros {
    cancel
        .since(lease.with_drift())
        .since(Micros::from_secs(4))
        .max(Micros::from_secs(2))
}

/// What a leader knows of how well it is heard.
#[derive(Clone, Copy, Debug, Default)]
pub struct Hearing {
    /// Workers that are up as far as the leader knows.
    pub known: usize,
    /// Of these, heard lately.
    pub heard: usize,
    /// Workers that knock at the best placed peer, sent on to the leader.
    pub knocks: usize,
    /// Peers that answer this node.
    pub peers: usize,
    /// Nodes other than this one.
    pub others: usize,
}

impl Hearing {
    /// The workers do not reach this leader although others would hear them. Held for a while,
    /// this is the reason to resign before the workers' leases run out. When nobody else hears
    /// more, resigning would only make leadership flap.
    pub fn deaf(&self) -> bool {
        if self.known == 0 || self.heard * 2 >= self.known {
            return false;
        }
        if self.peers == 0 && self.others > 0 {
            return self.heard == 0;
        }
        self.knocks > self.heard
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
