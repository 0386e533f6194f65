//! Tests of which waiting jobs the gate keeps.

use super::*;

/// Guards against the kin of review/3 that the gate keeps every job that was cancelled while it waited for a job that
/// goes on.
#[test]
fn a_job_that_no_longer_waits_is_not_kept() {
    let mut gate = DependencyGate::default();
    gate.add_dependent("job-000001".into(), 1);
    for number in 2..1_000 {
        gate.add_dependent("job-000001".into(), number);
        gate.add_dependent("job-000002".into(), number);
        gate.remove_dependent("job-000001", number);
        gate.remove_dependent("job-000002", number);
    }
    assert_eq!(gate.dependents_of("job-000001"), [1]);
    assert_eq!(gate.dependents.len(), 1, "{:?}", gate.dependents);
}
