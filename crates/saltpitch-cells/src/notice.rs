//! Log messages about delegations. The caller of the delegator writes each notice as one line.

use std::fmt;

use saltpitch_core::Micros;

use crate::origin::Transition;

/// An event that is logged.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A job is offered to a peer cell.
    Offered {
        /// The job.
        job: String,
        /// The peer cell.
        peer_cell: String,
        /// The job's id on the link.
        sent_id: String,
    },
    /// A change of a delegation's record was committed.
    Written {
        /// The job.
        job: String,
        /// The peer cell.
        peer_cell: String,
        /// The change.
        transition: Transition,
    },
    /// The host has withdrawn a job. The origin waits until the job's tasks must have ended.
    Withdrawn {
        /// The job.
        job: String,
        /// The peer cell.
        peer_cell: String,
        /// The time that the origin waits.
        wait: Micros,
    },
    /// The origin reclaims a job from the host.
    Reclaimed {
        /// The job.
        job: String,
        /// The peer cell.
        peer_cell: String,
    },
    /// The host refused a request about a job.
    Refused {
        /// The job.
        job: String,
        /// The peer cell.
        peer_cell: String,
        /// The HTTP status.
        status: u16,
        /// The reason that the peer cell gave.
        reason: String,
    },
    /// The host no longer knows a job that it had accepted.
    UnknownToHost {
        /// The job.
        job: String,
        /// The peer cell.
        peer_cell: String,
    },
    /// An answer that cannot be decoded was ignored.
    Malformed {
        /// The peer cell.
        peer_cell: String,
        /// Why the answer cannot be decoded.
        reason: String,
    },
    /// A delegation cannot be read, or the settings do not name its host.
    Blocked {
        /// The job.
        job: String,
        /// Why the job is neither run nor delegated.
        reason: &'static str,
    },
    /// The link to a peer cell has failed or works again.
    Link {
        /// The peer cell.
        peer_cell: String,
        /// Whether the link works.
        is_working: bool,
    },
}

impl Notice {
    /// Returns whether the event is an error, on which an operator has to act.
    pub fn is_error(&self) -> bool {
        matches!(
            self,
            Notice::UnknownToHost { .. } | Notice::Malformed { .. } | Notice::Blocked { .. }
        )
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Offered {
                job,
                peer_cell,
                sent_id,
            } => write!(f, "{job} is offered to cell {peer_cell} as {sent_id}"),
            Notice::Written {
                job,
                peer_cell,
                transition,
            } => write!(f, "{job} at cell {peer_cell}: {transition}"),
            Notice::Withdrawn {
                job,
                peer_cell,
                wait,
            } => {
                let seconds = wait.as_secs_f64();
                write!(f, "{job} is withdrawn at cell {peer_cell}; its tasks count as gone in {seconds:.0} s")
            }
            Notice::Reclaimed { job, peer_cell } => {
                write!(f, "{job} is fetched back from cell {peer_cell}")
            }
            Notice::Refused {
                job,
                peer_cell,
                status,
                reason,
            } => write!(f, "{job} is refused by cell {peer_cell}: {status} {reason}"),
            Notice::UnknownToHost { job, peer_cell } => write!(
                f,
                "{job}: cell {peer_cell} accepted it and does not know it any more; see docs/cells-operations.md"
            ),
            Notice::Malformed { peer_cell, reason } => {
                write!(f, "cell {peer_cell} sent an unreadable answer: {reason}")
            }
            Notice::Blocked { job, reason } => write!(f, "{job} is placed nowhere: {reason}"),
            Notice::Link { peer_cell, is_working } => match is_working {
                true => write!(f, "the link to cell {peer_cell} works"),
                false => write!(f, "the link to cell {peer_cell} fails"),
            },
        }
    }
}
