//! Retries of commands that have shown no effect. Starts that stay unacknowledged are invalidated by raising
//! the term.

use std::sync::Arc;

use super::job_table::JobTable;
use super::{Effect, ObservedState, Scheduler, SchedulerConfig};
use crate::machine::Machine;
use crate::time::Micros;

/// How long a start may stay unacknowledged before it is invalidated by raising the term.
const ACKNOWLEDGEMENT_TIMEOUT: Micros = Micros::from_secs(6);

/// The results of a check of the machines whose commands have shown no effect yet.
#[derive(Default)]
struct RetryFindings {
    /// Machines on which every command has shown its effect.
    settled: Vec<Arc<str>>,
    /// Machines to which commands must be sent again.
    retried: Vec<Arc<str>>,
    /// Whether the term must be raised. An agent that has seen the new term ignores earlier starts.
    needs_higher_term: bool,
}

impl Scheduler {
    /// Repeats commands that show no effect, and raises the term to invalidate starts that stay
    /// unacknowledged.
    pub(super) fn retry_unacknowledged(&mut self, now: Micros) {
        let findings = self.check_awaited_effects(now);
        for name in &findings.settled {
            self.dispatch.effect_seen(name);
        }
        for name in &findings.retried {
            self.dispatch.request(name);
        }
        if findings.needs_higher_term && self.leader_term.begin_raise() {
            self.effects.push(Effect::RaiseTerm);
        }
    }

    /// Checks the machines whose stops and starts have not all shown an effect.
    fn check_awaited_effects(&mut self, now: Micros) -> RetryFindings {
        let mut findings = RetryFindings::default();
        for name in self.dispatch.awaiting_effect() {
            self.steps += 1;
            let machine = self.inventory.get(name);
            let Some(machine) = machine.filter(|machine| !machine.allocations.is_empty()) else {
                findings.settled.push(name.clone());
                continue;
            };
            findings.needs_higher_term |= needs_higher_term(machine, self.leader_term.term(), now);
            let awaits_effect = has_awaited_tasks(machine, &mut self.job_table, &self.config, now)
                || machine.commands.has_unacknowledged_start();
            if !awaits_effect {
                findings.settled.push(name.clone());
            } else if machine.is_up() && machine.commands.is_ready(now) {
                findings.retried.push(name.clone());
            }
        }
        findings
    }
}

/// Returns whether a start has been unacknowledged for so long that the term is raised to invalidate it.
///
/// A start that was sent before the term was last raised is no reason to raise it again: the agent ignores it
/// once it has seen the new term.
fn needs_higher_term(machine: &Machine, term: u64, now: Micros) -> bool {
    let Some(start) = machine.commands.unacknowledged_start() else {
        return false;
    };
    machine.is_up()
        && !machine.connectivity.is_unresponsive()
        && !machine.connectivity.inbound_partition.is_suspected()
        && now.since(start.since) > ACKNOWLEDGEMENT_TIMEOUT
        && start.fencing_token >= term
}

/// Returns whether stops or starts on this machine have yet to show an effect. Takes away the grace of tasks
/// that have exceeded it, so that they are stopped at once.
fn has_awaited_tasks(
    machine: &Machine,
    job_table: &mut JobTable,
    config: &SchedulerConfig,
    now: Micros,
) -> bool {
    let mut has_awaited = false;
    for (number, task) in machine.allocations.iter() {
        let job = job_table.get_mut(number);
        let Some(allocation) = job.and_then(|job| job.allocation_mut(task)) else {
            continue;
        };
        if let Some(stop) = allocation.stop.as_mut() {
            has_awaited = true;
            let margin = config.gang_peer_timeout.plus(config.heartbeat_interval);
            if now.since(stop.requested_at) > stop.grace.plus(margin) {
                stop.grace = Micros::ZERO;
            }
        } else if allocation.committed && allocation.observed == ObservedState::Unseen {
            has_awaited = true;
        }
    }
    has_awaited
}
