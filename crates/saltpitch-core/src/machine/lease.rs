//! The lease of a machine's agent, which every answered heartbeat renews.
//!
//! An agent whose lease expires kills its tasks and begins a new epoch. The leader can't observe that on a
//! machine that it doesn't reach, so it computes the latest time at which the lease can expire.

use crate::time::Micros;

/// The leader's view of an agent's lease.
#[derive(Debug, Default)]
pub struct AgentLease {
    /// When this leader last answered a heartbeat.
    last_renewal: Micros,
    /// When this leader first learned of the present epoch. The lease of an epoch runs from the epoch's
    /// beginning, which is not later than this, even if none of its heartbeats was ever answered.
    epoch_observed_at: Micros,
}

impl AgentLease {
    /// Returns when this leader last answered a heartbeat, or zero if it never did.
    pub fn last_renewal(&self) -> Micros {
        self.last_renewal
    }

    /// Returns whether this leader ever answered a heartbeat.
    pub fn was_renewed(&self) -> bool {
        self.last_renewal > Micros::ZERO
    }

    /// Records that a heartbeat is answered, which renews the lease.
    pub fn renew(&mut self, now: Micros) {
        self.last_renewal = self.last_renewal.max(now);
    }

    /// Records that a status of the agent's present epoch arrived. `is_new` says whether the epoch was unknown
    /// before.
    pub fn epoch_observed(&mut self, is_new: bool, now: Micros) {
        if is_new || self.epoch_observed_at == Micros::ZERO {
            self.epoch_observed_at = now;
        }
    }

    /// Returns the latest time at which the lease can expire.
    ///
    /// No earlier leader can have renewed it after `earlier_leaders_fenced_at`.
    pub fn expires_at(&self, earlier_leaders_fenced_at: Micros, duration: Micros) -> Micros {
        earlier_leaders_fenced_at
            .max(self.last_renewal)
            .max(self.epoch_observed_at)
            .plus(duration)
    }
}
