//! The state of a machine's agent, as its statuses and the records show it.

use crate::agent::Heartbeat;
use crate::time::Micros;

/// The agent's epoch, the order of its statuses, and the highest fencing token that it has seen.
#[derive(Debug, Default)]
pub struct AgentState {
    epoch: u64,
    /// The sequence number of the newest status, in a heartbeat or an answer to a direct call.
    sequence: u64,
    /// The sequence number of the newest answered heartbeat. Only the next heartbeat proves that a start in
    /// the answer to this one was lost.
    heartbeat_sequence: u64,
    /// The sequence number of the last heartbeat whose answer carried a start.
    start_sequence: u64,
    fencing_token: u64,
    fenced_at: Option<Micros>,
}

impl AgentState {
    /// Returns the present epoch, known from the agent's statuses or from the allocations on record.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the sequence number of the newest status.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// Returns since when the agent is known to ignore every earlier leader, or `None` if it is not.
    pub fn fenced_at(&self) -> Option<Micros> {
        self.fenced_at
    }

    /// Returns whether the agent is known to ignore every earlier leader.
    pub fn is_fenced(&self) -> bool {
        self.fenced_at.is_some()
    }

    /// Returns whether the agent has seen this fencing token or a higher one.
    pub fn has_seen_token(&self, fencing_token: u64) -> bool {
        self.fencing_token >= fencing_token
    }

    /// Returns whether the status is newer than every status received so far.
    pub fn is_newer(&self, status: &Heartbeat) -> bool {
        (status.agent_epoch, status.sequence) > (self.epoch, self.sequence)
    }

    /// Returns whether the status is from an epoch later than the present one.
    pub fn begins_epoch(&self, status: &Heartbeat) -> bool {
        status.agent_epoch > self.epoch
    }

    /// Returns whether this heartbeat, or a later one of its epoch, was already answered.
    pub fn is_stale_heartbeat(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.agent_epoch == self.epoch && heartbeat.sequence <= self.heartbeat_sequence
    }

    /// Returns whether this heartbeat is the agent's first message to any controller after the newest status
    /// received here, and some heartbeat of its epoch was answered here.
    pub fn follows_answer(&self, heartbeat: &Heartbeat) -> bool {
        heartbeat.agent_epoch == self.epoch
            && heartbeat.sequence == self.sequence + 1
            && self.heartbeat_sequence > 0
    }

    /// Returns whether a start in the answer to a heartbeat may still reach the agent, because no later
    /// heartbeat proves that it was lost.
    pub fn may_receive_start(&self) -> bool {
        self.start_sequence >= self.heartbeat_sequence
    }

    /// Records a fencing token that the agent showed. Returns whether that proves for the first time that the
    /// agent ignores every leader before the one whose lowest token is `first_token`.
    pub fn token_observed(&mut self, fencing_token: u64, first_token: u64, now: Micros) -> bool {
        self.fencing_token = self.fencing_token.max(fencing_token);
        if self.fenced_at.is_some() || self.fencing_token < first_token {
            return false;
        }
        self.fenced_at = Some(now);
        true
    }

    /// Records the epoch and the sequence number of a status that is newer than the last one.
    pub fn status_received(&mut self, status: &Heartbeat) {
        if self.begins_epoch(status) {
            self.heartbeat_sequence = 0;
            self.start_sequence = 0;
        }
        self.sequence = status.sequence;
        self.epoch = status.agent_epoch;
    }

    /// Records that the heartbeat with this sequence number is answered.
    pub fn heartbeat_answered(&mut self, sequence: u64) {
        self.heartbeat_sequence = self.heartbeat_sequence.max(sequence);
    }

    /// Records that the answer to the heartbeat with this sequence number carries a start.
    pub fn start_sent(&mut self, sequence: u64) {
        self.start_sequence = self.start_sequence.max(sequence);
    }

    /// Records that there is an allocation on record for this epoch. Statuses of earlier epochs are stale
    /// from now on.
    pub fn epoch_recorded(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }
}
