//! Whether a machine and this leader reach each other.

use super::inbound_partition::InboundPartition;
use super::outbound_partition::OutboundPartition;
use super::probes::Probes;
use crate::time::Micros;

/// When an agent was last heard, and signs of a partition in either direction.
#[derive(Debug, Default)]
pub struct Connectivity {
    last_heard: Micros,
    unresponsive: bool,
    /// Direct questions to an agent that is not heard.
    pub probes: Probes,
    /// Signs that answers don't reach the agent although its heartbeats arrive.
    pub inbound_partition: InboundPartition,
    /// Signs that heartbeats don't arrive although the agent answers direct calls.
    pub outbound_partition: OutboundPartition,
}

impl Connectivity {
    /// When the agent was last heard, by a heartbeat or an answer to a direct call.
    pub fn last_heard(&self) -> Micros {
        self.last_heard
    }

    /// Whether the agent has not been heard for so long that nothing new is placed on its machine.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Whether nothing speaks against commands having an effect and the lease being renewed.
    pub fn is_reachable(&self) -> bool {
        !self.unresponsive
            && !self.outbound_partition.is_detected()
            && !self.inbound_partition.is_suspected()
    }

    /// A status arrived that is newer than what was known.
    pub fn status_received(&mut self, now: Micros) {
        self.last_heard = now;
        self.unresponsive = false;
        self.probes.status_received();
    }

    /// A heartbeat arrived that is answered.
    pub fn heartbeat_received(&mut self) {
        self.outbound_partition = OutboundPartition::default();
    }

    /// Judged by the time since the agent was last heard. Says whether that is a change.
    pub fn set_unresponsive(&mut self, unresponsive: bool) -> bool {
        std::mem::replace(&mut self.unresponsive, unresponsive) != unresponsive
    }
}
