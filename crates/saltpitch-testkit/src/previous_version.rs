//! What a controller of protocol version 0 (commit 0eaad3a) does differently, modelled for upgrade
//! tests: its heartbeats carry neither version nor acknowledgements, and as a leader it answers agents
//! for longer than its lease allows while every peer says that it cannot reach the state service.

use std::collections::BTreeMap;

use saltpitch_core::controller::StoreHealth;
use saltpitch_core::messages::PeerStatus;
use saltpitch_core::Micros;

/// How long a peer's answer counts after its heartbeat was sent.
const ANSWER_MAX_AGE: Micros = Micros::from_millis(2_500);
/// For how long such answers let the leader continue to answer agents.
const EXTENSION: Micros = Micros::from_secs(3);

/// Returns a heartbeat as version 0 sends it.
pub fn status_v0(status: PeerStatus) -> PeerStatus {
    PeerStatus {
        protocol_version: 0,
        ack_request: None,
        ack: None,
        ..status
    }
}

/// Returns an answer as version 0 gives it, which always says whether the peer reaches the state service.
pub fn answer_v0(answer: PeerStatus, store: StoreHealth) -> PeerStatus {
    PeerStatus {
        store_reachable: store.reachable,
        ..status_v0(answer)
    }
}

/// What a leader of version 0 knows of the peers that cannot reach the state service.
#[derive(Default)]
pub struct CommonOutage {
    answers: BTreeMap<String, Answer>,
    extended_until: Micros,
}

struct Answer {
    store_reachable: bool,
    sent_at: Micros,
}

impl CommonOutage {
    /// Records a peer's answer to a heartbeat that was sent at `sent_at`.
    pub fn answer_received(&mut self, status: &PeerStatus, sent_at: Micros) {
        let answer = Answer {
            store_reachable: status.store_reachable,
            sent_at,
        };
        self.answers.insert(status.node.clone(), answer);
    }

    /// Records that a renewal of the leadership lease got no answer. If no peer reaches the state service
    /// either, the leader may answer agents for longer.
    pub fn renewal_unanswered(&mut self, peers: usize, now: Micros) {
        let without_store = self
            .answers
            .values()
            .filter(|answer| !answer.store_reachable && now.since(answer.sent_at) < ANSWER_MAX_AGE)
            .count();
        if peers > 0 && without_store == peers {
            self.extended_until = now.plus(EXTENSION);
        }
    }

    /// Returns whether a leader may answer agents for this reason alone.
    pub fn may_answer(&self, now: Micros) -> bool {
        now < self.extended_until
    }
}
