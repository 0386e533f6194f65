//! Whether a machine and this leader can reach each other.

use super::inbound_partition::InboundPartition;
use super::outbound_partition::OutboundPartition;
use super::probes::Probes;
use crate::time::Micros;

/// When an agent was last heard, and the signs of a partition in either direction.
#[derive(Debug, Default)]
pub struct Connectivity {
    last_heard: Micros,
    unresponsive: bool,
    /// The status requests to an agent that sends no heartbeats.
    pub probes: Probes,
    /// The signs that answers don't reach the agent although its heartbeats arrive.
    pub inbound_partition: InboundPartition,
    /// The signs that the agent's heartbeats don't arrive although it answers direct calls.
    pub outbound_partition: OutboundPartition,
}

impl Connectivity {
    /// Returns when the agent's last status arrived, in a heartbeat or an answer to a direct call.
    pub fn last_heard(&self) -> Micros {
        self.last_heard
    }

    /// Returns whether the agent has been silent for so long that no new tasks are placed on its machine.
    pub fn is_unresponsive(&self) -> bool {
        self.unresponsive
    }

    /// Returns whether there is no sign that commands have no effect or that the lease is not renewed.
    pub fn is_reachable(&self) -> bool {
        !self.unresponsive
            && !self.outbound_partition.is_detected()
            && !self.inbound_partition.is_suspected()
    }

    /// Records a status that is newer than the last one.
    pub fn status_received(&mut self, now: Micros) {
        self.last_heard = now;
        self.unresponsive = false;
        self.probes.status_received();
    }

    /// Records a heartbeat that is answered, which ends an outbound partition.
    pub fn heartbeat_received(&mut self) {
        self.outbound_partition = OutboundPartition::default();
    }

    /// Sets whether the agent has been silent for too long. Returns whether that changed.
    pub fn set_unresponsive(&mut self, unresponsive: bool) -> bool {
        std::mem::replace(&mut self.unresponsive, unresponsive) != unresponsive
    }
}
