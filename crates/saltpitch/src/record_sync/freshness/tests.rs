//! Tests of when the age of the copy is reported.

use super::*;

const START: Micros = Micros::from_secs(60);

fn at(seconds: u64) -> Micros {
    START.plus(Micros::from_secs(seconds))
}

/// Guards against a line for each failed read of an outage, and against an outage without any.
#[test]
fn an_old_copy_is_reported_at_intervals_and_once_when_it_is_current_again() {
    let mut age = CopyAge::new(START);
    assert_eq!(age.read_applied(at(8)), None);
    let reports: Vec<u64> = (9..40)
        .filter_map(|second| age.read_failed(at(second)))
        .map(|age| age.as_secs())
        .collect();
    assert_eq!(reports, [10, 20, 30]);
    assert_eq!(age.read_applied(at(41)), Some(Duration::from_secs(33)));
    assert_eq!(age.read_applied(at(42)), None);
    assert_eq!(age.read_failed(at(43)), None);
}
