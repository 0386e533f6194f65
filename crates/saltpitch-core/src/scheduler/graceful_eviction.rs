//! Graceful eviction of the tasks of a machine that is about to be lost, cordons, and stops of whole gangs.

use std::sync::Arc;

use super::{Job, ObservedState, Scheduler};
use crate::gang::GangState;
use crate::job::{JobKind, JobNumber};
use crate::time::Micros;

/// Added to the time that a task takes to save its progress.
const SAVE_MARGIN: Micros = Micros::from_secs(2);

/// The action for a task of a machine that is about to be lost.
enum Eviction {
    /// Stop the task with this grace.
    Stop(Micros),
    /// Stop the task's whole gang with this grace.
    StopGang(Micros),
    /// Let the task run: it can't save its progress, and may complete in time.
    RunOn,
}

impl Scheduler {
    /// Evicts the tasks of a spot machine before the cloud reclaims it.
    pub(super) fn evict_gracefully(&mut self, name: &Arc<str>, now: Micros) {
        let Some(machine) = self.inventory.get(name) else {
            return;
        };
        let notice = machine.lifecycle.spot_notice();
        let time_left = notice.map_or(Micros::ZERO, |at| at.since(now));
        self.evict_within(name, time_left, now);
    }

    /// Evicts the tasks of a machine that can save their progress within `time_left`, and those that lose
    /// nothing when they are stopped.
    pub(super) fn evict_within(&mut self, name: &Arc<str>, time_left: Micros, now: Micros) {
        let Some(machine) = self.inventory.get(name) else {
            return;
        };
        for (number, task) in machine.allocations.to_vec() {
            let Some(job) = self.job_table.get(number) else {
                continue;
            };
            match choose_eviction(job, task, time_left) {
                Eviction::Stop(grace) => self.stop(number, task, grace, now),
                Eviction::StopGang(grace) => self.stop_whole_gang(number, grace, now),
                Eviction::RunOn => {}
            }
        }
    }

    /// Cordons a machine. Returns the tasks that are allocated to it.
    pub(super) fn cordon(&mut self, name: &Arc<str>) -> Vec<(JobNumber, u32)> {
        let Some(machine) = self.inventory.get_mut(name) else {
            return Vec::new();
        };
        machine.cordon.activate();
        let tasks = machine.allocations.to_vec();
        self.inventory.update(name);
        tasks
    }

    /// Stops all members of a gang at the same time.
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

/// Chooses the action for a task whose machine is lost after `time_left`.
fn choose_eviction(job: &Job, task: u32, time_left: Micros) -> Eviction {
    let spec = &job.spec;
    let allocation = job.allocation(task);
    let has_progress = allocation.is_some_and(|allocation| {
        matches!(
            allocation.observed,
            ObservedState::Running | ObservedState::Saving
        )
    });
    let grace = spec.save_time.plus(SAVE_MARGIN);
    let can_save = spec.can_save() && time_left > grace;
    let is_gang = spec.kind == JobKind::Gang;
    // A task that loses nothing is stopped at once, so that it is started on another machine sooner.
    let loses_nothing = !has_progress || spec.kind == JobKind::Service;
    match (is_gang, loses_nothing, can_save) {
        (true, true, _) => Eviction::StopGang(Micros::ZERO),
        (true, false, true) => Eviction::StopGang(grace),
        (false, true, _) => Eviction::Stop(Micros::ZERO),
        (false, false, true) => Eviction::Stop(grace),
        (_, false, false) => Eviction::RunOn,
    }
}
