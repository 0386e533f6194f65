//! Stand-ins for the shell round the core: follows the records, holds office, carries effects to
//! the other stand-ins by the same rules as the real shell.

use std::sync::Arc;

use saltpitch_core::catalog::Catalog;
use saltpitch_core::leader::{Config, Leader, Write};
use saltpitch_core::leadership::{self, answer_bound, Bid, Words, HOLD};
use saltpitch_core::records::{node_key, Cursor, NodeRecord, View, Word};
use saltpitch_core::Micros;

use crate::store::Store;

pub struct Node {
    pub name: String,
    pub zone: String,
    pub up_at: Micros,
    pub life: u64,
    pub announced: bool,
    /// Runs the version in production: it gives no word on cancellations, asks for none, and writes
    /// values as large as the store's present limits allow.
    pub old: bool,
    /// Tells this process from every other.
    pub process: u64,
    /// The records were read since this process started.
    pub synced: bool,
    pub view: View,
    /// When the term that the records show was first seen.
    pub term_seen: Micros,
    /// What the other nodes have told this leader of cancellations.
    pub words: Words,
    pub leader: Option<Leader>,
    pub hold: Option<u64>,
    pub epoch: u64,
    pub answers_until: Micros,
    pub previous: Option<(String, u64)>,
    pub elders_silent_at: Micros,
    /// Cut from the store, and from the workers, until then.
    pub no_store_until: Micros,
    pub no_workers_until: Micros,
    /// Cut from the other controllers until then.
    pub no_peers_until: Micros,
    /// The process stands still until then, while its clocks run on: what arrives is read afterwards.
    pub frozen_until: Micros,
    pub shy_until: Micros,
    pub deaf_since: Option<Micros>,
    /// A bid for the leadership is under way.
    pub bidding: bool,
}

impl Node {
    pub fn new(name: &str, zone: &str) -> Node {
        Node {
            name: name.to_owned(),
            zone: zone.to_owned(),
            up_at: Micros::ZERO,
            life: 1,
            announced: false,
            old: false,
            process: 0,
            synced: false,
            view: View::default(),
            term_seen: Micros::ZERO,
            words: Words::default(),
            leader: None,
            hold: None,
            epoch: 0,
            answers_until: Micros::ZERO,
            previous: None,
            elders_silent_at: Micros::ZERO,
            no_store_until: Micros::ZERO,
            no_workers_until: Micros::ZERO,
            no_peers_until: Micros::ZERO,
            frozen_until: Micros::ZERO,
            shy_until: Micros::ZERO,
            deaf_since: None,
            bidding: false,
        }
    }

    pub fn is_up(&self, now: Micros) -> bool {
        now >= self.up_at
    }

    /// How long it will yet stand still.
    pub fn frozen(&self, now: Micros) -> Micros {
        self.frozen_until.since(now)
    }

    pub fn may_answer(&self, now: Micros) -> bool {
        self.is_up(now) && self.leader.is_some() && now < self.answers_until
    }

    pub fn depose(&mut self) {
        self.leader = None;
        self.hold = None;
        self.deaf_since = None;
        self.epoch += 1;
    }

    /// The process ends; a new one starts at `up_at`, with nothing but the settings.
    pub fn crash(&mut self, up_at: Micros) {
        let epoch = self.epoch + 1;
        let (store, workers) = (self.no_store_until, self.no_workers_until);
        let (process, peers) = (self.process + 1, self.no_peers_until);
        let old = self.old;
        *self = Node {
            epoch,
            old,
            process,
            no_peers_until: peers,
            up_at,
            no_store_until: store,
            no_workers_until: workers,
            ..Node::new(&self.name, &self.zone)
        };
    }

    pub fn reaches_store(&self, store: &Store, now: Micros) -> bool {
        !store.down && now >= self.no_store_until
    }

    /// Takes in the changes that the store has.
    pub fn follow(&mut self, store: &Store, now: Micros) {
        let mut changed = Vec::new();
        let owner = (self.view.term.1.node.clone(), self.view.term.1.life);
        if !self.synced {
            // A process that has just started reads the records as they stand, in the order of keys.
            for (key, e) in &store.keys {
                let Ok(value) = serde_json::value::RawValue::from_string(e.value.clone()) else {
                    continue;
                };
                let _ = self.view.put(key, &value, e.rev);
            }
            self.view.rev = store.rev;
        }
        for (rev, key, value) in store.changes(self.view.rev) {
            match value {
                Some(v) => {
                    if let Ok(saltpitch_core::records::Change::Job(id)) =
                        self.view.put(key, &v, rev)
                    {
                        changed.push(id);
                    }
                }
                None => {
                    self.view.delete(key, rev);
                }
            }
        }
        self.view.rev = store.rev;
        self.view.cancellations.trim();
        self.synced = true;
        if owner != (self.view.term.1.node.clone(), self.view.term.1.life) {
            self.term_seen = now;
        }
        let (rev, t) = self.view.term.clone();
        let own = t.node == self.name && t.life == self.life;
        match self.leader.as_mut() {
            Some(l) if l.term < t.term && own => l.term_raised(t.term, rev),
            Some(l) if l.term < t.term => self.depose(),
            _ => {}
        }
        let gone = self
            .previous
            .as_ref()
            .is_some_and(|p| self.view.life(&p.0) > p.1);
        if gone {
            self.previous = None;
            let silent = now.max(self.elders_silent_at);
            if let Some(l) = self.leader.as_mut() {
                l.old_leader_gone(silent);
            }
        }
        if let Some(l) = self.leader.as_mut() {
            for id in changed {
                l.job_changed(&self.view, &id, now, now);
            }
        }
    }

    pub fn announce(&mut self, store: &mut Store) {
        let (rev, known) = self
            .view
            .nodes
            .get(&self.name)
            .map_or((0, 0), |n| (n.0, n.1.life));
        self.life = known + 1;
        let key = node_key(&self.name);
        let write = Write {
            key: key.clone(),
            value: serde_json::to_string(&NodeRecord { life: self.life }).ok(),
        };
        let done = store.txn(&[(key, rev)], &[write], None);
        self.announced = matches!(done, saltpitch_core::leader::Outcome::Done(_));
    }

    /// The first half of an election, on the records as this node has them: they may be old.
    pub fn bid(&mut self, store: &mut Store, cfg: &Config, now: Micros) -> Option<(Bid, u64)> {
        let bound = answer_bound(cfg.cancel, cfg.lease);
        let bid = leadership::bid(
            &self.view,
            &self.name,
            self.life,
            bound,
            now,
            self.term_seen,
        )?;
        let hold = store.open_hold(HOLD, now)?;
        Some((bid, hold))
    }

    /// The second half: the transaction was carried out at `rev`, and the records were read since.
    pub fn begin(
        &mut self,
        bid: Bid,
        hold: u64,
        rev: u64,
        cfg: &Config,
        catalog: &Arc<Catalog>,
        now: Micros,
    ) -> bool {
        let bound = answer_bound(cfg.cancel, cfg.lease);
        let Some(silence) = bid.won(&self.view, rev, bound, now) else {
            return false;
        };
        self.elders_silent_at = silence.elders_at;
        self.previous = silence.previous;
        self.epoch += 1;
        self.hold = Some(hold);
        self.answers_until = now.plus(bound);
        self.words = Words::default();
        let all_at = silence.all_at;
        let mut l = Leader::new(cfg.clone(), &self.view, catalog.clone(), all_at, now, now);
        l.open_zones.insert(self.zone.clone());
        self.leader = Some(l);
        true
    }

    /// What this node tells a leader whose records are as of `rev`: the term that it knows, and its
    /// word, if it can give one.
    pub fn word(&self, rev: u64, at: Cursor) -> (u64, Option<Word>) {
        let word =
            (self.synced && !self.old).then(|| self.view.cancellations.word(self.process, rev, at));
        (self.view.term.1.term, word.flatten())
    }

    /// A peer's word, asked for at `asked`.
    pub fn take_word(
        &mut self,
        peer: &str,
        word: &Word,
        asked: Micros,
        others: &[String],
        bound: Micros,
        now: Micros,
    ) {
        let Some(leader) = self.leader.as_mut() else {
            return;
        };
        for id in &word.cancelled {
            leader.called_off(id, now);
        }
        self.words.take(peer, word, asked);
        if let Some(until) = self.words.until(others.iter().map(String::as_str), bound) {
            self.answers_until = self.answers_until.max(until);
        }
    }

    /// A change that this node made itself.
    pub fn know(&mut self, key: &str, value: String, rev: u64, now: Micros) {
        let Ok(value) = serde_json::value::RawValue::from_string(value) else {
            return;
        };
        if let Ok(saltpitch_core::records::Change::Job(id)) = self.view.put(key, &value, rev) {
            if let Some(l) = self.leader.as_mut() {
                l.job_changed(&self.view, &id, now, now);
            }
        }
    }
}
