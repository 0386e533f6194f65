//! Events that a controller reports for the log. The program writes each notice as one line.

use std::fmt;

use crate::records::RecordError;
use crate::scheduler::{HeartbeatRejection, JobTimeline};
use crate::time::Micros;

/// The reason why a leadership ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LossReason {
    /// The records or a peer show a newer term.
    NewerTerm,
    /// An agent has seen a newer fencing token.
    NewerToken,
    /// A transaction failed because the term has changed.
    TermChanged,
    /// The leadership lease in the state service has expired.
    LeaseExpired,
    /// The agents do not reach this controller.
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

/// An event for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum Notice {
    /// A record that this version cannot read was skipped.
    UnreadableRecord {
        /// The key of the record.
        key: String,
        /// The reason why it cannot be read.
        error: RecordError,
    },
    /// This controller's leadership ended.
    LeadershipLost {
        /// The last term of the leadership.
        term: u64,
        /// Why it ended.
        reason: LossReason,
    },
    /// The previous leader is proven to answer no agents any more.
    PreviousLeaderGone {
        /// The name of the previous leader.
        node: String,
    },
    /// A peer acknowledged a cancellation that the records do not show yet.
    CancelledByPeer {
        /// The id of the cancelled job.
        job: String,
        /// The name of the peer.
        peer: String,
    },
    /// The leader rejected an agent's heartbeat.
    HeartbeatRejected {
        /// The name of the machine.
        machine: String,
        /// The highest fencing token that its agent has seen.
        fencing_token: u64,
        /// Why the heartbeat was rejected.
        reason: HeartbeatRejection,
    },
    /// A job is done or cancelled.
    JobEnded(EndedJob),
}

impl Notice {
    /// Returns whether the notice is to be logged at the level `error`.
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
                "heartbeat of {machine} (fencing token {fencing_token}) is rejected: {reason:?}"
            ),
            Notice::JobEnded(job) => job.fmt(f),
        }
    }
}

/// A job that ended, with its timeline. Its log line shows on-call staff which jobs were late and why.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedJob {
    /// The job's id.
    pub id: String,
    /// The name of its class.
    pub class: String,
    /// The number of its tasks.
    pub tasks: u32,
    /// The owner's estimate of a task's run time.
    pub estimate: Micros,
    /// The deadline, relative to the submission.
    pub deadline: Option<Micros>,
    /// The ids of the jobs that it depended on.
    pub dependencies: Vec<String>,
    /// The time from the submission to the end.
    pub duration: Micros,
    /// The job's timeline as far as this leader observed it.
    pub timeline: JobTimeline,
    /// Whether the job was cancelled rather than done.
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
            seconds(self.duration),
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
