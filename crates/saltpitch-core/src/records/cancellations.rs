//! Cancellations as a controller learnt of them, for a leader that cannot read them itself.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::messages::AckRequest;

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
    pub upto: AckCursor,
    /// Whether there is another page. Only the last one completes the acknowledgement.
    pub more: bool,
    /// The ids of the cancelled jobs.
    pub cancelled: Vec<String>,
}

/// Cancellations in the order in which a node learned of them, which need not be that of their
/// revisions. Bounded: the oldest fall out, and a leader whose records are older than those gets no
/// word.
#[derive(Clone, Debug, Default)]
pub struct Cancellations {
    pub(super) first: u64,
    pub(super) list: VecDeque<(u64, String)>,
    forgotten: u64,
}

/// The most cancellations that a node remembers for a leader without the store, and the most that
/// one word carries.
const MAX_CANCELLATIONS: usize = 10_000;
const MAX_CANCELLATIONS_PER_ACK: usize = 1_000;

impl Cancellations {
    pub(super) fn note(&mut self, rev: u64, id: &str) {
        self.list.push_back((rev, id.to_owned()));
    }

    /// Forgets what is above the bound.
    pub fn trim(&mut self) {
        while self.list.len() > MAX_CANCELLATIONS {
            if let Some((rev, _)) = self.list.pop_front() {
                self.first += 1;
                self.forgotten = self.forgotten.max(rev);
            }
        }
    }

    /// What a leader with records as of `rev` has not seen, from `cursor` on. None: too much was
    /// forgotten to say.
    pub fn acknowledge(&self, process: u64, request: AckRequest) -> Option<CancellationAck> {
        let AckRequest { revision, cursor } = request;
        if revision < self.forgotten {
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
        for (at, id) in self.list.iter().skip(skip) {
            if cancelled.len() >= MAX_CANCELLATIONS_PER_ACK {
                break;
            }
            entries += 1;
            if *at > revision {
                cancelled.push(id.clone());
            }
        }
        Some(CancellationAck {
            upto: AckCursor { process, entries },
            more: entries < self.first + self.list.len() as u64,
            cancelled,
        })
    }
}
