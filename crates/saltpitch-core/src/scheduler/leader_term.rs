//! The term that this leader holds, and the time from which earlier leaders answer no agents.

use crate::records::RecordCache;
use crate::time::Micros;

/// The leader's term. Its number is the fencing token of every command, and its revision is a precondition
/// of every write.
pub(super) struct LeaderTerm {
    term: u64,
    revision: u64,
    first_term: u64,
    previous_leader_fenced_at: Micros,
    elected_at: Micros,
    raise_in_flight: bool,
}

impl LeaderTerm {
    /// Creates the state for the term that the records show, which this leader has just taken.
    pub(super) fn new(
        records: &RecordCache,
        previous_leader_fenced_at: Micros,
        now: Micros,
    ) -> LeaderTerm {
        let recorded = &records.term;
        LeaderTerm {
            term: recorded.value.term,
            revision: recorded.revision,
            first_term: recorded.value.term,
            previous_leader_fenced_at,
            elected_at: now,
            raise_in_flight: false,
        }
    }

    /// Returns the number of the term, which is the fencing token of every command.
    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// Returns the revision of the term's record.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the term in which this leader was elected. An agent that has seen this term or a later one
    /// ignores the commands of all earlier leaders.
    pub(super) fn first_term(&self) -> u64 {
        self.first_term
    }

    /// Returns the time from which no earlier leader can answer an agent.
    pub(super) fn previous_leader_fenced_at(&self) -> Micros {
        self.previous_leader_fenced_at
    }

    /// Returns when this leader was elected.
    pub(super) fn elected_at(&self) -> Micros {
        self.elected_at
    }

    /// Takes over an earlier fencing time, after the previous leader was proven gone: from `fenced_at` on, no
    /// earlier leader answers any agent.
    pub(super) fn previous_leader_gone(&mut self, fenced_at: Micros) {
        self.previous_leader_fenced_at = self.previous_leader_fenced_at.min(fenced_at);
    }

    /// Begins to raise the term. Returns false if a raise is already in flight.
    pub(super) fn begin_raise(&mut self) -> bool {
        !std::mem::replace(&mut self.raise_in_flight, true)
    }

    /// Takes over the raised term. Returns false if it is not newer than the present one.
    pub(super) fn raise_completed(&mut self, term: u64, revision: u64) -> bool {
        self.raise_in_flight = false;
        if term <= self.term {
            return false;
        }
        self.term = term;
        self.revision = revision;
        true
    }

    /// Records that the transaction that raises the term has failed.
    pub(super) fn raise_failed(&mut self) {
        self.raise_in_flight = false;
    }
}
