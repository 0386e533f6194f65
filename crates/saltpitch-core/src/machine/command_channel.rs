//! Direct commands to one agent: one call at a time, and none sooner than the one before allows.

use crate::time::Micros;

/// A call that carried a start and got no answer: the agent may execute it any time later.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnacknowledgedStart {
    /// The fencing token of the call. An agent that has seen a higher one ignores it.
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
    /// Whether a call is under way.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight
    }

    /// Before when no call is sent.
    pub fn next_call_at(&self) -> Micros {
        self.next_call_at
    }

    /// Whether a call may be sent.
    pub fn is_ready(&self, now: Micros) -> bool {
        !self.in_flight && now >= self.next_call_at
    }

    /// The start that the agent may still execute.
    pub fn unacknowledged_start(&self) -> Option<UnacknowledgedStart> {
        self.unacknowledged_start
    }

    /// Whether the agent may still execute a start of an earlier call.
    pub fn has_unacknowledged_start(&self) -> bool {
        self.unacknowledged_start.is_some()
    }

    /// A call is sent; the next one follows after `interval` at the earliest.
    pub fn call_sent(&mut self, interval: Micros, now: Micros) {
        self.in_flight = true;
        self.next_call_at = now.plus(interval);
    }

    /// The call is over, answered or not.
    pub fn call_ended(&mut self) {
        self.in_flight = false;
    }

    /// The next call is sent after `backoff` at the earliest.
    pub fn back_off(&mut self, backoff: Micros, now: Micros) {
        self.next_call_at = now.plus(backoff);
    }

    /// A call with a start got no answer.
    pub fn start_unacknowledged(&mut self, fencing_token: u64, now: Micros) {
        self.unacknowledged_start = Some(UnacknowledgedStart {
            fencing_token,
            since: now,
        });
    }

    /// The agent showed this fencing token: it ignores calls with a lower one.
    pub fn token_observed(&mut self, fencing_token: u64) {
        self.unacknowledged_start
            .take_if(|start| fencing_token > start.fencing_token);
    }

    /// The agent began a new epoch: it ignores calls to earlier ones.
    pub fn epoch_started(&mut self) {
        self.unacknowledged_start = None;
    }
}
