//! The term that this leader holds, its fencing tokens, and the time from which earlier leaders answer no agents.

use crate::leadership::{TokenRange, TOKENS_PER_TERM};
use crate::records::RecordCache;
use crate::time::Micros;

/// The term is raised when fewer unused tokens are left.
const MIN_UNUSED_TOKENS: u64 = TOKENS_PER_TERM / 4;

/// The leader's term. Its revision is a precondition of every write, and its tokens are the fencing tokens of the
/// leader's messages to agents.
pub(super) struct LeaderTerm {
    term: u64,
    revision: u64,
    /// The lowest token of the term in which this leader was elected.
    first_token: u64,
    /// The lowest token that is higher than every token used so far.
    next_token: u64,
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
        let tokens = TokenRange::of_term(recorded.value.term);
        LeaderTerm {
            term: tokens.last(),
            revision: recorded.revision,
            first_token: tokens.first(),
            next_token: tokens.first() + 1,
            previous_leader_fenced_at,
            elected_at: now,
            raise_in_flight: false,
        }
    }

    /// Returns the number of the term, which is the highest of its fencing tokens.
    pub(super) fn term(&self) -> u64 {
        self.term
    }

    /// Returns the revision of the term's record.
    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the lowest token of the term in which this leader was elected. An agent that has seen it ignores the
    /// commands of all earlier leaders.
    pub(super) fn first_token(&self) -> u64 {
        self.first_token
    }

    /// Returns whether the term has an unused token.
    pub(super) fn has_unused_token(&self) -> bool {
        self.next_token <= self.term
    }

    /// Returns a token that is higher than every token used so far, or `None` if the term has none left.
    pub(super) fn take_token(&mut self) -> Option<u64> {
        if !self.has_unused_token() {
            return None;
        }
        let token = self.next_token;
        self.next_token += 1;
        Some(token)
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

    /// Begins to raise the term if few unused tokens are left. Returns false if there are enough, or if a raise is
    /// already in flight.
    pub(super) fn begin_raise(&mut self) -> bool {
        let unused = (self.term + 1).saturating_sub(self.next_token);
        unused < MIN_UNUSED_TOKENS && !std::mem::replace(&mut self.raise_in_flight, true)
    }

    /// Takes over the raised term, unless it is not newer than the present one.
    pub(super) fn raise_completed(&mut self, term: u64, revision: u64) {
        self.raise_in_flight = false;
        if term <= self.term {
            return;
        }
        self.term = term;
        self.revision = revision;
        self.next_token = self.next_token.max(TokenRange::of_term(term).first());
    }

    /// Records that the transaction that raises the term has failed.
    pub(super) fn raise_failed(&mut self) {
        self.raise_in_flight = false;
    }
}

#[cfg(test)]
mod tests;
