//! What is done next about one delegation: a function of its record and of what this leadership knows.

use std::fmt;

use saltpitch_core::records::{Delegation, DelegationState};
use saltpitch_core::Micros;

use crate::link::HostStatus;

/// A change of a delegation's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Transition {
    /// The job goes to the peer cell.
    Offer,
    /// The host has accepted it.
    Accept,
    /// Tasks of it run there.
    Run,
    /// The host is done with it, and so is the job.
    Complete,
    /// The job is this cell's own again.
    Return,
    /// The job is cancelled, as its user asked.
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

/// A request about one delegation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// Submit it.
    Submit,
    /// Submit it so that it never starts, unless it has.
    Close,
    /// Ask for its status.
    Status,
    /// Have it withdrawn.
    Abort,
    /// Have it withdrawn if nothing of it has begun.
    Reclaim,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing before this time.
    Wait(Micros),
    /// Write this change.
    Write(Transition),
    /// Send this request.
    Call(Request),
    /// Nothing can be done: the record cannot be read.
    Blocked,
}

/// The submissions of one delegation that this leadership has sent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Submissions {
    /// This leadership offered the job itself, so that there are no others than its own.
    pub offered_here: bool,
    /// One was sent, whatever was answered: copies of it may yet arrive.
    pub sent: bool,
}

impl Submissions {
    /// Whether there is none that could arrive.
    pub(super) fn never_sent(self) -> bool {
        self.offered_here && !self.sent
    }
}

/// What this leadership knows of one delegation beyond its record.
#[derive(Clone, Debug, Default)]
pub struct ObservedDelegation {
    /// The submissions sent.
    pub submissions: Submissions,
    /// The host has accepted the job, or calls it so by a status.
    pub accepted: bool,
    /// The host did not take it, or could not be reached.
    pub refused: bool,
    /// The host has promised never to start it.
    pub closed: bool,
    /// The host's newest status.
    pub status: Option<HostStatus>,
    /// When the host was first heard to have withdrawn it.
    pub withdrawn_at: Option<Micros>,
    /// The origin wants it back if nothing of it has begun.
    pub wanted_back: bool,
    /// The origin wants it back whether it has begun or not.
    pub ends: bool,
    /// Not before then is the host asked again.
    pub ask_at: Micros,
}

/// The times within which cancelled tasks are gone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CancelTimes {
    /// At the origin.
    pub home: Micros,
    /// At the host.
    pub host: Micros,
}

impl CancelTimes {
    /// From hearing that the host has withdrawn a job until all of its tasks must be gone.
    pub fn until_gone(self) -> Micros {
        self.host.with_drift()
    }

    /// From hearing that until its user may be told: the tasks must be gone within the origin's time from then.
    pub fn until_confirmable(self) -> Micros {
        self.until_gone().since(self.home)
    }
}

/// What to do next about a delegation.
pub fn next_step(
    delegation: &Delegation,
    known: &ObservedDelegation,
    times: CancelTimes,
    now: Micros,
) -> Step {
    if delegation.state == DelegationState::Damaged {
        return Step::Blocked;
    }
    if known.status == Some(HostStatus::Done) {
        return Step::Write(Transition::Complete);
    }
    if let Some(at) = known.withdrawn_at {
        return after_withdrawal(delegation, at, times, now);
    }
    if delegation.state == DelegationState::Offered {
        return while_offered(delegation, known, now);
    }
    while_accepted(delegation, known, now)
}

/// The host has withdrawn the job: it is free once its tasks must be gone.
fn after_withdrawal(delegation: &Delegation, at: Micros, times: CancelTimes, now: Micros) -> Step {
    let (wait, transition) = match delegation.cancel_requested {
        true => (times.until_confirmable(), Transition::Cancel),
        false => (times.until_gone(), Transition::Return),
    };
    let free_at = at.plus(wait);
    if now < free_at {
        return Step::Wait(free_at);
    }
    Step::Write(transition)
}

/// The host may not have heard of the job yet.
fn while_offered(delegation: &Delegation, known: &ObservedDelegation, now: Micros) -> Step {
    if known.accepted {
        return Step::Write(Transition::Accept);
    }
    if known.closed || (known.refused && known.submissions.never_sent()) {
        return Step::Write(match delegation.cancel_requested {
            true => Transition::Cancel,
            false => Transition::Return,
        });
    }
    if now < known.ask_at {
        return Step::Wait(known.ask_at);
    }
    let ends = known.refused || known.ends || delegation.cancel_requested;
    Step::Call(match ends {
        true => Request::Close,
        false => Request::Submit,
    })
}

/// The host has the job.
fn while_accepted(delegation: &Delegation, known: &ObservedDelegation, now: Micros) -> Step {
    let runs = known.status == Some(HostStatus::Running);
    if runs && delegation.state == DelegationState::Accepted {
        return Step::Write(Transition::Run);
    }
    if now < known.ask_at {
        return Step::Wait(known.ask_at);
    }
    let request = if known.ends || delegation.cancel_requested {
        Request::Abort
    } else if known.wanted_back {
        Request::Reclaim
    } else {
        Request::Status
    };
    Step::Call(request)
}
