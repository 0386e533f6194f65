//! Client for a peer cell's listener.

use std::net::SocketAddr;
use std::time::Duration;

use hyper::Method;
use saltpitch_cells::link::{HostStatus, LinkAnswer, LinkRequest, Refusal};
use saltpitch_core::Micros;
use serde::Deserialize;

use crate::http::{CallError, Client, Reply};
use crate::wire::users::{encode_cancellation, encode_submission, JobStatus};

const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The most characters of a refusal's reason that are kept for the log.
const MAX_REASON_CHARS: usize = 200;

/// The body of the answer to a query, a submission or a cancellation.
#[derive(Debug, Deserialize)]
struct StatusBody {
    #[serde(rename = "ref")]
    id: String,
    status: String,
    #[serde(default)]
    done: u64,
    #[serde(default)]
    running: u64,
}

/// The body of a refusal.
#[derive(Debug, Default, Deserialize)]
struct ErrorBody {
    #[serde(default)]
    error: String,
}

/// Sends a request and decodes the answer.
pub async fn call(client: &Client, address: SocketAddr, request: &LinkRequest) -> LinkAnswer {
    let (method, path, body) = encode(request);
    match client
        .call(address, method, &path, body, CALL_TIMEOUT)
        .await
    {
        Ok(reply) => decode(request, &reply),
        Err(CallError::NotSent) => LinkAnswer::NotSent,
        Err(CallError::Unknown) => LinkAnswer::NoAnswer,
    }
}

fn encode(request: &LinkRequest) -> (Method, String, Vec<u8>) {
    match request {
        LinkRequest::Readiness => (Method::GET, "/up".to_owned(), Vec::new()),
        LinkRequest::Submit(submission) => {
            let body = encode_submission(submission).to_string();
            (Method::POST, "/v2/runs".to_owned(), body.into_bytes())
        }
        LinkRequest::Status { id } => (Method::GET, format!("/v2/runs/{id}"), Vec::new()),
        LinkRequest::Abort { id, unless_begun } => {
            let body = encode_cancellation(*unless_begun).to_string();
            let path = format!("/v2/runs/{id}/abort");
            (Method::POST, path, body.into_bytes())
        }
    }
}

fn decode(request: &LinkRequest, reply: &Reply) -> LinkAnswer {
    let (id, closing) = match request {
        LinkRequest::Readiness if reply.status == 200 => return LinkAnswer::Ready,
        LinkRequest::Readiness => return refusal(reply),
        LinkRequest::Submit(submission) => (&submission.id, submission.closing),
        LinkRequest::Status { id } | LinkRequest::Abort { id, .. } => (id, false),
    };
    match reply.status {
        200 | 201 => match decode_status(id, reply) {
            Ok(HostStatus::Withdrawn) if closing && reply.status == 201 => LinkAnswer::Closed,
            Ok(status) => LinkAnswer::Status(status),
            Err(reason) => LinkAnswer::Malformed(reason.to_string()),
        },
        404 => LinkAnswer::NotFound,
        _ => refusal(reply),
    }
}

/// The reason why an answer cannot be decoded.
#[derive(Debug, thiserror::Error)]
enum MalformedReply {
    /// The body is not JSON or does not have the expected structure.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The answer is about another job.
    #[error("the request was about {requested}, the answer is about {answered}")]
    OtherJob { requested: String, answered: String },
    /// The protocol does not define the status.
    #[error("unknown status {0:?}")]
    UnknownStatus(String),
}

fn decode_status(id: &str, reply: &Reply) -> Result<HostStatus, MalformedReply> {
    let body: StatusBody = serde_json::from_slice(&reply.body)?;
    if body.id != id {
        return Err(MalformedReply::OtherJob {
            requested: id.to_owned(),
            answered: body.id,
        });
    }
    match JobStatus::parse(&body.status) {
        Some(JobStatus::Pending) if body.running + body.done > 0 => Ok(HostStatus::Running),
        Some(JobStatus::Pending) => Ok(HostStatus::Pending),
        Some(JobStatus::Running) => Ok(HostStatus::Running),
        Some(JobStatus::Done) => Ok(HostStatus::Done),
        Some(JobStatus::Cancelled) => Ok(HostStatus::Withdrawn),
        None => Err(MalformedReply::UnknownStatus(body.status)),
    }
}

fn refusal(reply: &Reply) -> LinkAnswer {
    let body: ErrorBody = serde_json::from_slice(&reply.body).unwrap_or_default();
    LinkAnswer::Refused(Refusal {
        status: reply.status,
        retry_after: reply.retry_after_s.map(Micros::from_secs),
        reason: body.error.chars().take(MAX_REASON_CHARS).collect(),
    })
}

#[cfg(test)]
mod tests;
