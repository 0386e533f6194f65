//! What a controller of protocol version 0 (commit 0eaad3a) does differently, modelled for upgrade
//! tests: its heartbeats carry neither version nor acknowledgements, and as a leader it answers agents
//! beyond its bound while every peer says that it cannot reach the state service.

use std::collections::BTreeMap;

use saltpitch_core::controller::StoreHealth;
use saltpitch_core::messages::PeerStatus;
use saltpitch_core::Micros;

/// How old a peer's answer may be to count.
const ANSWER_MAX_AGE: Micros = Micros::from_millis(2_500);
/// By how much such answers extend the leader's own.
const EXTENSION: Micros = Micros::from_secs(3);

/// A heartbeat as version 0 sends it.
pub fn status_v0(status: PeerStatus) -> PeerStatus {
    PeerStatus {
        protocol_version: 0,
        ack_request: None,
        ack: None,
        ..status
    }
}

/// An answer as version 0 gives it: it says plainly whether it reaches the state service.
pub fn answer_v0(answer: PeerStatus, store: StoreHealth) -> PeerStatus {
    PeerStatus {
        store_reachable: store.reachable,
        ..status_v0(answer)
    }
}

/// A leader's knowledge of which peers cannot reach the state service.
#[derive(Default)]
pub struct CommonOutage {
    answers: BTreeMap<String, Answer>,
    extended_until: Micros,
}

struct Answer {
    store_reachable: bool,
    asked_at: Micros,
}

impl CommonOutage {
    /// A peer answered a heartbeat that was sent at `asked_at`.
    pub fn answer_received(&mut self, status: &PeerStatus, asked_at: Micros) {
        let answer = Answer {
            store_reachable: status.store_reachable,
            asked_at,
        };
        self.answers.insert(status.node.clone(), answer);
    }

    /// A renewal of the leadership lease got no answer.
    pub fn renewal_unanswered(&mut self, peers: usize, now: Micros) {
        let without_store = self
            .answers
            .values()
            .filter(|a| !a.store_reachable && now.since(a.asked_at) < ANSWER_MAX_AGE)
            .count();
        if peers > 0 && without_store == peers {
            self.extended_until = now.plus(EXTENSION);
        }
    }

    /// Whether a leader may answer by this alone.
    pub fn may_answer(&self, now: Micros) -> bool {
        now < self.extended_until
    }
}
