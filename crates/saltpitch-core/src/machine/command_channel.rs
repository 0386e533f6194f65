//! Messages with commands to one agent: direct calls, one at a time and at a limited rate, and the fencing token that
//! they carry.

use crate::time::Micros;

/// The state of the messages with commands to one agent.
#[derive(Debug, Default)]
pub struct CommandChannel {
    in_flight: bool,
    next_call_at: Micros,
    /// The highest fencing token that was sent to the agent or that it has shown.
    fencing_token: u64,
    /// The fencing token of the last call that carried a start and got no answer. The agent may execute it at any
    /// later time, unless it has seen a higher token.
    unacknowledged_start: Option<u64>,
}

impl CommandChannel {
    /// Returns whether a call is in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Returns the earliest time at which the next call may be sent.
    pub fn next_call_at(&self) -> Micros {
        self.next_call_at
    }

    /// Returns whether a call may be sent now.
    pub fn is_ready(&self, now: Micros) -> bool {
        !self.in_flight && now >= self.next_call_at
    }

    /// Returns the highest fencing token that was sent to the agent or that it has shown. It ignores messages with a
    /// lower one.
    pub fn fencing_token(&self) -> u64 {
        self.fencing_token
    }

    /// Returns whether the agent may still execute a start of an earlier call.
    pub fn has_unacknowledged_start(&self) -> bool {
        self.unacknowledged_start.is_some()
    }

    /// Records that a call is sent. The next one follows after `interval` at the earliest.
    pub fn call_sent(&mut self, interval: Micros, now: Micros) {
        self.in_flight = true;
        self.next_call_at = now.plus(interval);
    }

    /// Records that the call has ended, with or without an answer.
    pub fn call_ended(&mut self) {
        self.in_flight = false;
    }

    /// Delays the next call by at least `backoff`.
    pub fn back_off(&mut self, backoff: Micros, now: Micros) {
        self.next_call_at = now.plus(backoff);
    }

    /// Records that a call with a start and this fencing token got no answer.
    pub fn start_unacknowledged(&mut self, fencing_token: u64) {
        self.unacknowledged_start = Some(fencing_token);
    }

    /// Records that a message with this fencing token is sent.
    pub fn token_sent(&mut self, fencing_token: u64) {
        self.fencing_token = self.fencing_token.max(fencing_token);
    }

    /// Records a fencing token that the agent showed. The agent ignores calls with a lower token.
    pub fn token_observed(&mut self, fencing_token: u64) {
        self.fencing_token = self.fencing_token.max(fencing_token);
        self.unacknowledged_start
            .take_if(|start| fencing_token > *start);
    }

    /// Records that the agent began a new epoch. It ignores calls for earlier epochs.
    pub fn epoch_started(&mut self) {
        self.unacknowledged_start = None;
    }
}
