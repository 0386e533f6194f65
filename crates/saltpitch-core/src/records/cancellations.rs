//! Cancellations as a controller learned of them, for a leader that cannot read them itself.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::messages::AckRequest;

/// The most cancellations that a controller remembers for a leader without the state service.
const MAX_CANCELLATIONS: usize = 10_000;
/// The most cancellations in one acknowledgement.
const MAX_CANCELLATIONS_PER_ACK: usize = 1_000;

/// A position in a controller's list of cancellations.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AckCursor {
    /// The process that keeps the list; a restarted controller starts a new one.
    pub process: u64,
    /// How many entries of the list are known.
    pub entries: u64,
}

/// A controller's acknowledgement to a leader that cannot reach the state service: one page of the
/// jobs that the controller knows to be cancelled and that the leader's records do not show.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CancellationAck {
    /// Where the next page starts.
    #[serde(rename = "upto")]
    pub next: AckCursor,
    /// Whether there is another page. Only the last one completes the acknowledgement.
    #[serde(rename = "more")]
    pub has_more: bool,
    /// The ids of the cancelled jobs.
    pub cancelled: Vec<String>,
}

/// A job's cancellation; ordered by revision.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Cancellation {
    /// The revision of the record that cancelled the job.
    pub(super) revision: u64,
    /// The job.
    pub(super) id: String,
}

/// Cancellations in the order in which a controller learned of them, which need not be that of their
/// revisions. Bounded: the oldest fall out, and a leader whose records are older than those gets no
/// acknowledgement.
#[derive(Clone, Debug, Default)]
pub struct Cancellations {
    /// How many entries fell out.
    first: u64,
    list: VecDeque<Cancellation>,
    /// The highest revision of the entries that fell out.
    forgotten_up_to: u64,
}

impl Cancellations {
    /// Adds a cancellation.
    pub(super) fn note(&mut self, revision: u64, id: &str) {
        let id = id.to_owned();
        self.list.push_back(Cancellation { revision, id });
    }

    /// All entries, by revision.
    pub(super) fn into_sorted(self) -> Vec<Cancellation> {
        let mut entries = Vec::from(self.list);
        entries.sort_unstable();
        entries
    }

    /// Forgets the oldest entries above the bound.
    pub fn trim(&mut self) {
        while self.list.len() > MAX_CANCELLATIONS {
            if let Some(oldest) = self.list.pop_front() {
                self.first += 1;
                self.forgotten_up_to = self.forgotten_up_to.max(oldest.revision);
            }
        }
    }

    /// What a leader with these records has not seen, from its cursor on. `None` if too much was forgotten
    /// to say.
    pub fn acknowledge(&self, process: u64, request: AckRequest) -> Option<CancellationAck> {
        let AckRequest { revision, cursor } = request;
        if revision < self.forgotten_up_to {
            return None;
        }
        let known = if cursor.process == process {
            cursor.entries
        } else {
            0
        };
        let skip = known.saturating_sub(self.first) as usize;
        let mut entries = self.first.max(known);
        let mut cancelled = Vec::new();
        for cancellation in self.list.iter().skip(skip) {
            if cancelled.len() >= MAX_CANCELLATIONS_PER_ACK {
                break;
            }
            entries += 1;
            if cancellation.revision > revision {
                cancelled.push(cancellation.id.clone());
            }
        }
        Some(CancellationAck {
            next: AckCursor { process, entries },
            has_more: entries < self.first + self.list.len() as u64,
            cancelled,
        })
    }
}
