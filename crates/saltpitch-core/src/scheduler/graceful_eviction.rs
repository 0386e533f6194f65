//! Emptying a machine that is to be taken away or returned, and stopping whole gangs.

use std::sync::Arc;

use super::{Job, ObservedState, Scheduler};
use crate::gang::GangState;
use crate::job::{JobKind, JobNumber};
use crate::time::Micros;

/// Beyond the time that saving takes.
const SAVE_MARGIN: Micros = Micros::from_secs(2);

/// What is done with a task of a machine that is to be taken away.
enum Eviction {
    /// It is stopped with this time to save.
    Stop(Micros),
    /// Its whole gang is stopped with this time to save.
    StopGang(Micros),
    /// It runs on: it can't save, and may complete in time.
    RunOn,
}

impl Scheduler {
    /// The cloud takes the machine away: whatever can be saved is saved.
    pub(super) fn evict_gracefully(&mut self, name: &Arc<str>, now: Micros) {
        let Some(machine) = self.inventory.get(name) else {
            return;
        };
        let notice = machine.lifecycle.spot_notice();
        let left = notice.map_or(Micros::ZERO, |at| at.since(now));
        self.evict_within(name, left, now);
    }

    /// Whatever can be saved in the time that is left is stopped and saved, and so is what loses nothing.
    pub(super) fn evict_within(&mut self, name: &Arc<str>, left: Micros, now: Micros) {
        let Some(machine) = self.inventory.get(name) else {
            return;
        };
        for (number, task) in machine.allocations.to_vec() {
            let Some(job) = self.job_table.get(number) else {
                continue;
            };
            match eviction(job, task, left) {
                Eviction::Stop(grace) => self.stop(number, task, grace, now),
                Eviction::StopGang(grace) => self.stop_whole_gang(number, grace, now),
                Eviction::RunOn => {}
            }
        }
    }

    /// Closes a machine to new tasks. Returns the tasks that are placed there.
    pub(super) fn cordon(&mut self, name: &Arc<str>) -> Vec<(JobNumber, u32)> {
        let Some(machine) = self.inventory.get_mut(name) else {
            return Vec::new();
        };
        machine.cordon.activate();
        let tasks = machine.allocations.to_vec();
        self.inventory.update(name);
        tasks
    }

    /// Stops a whole gang, all members at once.
    pub(super) fn stop_whole_gang(&mut self, number: JobNumber, grace: Micros, now: Micros) {
        if let Some(job) = self.job_table.get_mut(number) {
            job.gang = GangState::Stopping;
        }
        self.stop_all(number, grace, now);
        if let Some(job) = self.job_table.get_mut(number) {
            if job.tasks.placed() == 0 {
                job.gang = GangState::Parked { until: now };
            }
        }
    }
}

/// What is done with a task whose machine is taken away when `left` has passed.
fn eviction(job: &Job, task: u32, left: Micros) -> Eviction {
    let spec = &job.spec;
    let allocation = job.allocation(task);
    let has_progress = allocation.is_some_and(|allocation| {
        matches!(
            allocation.observed,
            ObservedState::Running | ObservedState::Saving
        )
    });
    let grace = spec.save_time.plus(SAVE_MARGIN);
    let can_save = spec.can_save() && left > grace;
    let is_gang = spec.kind == JobKind::Gang;
    // What loses nothing is stopped at once: sooner stopped is sooner elsewhere.
    let loses_nothing = !has_progress || spec.kind == JobKind::Service;
    match (is_gang, loses_nothing, can_save) {
        (true, true, _) => Eviction::StopGang(Micros::ZERO),
        (true, false, true) => Eviction::StopGang(grace),
        (false, true, _) => Eviction::Stop(Micros::ZERO),
        (false, false, true) => Eviction::Stop(grace),
        (_, false, false) => Eviction::RunOn,
    }
}
