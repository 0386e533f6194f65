//! Heartbeats between controllers.

use std::collections::BTreeSet;

use crate::messages::{AckRequest, PeerStatus, PROTOCOL_VERSION};
use crate::records::CancellationAck;
use crate::time::Micros;

use super::{Controller, Notice, PeerObservation, StoreHealth, PEER_TIMEOUT};

/// How recent a peer's answer must be for its zone to count as reachable.
const ZONE_TIMEOUT: Micros = Micros::from_millis(1_500);

impl Controller {
    /// What this controller says about itself.
    pub fn status(&self, store: StoreHealth, now: Micros) -> PeerStatus {
        let term = &self.records.term.value;
        PeerStatus {
            node: self.config.name.clone(),
            term: term.term,
            term_owner: term.node.clone(),
            term_incarnation: term.incarnation,
            is_leader: self.may_answer(now),
            store_reachable: store.reachable,
            redirected_agents: self.recently_redirected(now),
            protocol_version: PROTOCOL_VERSION,
            ack_request: None,
            ack: None,
        }
    }

    /// A heartbeat to `peer`; a leader asks it to acknowledge cancellations.
    pub fn peer_heartbeat(&self, peer: &str, store: StoreHealth, now: Micros) -> PeerStatus {
        let ack_request = self.leadership.as_ref().map(|leadership| AckRequest {
            revision: self.records.revision,
            cursor: leadership.acks.cursor(peer),
        });
        PeerStatus {
            ack_request,
            ..self.status(store, now)
        }
    }

    /// Takes in a peer's heartbeat and answers it.
    pub fn peer_heartbeat_received(
        &mut self,
        peer_heartbeat: PeerStatus,
        store: StoreHealth,
        now: Micros,
    ) -> PeerStatus {
        let ack_request = peer_heartbeat.ack_request;
        let peer_version = peer_heartbeat.protocol_version;
        self.peer_heard(peer_heartbeat, None, now);
        let mut answer = self.status(store, now);
        if peer_version == 0
            && !answer.store_reachable
            && self.has_fresh_cancellation(store.last_success_at)
        {
            // A leader of protocol version 0 answers agents beyond its bound while every peer says
            // that it cannot reach the state service. A controller that may know of a cancellation
            // which that leader, having lost the state service a little sooner, missed must not say so.
            answer.store_reachable = true;
        }
        // Only what was read since this process started relates to a leader's records.
        answer.ack = ack_request.filter(|_| self.synced).and_then(|request| {
            self.records
                .cancellations
                .acknowledge(self.process, request)
        });
        answer
    }

    /// Takes in the answer to a heartbeat that was sent at `asked_at` in `epoch`. True if the peer has
    /// more to acknowledge and should be asked again at once.
    pub fn peer_heartbeat_answered(
        &mut self,
        mut answer: PeerStatus,
        asked_at: Micros,
        epoch: u64,
        now: Micros,
    ) -> bool {
        // What was asked for in an earlier leadership says nothing to this one.
        if self.epoch != epoch {
            answer.ack = None;
        }
        let more = answer.ack.as_ref().is_some_and(|ack| ack.has_more);
        self.peer_heard(answer, Some(asked_at), now);
        more
    }

    /// A peer said this; `asked_at` is the time of the request that it answers.
    fn peer_heard(&mut self, mut status: PeerStatus, asked_at: Option<Micros>, now: Micros) {
        let ack = status.ack.take();
        let own_term =
            status.term_owner == self.config.name && status.term_incarnation == self.incarnation;
        if !own_term {
            self.term_seen(status.term);
        }
        if !self.config.peers.iter().any(|p| p.name == status.node) {
            return;
        }
        if let (Some(ack), Some(asked_at)) = (ack, asked_at) {
            self.acknowledged(&status.node, &ack, asked_at, now);
        }
        let previous = self.peers.get(&status.node).map(|p| p.asked_at);
        let observation = PeerObservation {
            heard_at: now,
            asked_at: asked_at.or(previous).unwrap_or(Micros::ZERO),
            status,
        };
        self.peers
            .insert(observation.status.node.clone(), observation);
    }

    /// A peer's acknowledgement: acted on first, then counted.
    fn acknowledged(&mut self, peer: &str, ack: &CancellationAck, asked_at: Micros, now: Micros) {
        let bound = self.answer_bound();
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        for job in &ack.cancelled {
            leadership.scheduler.cancelled_by_peer(job, now);
            self.notices.push(Notice::CancelledByPeer {
                job: job.clone(),
                peer: peer.to_owned(),
            });
        }
        leadership.acks.record(peer, ack, asked_at);
        let peers = self.config.peers.iter().map(|p| p.name.as_str());
        if let Some(until) = leadership.acks.valid_until(peers, bound) {
            leadership.answers_until = leadership.answers_until.max(until);
        }
    }

    /// How many peers were heard lately.
    pub fn live_peers(&self, now: Micros) -> usize {
        self.peers.values().filter(|p| p.is_alive(now)).count()
    }

    /// The peers that were heard lately and can reach the state service.
    pub fn peers_with_store(&self, now: Micros) -> impl Iterator<Item = &str> {
        self.peers
            .values()
            .filter(move |p| p.is_alive(now) && p.status.store_reachable)
            .map(|p| p.status.node.as_str())
    }

    /// The controller that answers agents, if another one is known to and can be reached from here.
    pub fn leader_elsewhere(&self, now: Micros) -> Option<&str> {
        let claims = self
            .peers
            .values()
            .filter(|p| p.is_alive(now) && p.status.is_leader);
        if let Some(peer) = claims.max_by_key(|p| p.status.term) {
            return Some(&peer.status.node);
        }
        let recorded = &self.records.leader.as_ref()?.value;
        let peer = self.peers.get(&recorded.node)?;
        peer.is_alive(now).then_some(peer.status.node.as_str())
    }

    /// The zones from which a controller answered just now, and this one's own.
    pub(super) fn reachable_zones(&self, now: Micros) -> BTreeSet<String> {
        let mut zones = BTreeSet::from([self.config.zone.clone()]);
        for peer in &self.config.peers {
            let answered = self
                .peers
                .get(&peer.name)
                .is_some_and(|p| now.since(p.asked_at) < ZONE_TIMEOUT);
            if answered {
                zones.insert(peer.zone.clone());
            }
        }
        zones
    }

    /// The most agents that a live peer had to redirect lately.
    pub(super) fn most_redirected(&self, now: Micros) -> usize {
        self.peers
            .values()
            .filter(|p| p.is_alive(now))
            .map(|p| p.status.redirected_agents as usize)
            .max()
            .unwrap_or(0)
    }
}

impl PeerObservation {
    fn is_alive(&self, now: Micros) -> bool {
        now.since(self.heard_at) < PEER_TIMEOUT
    }
}
