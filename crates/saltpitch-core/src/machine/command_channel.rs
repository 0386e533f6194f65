//! Direct calls with commands to one agent: one at a time, at a limited rate.

use crate::time::Micros;

/// A call that carried a start and got no answer. The agent may execute it at any later time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnacknowledgedStart {
    /// The fencing token of the call. An agent that has seen a higher token ignores the call.
    pub fencing_token: u64,
    /// When the call ended.
    pub since: Micros,
}

/// The state of the direct calls to one agent.
#[derive(Debug, Default)]
pub struct CommandChannel {
    in_flight: bool,
    next_call_at: Micros,
    unacknowledged_start: Option<UnacknowledgedStart>,
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

    /// Returns the last call with a start that the agent may still execute.
    pub fn unacknowledged_start(&self) -> Option<UnacknowledgedStart> {
        self.unacknowledged_start
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

    /// Records that a call with a start got no answer.
    pub fn start_unacknowledged(&mut self, fencing_token: u64, now: Micros) {
        self.unacknowledged_start = Some(UnacknowledgedStart {
            fencing_token,
            since: now,
        });
    }

    /// Records a fencing token that the agent showed. The agent ignores calls with a lower token.
    pub fn token_observed(&mut self, fencing_token: u64) {
        self.unacknowledged_start
            .take_if(|start| fencing_token > start.fencing_token);
    }

    /// Records that the agent began a new epoch. It ignores calls for earlier epochs.
    pub fn epoch_started(&mut self) {
        self.unacknowledged_start = None;
    }
}
