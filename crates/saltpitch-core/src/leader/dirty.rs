//! Tasks whose records have yet to be written.

use std::collections::BTreeSet;

use rustc_hash::FxHashMap;

use crate::cluster::JobNo;
use crate::job::{JobSpec, Kind, Priority};
use crate::time::Micros;

/// How long an outcome waits for others of its chunk: users expect `done` only 3 s after the fact.
const GATHER: Micros = Micros::from_millis(400);

/// Tasks that differ from their records, in the order in which they are to be written.
#[derive(Default)]
pub(super) struct Dirty {
    pub(super) due: FxHashMap<(JobNo, u32), Micros>,
    pub(super) queue: BTreeSet<(Micros, JobNo, u32)>,
}

impl Dirty {
    pub(super) fn mark(&mut self, no: JobNo, task: u32, due: Micros) {
        let old = self.due.get(&(no, task)).copied();
        if old.is_some_and(|old| old <= due) {
            return;
        }
        if let Some(old) = old {
            self.queue.remove(&(old, no, task));
        }
        self.due.insert((no, task), due);
        self.queue.insert((due, no, task));
    }

    /// A task was placed: production goes before gangs, and both before batch work, which must not
    /// keep them waiting when changes are scarce.
    pub(super) fn placement(&mut self, no: JobNo, task: u32, spec: &JobSpec, now: Micros) {
        let ahead = match (spec.priority, spec.kind) {
            (Priority::Production, _) => 8,
            (_, Kind::Gang) => 4,
            _ => 0,
        };
        self.mark(no, task, now.since(Micros::from_secs(ahead)));
    }

    /// A task ended: that can wait a little.
    pub(super) fn outcome(&mut self, no: JobNo, task: u32, now: Micros) {
        self.mark(no, task, now.plus(GATHER));
    }

    pub(super) fn contains(&self, no: JobNo, task: u32) -> bool {
        self.due.contains_key(&(no, task))
    }

    pub(super) fn len(&self) -> usize {
        self.due.len()
    }

    pub(super) fn remove(&mut self, no: JobNo, task: u32) {
        if let Some(due) = self.due.remove(&(no, task)) {
            self.queue.remove(&(due, no, task));
        }
    }

    /// Whether something urgent is due.
    pub(super) fn urgent(&self, now: Micros) -> bool {
        let urgent = now.since(Micros::from_secs(1));
        self.queue.first().is_some_and(|d| d.0 <= urgent)
    }

    pub(super) fn jobs(&self) -> Vec<JobNo> {
        let mut all: Vec<JobNo> = self.due.keys().map(|k| k.0).collect();
        all.sort_unstable();
        all.dedup();
        all
    }
}
