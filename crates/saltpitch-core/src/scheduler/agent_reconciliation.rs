//! Heartbeats and answers to direct calls: what the status of an agent changes in what is known of its
//! machine, and whether a heartbeat is answered.

use std::sync::Arc;

use super::Scheduler;
use crate::agent::{Command, Heartbeat};
use crate::machine::{AnswerEvidence, Machine, StatusChanges, StatusContext};
use crate::time::Micros;

/// How long the record of a new address may wait: only a later leader needs it, and the cloud's list has it
/// too.
const ADDRESS_RECORD_DELAY: Micros = Micros::from_secs(2);
/// A sign of life still holds for so many heartbeat intervals, and for a while longer.
const FRESH_INTERVALS: f64 = 2.5;
const FRESH_MARGIN: Micros = Micros::from_secs(1);

/// Why a heartbeat is not answered with commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatRejection {
    /// It is from an epoch of the agent that is over.
    OldSession,
    /// Its machine was returned, or its return may be under way.
    Returned,
    /// Its agent has seen a fencing token above this leader's.
    NewerToken,
    /// Its machine is of a type that the catalogue does not list.
    UnknownType,
    /// A copy of a heartbeat that was answered, or of one that its agent has long given up.
    Repeated,
}

impl Scheduler {
    /// An agent's heartbeat. The answer is the commands to send back. `is_returned`: the records say that the
    /// machine was returned.
    pub fn heartbeat_received(
        &mut self,
        heartbeat: Heartbeat,
        is_returned: bool,
        now: Micros,
    ) -> Result<Vec<Command>, HeartbeatRejection> {
        if is_returned || self.inventory.was_returned(&heartbeat.machine) {
            return Err(HeartbeatRejection::Returned);
        }
        if heartbeat.fencing_token > self.leader_term.term() {
            return Err(HeartbeatRejection::NewerToken);
        }
        let name = self.register_agent(&heartbeat, now)?;
        let Some(machine) = self.inventory.get_mut(&name) else {
            return Err(HeartbeatRejection::Returned);
        };
        check_answerable(machine, &heartbeat)?;
        machine.lease.renew(now);
        machine.connectivity.heartbeat_received();
        let signs = AnswerEvidence {
            sequence: heartbeat.sequence,
            fencing_token: heartbeat.fencing_token,
            follows_answer: self.config.controller_count > 1
                && machine.agent.follows_answer(&heartbeat),
        };
        self.inventory.heartbeat_received(now);
        let agent_epoch = heartbeat.agent_epoch;
        self.apply_status(&name, heartbeat, true, now);
        self.note_answer(&name, agent_epoch, signs, now)?;
        let commands = self.commands_for(&name, Some(signs.sequence));
        self.dispatch.heartbeat_answered(&name);
        Ok(commands)
    }

    /// The heartbeat was taken in whole and is answered, unless its epoch turned out to be over.
    fn note_answer(
        &mut self,
        name: &Arc<str>,
        agent_epoch: u64,
        signs: AnswerEvidence,
        now: Micros,
    ) -> Result<(), HeartbeatRejection> {
        let heartbeat_freshness = self.heartbeat_freshness();
        let Some(machine) = self.inventory.get_mut(name) else {
            return Err(HeartbeatRejection::Returned);
        };
        if agent_epoch < machine.agent.epoch() {
            return Err(HeartbeatRejection::OldSession);
        }
        let inbound = &mut machine.connectivity.inbound_partition;
        inbound.heartbeat_received(signs, heartbeat_freshness, now);
        inbound.answer_sent(self.leader_term.term(), signs);
        machine.agent.heartbeat_answered(signs.sequence);
        self.inventory.update(name);
        Ok(())
    }

    /// The machine that this heartbeat is from, which becomes known if it was not.
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
            .ok_or(HeartbeatRejection::UnknownType)?;
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

    /// For how long a sign of life still holds.
    pub(super) fn heartbeat_freshness(&self) -> Micros {
        self.config
            .heartbeat_interval
            .times(FRESH_INTERVALS)
            .plus(FRESH_MARGIN)
    }

    /// The status with which an agent answered a probe.
    pub fn probe_answered(&mut self, status: Heartbeat, now: Micros) {
        // Whichever agent has that address now: the probe is over.
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

    /// A probe got no answer.
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

    /// Takes in an agent's status, if it is newer than what is known.
    pub(super) fn apply_status(
        &mut self,
        name: &Arc<str>,
        status: Heartbeat,
        is_heartbeat: bool,
        now: Micros,
    ) {
        let context = StatusContext {
            is_heartbeat,
            first_term: self.leader_term.first_term(),
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
        self.status_applied(name, changes, now);
        self.reconcile_tasks(name, status, is_heartbeat, now);
    }

    /// Hands on what a status changed.
    fn status_applied(&mut self, name: &Arc<str>, changes: StatusChanges, now: Micros) {
        self.inventory.record_contact(now);
        self.inventory.images_removed(name, changes.removed_images);
        if changes.address_changed {
            self.address_changed(name, now);
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

    /// The new address is to be written with the machine's record.
    fn address_changed(&mut self, name: &Arc<str>, now: Micros) {
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

/// Whether the heartbeat may be answered, which renews the agent's lease.
fn check_answerable(machine: &Machine, heartbeat: &Heartbeat) -> Result<(), HeartbeatRejection> {
    if heartbeat.agent_epoch < machine.agent.epoch() {
        return Err(HeartbeatRejection::OldSession);
    }
    // The return may be under way: the lease must not be renewed behind that.
    if machine.lifecycle.is_returning() {
        return Err(HeartbeatRejection::Returned);
    }
    // An agent has one heartbeat in flight: by sending a later one it has given up all before it, and the
    // lease counts from when a heartbeat was sent. So a copy that comes late renews nothing, and its agent
    // does not wait for an answer to it.
    if machine.agent.is_stale_heartbeat(heartbeat) {
        return Err(HeartbeatRejection::Repeated);
    }
    Ok(())
}
