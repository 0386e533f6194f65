//! The cancellations that a controller has seen, for a leader that cannot reach the state service.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::messages::AckRequest;

/// Maximum number of cancellations that a controller keeps for a leader that cannot reach the state service.
const MAX_CANCELLATIONS: usize = 10_000;
/// Maximum number of cancellations in one acknowledgement.
const MAX_CANCELLATIONS_PER_ACK: usize = 1_000;

/// A position in a controller's list of cancellations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckCursor {
    /// Identifies the process that keeps the list; a restarted controller starts a new list.
    pub process: u64,
    /// Number of entries of the list that the leader has received.
    pub entries: u64,
}

/// A controller's acknowledgement to a leader that cannot reach the state service: one page of the jobs that the
/// controller knows to be cancelled and that are not cancelled in the leader's records.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancellationAck {
    /// The position at which the next page starts.
    #[serde(rename = "upto")]
    pub next: AckCursor,
    /// Whether there is another page. Only the last page completes the acknowledgement.
    #[serde(rename = "more")]
    pub has_more: bool,
    /// Ids of the cancelled jobs.
    pub cancelled: Vec<String>,
}

/// The cancellation of a job; ordered by revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Cancellation {
    /// The revision of the record that cancelled the job.
    pub(super) revision: u64,
    /// The job's id.
    pub(super) id: String,
}

/// A bounded list of cancellations in the order in which a controller has seen them, which may differ from the
/// order of their revisions. The oldest entries are dropped. A leader whose records are older than the newest
/// revision among them gets no acknowledgement.
#[derive(Clone, Debug, Default)]
pub struct Cancellations {
    /// Number of entries that have been dropped.
    dropped_count: u64,
    entries: VecDeque<Cancellation>,
    /// The highest revision of the entries that have been dropped.
    max_dropped_revision: u64,
}

impl Cancellations {
    /// Adds a cancellation.
    pub(super) fn push(&mut self, revision: u64, id: &str) {
        let id = id.to_owned();
        self.entries.push_back(Cancellation { revision, id });
    }

    /// Returns all entries, ordered by revision. An entry that was added twice is returned once.
    pub(super) fn into_sorted(self) -> Vec<Cancellation> {
        let mut entries = Vec::from(self.entries);
        entries.sort_unstable();
        entries.dedup();
        entries
    }

    /// Drops the oldest entries until at most `MAX_CANCELLATIONS` are left.
    pub fn trim(&mut self) {
        while self.entries.len() > MAX_CANCELLATIONS {
            if let Some(oldest) = self.entries.pop_front() {
                self.dropped_count += 1;
                self.max_dropped_revision = self.max_dropped_revision.max(oldest.revision);
            }
        }
    }

    /// Drops the entries with the lowest revisions once there are more than twice `MAX_CANCELLATIONS`. In a listing, the
    /// order of the entries is that of their keys and says nothing about their age.
    pub(super) fn keep_highest_revisions(&mut self) {
        if self.entries.len() <= 2 * MAX_CANCELLATIONS {
            return;
        }
        let mut entries = Vec::from(std::mem::take(&mut self.entries));
        entries.sort_unstable();
        let excess = entries.len() - MAX_CANCELLATIONS;
        for dropped in entries.drain(..excess) {
            self.max_dropped_revision = self.max_dropped_revision.max(dropped.revision);
        }
        self.entries = VecDeque::from(entries);
    }

    /// Returns the highest revision of the entries that have been dropped.
    pub(super) fn max_dropped_revision(&self) -> u64 {
        self.max_dropped_revision
    }

    /// Notes that an entry of this revision is missing from the list.
    pub(super) fn note_dropped(&mut self, revision: u64) {
        self.max_dropped_revision = self.max_dropped_revision.max(revision);
    }

    /// Returns the next page of cancellations that are missing from the leader's records, starting at its cursor.
    /// Returns `None` if a dropped entry may be missing from them.
    pub fn acknowledge(&self, process: u64, request: AckRequest) -> Option<CancellationAck> {
        let AckRequest { revision, cursor } = request;
        if revision < self.max_dropped_revision {
            return None;
        }
        let known_entries = if cursor.process == process {
            cursor.entries
        } else {
            0
        };
        let skip = known_entries.saturating_sub(self.dropped_count) as usize;
        let mut position = self.dropped_count.max(known_entries);
        let mut cancelled = Vec::new();
        for cancellation in self.entries.iter().skip(skip) {
            if cancelled.len() >= MAX_CANCELLATIONS_PER_ACK {
                break;
            }
            position += 1;
            if cancellation.revision > revision {
                cancelled.push(cancellation.id.clone());
            }
        }
        Some(CancellationAck {
            next: AckCursor {
                process,
                entries: position,
            },
            has_more: position < self.dropped_count + self.entries.len() as u64,
            cancelled,
        })
    }
}
