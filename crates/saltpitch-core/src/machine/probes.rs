//! Probes: direct calls that request the status of an agent whose heartbeats don't arrive.

use crate::time::Micros;

/// The number of consecutive failed probes that count as a sign that the agent is gone.
const FAILURE_THRESHOLD: u32 = 2;

/// The probes sent to one agent.
#[derive(Debug, Default)]
pub struct Probes {
    next_at: Micros,
    sent_at: Micros,
    /// When the last probe that got no answer was sent.
    last_failed_probe_sent_at: Micros,
    /// The number of failed probes since the agent's last status.
    failures: u32,
}

impl Probes {
    /// Returns whether the next probe may be sent.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.next_at
    }

    /// Returns whether enough consecutive probes have failed to count as a sign that the agent is gone.
    pub fn have_failed(&self) -> bool {
        self.failures >= FAILURE_THRESHOLD
    }

    /// Returns when the last probe that got no answer was sent.
    pub fn last_failed_probe_sent_at(&self) -> Micros {
        self.last_failed_probe_sent_at
    }

    /// Records that a probe is sent. The next one follows after `interval` at the earliest.
    pub fn probe_sent(&mut self, interval: Micros, now: Micros) {
        self.next_at = now.plus(interval);
        self.sent_at = now;
    }

    /// Records that the last probe got no answer.
    pub fn probe_failed(&mut self) {
        self.failures += 1;
        self.last_failed_probe_sent_at = self.sent_at;
    }

    /// Records that a status of the agent arrived.
    pub fn status_received(&mut self) {
        self.failures = 0;
    }
}
