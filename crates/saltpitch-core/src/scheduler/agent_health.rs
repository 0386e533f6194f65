//! Health checks of machines and their agents.
//!
//! They find agents that are silent or unreachable, leases that have expired, and machines whose return is
//! to be requested from the cloud.

use std::sync::Arc;

use super::{Effect, Scheduler};
use crate::machine::{Machine, MachinePhase};
use crate::time::Micros;

/// The interval between checks of a machine that needs attention.
const RECHECK_INTERVAL: Micros = Micros::from_millis(500);
/// The minimum interval between checks of any machine.
const MIN_CHECK_INTERVAL: Micros = Micros::from_millis(400);
/// The interval between checks of a machine that is not up.
const REGISTRATION_CHECK_INTERVAL: Micros = Micros::from_secs(2);
/// The minimum interval between requests to return the same machine.
const RETURN_RETRY_INTERVAL: Micros = Micros::from_secs(3);
/// The interval between probes of a machine that is up.
const PROBE_INTERVAL: Micros = Micros::from_secs(1);
/// The interval between probes of a machine that is not up.
const REGISTRATION_PROBE_INTERVAL: Micros = Micros::from_secs(4);
/// A lease is checked for expiry this long after its end.
const LEASE_MARGIN: Micros = Micros::from_millis(1);

/// Heartbeat intervals of silence after which a heartbeat counts as missed. Heartbeats are sent up to a
/// quarter of the interval early or late.
pub(super) const MISSED_HEARTBEAT_INTERVALS: f64 = 1.4;
/// Heartbeat intervals within which at least one machine should have sent a heartbeat.
const ANY_HEARTBEAT_INTERVALS: f64 = 1.5;
/// Heartbeat intervals of silence after which two heartbeats count as missed.
pub(super) const TWO_MISSED_HEARTBEATS_INTERVALS: f64 = 1.8;
/// Heartbeat intervals of silence, in addition to [`SILENCE_MARGIN`], after which an agent counts as lost
/// even if no probe has failed.
const LOST_INTERVALS: f64 = 2.6;
/// Heartbeat intervals, in addition to [`SILENCE_MARGIN`], within which an agent that answers calls should have
/// sent its first heartbeat to this leader.
const FIRST_HEARTBEAT_INTERVALS: f64 = 2.5;
/// Added to [`LOST_INTERVALS`] and [`FIRST_HEARTBEAT_INTERVALS`].
const SILENCE_MARGIN: Micros = Micros::from_secs(1);
/// The fraction of the lease after which tasks are evicted from a machine with an outbound partition, whose
/// agent does not renew its lease.
const EVICTION_LEASE_FRACTION: f64 = 0.55;

/// The results of one round of health checks that are acted on after it.
#[derive(Default)]
struct HealthFindings {
    /// Machines whose agent's lease has expired, so that nothing runs on them any more.
    lease_expired: Vec<Arc<str>>,
    /// Machines that are up and whose agents seem to be lost.
    unresponsive: Vec<Arc<str>>,
    /// Machines whose return is to be requested from the cloud.
    returning: Vec<Arc<str>>,
}

/// The assessment of an agent by the time since it was last heard and by failed calls to it.
#[derive(Clone, Copy)]
struct AgentAssessment {
    /// Whether the agent should be probed for its status.
    needs_probe: bool,
    /// Whether the agent has been silent for so long that no new tasks are placed on its machine.
    is_unresponsive: bool,
    /// Whether the agent seems to be gone, or to receive no answers.
    seems_lost: bool,
}

impl Scheduler {
    /// Checks the machines whose health check is due, and acts on the results.
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
            self.release_all_tasks(&name, now);
        }
        self.return_unresponsive(&findings.unresponsive, now);
        self.retry_unacknowledged(now);
    }

    /// Checks one machine. Returns when to check it again.
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

    /// Checks a machine whose return is requested. Returns when to check it again.
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

    /// Assesses an agent by the time since it was last heard and by failed calls to it.
    fn assess_agent(&self, machine: &Machine, now: Micros) -> AgentAssessment {
        let interval = self.config.heartbeat_interval;
        let connectivity = &machine.connectivity;
        let silence = now.since(self.heard_or_resumed(machine));
        let is_expected = machine.is_up() || !machine.allocations.is_empty();
        // Machines that an earlier leader knew are probed even if they were not heard yet. The agents of
        // machines that this leader ordered send a heartbeat without being asked.
        let may_be_up = machine.lifecycle.is_unregistered()
            && machine.lifecycle.is_recorded()
            && machine.lifecycle.created_at() < self.leader_term.elected_at();
        let needs_probe = may_be_up
            || (is_expected && silence > interval.times(MISSED_HEARTBEAT_INTERVALS))
            || connectivity.inbound_partition.is_suspected();
        let probes_failed = connectivity.probes.have_failed()
            && silence > interval.times(TWO_MISSED_HEARTBEATS_INTERVALS);
        let lost_after = interval.times(LOST_INTERVALS).plus(SILENCE_MARGIN);
        // An agent that receives no answers counts as lost, since no command has an effect on it.
        let partition_wait = interval.times(TWO_MISSED_HEARTBEATS_INTERVALS);
        let is_partitioned = connectivity
            .inbound_partition
            .is_confirmed(partition_wait, now);
        AgentAssessment {
            needs_probe,
            is_unresponsive: machine.is_up() && silence > self.heartbeat_freshness(),
            seems_lost: probes_failed || silence > lost_after || is_partitioned,
        }
    }

    /// Returns when the agent was last heard, or when this controller resumed from a pause if that is later:
    /// an agent can't be heard during a pause.
    fn heard_or_resumed(&self, machine: &Machine) -> Micros {
        let last_heard = machine.connectivity.last_heard();
        last_heard.max(self.clock.resumed_at())
    }

    /// Returns when to check a machine again that needs no attention.
    fn next_check(&self, machine: &Machine, now: Micros) -> Micros {
        if machine.is_up() {
            let missed_after = self
                .config
                .heartbeat_interval
                .times(MISSED_HEARTBEAT_INTERVALS);
            self.heard_or_resumed(machine).plus(missed_after)
        } else {
            now.plus(REGISTRATION_CHECK_INTERVAL)
        }
    }

    /// Probes an agent for its status, unless it was probed recently or too many probes are in flight.
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

    /// Marks a machine as unresponsive or not, and updates the indexes if that changed.
    fn set_unresponsive(&mut self, name: &Arc<str>, is_unresponsive: bool) {
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        if machine.connectivity.set_unresponsive(is_unresponsive) {
            self.inventory.update(name);
        }
    }

    /// Detects a machine that answers direct calls although its heartbeats reach no controller.
    ///
    /// The status in its answers is valid, but its lease is not renewed, so all of its tasks are lost when
    /// the lease expires. No new tasks are placed there, and tasks that can save their progress or have none
    /// to lose are evicted in time. Nothing is detected unless other machines send heartbeats: otherwise it
    /// is this controller that heartbeats don't reach.
    fn detect_outbound_partition(&mut self, name: &Arc<str>, lease_end: Micros, now: Micros) {
        let interval = self.config.heartbeat_interval;
        let since_any_heartbeat = now.since(self.inventory.last_heartbeat());
        let others_are_heard = since_any_heartbeat < interval.times(ANY_HEARTBEAT_INTERVALS);
        let resumed_at = self.clock.resumed_at();
        let Some(machine) = self.inventory.get_mut(name) else {
            return;
        };
        if !machine.is_up() || machine.connectivity.is_unresponsive() || !others_are_heard {
            // After a partition in both directions, a machine answers calls before it sends a heartbeat. The
            // time before that must not count towards an outbound partition.
            machine.connectivity.outbound_partition.reset_timer();
            return;
        }
        let wait = if machine.lease.was_renewed() {
            interval.times(TWO_MISSED_HEARTBEATS_INTERVALS)
        } else {
            interval
                .times(FIRST_HEARTBEAT_INTERVALS)
                .plus(SILENCE_MARGIN)
        };
        let up_since = machine.lifecycle.up_since();
        let last_renewal = machine.lease.last_renewal();
        let silence = now.since(last_renewal.max(up_since).max(resumed_at));
        if silence <= wait {
            return;
        }
        let connectivity = &mut machine.connectivity;
        let is_new = connectivity.outbound_partition.detect(now);
        let is_eviction_due = silence > self.config.agent_lease.times(EVICTION_LEASE_FRACTION)
            && connectivity.outbound_partition.duration(now)
                > interval.times(TWO_MISSED_HEARTBEATS_INTERVALS)
            && !connectivity.inbound_partition.is_suspected();
        let should_evict = is_eviction_due && connectivity.outbound_partition.begin_eviction();
        if is_new {
            self.inventory.update(name);
        }
        if should_evict {
            self.evict_within(name, lease_end.since(now), now);
        }
    }

    /// Adds the machine to the findings if it has tasks and its agent's lease has expired, which proves that
    /// all of them are gone. Returns when to check the lease again.
    fn check_lease(&self, name: &Arc<str>, findings: &mut HealthFindings, now: Micros) -> Micros {
        let machine = self.inventory.get(name);
        let Some(machine) = machine.filter(|machine| !machine.allocations.is_empty()) else {
            return now.plus(self.config.agent_lease);
        };
        let previous_leader_fenced_at = self.leader_term.previous_leader_fenced_at();
        let earlier_leaders_fenced_at = machine
            .agent
            .fenced_at()
            .unwrap_or(previous_leader_fenced_at);
        let duration = self.config.agent_lease.with_drift();
        let lease_end = machine
            .lease
            .expires_at(earlier_leaders_fenced_at, duration);
        if now > lease_end {
            findings.lease_expired.push(name.clone());
        }
        lease_end.plus(LEASE_MARGIN)
    }
}
