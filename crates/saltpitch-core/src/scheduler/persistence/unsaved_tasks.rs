//! Tasks whose records have yet to be written.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use super::task_keys::TaskKey;
use crate::job::{JobKind, JobNumber, JobSpec, Priority};
use crate::time::Micros;

/// How long an outcome waits so that others of its range share the write. Users expect `done` within
/// 3 s of the fact.
const OUTCOME_DELAY: Micros = Micros::from_millis(400);
/// How far placements of production jobs are written ahead of batch work that was placed at the same
/// time: batch work must not keep them waiting when writes are scarce.
const PRODUCTION_HEAD_START: Micros = Micros::from_secs(8);
/// The same for placements of gangs.
const GANG_HEAD_START: Micros = Micros::from_secs(4);
/// A task that has been due for this long is urgent.
const URGENT_AFTER: Micros = Micros::from_secs(1);

/// A task and when its record is due; ordered by due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DueTask {
    due: Micros,
    key: TaskKey,
}

/// Tasks that differ from their records, in the order in which they are to be written.
#[derive(Default)]
pub(super) struct UnsavedTasks {
    due_times: FxHashMap<TaskKey, Micros>,
    queue: BTreeSet<DueTask>,
}

impl UnsavedTasks {
    /// Marks a task for writing at `due`, or earlier if it is due earlier already.
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

    /// Marks a task that was placed. Production goes before gangs, and both before batch work.
    pub(super) fn task_placed(&mut self, key: TaskKey, spec: &JobSpec, now: Micros) {
        let head_start = match (spec.priority, spec.kind) {
            (Priority::Production, _) => PRODUCTION_HEAD_START,
            (_, JobKind::Gang) => GANG_HEAD_START,
            _ => Micros::ZERO,
        };
        self.mark(key, now.since(head_start));
    }

    /// Marks a task that ended or lost its allocation: that can wait a little.
    pub(super) fn task_ended(&mut self, key: TaskKey, now: Micros) {
        self.mark(key, now.plus(OUTCOME_DELAY));
    }

    /// Whether the task differs from its record.
    pub(super) fn contains(&self, key: TaskKey) -> bool {
        self.due_times.contains_key(&key)
    }

    /// How many tasks differ from their records.
    pub(super) fn len(&self) -> usize {
        self.due_times.len()
    }

    /// The task is written, or need not be.
    pub(super) fn remove(&mut self, key: TaskKey) {
        if let Some(due) = self.due_times.remove(&key) {
            self.queue.remove(&DueTask { due, key });
        }
    }

    /// The task to be written first.
    pub(super) fn first(&self) -> Option<TaskKey> {
        self.queue.first().map(|task| task.key)
    }

    /// When the first task is due.
    pub(super) fn next_due(&self) -> Option<Micros> {
        self.queue.first().map(|task| task.due)
    }

    /// Whether a task has been due for so long that it must not wait for others.
    pub(super) fn has_urgent(&self, now: Micros) -> bool {
        let urgent_since = now.since(URGENT_AFTER);
        self.next_due().is_some_and(|due| due <= urgent_since)
    }

    /// The jobs that have unsaved tasks, without repetition.
    pub(super) fn jobs(&self) -> BTreeSet<JobNumber> {
        self.due_times.keys().map(|key| key.job).collect()
    }
}
