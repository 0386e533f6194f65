//! A machine whose heartbeats reach no controller although it answers direct calls.

use crate::time::Micros;

/// Signs that a machine's heartbeats don't arrive. Its lease runs out, since only heartbeats renew it.
#[derive(Debug, Default)]
pub struct OutboundPartition {
    detected: bool,
    /// Since when it has answered direct calls without sending heartbeats.
    since: Option<Micros>,
    evicted: bool,
}

impl OutboundPartition {
    /// Whether the machine is taken for partitioned until its next heartbeat.
    pub fn is_detected(&self) -> bool {
        self.detected
    }

    /// The machine answers direct calls and sends no heartbeats. Says whether that is new.
    pub fn detect(&mut self, now: Micros) -> bool {
        self.since.get_or_insert(now);
        !std::mem::replace(&mut self.detected, true)
    }

    /// For how long the machine has answered direct calls without sending heartbeats.
    pub fn duration(&self, now: Micros) -> Micros {
        self.since.map_or(Micros::ZERO, |since| now.since(since))
    }

    /// The machine can't be judged now; the time counts anew.
    pub fn reset_timer(&mut self) {
        self.since = None;
    }

    /// Its tasks are to be moved while its lease lasts. Says whether that was not done before.
    pub fn begin_eviction(&mut self) -> bool {
        !std::mem::replace(&mut self.evicted, true)
    }
}
