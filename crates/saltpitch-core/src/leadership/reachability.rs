//! Whether the agents still reach the leader.

/// What a leader knows of how well its agents reach it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentReachability {
    /// Agents that are up as far as the leader knows.
    pub known: usize,
    /// Of these, heard from lately.
    pub heard: usize,
    /// The most agents that any one peer redirected to the leader lately.
    pub redirected: usize,
    /// Peers that answer this controller.
    pub peers: usize,
    /// All other controllers.
    pub others: usize,
}

impl AgentReachability {
    /// The agents do not reach this leader although others would hear them. Held for a while, this is the
    /// reason to resign before the agents' leases expire. When nobody else hears more, resigning would
    /// only make the leadership flap.
    pub fn is_isolated(&self) -> bool {
        if self.known == 0 || self.heard * 2 >= self.known {
            return false;
        }
        if self.peers == 0 && self.others > 0 {
            return self.heard == 0;
        }
        self.redirected > self.heard
    }
}
