//! The tasks of one job, and which of them are idle, placed, deferred or done.
//!
//! Invariant: a task is in exactly one of these states, except that a done task may still be placed until
//! its agent's heartbeat is reconciled.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::sync::Arc;

use super::allocation::Allocation;

/// The state of one task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Task {
    /// The highest attempt number so far.
    pub attempt: u32,
    /// Whether the task has completed.
    pub done: bool,
    /// The task's allocation, if it is placed.
    pub allocation: Option<Box<Allocation>>,
}

/// The tasks of one job.
pub(crate) struct TaskSet {
    tasks: Vec<Task>,
    idle: BTreeSet<u32>,
    deferred: BTreeSet<u32>,
    placed: u32,
    done: u32,
    zones: BTreeMap<Arc<str>, u32>,
    was_fully_placed: bool,
}

impl TaskSet {
    /// Creates a set of `count` idle tasks.
    pub(in crate::scheduler) fn new(count: u32) -> TaskSet {
        TaskSet {
            tasks: vec![Task::default(); count as usize],
            idle: (0..count).collect(),
            deferred: BTreeSet::new(),
            placed: 0,
            done: 0,
            zones: BTreeMap::new(),
            was_fully_placed: false,
        }
    }

    /// Returns the number of tasks.
    pub(in crate::scheduler) fn len(&self) -> usize {
        self.tasks.len()
    }

    /// Returns the task with this index.
    pub(in crate::scheduler) fn get(&self, task: u32) -> Option<&Task> {
        self.tasks.get(task as usize)
    }

    /// Returns the task with this index for modification.
    pub(in crate::scheduler) fn get_mut(&mut self, task: u32) -> Option<&mut Task> {
        self.tasks.get_mut(task as usize)
    }

    /// Returns the tasks with these indexes, or none if the range exceeds the set.
    pub(in crate::scheduler) fn range(&self, tasks: Range<u32>) -> &[Task] {
        let tasks = tasks.start as usize..tasks.end as usize;
        self.tasks.get(tasks).unwrap_or_default()
    }

    /// Returns all tasks.
    pub(in crate::scheduler) fn iter(&self) -> impl Iterator<Item = &Task> {
        self.tasks.iter()
    }

    /// Returns the task's allocation, if it is placed.
    pub(in crate::scheduler) fn allocation(&self, task: u32) -> Option<&Allocation> {
        self.get(task)?.allocation.as_deref()
    }

    /// Returns the task's allocation for modification, if it is placed.
    pub(in crate::scheduler) fn allocation_mut(&mut self, task: u32) -> Option<&mut Allocation> {
        self.get_mut(task)?.allocation.as_deref_mut()
    }

    /// Returns the tasks that may be placed: those that are neither placed nor done nor deferred.
    pub(in crate::scheduler) fn idle(&self) -> &BTreeSet<u32> {
        &self.idle
    }

    /// Returns the number of placed tasks.
    pub(in crate::scheduler) fn placed(&self) -> u32 {
        self.placed
    }

    /// Returns the number of completed tasks.
    pub(in crate::scheduler) fn done(&self) -> u32 {
        self.done
    }

    /// Returns the number of placed tasks in each zone.
    pub(in crate::scheduler) fn zones(&self) -> &BTreeMap<Arc<str>, u32> {
        &self.zones
    }

    /// Returns whether all tasks were placed or done at one time.
    pub(in crate::scheduler) fn was_fully_placed(&self) -> bool {
        self.was_fully_placed
    }

    /// Returns whether no task is placed, done or deferred.
    pub(in crate::scheduler) fn is_all_idle(&self) -> bool {
        self.placed == 0 && self.done == 0 && self.deferred.is_empty()
    }

    /// Returns the highest attempt number of any task.
    pub(in crate::scheduler) fn highest_attempt(&self) -> u32 {
        let attempts = self.tasks.iter().map(|task| task.attempt);
        attempts.max().unwrap_or(0)
    }

    /// Restores a task's state from the records.
    pub(in crate::scheduler) fn restore(&mut self, task: u32, attempt: u32, done: bool) {
        let Some(state) = self.tasks.get_mut(task as usize) else {
            return;
        };
        state.attempt = attempt;
        state.done = done;
        if done {
            self.idle.remove(&task);
            self.done += 1;
        }
    }

    /// Records that the task is placed in this zone.
    pub(super) fn place(&mut self, task: u32, allocation: Allocation, zone: &Arc<str>) {
        let Some(state) = self.tasks.get_mut(task as usize) else {
            return;
        };
        state.attempt = allocation.attempt;
        state.allocation = Some(Box::new(allocation));
        self.idle.remove(&task);
        self.placed += 1;
        self.was_fully_placed |= self.idle.is_empty() && self.deferred.is_empty();
        *self.zones.entry(zone.clone()).or_default() += 1;
    }

    /// Removes and returns the task's allocation. `zone` is the zone of its machine, if the machine is still
    /// known.
    pub(in crate::scheduler) fn unplace(
        &mut self,
        task: u32,
        zone: Option<&Arc<str>>,
    ) -> Option<Box<Allocation>> {
        let state = self.tasks.get_mut(task as usize)?;
        let allocation = state.allocation.take()?;
        let was_never_started = !allocation.committed && !allocation.start_sent;
        if was_never_started && state.attempt == allocation.attempt {
            // The start was never sent, so the attempt number is still unused.
            state.attempt -= 1;
        }
        if !state.done {
            self.idle.insert(task);
        }
        self.placed -= 1;
        if let Some(zone) = zone {
            self.leave_zone(zone);
        }
        Some(allocation)
    }

    fn leave_zone(&mut self, zone: &Arc<str>) {
        if let Some(tasks) = self.zones.get_mut(zone) {
            *tasks -= 1;
            if *tasks == 0 {
                self.zones.remove(zone);
            }
        }
    }

    /// Records that the task has completed. Returns whether that is new.
    pub(super) fn complete(&mut self, task: u32) -> bool {
        let state = self.tasks.get_mut(task as usize);
        let Some(state) = state.filter(|state| !state.done) else {
            return false;
        };
        state.done = true;
        self.done += 1;
        self.idle.remove(&task);
        true
    }

    /// Defers an idle task until [`TaskSet::end_deferral`]. Returns whether it was idle.
    pub(in crate::scheduler) fn defer(&mut self, task: u32) -> bool {
        let was_idle = self.idle.remove(&task);
        if was_idle {
            self.deferred.insert(task);
        }
        was_idle
    }

    /// Makes a deferred task idle again. Returns whether it is idle now.
    pub(in crate::scheduler) fn end_deferral(&mut self, task: u32) -> bool {
        let was_deferred = self.deferred.remove(&task);
        let state = self.get(task);
        let is_free = state.is_some_and(|state| !state.done && state.allocation.is_none());
        let becomes_idle = was_deferred && is_free;
        if becomes_idle {
            self.idle.insert(task);
        }
        becomes_idle
    }
}
