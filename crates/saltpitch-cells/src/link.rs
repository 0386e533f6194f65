//! What is asked over the link between two cells, in the users' protocol, and what may be answered.

use std::sync::Arc;

use saltpitch_core::job::JobSpec;
use saltpitch_core::Micros;

/// A request to the listener that a peer cell has opened for this cell.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkRequest {
    /// `GET /up`: whether delegated jobs are taken now.
    Readiness,
    /// `POST /v2/runs`.
    Submit(Submission),
    /// `GET /v2/runs/ID`.
    Status {
        /// The id sent.
        id: String,
    },
    /// `POST /v2/runs/ID/abort`.
    Abort {
        /// The id sent.
        id: String,
        /// Only if nothing of it has been placed: otherwise the answer is its status.
        unless_begun: bool,
    },
}

/// A submission to a peer cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The id sent.
    pub id: String,
    /// The job's description.
    pub spec: Arc<JobSpec>,
    /// What is left of its deadline.
    pub deadline: Option<Micros>,
    /// A job that the host does not know is to be recorded as withdrawn, never started: the origin takes the
    /// delegation back, and earlier copies of its submission may still arrive.
    pub closing: bool,
}

/// A job's status in the users' protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// Accepted, and nothing of it has begun.
    Pending,
    /// Tasks of it run or have completed.
    Running,
    /// All of its tasks have completed. Final.
    Done,
    /// Cancelled. Final.
    Withdrawn,
}

/// What became of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAnswer {
    /// `GET /up` was answered with 200.
    Ready,
    /// 200 with a status, or 201 to a submission of a job that the host did not know.
    Status(HostStatus),
    /// 201 to a closing submission: the host did not know the job, and will never start it.
    Closed,
    /// 404.
    NotFound,
    /// Another status.
    Refused(Refusal),
    /// The request was not sent and never will be.
    NotSent,
    /// No answer: the request may have been carried out, or may yet be.
    NoAnswer,
    /// An answer that cannot be read.
    Malformed(String),
}

/// An answer that is neither a status nor 404.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// `Retry-After`, if it was given.
    pub retry_after: Option<Micros>,
    /// What the peer cell says.
    pub reason: String,
}

impl Refusal {
    /// Whether a submission had no effect. That does not end a delegation, since a copy of the submission may
    /// arrive when the host takes it; a 503 does not even say so much: the host's own transaction may be
    /// applied late.
    pub fn is_definite(&self) -> bool {
        matches!(self.status, 400 | 422 | 429)
    }
}
