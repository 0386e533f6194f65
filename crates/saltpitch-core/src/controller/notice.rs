//! What a controller wants its log to tell. The shell writes each notice as one line.

use std::fmt;

use crate::records::RecordError;
use crate::scheduler::{HeartbeatRejection, JobTimeline};
use crate::time::Micros;

/// Why the leadership ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// A newer term is on record or was named by a peer.
    NewerTerm,
    /// An agent has seen a newer token.
    NewerToken,
    /// A transaction failed because the term has changed.
    TermChanged,
    /// The leadership lease ended.
    LeaseExpired,
    /// Agents do not reach this controller.
    AgentsUnreachable,
}

impl fmt::Display for LossReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            LossReason::NewerTerm => "a newer term exists",
            LossReason::NewerToken => "an agent has seen a newer fencing token",
            LossReason::TermChanged => "the term has changed",
            LossReason::LeaseExpired => "the leadership lease has ended",
            LossReason::AgentsUnreachable => "agents do not reach this controller",
        })
    }
}

/// One event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A record that this version cannot read was skipped.
    UnreadableRecord {
        /// Its key.
        key: String,
        /// What is wrong with it.
        error: RecordError,
    },
    /// The leadership ended.
    LeadershipLost {
        /// The term that ended.
        term: u64,
        /// Why.
        reason: LossReason,
    },
    /// The previous leader answers nobody any more.
    PreviousLeaderGone {
        /// Its name.
        node: String,
    },
    /// A peer acknowledged a cancellation that the records do not show yet.
    CancelledByPeer {
        /// The cancelled job.
        job: String,
        /// The peer.
        peer: String,
    },
    /// An agent's heartbeat was not answered.
    HeartbeatRejected {
        /// The machine.
        machine: String,
        /// The highest token that it has seen.
        fencing_token: u64,
        /// Why.
        reason: HeartbeatRejection,
    },
    /// A job ended.
    JobEnded(EndedJob),
}

impl Notice {
    /// Whether it belongs into the log at the level `error`.
    pub fn is_error(&self) -> bool {
        matches!(self, Notice::UnreadableRecord { .. })
    }
}

impl fmt::Display for Notice {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Notice::UnreadableRecord { key, error } => {
                write!(f, "record {key} is unreadable and was skipped: {error}")
            }
            Notice::LeadershipLost { term, reason } => {
                write!(f, "no longer leader in term {term}: {reason}")
            }
            Notice::PreviousLeaderGone { node } => {
                write!(f, "the previous leader, {node}, is proven gone")
            }
            Notice::CancelledByPeer { job, peer } => {
                write!(f, "{job} is cancelled, acknowledged by {peer}")
            }
            Notice::HeartbeatRejected {
                machine,
                fencing_token,
                reason,
            } => write!(
                f,
                "heartbeat of {machine} (fencing token {fencing_token}) gets no answer: {reason:?}"
            ),
            Notice::JobEnded(job) => job.fmt(f),
        }
    }
}

/// A job that ended, and where its time went: shows on-call staff which jobs were late and why.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedJob {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: String,
    /// How many tasks it had.
    pub tasks: u32,
    /// The owner's estimate of a task's run time.
    pub estimate: Micros,
    /// The deadline, counted from the submission.
    pub deadline: Option<Micros>,
    /// The jobs that it waited on.
    pub dependencies: Vec<String>,
    /// The time since the submission.
    pub took: Micros,
    /// What the leader saw of it.
    pub timeline: JobTimeline,
    /// Whether it was cancelled rather than done.
    pub cancelled: bool,
}

impl fmt::Display for EndedJob {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = |span: Micros| span.as_secs_f64();
        let end = if self.cancelled { "cancelled" } else { "done" };
        write!(
            f,
            "{} ({}, {} tasks of {:.0} s, deadline {:.0} s) after {:.0} s: {end}; released at {:.0} s, last placed at {:.0} s, {} attempts",
            self.id,
            self.class,
            self.tasks,
            seconds(self.estimate),
            seconds(self.deadline.unwrap_or_default()),
            seconds(self.took),
            seconds(self.timeline.released),
            seconds(self.timeline.last_placed),
            self.timeline.attempts,
        )?;
        if !self.dependencies.is_empty() {
            write!(f, ", waited on {}", self.dependencies.join(" "))?;
        }
        Ok(())
    }
}
