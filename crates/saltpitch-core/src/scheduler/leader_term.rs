//! The term that this leader holds, and when earlier leaders stopped answering agents.

use crate::records::RecordCache;
use crate::time::Micros;

/// The leader's term. Its number is the fencing token of every command; its revision conditions every
/// write.
pub(super) struct LeaderTerm {
    /// The fencing token that is sent with every command.
    pub(super) term: u64,
    /// The revision of the term's record.
    pub(super) revision: u64,
    /// The term in which this leader was elected: an agent that has seen it, or a later one of this
    /// leader, drops whatever an earlier leader says.
    pub(super) first_term: u64,
    /// From then on no earlier leader can answer an agent.
    pub(super) previous_leader_fenced_at: Micros,
    /// When this leader was elected.
    pub(super) elected_at: Micros,
    /// A transaction that raises the term is under way.
    pub(super) raise_in_flight: bool,
}

impl LeaderTerm {
    /// The term that the records show, just taken by this leader.
    pub(super) fn new(
        records: &RecordCache,
        previous_leader_fenced_at: Micros,
        now: Micros,
    ) -> LeaderTerm {
        let record = &records.term.value;
        LeaderTerm {
            term: record.term,
            revision: records.term.revision,
            first_term: record.term,
            previous_leader_fenced_at,
            elected_at: now,
            raise_in_flight: false,
        }
    }
}
