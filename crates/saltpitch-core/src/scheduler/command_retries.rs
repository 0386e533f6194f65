//! Commands that have not shown any effect: they are repeated, and starts that stay unacknowledged are ended
//! by raising the term.

use std::sync::Arc;

use super::job_table::JobTable;
use super::{Effect, ObservedState, Scheduler, SchedulerConfig};
use crate::machine::Machine;
use crate::time::Micros;

/// A start that is unacknowledged for longer is ended by raising the term.
const ACKNOWLEDGEMENT_WAIT: Micros = Micros::from_secs(6);

/// Which machines need another call, by what was sent to them before.
#[derive(Default)]
struct RetryFindings {
    /// Every command has shown its effect.
    settled: Vec<Arc<str>>,
    /// Commands are to be sent once more.
    retried: Vec<Arc<str>>,
    /// The term is to be raised: an agent that has seen the new one ignores earlier starts.
    term_outdated: bool,
}

impl Scheduler {
    /// Repeats commands that show no effect, and ends starts that stay unacknowledged.
    pub(super) fn retry_unacknowledged(&mut self, now: Micros) {
        let findings = self.check_awaited_effects(now);
        for name in &findings.settled {
            self.dispatch.effect_seen(name);
        }
        for name in &findings.retried {
            self.dispatch.request(name);
        }
        if findings.term_outdated && self.leader_term.begin_raise() {
            self.effects.push(Effect::RaiseTerm);
        }
    }

    fn check_awaited_effects(&mut self, now: Micros) -> RetryFindings {
        let mut findings = RetryFindings::default();
        for name in self.dispatch.awaiting_effect() {
            self.steps += 1;
            let machine = self.inventory.get(name);
            let Some(machine) = machine.filter(|machine| !machine.allocations.is_empty()) else {
                findings.settled.push(name.clone());
                continue;
            };
            findings.term_outdated |= needs_higher_term(machine, self.leader_term.term(), now);
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

/// Whether a start has been unacknowledged for so long that the term is raised for it. One that the agent
/// should ignore already, since the term was raised after it was sent, is no reason to raise it again.
fn needs_higher_term(machine: &Machine, term: u64, now: Micros) -> bool {
    let Some(start) = machine.commands.unacknowledged_start() else {
        return false;
    };
    machine.is_up()
        && !machine.connectivity.is_unresponsive()
        && !machine.connectivity.inbound_partition.is_suspected()
        && now.since(start.since) > ACKNOWLEDGEMENT_WAIT
        && start.fencing_token >= term
}

/// Whether stops or starts on this machine have yet to show an effect. Tasks that take longer to save than
/// they were given are stopped at once.
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
