//! What is known of a machine's agent by the statuses that it sent.

use crate::agent::Heartbeat;
use crate::time::Micros;

/// The agent's epoch, the order of its statuses, and the fencing token that it obeys.
#[derive(Debug, Default)]
pub struct AgentState {
    epoch: u64,
    /// Sequence number of the newest status, in a heartbeat or an answer to a direct call.
    sequence: u64,
    /// Sequence number of the newest heartbeat: only the next heartbeat proves that a start in the answer
    /// to this one was lost.
    heartbeat_sequence: u64,
    /// The last heartbeat whose answer carried a start.
    start_sequence: u64,
    fencing_token: u64,
    fenced_at: Option<Micros>,
}

impl AgentState {
    /// The present epoch, by the agent's statuses or by the allocations on record.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Since when the agent ignores every earlier leader, if it is known to.
    pub fn fenced_at(&self) -> Option<Micros> {
        self.fenced_at
    }

    /// Whether the agent is known to ignore every earlier leader.
    pub fn is_fenced(&self) -> bool {
        self.fenced_at.is_some()
    }

    /// Whether the agent has seen this fencing token or a higher one.
    pub fn has_seen_token(&self, fencing_token: u64) -> bool {
        self.fencing_token >= fencing_token
    }

    /// Whether the status is newer than everything known.
    pub fn is_newer(&self, status: &Heartbeat) -> bool {
        (status.agent_epoch, status.sequence) > (self.epoch, self.sequence)
    }

    /// Whether the status begins an epoch that was not known.
    pub fn begins_epoch(&self, status: &Heartbeat) -> bool {
        status.agent_epoch > self.epoch
    }

    /// Whether this heartbeat, or a later one of its epoch, was taken in before.
    pub fn is_stale_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.agent_epoch == self.epoch && heartbeat.sequence <= self.heartbeat_sequence
    }

    /// Whether this heartbeat is the next that the agent sent to any controller after one that was
    /// answered here.
    pub fn follows_answer(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.agent_epoch == self.epoch
            && heartbeat.sequence == self.sequence + 1
            && self.heartbeat_sequence > 0
    }

    /// Whether a start that an answer carried may still reach the agent: no later heartbeat proves that it
    /// was lost.
    pub fn may_receive_start(&self) -> bool {
        self.start_sequence >= self.heartbeat_sequence
    }

    /// The agent showed this fencing token. Says whether that proves for the first time that it ignores
    /// every leader before the one that began with `first_term`.
    pub fn token_observed(&mut self, fencing_token: u64, first_term: u64, now: Micros) -> bool {
        self.fencing_token = self.fencing_token.max(fencing_token);
        if self.fenced_at.is_some() || self.fencing_token < first_term {
            return false;
        }
        self.fenced_at = Some(now);
        true
    }

    /// Takes in the order of a status that is newer than what is known.
    pub fn status_received(&mut self, status: &Heartbeat) {
        if self.begins_epoch(status) {
            self.heartbeat_sequence = 0;
            self.start_sequence = 0;
        }
        self.sequence = status.sequence;
        self.epoch = status.agent_epoch;
    }

    /// This heartbeat was taken in whole and is answered.
    pub fn heartbeat_answered(&mut self, sequence: u64) {
        self.heartbeat_sequence = self.heartbeat_sequence.max(sequence);
    }

    /// The answer to this heartbeat carries a start.
    pub fn start_sent(&mut self, sequence: u64) {
        self.start_sequence = self.start_sequence.max(sequence);
    }

    /// The records name an allocation in this epoch: what an earlier epoch says is older.
    pub fn epoch_recorded(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }
}
