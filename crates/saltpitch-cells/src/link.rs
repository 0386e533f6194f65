//! The requests and answers of the link between two cells, which uses the users' protocol.

use std::sync::Arc;

use saltpitch_core::job::JobSpec;
use saltpitch_core::Micros;

/// A request to the listener that a peer cell has opened for this cell.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkRequest {
    /// `GET /up`: asks whether the peer cell accepts delegated jobs now.
    Readiness,
    /// `POST /v2/runs`: submits a delegated job.
    Submit(Submission),
    /// `GET /v2/runs/ID`: queries a job's status.
    Status {
        /// The job's id on the link.
        id: String,
    },
    /// `POST /v2/runs/ID/abort`: cancels a job.
    Abort {
        /// The job's id on the link.
        id: String,
        /// Cancels the job only if none of its tasks has been placed. Otherwise the answer is the job's status.
        unless_begun: bool,
    },
}

/// A submission to a peer cell.
#[derive(Clone, Debug, PartialEq)]
pub struct Submission {
    /// The job's id on the link.
    pub id: String,
    /// The job's specification.
    pub spec: Arc<JobSpec>,
    /// The time left until the job's deadline.
    pub deadline: Option<Micros>,
    /// If the host does not know the job, it records the job as withdrawn and never starts it. The origin sends
    /// this when it takes a delegation back, because earlier copies of the submission may still arrive.
    pub closing: bool,
}

/// The status of a delegated job at the host, as the users' protocol reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HostStatus {
    /// The host has accepted the job, and none of its tasks has started.
    Pending,
    /// Some of the job's tasks run or have completed.
    Running,
    /// All of the job's tasks have completed. This status is final.
    Done,
    /// The job is cancelled. This status is final.
    Withdrawn,
}

/// The outcome of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum LinkAnswer {
    /// `GET /up` was answered with 200: the peer cell accepts delegated jobs.
    Ready,
    /// The host answered 200 with a status, or 201 to the submission of a job that it did not know.
    Status(HostStatus),
    /// The host answered 201 to a closing submission: it did not know the job and will never start it.
    Closed,
    /// The host answered 404.
    NotFound,
    /// The host answered with another HTTP status.
    Refused(Refusal),
    /// The request was not sent and never will be.
    NotSent,
    /// No answer arrived: the host may have carried out the request or may still do so.
    NoAnswer,
    /// The answer cannot be decoded; the string says why.
    Malformed(String),
}

/// An answer other than a job's status or 404.
#[derive(Clone, Debug, PartialEq)]
pub struct Refusal {
    /// The HTTP status.
    pub status: u16,
    /// The value of `Retry-After`, if the answer had one.
    pub retry_after: Option<Micros>,
    /// The reason that the peer cell gave.
    pub reason: String,
}

impl Refusal {
    /// Returns whether the refused submission had no effect. This alone does not end a delegation, because
    /// another copy of the submission may arrive when the host accepts it. A 503 is not definite: the host's
    /// transaction may still be applied later.
    pub fn is_definite(&self) -> bool {
        matches!(self.status, 400 | 422 | 429)
    }
}
