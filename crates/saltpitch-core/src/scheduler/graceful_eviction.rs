//! Emptying a machine that is to be taken away, and stopping whole gangs.

use std::sync::Arc;

use super::{ObservedState, Scheduler};
use crate::gang::Gang;
use crate::job::{JobKind, JobNumber};
use crate::time::Micros;

impl Scheduler {
    /// The machine is to be taken away: whatever can be saved is saved.
    pub(super) fn evict_gracefully(&mut self, name: &Arc<str>, now: Micros) {
        let Some(machine) = self.inventory.machines.get(name) else {
            return;
        };
        let left = machine.spot_notice.map_or(Micros::ZERO, |n| n.since(now));
        self.evict_within(name, left, now);
    }

    pub(super) fn evict_within(&mut self, name: &Arc<str>, left: Micros, now: Micros) {
        let Some(machine) = self.inventory.machines.get(name) else {
            return;
        };
        let allocated: Vec<(JobNumber, u32)> = machine.allocations.iter().copied().collect();
        for (number, task) in allocated {
            let Some(job) = self.job_table.jobs.get(&number) else {
                continue;
            };
            let spec = job.spec.clone();
            let observed = job.tasks[task as usize]
                .allocation
                .as_ref()
                .map(|p| p.observed);
            let saves = spec.saves() && left > spec.save.plus(Micros::from_secs(2));
            let grace = spec.save.plus(Micros::from_secs(2));
            let started = matches!(
                observed,
                Some(ObservedState::Running | ObservedState::Saving)
            );
            if spec.kind == JobKind::Gang {
                if started && saves {
                    self.stop_whole_gang(number, grace, now);
                } else if !started {
                    self.stop_whole_gang(number, Micros::ZERO, now);
                }
            } else if !started || spec.kind == JobKind::Service {
                // Nothing to lose: sooner stopped is sooner elsewhere.
                self.stop(number, task, Micros::ZERO, now);
            } else if saves {
                self.stop(number, task, grace, now);
            }
            // What can't save runs on: it may complete in time.
        }
    }

    /// Stops a whole gang, all members told at once.
    pub(super) fn stop_whole_gang(&mut self, number: JobNumber, grace: Micros, now: Micros) {
        if let Some(job) = self.job_table.jobs.get_mut(&number) {
            job.gang = Gang::Stopping;
        }
        self.stop_all(number, grace, now);
        if let Some(job) = self.job_table.jobs.get_mut(&number) {
            if job.placed == 0 {
                job.gang = Gang::Parked { until: now };
            }
        }
    }
}
