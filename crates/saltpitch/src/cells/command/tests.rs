//! The records of jobs that are taken back, and the texts of refusals.

use super::*;

fn delegation(state: DelegationState, cancel_requested: bool) -> Box<Delegation> {
    Box::new(Delegation {
        cell: "south".to_owned(),
        number: 3,
        state,
        cancel_requested,
    })
}

/// Returns the record of a job with this delegation.
fn record(delegation: Box<Delegation>) -> JobRecord {
    JobRecord {
        state: JobState::Active,
        submitted_at: Default::default(),
        spec: None,
        done_at: None,
        delegation: Some(delegation),
        guest: None,
    }
}

fn take_back(delegation: Box<Delegation>, cell: &str) -> Result<JobRecord, Refusal> {
    taken_back_record(&record(delegation.clone()), delegation, cell)
}

#[test]
fn a_job_that_is_taken_back_keeps_the_number_of_its_delegation() {
    for state in [DelegationState::Offered, DelegationState::Running] {
        let taken_back = take_back(delegation(state, false), "south").expect("taken back");
        assert_eq!(taken_back.state, JobState::Active);
        let expected = delegation(DelegationState::Returned, false);
        assert_eq!(taken_back.delegation, Some(expected));
    }
}

#[test]
fn a_job_whose_cancellation_was_requested_is_cancelled_when_it_is_taken_back() {
    let taken_back = take_back(delegation(DelegationState::Running, true), "south");
    assert_eq!(taken_back.expect("taken back").state, JobState::Cancelled);
}

#[test]
fn a_job_with_a_damaged_delegation_is_never_delegated_again() {
    let damaged = Delegation {
        cell: String::new(),
        ..*delegation(DelegationState::Damaged, false)
    };
    let taken_back = take_back(Box::new(damaged), "").expect("taken back");
    let delegation = taken_back.delegation.expect("a delegation");
    assert_eq!(delegation.state, DelegationState::Returned);
    assert_eq!(
        (&*delegation.cell, delegation.number),
        ("unknown", MAX_DELEGATION_NUMBER)
    );
}

/// Operators read these texts on standard error, after the program's name.
#[test]
fn refusals_print_their_reason_once() {
    let other_cell = take_back(delegation(DelegationState::Running, false), "north");
    let job = "job-000001".to_owned();
    let cases = [
        (
            other_cell.expect_err("another cell"),
            "refused: the job is delegated to cell \"south\"",
        ),
        (
            Refusal::NotDelegated { job },
            "refused: job-000001 is not delegated to another cell",
        ),
        (
            Refusal::RecordChanged,
            "refused: the job's record has changed since it was read; list the jobs again",
        ),
    ];
    for (refusal, text) in cases {
        let error = CommandError::from(refusal);
        assert_eq!(error.exit_code(), 2);
        assert_eq!(format!("{:#}", anyhow::Error::from(error)), text);
    }
}
