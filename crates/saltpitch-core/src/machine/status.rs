//! Application of an agent's status to the state of its machine.

use super::Machine;
use crate::agent::Heartbeat;
use crate::time::Micros;

/// The scheduler's state that the processing of a status depends on.
#[derive(Clone, Copy, Debug)]
pub struct StatusContext {
    /// Whether the status came in a heartbeat and not in an answer to a direct call.
    pub is_heartbeat: bool,
    /// The lowest fencing token of the present leadership.
    pub first_token: u64,
    /// The duration of an agent's lease.
    pub lease: Micros,
    /// How long an agent's last message counts as recent.
    pub heartbeat_freshness: Micros,
    /// The present time.
    pub now: Micros,
}

/// The changes that a status made and that other components need to know of.
#[derive(Debug, Default)]
pub struct StatusChanges {
    /// Whether this leader heard the agent for the first time.
    pub registered: bool,
    /// Whether the status proves for the first time that the agent ignores earlier leaders.
    pub fenced: bool,
    /// Whether the agent's address changed.
    pub address_changed: bool,
    /// Whether the cloud newly announced that it will reclaim the machine.
    pub spot_notice_received: bool,
    /// The images that the machine may no longer have.
    pub removed_images: Vec<String>,
}

impl Machine {
    /// Applies a status that is newer than the last one, except for the tasks that it lists.
    pub fn status_received(&mut self, status: &Heartbeat, context: StatusContext) -> StatusChanges {
        let now = context.now;
        let mut changes = StatusChanges {
            registered: self.lifecycle.register(now),
            address_changed: self.addr != status.addr,
            ..StatusChanges::default()
        };
        if changes.registered {
            self.allocations.machine_registered(now);
        }
        if changes.address_changed {
            self.addr.clone_from(&status.addr);
        }
        self.connectivity.status_received(now);
        let token = status.fencing_token;
        changes.fenced = self.agent.token_observed(token, context.first_token, now);
        self.commands.token_observed(token);
        changes.removed_images = self.epoch_observed(status, context);
        self.agent.status_received(status);
        let spot_notice = status.spot_notice.map(|left| now.plus(left));
        changes.spot_notice_received = self.lifecycle.set_spot_notice(spot_notice);
        changes
    }

    /// Applies the status's epoch. Returns the images that the machine may no longer have.
    fn epoch_observed(&mut self, status: &Heartbeat, context: StatusContext) -> Vec<String> {
        let is_new = self.agent.begins_epoch(status);
        self.lease.epoch_observed(is_new, context.now);
        // Images that were restored from the records are valid only for the epoch that the records name.
        let mut removed_images = self.images.epoch_observed(status.agent_epoch);
        if !is_new {
            return removed_images;
        }
        self.commands.epoch_started();
        if self.agent.epoch() > 0 {
            removed_images.extend(self.images.clear());
            // The lease expired although heartbeats were answered, so the answers didn't reach the agent.
            let is_recent = context.now.since(self.lease.last_renewal()) < context.lease;
            let was_answered = context.is_heartbeat && self.agent.is_fenced() && is_recent;
            let heartbeat_freshness = context.heartbeat_freshness;
            let inbound = &mut self.connectivity.inbound_partition;
            inbound.epoch_started(was_answered, heartbeat_freshness, context.now);
        }
        removed_images
    }
}
