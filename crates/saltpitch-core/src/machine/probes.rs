//! Direct questions to an agent that has not sent its heartbeats.

use crate::time::Micros;

/// So many probes in a row without an answer count as a sign that the agent is gone.
const FAILED_PROBES: u32 = 2;

/// The probes sent to one agent.
#[derive(Debug, Default)]
pub struct Probes {
    next_at: Micros,
    sent_at: Micros,
    /// When the last probe that got no answer was sent.
    last_failed_probe_sent_at: Micros,
    /// Probes without an answer since the agent was last heard.
    failed: u32,
}

impl Probes {
    /// Whether the next probe may be sent.
    pub fn is_due(&self, now: Micros) -> bool {
        now >= self.next_at
    }

    /// Whether the last probes all stayed without an answer.
    pub fn have_failed(&self) -> bool {
        self.failed >= FAILED_PROBES
    }

    /// When the last probe that got no answer was sent.
    pub fn last_failed_probe_sent_at(&self) -> Micros {
        self.last_failed_probe_sent_at
    }

    /// A probe is sent; the next one follows after `interval` at the earliest.
    pub fn probe_sent(&mut self, interval: Micros, now: Micros) {
        self.next_at = now.plus(interval);
        self.sent_at = now;
    }

    /// The last probe got no answer.
    pub fn probe_failed(&mut self) {
        self.failed += 1;
        self.last_failed_probe_sent_at = self.sent_at;
    }

    /// The agent was heard.
    pub fn status_received(&mut self) {
        self.failed = 0;
    }
}
