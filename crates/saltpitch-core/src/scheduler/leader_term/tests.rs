//! Tests of the fencing tokens that a leader uses in its term.

use super::*;

fn leader_term() -> LeaderTerm {
    let mut records = RecordCache::default();
    records.term.value.term = TOKENS_PER_TERM;
    LeaderTerm::new(&records, Micros::ZERO, Micros::ZERO)
}

#[test]
fn the_term_is_raised_before_its_tokens_are_used_up() {
    let mut term = leader_term();
    let mut highest = term.first_token();
    let mut unused_at_raise = None;
    while let Some(token) = term.take_token() {
        assert!(token > highest);
        highest = token;
        if term.begin_raise() {
            unused_at_raise = Some(term.term() - highest);
        }
    }
    assert_eq!(highest, term.term());
    assert_eq!(unused_at_raise, Some(MIN_UNUSED_TOKENS - 1));
    assert!(!term.begin_raise(), "a raise is in flight");
    term.raise_completed(2 * TOKENS_PER_TERM, 9);
    assert_eq!(term.take_token(), Some(highest + 1));
    assert_eq!(term.revision(), 9);
    assert_eq!(term.first_token(), 1, "agents need no newer token");
}
