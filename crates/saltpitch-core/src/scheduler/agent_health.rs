//! Health checks: agents that are not heard or can't be reached, leases that have expired, machines whose
//! return is to be asked for.

use std::sync::Arc;

use super::{Effect, Scheduler};
use crate::machine::{Machine, MachinePhase};
use crate::time::Micros;

/// A machine that needs attention is checked again after this time.
const RECHECK_INTERVAL: Micros = Micros::from_millis(500);
/// No machine is checked again sooner.
const MIN_CHECK_INTERVAL: Micros = Micros::from_millis(400);
/// A machine that is not up is checked again after this time.
const REGISTRATION_CHECK_INTERVAL: Micros = Micros::from_secs(2);
/// The return of a machine is asked for again after this time at the earliest.
const RETURN_RETRY_INTERVAL: Micros = Micros::from_secs(3);
/// A machine that is up is probed again after this time.
const PROBE_INTERVAL: Micros = Micros::from_secs(1);
/// A machine that is not up is probed again after this time.
const REGISTRATION_PROBE_INTERVAL: Micros = Micros::from_secs(4);
/// A lease counts as expired this long after its end.
const LEASE_MARGIN: Micros = Micros::from_millis(1);

/// After so many heartbeat intervals a heartbeat is missed: they are a quarter early or late at the most.
pub(super) const MISSED_HEARTBEAT: f64 = 1.4;
/// Within so many heartbeat intervals any machine should have sent one.
const ANY_HEARTBEAT: f64 = 1.5;
/// After so many heartbeat intervals two heartbeats are missed.
pub(super) const TWO_MISSED_HEARTBEATS: f64 = 1.8;
/// After so many heartbeat intervals, and a while, an agent counts as gone without any probe.
const GONE_INTERVALS: f64 = 2.6;
/// After so many heartbeat intervals, and a while, an agent should have sent its first heartbeat.
const FIRST_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Added to the intervals after which an agent counts as gone, or should have sent its first heartbeat.
const SILENCE_MARGIN: Micros = Micros::from_secs(1);
/// After this part of its lease, the tasks of an agent that does not renew it are moved.
const EVICTION_PART_OF_LEASE: f64 = 0.55;

/// What a round of health checks found.
#[derive(Default)]
struct HealthFindings {
    /// Agents whose lease has expired: nothing runs on their machines any more.
    lease_expired: Vec<Arc<str>>,
    /// Machines that are up and whose agents seem to be gone.
    unresponsive: Vec<Arc<str>>,
    /// Machines whose return the cloud is to be asked for.
    returning: Vec<Arc<str>>,
}

/// What the time since an agent was last heard says of it.
#[derive(Clone, Copy)]
struct AgentAssessment {
    /// The agent is to be asked for its status.
    needs_probe: bool,
    /// The agent has not been heard for so long that nothing new is placed on its machine.
    is_unresponsive: bool,
    /// The agent seems to be gone, or not to receive any answers.
    seems_lost: bool,
}

impl Scheduler {
    /// Checks the machines whose time has come.
    pub(super) fn run_health_checks(&mut self, now: Micros) {
        let mut findings = HealthFindings::default();
        while let Some(name) = self.inventory.due_health_check(now) {
            self.steps += 1;
            let next = self.check_health(&name, &mut findings, now);
            let next = next.max(now.plus(MIN_CHECK_INTERVAL));
            self.inventory.schedule_health_check(&name, next);
        }
        if !findings.returning.is_empty() {
            self.effects.push(Effect::ScaleIn {
                names: findings.returning,
            });
        }
        for name in findings.lease_expired {
            self.release_all(&name, now);
        }
        self.return_unresponsive(&findings.unresponsive, now);
        self.retry_unacknowledged(now);
    }

    /// Checks one machine; says when to check it again.
    fn check_health(
        &mut self,
        name: &Arc<str>,
        findings: &mut HealthFindings,
        now: Micros,
    ) -> Micros {
        let recheck_at = now.plus(RECHECK_INTERVAL);
        let Some(machine) = self.inventory.get(name) else {
            return recheck_at;
        };
        if machine.lifecycle.is_returning() {
            return self.check_returning(machine, findings, now);
        }
        let assessment = self.assess_agent(machine, now);
        if assessment.seems_lost && machine.is_up() {
            findings.unresponsive.push(name.clone());
        }
        if assessment.needs_probe {
            self.probe(name, now);
        }
        self.set_unresponsive(name, assessment.is_unresponsive);
        let lease_end = self.check_lease(name, findings, now);
        self.detect_outbound_partition(name, lease_end, now);
        if assessment.needs_probe || assessment.seems_lost {
            return recheck_at;
        }
        match self.inventory.get(name) {
            Some(machine) => self.next_check(machine, now).min(lease_end),
            None => recheck_at,
        }
    }

    /// Checks a machine whose return is intended; says when to check it again.
    fn check_returning(
        &self,
        machine: &Machine,
        findings: &mut HealthFindings,
        now: Micros,
    ) -> Micros {
        let interval = if machine.lifecycle.phase() == MachinePhase::Returning {
            findings.returning.push(machine.name.clone());
            self.config.heartbeat_interval.max(RETURN_RETRY_INTERVAL)
        } else {
            RECHECK_INTERVAL
        };
        let lease_end = self.check_lease(&machine.name, findings, now);
        lease_end.min(now.plus(interval))
    }

    /// What the time since an agent was last heard says of it.
    fn assess_agent(&self, machine: &Machine, now: Micros) -> AgentAssessment {
        let interval = self.config.heartbeat_interval;
        let connectivity = &machine.connectivity;
        let silence = now.since(self.heard_or_resumed(machine));
        let is_expected = machine.is_up() || !machine.allocations.is_empty();
        // Machines that an earlier leader knew; the agents of those that this one ordered send a heartbeat
        // by themselves.
        let may_be_up = machine.lifecycle.is_unregistered()
            && machine.lifecycle.is_recorded()
            && machine.lifecycle.created_at() < self.leader_term.elected_at();
        let needs_probe = may_be_up
            || (is_expected && silence > interval.times(MISSED_HEARTBEAT))
            || connectivity.inbound_partition.is_suspected();
        let probes_failed =
            connectivity.probes.have_failed() && silence > interval.times(TWO_MISSED_HEARTBEATS);
        let gone_after = interval.times(GONE_INTERVALS).plus(SILENCE_MARGIN);
        // An agent that does not receive any answers is as good as gone: no command has an effect.
        let partition_wait = interval.times(TWO_MISSED_HEARTBEATS);
        let is_partitioned = connectivity
            .inbound_partition
            .is_confirmed(partition_wait, now);
        AgentAssessment {
            needs_probe,
            is_unresponsive: machine.is_up() && silence > self.heartbeat_freshness(),
            seems_lost: probes_failed || silence > gone_after || is_partitioned,
        }
    }

    /// When the agent was last heard, or could have been by a controller that was not paused.
    fn heard_or_resumed(&self, machine: &Machine) -> Micros {
        let last_heard = machine.connectivity.last_heard();
        last_heard.max(self.clock.resumed_at())
    }

    /// When a machine that needs no attention is checked again.
    fn next_check(&self, machine: &Machine, now: Micros) -> Micros {
        if machine.is_up() {
            let missed_after = self.config.heartbeat_interval.times(MISSED_HEARTBEAT);
            self.heard_or_resumed(machine).plus(missed_after)
        } else {
            now.plus(REGISTRATION_CHECK_INTERVAL)
        }
    }

    /// Asks an agent for its status, unless too many are being asked or this one just was.
    fn probe(&mut self, name: &Arc<str>, now: Micros) {
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        if !machine.connectivity.probes.is_due(now)
            || machine.addr.is_empty()
            || self.dispatch.probes_in_flight() >= self.config.max_concurrent_calls
        {
            return;
        }
        let interval = if machine.is_up() {
            PROBE_INTERVAL
        } else {
            REGISTRATION_PROBE_INTERVAL
        };
        machine.connectivity.probes.probe_sent(interval, now);
        self.dispatch.probe_sent();
        self.effects.push(Effect::Probe {
            machine: name.clone(),
            addr: machine.addr.clone(),
        });
    }

    fn set_unresponsive(&mut self, name: &Arc<str>, is_unresponsive: bool) {
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        if machine.connectivity.set_unresponsive(is_unresponsive) {
            self.inventory.update(name);
        }
    }

    /// A machine whose heartbeats reach no controller answers direct calls: what it shows is true, but its
    /// lease is not renewed, and all that is on it ends with that. Nothing new is placed there, and what can
    /// save or loses nothing is moved while there is time. Only as long as others send heartbeats: otherwise
    /// it is this controller that is not reached.
    fn detect_outbound_partition(&mut self, name: &Arc<str>, lease_end: Micros, now: Micros) {
        let interval = self.config.heartbeat_interval;
        let since_any_heartbeat = now.since(self.inventory.last_heartbeat());
        let others_are_heard = since_any_heartbeat < interval.times(ANY_HEARTBEAT);
        let resumed_at = self.clock.resumed_at();
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        if !machine.is_up() || machine.connectivity.is_unresponsive() || !others_are_heard {
            // After a partition in both directions a machine answers calls before it sends a heartbeat.
            machine.connectivity.outbound_partition.reset_timer();
            return;
        }
        let wait = if machine.lease.was_answered() {
            interval.times(TWO_MISSED_HEARTBEATS)
        } else {
            interval
                .times(FIRST_HEARTBEAT_INTERVALS)
                .plus(SILENCE_MARGIN)
        };
        let up_since = machine.lifecycle.up_since();
        let last_answer = machine.lease.last_answer();
        let silence = now.since(last_answer.max(up_since).max(resumed_at));
        if silence <= wait {
            return;
        }
        let connectivity = &mut machine.connectivity;
        let is_new = connectivity.outbound_partition.detect(now);
        let is_late = silence > self.config.agent_lease.times(EVICTION_PART_OF_LEASE)
            && connectivity.outbound_partition.duration(now)
                > interval.times(TWO_MISSED_HEARTBEATS)
            && !connectivity.inbound_partition.is_suspected();
        let is_to_be_evicted = is_late && connectivity.outbound_partition.begin_eviction();
        if is_new {
            self.inventory.update(name);
        }
        if is_to_be_evicted {
            self.evict_within(name, lease_end.since(now), now);
        }
    }

    /// When the agent's lease has expired at the latest, if tasks depend on it. If it has, all of them are
    /// gone.
    fn check_lease(&self, name: &Arc<str>, findings: &mut HealthFindings, now: Micros) -> Micros {
        let machine = self.inventory.get(name);
        let Some(machine) = machine.filter(|machine| !machine.allocations.is_empty()) else {
            return now.plus(self.config.agent_lease);
        };
        let earlier_leaders_until = self.leader_term.previous_leader_fenced_at();
        let others_fenced_at = machine.agent.fenced_at().unwrap_or(earlier_leaders_until);
        let duration = self.config.agent_lease.with_drift();
        let lease_end = machine.lease.expires_at(others_fenced_at, duration);
        if now > lease_end {
            findings.lease_expired.push(name.clone());
        }
        lease_end.plus(LEASE_MARGIN)
    }
}
