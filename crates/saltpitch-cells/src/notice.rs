//! What the log is told about delegations. The shell writes each notice as one line.

use std::fmt;

use saltpitch_core::Micros;

use crate::origin::Transition;

/// One event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A job is offered to a peer cell.
    Offered {
        /// The job.
        job: String,
        /// The peer cell.
        neighbour: String,
        /// The id that the peer cell is sent.
        sent_id: String,
    },
    /// A delegation's record was written.
    Written {
        /// The job.
        job: String,
        /// The peer cell.
        neighbour: String,
        /// The change.
        transition: Transition,
    },
    /// The host has withdrawn a job; the origin waits until its tasks must be gone.
    Withdrawn {
        /// The job.
        job: String,
        /// The peer cell.
        neighbour: String,
        /// How long the origin waits.
        wait: Micros,
    },
    /// A job is fetched back.
    Reclaimed {
        /// The job.
        job: String,
        /// The peer cell.
        neighbour: String,
    },
    /// The host did not take a job.
    Refused {
        /// The job.
        job: String,
        /// The peer cell.
        neighbour: String,
        /// The HTTP status.
        status: u16,
        /// What the peer cell said.
        reason: String,
    },
    /// The host does not know a job that it had accepted.
    LostByHost {
        /// The job.
        job: String,
        /// The peer cell.
        neighbour: String,
    },
    /// An answer that cannot be read was passed over.
    Malformed {
        /// The peer cell.
        neighbour: String,
        /// What is wrong with it.
        reason: String,
    },
    /// A delegation names a cell that the settings don't, or cannot be read.
    Blocked {
        /// The job.
        job: String,
        /// Why nothing can be done about it.
        reason: &'static str,
    },
    /// The link to a peer cell has failed, or works again.
    Link {
        /// The peer cell.
        neighbour: String,
        /// Whether it answers.
        answers: bool,
    },
}

impl Notice {
    /// Whether an operator has to act on it.
    pub fn is_error(&self) -> bool {
        matches!(
            self,
            Notice::LostByHost { .. } | Notice::Malformed { .. } | Notice::Blocked { .. }
        )
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::Offered {
                job,
                neighbour,
                sent_id,
            } => write!(f, "{job} is offered to cell {neighbour} as {sent_id}"),
            Notice::Written {
                job,
                neighbour,
                transition,
            } => write!(f, "{job} at cell {neighbour}: {transition}"),
            Notice::Withdrawn {
                job,
                neighbour,
                wait,
            } => {
                let seconds = wait.as_secs_f64();
                write!(f, "{job} is withdrawn at cell {neighbour}; its tasks count as gone in {seconds:.0} s")
            }
            Notice::Reclaimed { job, neighbour } => {
                write!(f, "{job} is fetched back from cell {neighbour}")
            }
            Notice::Refused {
                job,
                neighbour,
                status,
                reason,
            } => write!(f, "{job} is refused by cell {neighbour}: {status} {reason}"),
            Notice::LostByHost { job, neighbour } => write!(
                f,
                "{job}: cell {neighbour} accepted it and does not know it any more; see docs/cells-operations.md"
            ),
            Notice::Malformed { neighbour, reason } => {
                write!(f, "cell {neighbour} sent an unreadable answer: {reason}")
            }
            Notice::Blocked { job, reason } => write!(f, "{job} is placed nowhere: {reason}"),
            Notice::Link { neighbour, answers } => match answers {
                true => write!(f, "the link to cell {neighbour} works"),
                false => write!(f, "the link to cell {neighbour} fails"),
            },
        }
    }
}
