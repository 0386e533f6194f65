//! What a newer status of an agent changes in what is known of its machine.

use super::Machine;
use crate::agent::Heartbeat;
use crate::time::Micros;

/// What the scheduler knows when it takes in a status.
#[derive(Clone, Copy, Debug)]
pub struct StatusContext {
    /// Whether the status came in a heartbeat, not in an answer to a direct call.
    pub is_heartbeat: bool,
    /// The fencing token with which the present leadership began.
    pub first_term: u64,
    /// The duration of an agent's lease.
    pub lease: Micros,
    /// For how long a sign of life still holds.
    pub heartbeat_freshness: Micros,
    /// The present time.
    pub now: Micros,
}

/// What a status changed that others have to hear of.
#[derive(Debug, Default)]
pub struct StatusChanges {
    /// The agent was heard for the first time.
    pub registered: bool,
    /// The agent is known to ignore earlier leaders from now on.
    pub fenced: bool,
    /// The agent's address is a new one.
    pub address_changed: bool,
    /// The cloud announced for the first time that it takes the machine back.
    pub spot_notice_received: bool,
    /// Images that the machine may no longer have.
    pub removed_images: Vec<String>,
}

impl Machine {
    /// Takes in a status that is newer than what is known, except for the tasks that it lists.
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
        changes.fenced = self.agent.token_observed(token, context.first_term, now);
        self.commands.token_observed(token);
        changes.removed_images = self.epoch_observed(status, context);
        self.agent.status_received(status);
        let spot_notice = status.spot_notice.map(|left| now.plus(left));
        changes.spot_notice_received = self.lifecycle.set_spot_notice(spot_notice);
        changes
    }

    /// Takes in the status's epoch. Returns the images that the machine may no longer have.
    fn epoch_observed(&mut self, status: &Heartbeat, context: StatusContext) -> Vec<String> {
        let is_new = self.agent.begins_epoch(status);
        self.lease.epoch_observed(is_new, context.now);
        // What the records prove of its images holds for the epoch that they name.
        let mut removed_images = self.images.epoch_observed(status.agent_epoch);
        if !is_new {
            return removed_images;
        }
        self.commands.epoch_started();
        if self.agent.epoch() > 0 {
            removed_images.extend(self.images.clear());
            // Its lease expired although its heartbeats were answered: the answers did not reach it.
            let recent = context.now.since(self.lease.last_answer()) < context.lease;
            let answered = context.is_heartbeat && self.agent.is_fenced() && recent;
            let heartbeat_freshness = context.heartbeat_freshness;
            let inbound = &mut self.connectivity.inbound_partition;
            inbound.epoch_started(answered, heartbeat_freshness, context.now);
        }
        removed_images
    }
}
