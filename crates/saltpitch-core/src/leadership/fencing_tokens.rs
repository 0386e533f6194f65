//! The fencing tokens of a term: a range, of which the leader uses a higher one whenever earlier direct calls to an
//! agent must not be executed any more.

/// How many fencing tokens belong to a term. The products of all terms stay within the integers that JSON readers
/// represent exactly.
pub const TOKENS_PER_TERM: u64 = 1 << 28;

/// The fencing tokens of one term. Those of a later term are all higher.
///
/// The number of a term on record is its highest token, so that a version which uses one token for each term, the number
/// of the term, also stays above all tokens of an earlier term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TokenRange {
    first: u64,
    last: u64,
}

impl TokenRange {
    /// Returns the tokens of a term that a process of this version has taken.
    pub fn of_term(term: u64) -> TokenRange {
        TokenRange {
            first: term.saturating_sub(TOKENS_PER_TERM) + 1,
            last: term,
        }
    }

    /// Returns the lowest token. An agent that has seen it ignores the leaders of all earlier terms.
    pub fn first(self) -> u64 {
        self.first
    }

    /// Returns the highest token, which is the number of the term.
    pub fn last(self) -> u64 {
        self.last
    }
}

/// Returns the number of the term after `term`.
pub fn next_term(term: u64) -> u64 {
    term.saturating_add(TOKENS_PER_TERM)
}

/// Returns whether another term came before this one. The first term has the number 1 if a version that uses one
/// token for each term has taken it.
pub fn has_earlier_term(term: u64) -> bool {
    term > 1 && term != next_term(0)
}
