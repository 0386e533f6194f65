//! Detection of outbound partitions: a machine's heartbeats reach no controller, but it answers direct calls.

use crate::time::Micros;

/// The state of a machine whose heartbeats don't arrive. Its lease expires, since only heartbeats renew it.
#[derive(Debug, Default)]
pub struct OutboundPartition {
    is_detected: bool,
    /// Since when the machine has answered direct calls while none of its heartbeats arrived.
    since: Option<Micros>,
    eviction_begun: bool,
}

impl OutboundPartition {
    /// Returns whether a partition is detected, which holds until the machine's next heartbeat.
    pub fn is_detected(&self) -> bool {
        self.is_detected
    }

    /// Records that the machine answers direct calls while its heartbeats don't arrive. Returns whether the
    /// partition was not detected before.
    pub fn detect(&mut self, now: Micros) -> bool {
        self.since.get_or_insert(now);
        !std::mem::replace(&mut self.is_detected, true)
    }

    /// Returns how long the machine has answered direct calls while its heartbeats didn't arrive.
    pub fn duration(&self, now: Micros) -> Micros {
        self.since.map_or(Micros::ZERO, |since| now.since(since))
    }

    /// Resets the duration while the machine can't be assessed.
    pub fn reset_timer(&mut self) {
        self.since = None;
    }

    /// Records that the machine's tasks are to be evicted before its lease expires. Returns whether the
    /// eviction had not begun before.
    pub fn begin_eviction(&mut self) -> bool {
        !std::mem::replace(&mut self.eviction_begun, true)
    }
}
