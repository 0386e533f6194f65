//! Tasks whose records have yet to be written.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::cluster::JobNumber;
use crate::job::{JobKind, JobSpec, Priority};
use crate::time::Micros;

/// How long an outcome waits for others of its chunk: users expect `done` only 3 s after the fact.
const GATHER: Micros = Micros::from_millis(400);

/// Tasks that differ from their records, in the order in which they are to be written.
#[derive(Default)]
pub(in crate::scheduler) struct UnsavedTasks {
    pub(in crate::scheduler) due: FxHashMap<(JobNumber, u32), Micros>,
    pub(in crate::scheduler) queue: BTreeSet<(Micros, JobNumber, u32)>,
}

impl UnsavedTasks {
    pub(in crate::scheduler) fn mark(&mut self, number: JobNumber, task: u32, due: Micros) {
        let old = self.due.get(&(number, task)).copied();
        if old.is_some_and(|old| old <= due) {
            return;
        }
        if let Some(old) = old {
            self.queue.remove(&(old, number, task));
        }
        self.due.insert((number, task), due);
        self.queue.insert((due, number, task));
    }

    /// A task was placed: production goes before gangs, and both before batch work, which must not
    /// keep them waiting when changes are scarce.
    pub(in crate::scheduler) fn placement(
        &mut self,
        number: JobNumber,
        task: u32,
        spec: &JobSpec,
        now: Micros,
    ) {
        let ahead = match (spec.priority, spec.kind) {
            (Priority::Production, _) => 8,
            (_, JobKind::Gang) => 4,
            _ => 0,
        };
        self.mark(number, task, now.since(Micros::from_secs(ahead)));
    }

    /// A task ended: that can wait a little.
    pub(in crate::scheduler) fn outcome(&mut self, number: JobNumber, task: u32, now: Micros) {
        self.mark(number, task, now.plus(GATHER));
    }

    pub(in crate::scheduler) fn contains(&self, number: JobNumber, task: u32) -> bool {
        self.due.contains_key(&(number, task))
    }

    pub(in crate::scheduler) fn len(&self) -> usize {
        self.due.len()
    }

    pub(in crate::scheduler) fn remove(&mut self, number: JobNumber, task: u32) {
        if let Some(due) = self.due.remove(&(number, task)) {
            self.queue.remove(&(due, number, task));
        }
    }

    /// Whether something urgent is due.
    pub(in crate::scheduler) fn urgent(&self, now: Micros) -> bool {
        let urgent = now.since(Micros::from_secs(1));
        self.queue.first().is_some_and(|d| d.0 <= urgent)
    }

    pub(in crate::scheduler) fn jobs(&self) -> Vec<JobNumber> {
        let mut all: Vec<JobNumber> = self.due.keys().map(|k| k.0).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}
