//! The lease of a machine's agent, which every answered heartbeat renews.
//!
//! An agent whose lease expires kills its tasks and begins a new epoch. The leader can't see that happen on a
//! machine that it doesn't reach: it counts the longest time for which the lease may last.

use crate::time::Micros;

/// From when the agent's lease counts at the latest.
#[derive(Debug, Default)]
pub struct AgentLease {
    /// When this leader last answered a heartbeat.
    last_answer: Micros,
    /// When the present epoch was first heard of. Its lease counts from its beginning, which is not later
    /// than this, even if no heartbeat of it was ever answered.
    epoch_observed_at: Micros,
}

impl AgentLease {
    /// When this leader last answered a heartbeat; zero if it never did.
    pub fn last_answer(&self) -> Micros {
        self.last_answer
    }

    /// Whether this leader ever answered a heartbeat.
    pub fn was_answered(&self) -> bool {
        self.last_answer > Micros::ZERO
    }

    /// A heartbeat is answered.
    pub fn renew(&mut self, now: Micros) {
        self.last_answer = self.last_answer.max(now);
    }

    /// The agent shows its epoch; `is_new`: one that was not known.
    pub fn epoch_observed(&mut self, is_new: bool, now: Micros) {
        if is_new || self.epoch_observed_at == Micros::ZERO {
            self.epoch_observed_at = now;
        }
    }

    /// When the lease has expired at the latest. `others_fenced_at`: since when no earlier leader can have
    /// renewed it.
    pub fn expires_at(&self, others_fenced_at: Micros, duration: Micros) -> Micros {
        others_fenced_at
            .max(self.last_answer)
            .max(self.epoch_observed_at)
            .plus(duration)
    }
}
