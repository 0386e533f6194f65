//! Decides whether the agents still reach the leader.

/// Counts from which a leader judges whether its agents reach it.
#[derive(Clone, Copy, Debug, Default)]
pub struct AgentReachability {
    /// The number of agents that the leader considers up.
    pub known_agents: usize,
    /// How many of these have recently sent a heartbeat to the leader.
    pub recently_heard: usize,
    /// The highest number of agents that a single peer has recently redirected.
    pub redirected_agents: usize,
    /// The number of peers from which this controller recently received a message.
    pub live_peers: usize,
    /// The number of all other controllers in the settings.
    pub other_controllers: usize,
}

impl AgentReachability {
    /// Returns whether the agents do not reach this leader although they reach another controller. If this
    /// persists, the leader resigns before the agents' leases expire. When no other controller receives
    /// more heartbeats, resigning would only make the leadership flap.
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
