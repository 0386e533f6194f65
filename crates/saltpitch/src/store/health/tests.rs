//! Tests of when the state service counts as reachable.

use super::*;

const WITHIN: Micros = Micros::from_secs(12);

#[test]
fn the_service_is_up_while_its_last_answer_is_recent_and_no_failure_is_newer() {
    let at = |seconds: u64| Micros::from_secs(100 + seconds);
    let mut health = Health::default();
    assert!(!health.is_up(WITHIN, at(0)), "never served");
    health.record(true, at(0));
    assert!(health.is_up(WITHIN, at(11)));
    assert!(!health.is_up(WITHIN, at(12)), "too long ago");
    health.record(false, at(1));
    assert!(!health.is_up(WITHIN, at(1)), "a failure is newer");
    assert_eq!(health.last_success_at(), Some(at(0)));
    health.record(true, at(2));
    assert!(health.is_up(WITHIN, at(2)));
}
