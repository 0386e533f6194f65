//! The term that this leader holds, and when earlier leaders stopped answering agents.

use crate::records::RecordCache;
use crate::time::Micros;

/// The leader's term. Its number is the fencing token of every command; its revision conditions every
/// write.
pub(super) struct LeaderTerm {
    term: u64,
    revision: u64,
    first_term: u64,
    previous_leader_fenced_at: Micros,
    elected_at: Micros,
    raise_in_flight: bool,
}

impl LeaderTerm {
    /// The term that the records show, just taken by this leader.
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

    /// The fencing token that is sent with every command.
    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// The revision of the term's record.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// The term in which this leader was elected: an agent that has seen it, or a later one of this
    /// leader, drops whatever an earlier leader says.
    pub(super) fn first_term(&self) -> u64 {
        self.first_term
    }

    /// From then on no earlier leader can answer an agent.
    pub(super) fn previous_leader_fenced_at(&self) -> Micros {
        self.previous_leader_fenced_at
    }

    /// When this leader was elected.
    pub(super) fn elected_at(&self) -> Micros {
        self.elected_at
    }

    /// The previous leader is proven gone: no earlier leader answers anybody from then on.
    pub(super) fn previous_leader_gone(&mut self, fenced_at: Micros) {
        self.previous_leader_fenced_at = self.previous_leader_fenced_at.min(fenced_at);
    }

    /// Begins to raise the term; false if that is under way already.
    pub(super) fn begin_raise(&mut self) -> bool {
        !std::mem::replace(&mut self.raise_in_flight, true)
    }

    /// The term was raised without a change of leader. Returns whether it is a new one.
    pub(super) fn raised(&mut self, term: u64, revision: u64) -> bool {
        self.raise_in_flight = false;
        if term <= self.term {
            return false;
        }
        self.term = term;
        self.revision = revision;
        true
    }

    /// The transaction that raises the term was not carried out.
    pub(super) fn raise_failed(&mut self) {
        self.raise_in_flight = false;
    }
}
