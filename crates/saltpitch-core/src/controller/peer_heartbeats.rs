//! Heartbeats between controllers, and the acknowledgements of cancellations that they carry.

use std::collections::BTreeSet;

use crate::messages::{AckRequest, PeerStatus, PROTOCOL_VERSION};
use crate::records::CancellationAck;
use crate::time::Micros;

use super::{Controller, Notice, PeerObservation, StoreHealth, PEER_TIMEOUT};

/// The maximum age of a peer's last answered request for the peer's zone to count as reachable.
const ZONE_TIMEOUT: Micros = Micros::from_millis(1_500);

impl Controller {
    /// Returns the status that this controller reports to its peers.
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

    /// Builds a heartbeat to `peer`. A leader also requests an acknowledgement of cancellations.
    pub fn peer_heartbeat(&self, peer: &str, store: StoreHealth, now: Micros) -> PeerStatus {
        let ack_request = self.leadership.as_ref().map(|leadership| AckRequest {
            revision: self.records.revision(),
            cursor: leadership.acks.cursor(peer),
        });
        PeerStatus {
            ack_request,
            ..self.status(store, now)
        }
    }

    /// Processes a peer's heartbeat and returns the answer.
    pub fn peer_heartbeat_received(
        &mut self,
        peer_heartbeat: PeerStatus,
        store: StoreHealth,
        now: Micros,
    ) -> PeerStatus {
        let ack_request = peer_heartbeat.ack_request;
        let peer_version = peer_heartbeat.protocol_version;
        self.peer_status_received(peer_heartbeat, None, now);
        let mut answer = self.status(store, now);
        if peer_version == 0
            && !answer.store_reachable
            && self.has_fresh_cancellation(store.last_success_at)
        {
            // A leader of protocol version 0 answers agents beyond its bound while every peer reports that
            // it cannot reach the state service. If that leader lost the state service a little earlier, it
            // may have missed a cancellation that this controller knows, so this controller must not report
            // the state service as unreachable.
            answer.store_reachable = true;
        }
        // An acknowledgement is relative to the leader's records, so it requires that this process has read
        // the records since its start.
        answer.ack = ack_request.filter(|_| self.synced).and_then(|request| {
            self.records
                .cancellations
                .acknowledge(self.process, request)
        });
        answer
    }

    /// Processes the answer to a heartbeat that was sent at `requested_at` in `epoch`. Returns true if the
    /// peer has more cancellations to acknowledge and should be asked again immediately.
    pub fn peer_heartbeat_answered(
        &mut self,
        mut answer: PeerStatus,
        requested_at: Micros,
        epoch: u64,
        now: Micros,
    ) -> bool {
        // An acknowledgement that an earlier leadership requested does not apply to this one.
        if self.epoch != epoch {
            answer.ack = None;
        }
        let has_more = answer.ack.as_ref().is_some_and(|ack| ack.has_more);
        self.peer_status_received(answer, Some(requested_at), now);
        has_more
    }

    /// Processes a status received from a peer. `requested_at` is when this controller sent the request that
    /// the status answers, if it is an answer.
    fn peer_status_received(
        &mut self,
        mut status: PeerStatus,
        requested_at: Option<Micros>,
        now: Micros,
    ) {
        let ack = status.ack.take();
        let is_own_term =
            status.term_owner == self.config.name && status.term_incarnation == self.incarnation;
        if !is_own_term {
            self.term_seen(status.term);
        }
        if !self.config.peers.iter().any(|p| p.name == status.node) {
            return;
        }
        if let (Some(ack), Some(requested_at)) = (ack, requested_at) {
            self.apply_ack(&status.node, &ack, requested_at, now);
        }
        let previous = self.peers.get(&status.node).map(|p| p.requested_at);
        let observation = PeerObservation {
            received_at: now,
            requested_at: requested_at.or(previous).unwrap_or(Micros::ZERO),
            status,
        };
        self.peers
            .insert(observation.status.node.clone(), observation);
    }

    /// Applies a peer's acknowledgement: passes the cancellations to the scheduler before the
    /// acknowledgement may extend the time for answering agents.
    fn apply_ack(&mut self, peer: &str, ack: &CancellationAck, requested_at: Micros, now: Micros) {
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
        leadership.acks.record(peer, ack, requested_at);
        let peers = self.config.peers.iter().map(|p| p.name.as_str());
        if let Some(until) = leadership.acks.valid_until(peers, bound) {
            leadership.answers_until = leadership.answers_until.max(until);
        }
    }

    /// Returns the number of peers from which a status was received within [`PEER_TIMEOUT`].
    pub fn live_peers(&self, now: Micros) -> usize {
        self.peers.values().filter(|p| p.is_alive(now)).count()
    }

    /// Returns the live peers that report that they can reach the state service.
    pub fn peers_with_store(&self, now: Micros) -> impl Iterator<Item = &str> {
        self.peers
            .values()
            .filter(move |p| p.is_alive(now) && p.status.store_reachable)
            .map(|p| p.status.node.as_str())
    }

    /// Returns the name of the leader if it is another controller, known and live: a peer that reports that
    /// it answers agents, or else the leader on record.
    pub fn reachable_other_leader(&self, now: Micros) -> Option<&str> {
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

    /// Returns whether no controller leads as far as this one can tell: it hears from a peer, and none of those that
    /// it hears from leads. Without a live peer it cannot tell, unless it is the only controller.
    pub fn sees_no_leader(&self, now: Micros) -> bool {
        if self.is_leader() {
            return false;
        }
        let mut live_peers = self.peers.values().filter(|p| p.is_alive(now)).peekable();
        let can_tell = live_peers.peek().is_some() || self.config.peers.is_empty();
        can_tell && live_peers.all(|p| !p.status.is_leader)
    }

    /// Returns the zones of the peers that answered a request within [`ZONE_TIMEOUT`], and this controller's
    /// own zone.
    pub(super) fn reachable_zones(&self, now: Micros) -> BTreeSet<String> {
        let mut zones = BTreeSet::from([self.config.zone.clone()]);
        for peer in &self.config.peers {
            let answered = self
                .peers
                .get(&peer.name)
                .is_some_and(|p| now.since(p.requested_at) < ZONE_TIMEOUT);
            if answered {
                zones.insert(peer.zone.clone());
            }
        }
        zones
    }

    /// Returns the highest number of agents that a single live peer reports to have recently redirected.
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
        now.since(self.received_at) < PEER_TIMEOUT
    }
}
