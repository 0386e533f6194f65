//! Retries of commands that have shown no effect.

use std::sync::Arc;

use super::job_table::JobTable;
use super::{ObservedState, Scheduler, SchedulerConfig};
use crate::machine::Machine;
use crate::time::Micros;

/// The results of a check of the machines whose commands have shown no effect yet.
#[derive(Default)]
struct RetryFindings {
    /// Machines on which every command has shown its effect.
    settled: Vec<Arc<str>>,
    /// Machines to which commands must be sent again.
    retried: Vec<Arc<str>>,
}

impl Scheduler {
    /// Repeats commands that show no effect.
    pub(super) fn retry_unacknowledged(&mut self, now: Micros) {
        let findings = self.check_awaited_effects(now);
        for name in &findings.settled {
            self.dispatch.effect_seen(name);
        }
        for name in &findings.retried {
            self.dispatch.request(name);
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
