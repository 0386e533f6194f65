//! Processing of heartbeats and of answers to direct calls.
//!
//! Applies an agent's status to the scheduler's view of its machine, and decides whether a heartbeat is
//! answered with commands or rejected.

use std::sync::Arc;

use super::{AgentCommands, Delivery, Scheduler};
use crate::agent::Heartbeat;
use crate::machine::{AnswerEvidence, Machine, StatusChanges, StatusContext};
use crate::time::Micros;

/// How long the write of a new address may be delayed. Only a later leader needs the record, and the cloud's
/// list has the address too.
const ADDRESS_RECORD_DELAY: Micros = Micros::from_secs(2);
/// An agent's last message counts as recent for this many heartbeat intervals plus [`FRESHNESS_MARGIN`].
const FRESHNESS_INTERVALS: f64 = 2.5;
/// Added to [`FRESHNESS_INTERVALS`].
const FRESHNESS_MARGIN: Micros = Micros::from_secs(1);

/// Why a heartbeat is not answered with commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatRejection {
    /// The agent has begun a later epoch since.
    StaleEpoch,
    /// The machine was returned to the cloud, or its return may be in progress.
    MachineReturned,
    /// The agent has seen a fencing token above this leader's.
    NewerToken,
    /// The catalogue does not list the machine's type.
    UnknownMachineType,
    /// The same or a later heartbeat of this epoch was already answered; the agent no longer waits for this
    /// answer.
    StaleSequence,
}

impl Scheduler {
    /// Processes an agent's heartbeat. Returns the commands and the token to answer with, or why the heartbeat is
    /// rejected.
    ///
    /// `is_returned` says whether the machine is on record as returned.
    pub fn heartbeat_received(
        &mut self,
        heartbeat: Heartbeat,
        is_returned: bool,
        now: Micros,
    ) -> Result<AgentCommands, HeartbeatRejection> {
        if is_returned || self.inventory.was_returned(&heartbeat.machine) {
            return Err(HeartbeatRejection::MachineReturned);
        }
        if heartbeat.fencing_token > self.leader_term.term() {
            return Err(HeartbeatRejection::NewerToken);
        }
        let name = self.register_agent(&heartbeat, now)?;
        let Some(machine) = self.inventory.get_mut(&name) else {
            return Err(HeartbeatRejection::MachineReturned);
        };
        validate_heartbeat(machine, &heartbeat)?;
        machine.lease.renew(now);
        machine.connectivity.heartbeat_received();
        let evidence = AnswerEvidence {
            sequence: heartbeat.sequence,
            fencing_token: heartbeat.fencing_token,
            follows_answer: self.config.controller_count > 1
                && machine.agent.follows_answer(&heartbeat),
        };
        self.inventory.heartbeat_received(now);
        let agent_epoch = heartbeat.agent_epoch;
        self.apply_status(&name, heartbeat, true, now);
        self.record_answer(&name, agent_epoch, evidence, now)?;
        let commands = self.commands_for(&name, Some(evidence.sequence));
        let fencing_token = self.message_token(&name, &commands);
        self.log_commands(&name, fencing_token, Delivery::HeartbeatAnswer, &commands);
        if let Some(machine) = self.inventory.get_mut(&name) {
            let inbound = &mut machine.connectivity.inbound_partition;
            inbound.answer_sent(fencing_token, evidence);
        }
        self.dispatch.heartbeat_answered(&name);
        Ok(AgentCommands {
            fencing_token,
            commands,
        })
    }

    /// Records that a heartbeat whose status was applied is now answered.
    ///
    /// Fails if its epoch is no longer the agent's current one.
    fn record_answer(
        &mut self,
        name: &Arc<str>,
        agent_epoch: u64,
        evidence: AnswerEvidence,
        now: Micros,
    ) -> Result<(), HeartbeatRejection> {
        let heartbeat_freshness = self.heartbeat_freshness();
        let Some(machine) = self.inventory.get_mut(name) else {
            return Err(HeartbeatRejection::MachineReturned);
        };
        if agent_epoch < machine.agent.epoch() {
            return Err(HeartbeatRejection::StaleEpoch);
        }
        let inbound = &mut machine.connectivity.inbound_partition;
        inbound.heartbeat_received(evidence, heartbeat_freshness, now);
        machine.agent.heartbeat_answered(evidence.sequence);
        self.inventory.update(name);
        Ok(())
    }

    /// Returns the name of the machine that sent the heartbeat, and adds the machine if it is unknown.
    fn register_agent(
        &mut self,
        heartbeat: &Heartbeat,
        now: Micros,
    ) -> Result<Arc<str>, HeartbeatRejection> {
        if let Some(machine) = self.inventory.get(&heartbeat.machine) {
            return Ok(machine.name.clone());
        }
        let kind = self
            .catalog
            .get(&heartbeat.type_name)
            .cloned()
            .ok_or(HeartbeatRejection::UnknownMachineType)?;
        let mut machine = Machine::new(
            &heartbeat.machine,
            Arc::new(kind),
            heartbeat.zone.as_str().into(),
            heartbeat.spot,
            &heartbeat.addr,
            now,
        );
        let name = machine.name.clone();
        self.persistence.machine_changed(&mut machine, now);
        self.inventory.add(machine);
        Ok(name)
    }

    /// Returns how long an agent's last message counts as recent.
    pub(super) fn heartbeat_freshness(&self) -> Micros {
        self.config
            .heartbeat_interval
            .times(FRESHNESS_INTERVALS)
            .plus(FRESHNESS_MARGIN)
    }

    /// Processes the status with which an agent answered a probe.
    pub fn probe_answered(&mut self, status: Heartbeat, now: Micros) {
        // The probe has ended even if another machine now has the address and answered it.
        self.dispatch.probe_ended();
        let heartbeat_freshness = self.heartbeat_freshness();
        let Some(machine) = self.inventory.get_mut(&status.machine) else {
            return;
        };
        let inbound = &mut machine.connectivity.inbound_partition;
        inbound.direct_call_ended(true, heartbeat_freshness, now);
        let name = machine.name.clone();
        self.apply_status(&name, status, false, now);
        self.inventory.update(&name);
    }

    /// Processes the failure of a probe that got no answer.
    pub fn probe_failed(&mut self, name: &str, now: Micros) {
        self.dispatch.probe_ended();
        let heartbeat_freshness = self.heartbeat_freshness();
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        machine.connectivity.probes.probe_failed();
        let inbound = &mut machine.connectivity.inbound_partition;
        inbound.direct_call_ended(false, heartbeat_freshness, now);
        let name = machine.name.clone();
        self.inventory.update(&name);
        self.inventory.schedule_health_check(&name, now);
    }

    /// Applies an agent's status, if it is newer than the last one applied.
    pub(super) fn apply_status(
        &mut self,
        name: &Arc<str>,
        status: Heartbeat,
        is_heartbeat: bool,
        now: Micros,
    ) {
        let context = StatusContext {
            is_heartbeat,
            first_token: self.leader_term.first_token(),
            lease: self.config.agent_lease,
            heartbeat_freshness: self.heartbeat_freshness(),
            now,
        };
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        if !machine.agent.is_newer(&status) {
            return;
        }
        let changes = machine.status_received(&status, context);
        self.apply_status_changes(name, changes, now);
        self.reconcile_tasks(name, status, is_heartbeat, now);
    }

    /// Passes on the changes that a status made to the components that depend on them.
    fn apply_status_changes(&mut self, name: &Arc<str>, changes: StatusChanges, now: Micros) {
        self.inventory.record_contact(now);
        self.inventory.images_removed(name, changes.removed_images);
        if changes.address_changed {
            self.schedule_address_record(name, now);
        }
        if changes.registered || changes.fenced {
            self.placement_pass.request();
        }
        if changes.registered {
            self.machine_joined(name, now);
        }
        if changes.spot_notice_received {
            self.evict_gracefully(name, now);
        }
    }

    /// Schedules the write of the machine's record with its new address.
    fn schedule_address_record(&mut self, name: &Arc<str>, now: Micros) {
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        let due = if machine.lifecycle.is_recorded() {
            now.plus(ADDRESS_RECORD_DELAY)
        } else {
            now
        };
        self.persistence.machine_changed(machine, due);
    }
}

/// Checks whether the heartbeat may be answered. An answer renews the agent's lease.
fn validate_heartbeat(machine: &Machine, heartbeat: &Heartbeat) -> Result<(), HeartbeatRejection> {
    if heartbeat.agent_epoch < machine.agent.epoch() {
        return Err(HeartbeatRejection::StaleEpoch);
    }
    // The return may already be in progress, so the lease must not be renewed.
    if machine.lifecycle.is_returning() {
        return Err(HeartbeatRejection::MachineReturned);
    }
    // An agent has one heartbeat in flight: once it sends a later one, it no longer waits for the answer to
    // any earlier one. Its lease counts from when the answered heartbeat was sent, so a late copy renews
    // nothing.
    if machine.agent.is_stale_heartbeat(heartbeat) {
        return Err(HeartbeatRejection::StaleSequence);
    }
    Ok(())
}
