//! The next step of one delegation, as a function of its record and of what the leader has observed.

use std::fmt;

use saltpitch_core::records::{Delegation, DelegationState};
use saltpitch_core::Micros;

use crate::link::HostStatus;

/// A change of a delegation's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The job is offered to the peer cell.
    Offer,
    /// The host has accepted the job.
    Accept,
    /// Tasks of the job run at the host.
    Run,
    /// The host has completed the job, and the origin records it as done.
    Complete,
    /// The delegation ends, and the origin schedules the job again.
    Return,
    /// The delegation ends, and the job is cancelled as its user requested.
    Cancel,
}

impl fmt::Display for Transition {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Transition::Offer => "offered",
            Transition::Accept => "accepted",
            Transition::Run => "runs",
            Transition::Complete => "done",
            Transition::Return => "back at home",
            Transition::Cancel => "cancelled",
        })
    }
}

/// A request to the host about one delegation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Submit the job.
    Submit,
    /// Submit the job as closing: a host that does not know the job never starts it.
    Close,
    /// Query the job's status.
    Status,
    /// Cancel the job at the host.
    Abort,
    /// Cancel the job at the host if none of its tasks has been placed.
    Reclaim,
}

/// The next step of a delegation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Do nothing before this time.
    Wait(Micros),
    /// Write this change of the delegation's record.
    Write(Transition),
    /// Send this request to the host.
    Call(Request),
    /// Do nothing, because the delegation cannot be read.
    Blocked,
}

/// What the leader knows about the submissions of one delegation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Submissions {
    /// Whether this leader has offered the job itself, so that no earlier leader can have submitted it.
    pub offered_by_this_leader: bool,
    /// Whether this leader has sent a submission. Whatever the answer, copies of it may still arrive.
    pub any_sent: bool,
}

impl Submissions {
    /// Returns whether no leader has sent a submission, so that none can arrive.
    pub(super) fn none_sent(self) -> bool {
        self.offered_by_this_leader && !self.any_sent
    }
}

/// What the leader knows about one delegation in addition to its record.
#[derive(Clone, Debug, Default)]
pub struct ObservedDelegation {
    /// The submissions of the job.
    pub submissions: Submissions,
    /// Whether the host has answered with a status, which implies that it has accepted the job.
    pub is_accepted: bool,
    /// Whether the host has refused the job, or the offer could not be sent.
    pub offer_failed: bool,
    /// Whether the host has confirmed that it will never start the job.
    pub is_closed: bool,
    /// The latest status that the host has reported.
    pub status: Option<HostStatus>,
    /// The time at which the host first reported that the job is withdrawn.
    pub withdrawn_at: Option<Micros>,
    /// Whether the origin reclaims the job if it has not started.
    pub reclaim_if_not_started: bool,
    /// Whether the origin reclaims the job even if it has started.
    pub reclaim_always: bool,
    /// The earliest time of the next request to the host.
    pub next_request_at: Micros,
}

/// The times within which the tasks of a cancelled job have ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelTimeouts {
    /// The time at the origin.
    pub origin: Micros,
    /// The time at the host.
    pub host: Micros,
}

impl CancelTimeouts {
    /// Returns the time from the host's report that it has withdrawn a job until all of the job's tasks must
    /// have ended.
    pub fn until_tasks_ended(self) -> Micros {
        self.host.with_drift()
    }

    /// Returns the time from that report until the cancellation may be confirmed to the user. A confirmation
    /// promises that the tasks end within the origin's cancellation timeout.
    pub fn until_confirmable(self) -> Micros {
        self.until_tasks_ended().since(self.origin)
    }
}

/// Returns the next step of a delegation.
pub fn next_step(
    delegation: &Delegation,
    observed: &ObservedDelegation,
    timeouts: CancelTimeouts,
    now: Micros,
) -> Step {
    if delegation.state == DelegationState::Damaged {
        return Step::Blocked;
    }
    if observed.status == Some(HostStatus::Done) {
        return Step::Write(Transition::Complete);
    }
    if let Some(at) = observed.withdrawn_at {
        return after_withdrawal(delegation, at, timeouts, now);
    }
    if delegation.state == DelegationState::Offered {
        return while_offered(delegation, observed, now);
    }
    while_accepted(delegation, observed, now)
}

/// Returns the next step for a job that the host has withdrawn. The delegation ends once the job's tasks must
/// have ended.
fn after_withdrawal(
    delegation: &Delegation,
    withdrawn_at: Micros,
    timeouts: CancelTimeouts,
    now: Micros,
) -> Step {
    let (wait, transition) = match delegation.cancel_requested {
        true => (timeouts.until_confirmable(), Transition::Cancel),
        false => (timeouts.until_tasks_ended(), Transition::Return),
    };
    let ends_at = withdrawn_at.plus(wait);
    if now < ends_at {
        return Step::Wait(ends_at);
    }
    Step::Write(transition)
}

/// Returns the next step for a job that the host may not have received yet.
fn while_offered(delegation: &Delegation, observed: &ObservedDelegation, now: Micros) -> Step {
    if observed.is_accepted {
        return Step::Write(Transition::Accept);
    }
    if observed.is_closed || (observed.offer_failed && observed.submissions.none_sent()) {
        return Step::Write(match delegation.cancel_requested {
            true => Transition::Cancel,
            false => Transition::Return,
        });
    }
    if now < observed.next_request_at {
        return Step::Wait(observed.next_request_at);
    }
    let should_close =
        observed.offer_failed || observed.reclaim_always || delegation.cancel_requested;
    Step::Call(match should_close {
        true => Request::Close,
        false => Request::Submit,
    })
}

/// Returns the next step for a job that the host has accepted.
fn while_accepted(delegation: &Delegation, observed: &ObservedDelegation, now: Micros) -> Step {
    let is_running = observed.status == Some(HostStatus::Running);
    if is_running && delegation.state == DelegationState::Accepted {
        return Step::Write(Transition::Run);
    }
    if now < observed.next_request_at {
        return Step::Wait(observed.next_request_at);
    }
    let request = if observed.reclaim_always || delegation.cancel_requested {
        Request::Abort
    } else if observed.reclaim_if_not_started {
        Request::Reclaim
    } else {
        Request::Status
    };
    Step::Call(request)
}
