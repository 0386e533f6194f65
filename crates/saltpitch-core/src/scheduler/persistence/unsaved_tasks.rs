//! Tasks whose current state has yet to be recorded.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::task_keys::TaskKey;
use crate::job::{JobKind, JobNumber, JobSpec, Priority};
use crate::time::Micros;

/// Delay before a task's outcome is written, so that other outcomes of its range share the write. Users expect
/// to see `done` within 3 s of the task's end.
const OUTCOME_DELAY: Micros = Micros::from_millis(400);
/// How much earlier placements of production jobs are due than those of batch jobs that were placed at the same
/// time: batch jobs must not delay them when writes are scarce.
const PRODUCTION_ADVANCE: Micros = Micros::from_secs(8);
/// How much earlier placements of gangs are due than those of batch jobs, for the same reason.
const GANG_ADVANCE: Micros = Micros::from_secs(4);
/// A task that has been due for this long is urgent: its write is not delayed for batching.
const URGENT_AFTER: Micros = Micros::from_secs(1);

/// A task and the time at which its write is due; ordered by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueTask {
    due: Micros,
    key: TaskKey,
}

/// The tasks that differ from their records, in the order in which they are written.
#[derive(Default)]
pub(super) struct UnsavedTasks {
    due_times: FxHashMap<TaskKey, Micros>,
    queue: BTreeSet<DueTask>,
}

impl UnsavedTasks {
    /// Marks a task to be written at `due`, unless it is due earlier already.
    pub(super) fn mark(&mut self, key: TaskKey, due: Micros) {
        let known = self.due_times.get(&key).copied();
        if known.is_some_and(|known| known <= due) {
            return;
        }
        if let Some(known) = known {
            self.queue.remove(&DueTask { due: known, key });
        }
        self.due_times.insert(key, due);
        self.queue.insert(DueTask { due, key });
    }

    /// Marks a task that was placed. Production jobs are written before gangs, and both before batch jobs.
    pub(super) fn task_placed(&mut self, key: TaskKey, spec: &JobSpec, now: Micros) {
        let advance = match (spec.priority, spec.kind) {
            (Priority::Production, _) => PRODUCTION_ADVANCE,
            (_, JobKind::Gang) => GANG_ADVANCE,
            _ => Micros::ZERO,
        };
        self.mark(key, now.since(advance));
    }

    /// Marks a task that ended or lost its allocation. The write is delayed by [`OUTCOME_DELAY`].
    pub(super) fn task_ended(&mut self, key: TaskKey, now: Micros) {
        self.mark(key, now.plus(OUTCOME_DELAY));
    }

    /// Returns whether the task differs from its record.
    pub(super) fn contains(&self, key: TaskKey) -> bool {
        self.due_times.contains_key(&key)
    }

    /// Returns how many tasks differ from their records.
    pub(super) fn len(&self) -> usize {
        self.due_times.len()
    }

    /// Removes a task that is part of a transaction or need not be written any more.
    pub(super) fn remove(&mut self, key: TaskKey) {
        if let Some(due) = self.due_times.remove(&key) {
            self.queue.remove(&DueTask { due, key });
        }
    }

    /// Returns the task that is to be written first.
    pub(super) fn first(&self) -> Option<TaskKey> {
        self.queue.first().map(|task| task.key)
    }

    /// Returns when the first task is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.queue.first().map(|task| task.due)
    }

    /// Returns whether a task has been due for so long that its write must not be delayed for batching.
    pub(super) fn has_urgent(&self, now: Micros) -> bool {
        let urgent_since = now.since(URGENT_AFTER);
        self.next_due().is_some_and(|due| due <= urgent_since)
    }

    /// Returns the jobs with unsaved tasks.
    pub(super) fn jobs(&self) -> BTreeSet<JobNumber> {
        self.due_times.keys().map(|key| key.job).collect()
    }
}
