//! Whether the agents still reach the leader.

/// What a leader knows of how well its agents reach it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentReachability {
    /// Agents that are up as far as the leader knows.
    pub known_agents: usize,
    /// Of these, heard from lately.
    pub recently_heard: usize,
    /// The most agents that any one peer redirected to the leader lately.
    pub redirected_agents: usize,
    /// Peers that answer this controller.
    pub live_peers: usize,
    /// All other controllers.
    pub other_controllers: usize,
}

impl AgentReachability {
    /// The agents do not reach this leader although others would hear them. Held for a while, this is the
    /// reason to resign before the agents' leases expire. When nobody else hears more, resigning would
    /// only make the leadership flap.
    pub fn is_isolated(&self) -> bool {
        if self.known_agents == 0 || self.recently_heard * 2 >= self.known_agents {
            return false;
        }
        if self.live_peers == 0 && self.other_controllers > 0 {
            return self.recently_heard == 0;
        }
        self.redirected_agents > self.recently_heard
    }
}
