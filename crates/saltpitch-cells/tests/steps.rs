//! The next step of a delegation, the ids of delegated jobs, and the messages to the host.

use std::sync::Arc;

use saltpitch_cells::ids::{hosted_job_id, origin_job_id, sent_id};
use saltpitch_cells::link::{HostStatus, LinkRequest};
use saltpitch_cells::origin::link_request;
use saltpitch_cells::origin::step::{
    next_step, CancelTimeouts, ObservedDelegation, Request, Step, Transition,
};
use saltpitch_core::catalog::Resources;
use saltpitch_core::job::{JobKind, JobSpec, Priority};
use saltpitch_core::records::{Delegation, DelegationState, JobRecord};
use saltpitch_core::Micros;

const NOW: Micros = Micros::from_secs(1_000);
const TIMEOUTS: CancelTimeouts = CancelTimeouts {
    origin: Micros::from_secs(44),
    host: Micros::from_secs(66),
};

fn delegation(state: DelegationState) -> Delegation {
    Delegation {
        cell: "south".to_owned(),
        number: 1,
        state,
        cancel_requested: false,
    }
}

fn cancelled(state: DelegationState) -> Delegation {
    Delegation {
        cancel_requested: true,
        ..delegation(state)
    }
}

fn next(delegation: &Delegation, observed: &ObservedDelegation) -> Step {
    next_step(delegation, observed, TIMEOUTS, NOW)
}

/// An offer of this leader; `any_sent`: it has sent a submission.
fn offered(any_sent: bool) -> ObservedDelegation {
    let mut observed = ObservedDelegation::default();
    observed.submissions.offered_by_this_leader = true;
    observed.submissions.any_sent = any_sent;
    observed
}

#[test]
fn a_refused_offer_is_taken_back_only_if_no_submission_can_arrive() {
    let offer = delegation(DelegationState::Offered);
    let refused = |observed: ObservedDelegation| ObservedDelegation {
        offer_failed: true,
        ..observed
    };
    assert_eq!(next(&offer, &offered(false)), Step::Call(Request::Submit));
    assert_eq!(
        next(&offer, &refused(offered(false))),
        Step::Write(Transition::Return)
    );
    assert_eq!(
        next(&offer, &refused(offered(true))),
        Step::Call(Request::Close)
    );
    // An earlier leader may have sent a submission.
    assert_eq!(
        next(&offer, &refused(ObservedDelegation::default())),
        Step::Call(Request::Close)
    );
    let closed = ObservedDelegation {
        is_closed: true,
        ..refused(offered(true))
    };
    assert_eq!(next(&offer, &closed), Step::Write(Transition::Return));
    assert_eq!(
        next(&cancelled(DelegationState::Offered), &closed),
        Step::Write(Transition::Cancel)
    );
}

#[test]
fn an_abort_is_sent_only_after_the_submission_was_answered() {
    let reclaimed = ObservedDelegation {
        reclaim_always: true,
        ..offered(true)
    };
    assert_eq!(
        next(&delegation(DelegationState::Offered), &reclaimed),
        Step::Call(Request::Close)
    );
    assert_eq!(
        next(&delegation(DelegationState::Accepted), &reclaimed),
        Step::Call(Request::Abort)
    );
    assert_eq!(
        next(
            &cancelled(DelegationState::Running),
            &ObservedDelegation::default()
        ),
        Step::Call(Request::Abort)
    );
    let reclaimed_if_not_started = ObservedDelegation {
        reclaim_if_not_started: true,
        ..ObservedDelegation::default()
    };
    assert_eq!(
        next(
            &delegation(DelegationState::Accepted),
            &reclaimed_if_not_started
        ),
        Step::Call(Request::Reclaim)
    );
}

#[test]
fn a_delegation_ends_once_the_tasks_of_a_withdrawn_job_must_have_ended() {
    let withdrawn = |seconds_ago: u64| ObservedDelegation {
        withdrawn_at: Some(NOW.since(Micros::from_secs(seconds_ago))),
        status: Some(HostStatus::Withdrawn),
        ..ObservedDelegation::default()
    };
    let running = delegation(DelegationState::Running);
    assert!(matches!(next(&running, &withdrawn(0)), Step::Wait(_)));
    assert!(matches!(next(&running, &withdrawn(66)), Step::Wait(_)));
    assert_eq!(
        next(&running, &withdrawn(67)),
        Step::Write(Transition::Return)
    );
    // The cancellation may be confirmed as soon as the tasks end within the origin's timeout from then.
    let cancelled = cancelled(DelegationState::Running);
    assert!(matches!(next(&cancelled, &withdrawn(22)), Step::Wait(_)));
    assert_eq!(
        next(&cancelled, &withdrawn(23)),
        Step::Write(Transition::Cancel)
    );
}

#[test]
fn a_final_status_takes_precedence_over_reclaims_and_cancellations() {
    let done = ObservedDelegation {
        status: Some(HostStatus::Done),
        reclaim_if_not_started: true,
        reclaim_always: true,
        ..ObservedDelegation::default()
    };
    for state in [
        DelegationState::Offered,
        DelegationState::Accepted,
        DelegationState::Running,
    ] {
        assert_eq!(
            next(&cancelled(state), &done),
            Step::Write(Transition::Complete)
        );
    }
    assert_eq!(
        next(&delegation(DelegationState::Damaged), &done),
        Step::Blocked
    );
}

#[test]
fn ids_of_different_delegations_differ_and_map_back_to_the_job() {
    assert_eq!(
        sent_id("job-000412", 3).as_deref(),
        Some("job-000412000003")
    );
    assert_ne!(sent_id("job-1", 11), sent_id("job-10", 1));
    assert_eq!(origin_job_id("job-000412000003"), Some("job-000412"));
    assert_eq!(hosted_job_id("north", "job-1000001"), "north.job-1000001");
    // A job is not delegated if its id on the link would not be valid.
    assert!(sent_id(&format!("job-{}", "1".repeat(34)), 1).is_some());
    for (job, number) in [
        ("job-", 1),
        ("other-1", 1),
        ("job-1x", 1),
        ("job-1", 1_000_000),
    ] {
        assert_eq!(sent_id(job, number), None, "{job}");
    }
    assert_eq!(sent_id(&format!("job-{}", "1".repeat(35)), 1), None);
    assert_eq!(origin_job_id("job-000001"), None);
}

fn record() -> JobRecord {
    let spec = JobSpec {
        class: "night".to_owned(),
        team: "red".to_owned(),
        kind: JobKind::Array,
        priority: Priority::Normal,
        tasks: 2,
        need: Resources::default(),
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        spot: false,
        image: "img".to_owned(),
        image_mb: 1,
        estimate: Micros::from_secs(30),
        checkpoint_interval: Micros::ZERO,
        save_time: Micros::ZERO,
        deadline: Some(Micros::from_secs(100)),
        dependencies: vec!["job-7".to_owned()],
    };
    JobRecord::accepted(NOW, Arc::new(spec))
}

#[test]
fn only_a_reclaim_keeps_a_started_job_and_only_a_close_request_is_closing() {
    let sent = |request: Request, wall: Micros| {
        link_request("job-1000001".to_owned(), &record(), request, wall).expect("a specification")
    };
    for (request, expected) in [(Request::Reclaim, true), (Request::Abort, false)] {
        let LinkRequest::Abort { unless_begun, .. } = sent(request, NOW) else {
            panic!("{request:?} is not sent as an abort");
        };
        assert_eq!(unless_begun, expected);
    }
    for (request, expected) in [(Request::Close, true), (Request::Submit, false)] {
        // The remaining deadline is passed on; the dependencies are removed, because they are done.
        for (waited, left) in [(30, Some(Micros::from_secs(70))), (100, None)] {
            let LinkRequest::Submit(submission) =
                sent(request, NOW.plus(Micros::from_secs(waited)))
            else {
                panic!("{request:?} is not sent as a submission");
            };
            assert_eq!((submission.closing, submission.deadline), (expected, left));
            assert!(submission.spec.dependencies.is_empty());
        }
    }
}
