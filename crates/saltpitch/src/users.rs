//! Serves users' requests: submissions, queries and cancellations.

mod progress;
mod submission;

use std::fmt::Display;
use std::time::Duration;

use saltpitch_core::messages::{PeerRequest, PeerResponse, UserRequest};
use saltpitch_core::records::{job_key, CancelStep, JobRecord};
use saltpitch_core::scheduler::TransactionOutcome;
use serde_json::Value;

use self::progress::JobProgress;
use crate::job_lookups::LookupError;
use crate::node::Node;
use crate::store::conditional_write;
use crate::wire::users::{encode_error, encode_progress, encode_status, JobStatus};

/// How long a peer may take to serve a forwarded request.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a cancellation is attempted when the job's record changes at the same time.
const CANCEL_ATTEMPTS: u32 = 3;

/// The answer to a user's request.
#[derive(Clone, Debug, PartialEq)]
pub struct UserReply {
    /// The HTTP status.
    pub status: u16,
    /// The JSON body.
    pub body: Value,
}

impl UserReply {
    fn new(status: u16, body: Value) -> UserReply {
        UserReply { status, body }
    }

    fn error(status: u16, reason: impl Display) -> UserReply {
        UserReply::new(status, encode_error(&reason.to_string()))
    }

    fn no_such_job() -> UserReply {
        UserReply::error(404, "no such job")
    }

    fn status(id: &str, status: JobStatus) -> UserReply {
        UserReply::new(200, encode_status(id, status))
    }
}

/// The controller cannot answer now, usually because it cannot read or write the state service; the user
/// may retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

/// The outcome of a cancellation.
#[derive(Clone, Debug, PartialEq)]
pub enum CancellationOutcome {
    /// The outcome of the transaction that writes it.
    Transaction(TransactionOutcome),
    /// Another cell may own the job and has not confirmed the cancellation yet; the record shows that it is
    /// requested.
    Requested,
}

/// Why a user's request gets no answer from this controller.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum RequestError {
    /// A peer may be able to answer.
    #[error("not available")]
    Unavailable,
    /// Too many questions wait already. The request is refused instead of passed on to a peer, which would only have
    /// more to do as well.
    #[error("too many questions about jobs that ended long ago are waiting")]
    Overloaded,
}

impl From<Unavailable> for RequestError {
    fn from(_: Unavailable) -> RequestError {
        RequestError::Unavailable
    }
}

impl From<LookupError> for RequestError {
    fn from(error: LookupError) -> RequestError {
        match error {
            LookupError::Overloaded => RequestError::Overloaded,
            LookupError::Unavailable => RequestError::Unavailable,
        }
    }
}

impl Node {
    /// Serves a user's request; forwards it to a peer that can reach the state service if this controller
    /// cannot.
    pub async fn serve_user_request(&self, request: UserRequest) -> Result<UserReply, Unavailable> {
        match self.serve_user_request_locally(&request).await {
            Ok(reply) => Ok(reply),
            Err(Unavailable) => self.forward_to_peers(request).await,
        }
    }

    /// Serves a user's request without forwarding it to a peer.
    pub async fn serve_user_request_locally(
        &self,
        request: &UserRequest,
    ) -> Result<UserReply, Unavailable> {
        let result = match request {
            UserRequest::Submit(body) => self.submit(body).await,
            UserRequest::Query(id) => self.query(id).await,
            UserRequest::Cancel(id) => self.cancel(id).await,
        };
        match result {
            Ok(reply) => Ok(reply),
            Err(RequestError::Unavailable) => Err(Unavailable),
            Err(error @ RequestError::Overloaded) => Ok(UserReply::error(503, error)),
        }
    }

    /// Forwards a request to the peers that can reach the state service, one after another, until one of them
    /// answers.
    async fn forward_to_peers(&self, request: UserRequest) -> Result<UserReply, Unavailable> {
        let addrs: Vec<_> = {
            let controller = self.controller();
            let names: Vec<&str> = controller.peers_with_store(self.now()).collect();
            let peers = self.settings.peers.iter();
            let peers = peers.filter(|peer| names.contains(&peer.node.as_str()));
            peers.map(|peer| peer.addr).collect()
        };
        let request = PeerRequest::User(request);
        for addr in addrs {
            let answer = self.peers.request(addr, &request, FORWARD_TIMEOUT).await;
            if let Some(PeerResponse::User { status, body }) = answer {
                let body = serde_json::from_str(&body).unwrap_or(Value::Null);
                return Ok(UserReply::new(status, body));
            }
        }
        Err(Unavailable)
    }

    async fn query(&self, id: &str) -> Result<UserReply, RequestError> {
        let in_memory = self.progress_in_memory(id);
        let is_final = in_memory.is_some_and(|progress| progress.state.is_final());
        // Queries about live jobs are not refused because of those about jobs that ended long ago.
        let permits = if in_memory.is_none() && !self.keeps_all_ended_jobs() {
            &self.lookup_permits
        } else {
            &self.query_permits
        };
        let permit = permits.try_acquire();
        if permit.is_err() && !is_final {
            // Refused instead of queued: more waiting queries would only delay all of them.
            return Ok(UserReply::error(503, "too many queries are waiting"));
        }
        let Some(progress) = self.progress(id).await? else {
            return Ok(UserReply::no_such_job());
        };
        let JobProgress { done, running, .. } = progress;
        let body = encode_progress(id, progress.status(), done, running);
        Ok(UserReply::new(200, body))
    }

    async fn cancel(&self, id: &str) -> Result<UserReply, RequestError> {
        for _ in 0..CANCEL_ATTEMPTS {
            let Some(progress) = self.progress(id).await? else {
                return Ok(UserReply::no_such_job());
            };
            if progress.state.is_final() {
                return Ok(UserReply::status(id, progress.status()));
            }
            match self.write_cancellation(id).await? {
                CancellationOutcome::Transaction(TransactionOutcome::Committed(_)) => {
                    return Ok(UserReply::status(id, JobStatus::Cancelled));
                }
                // The record has changed since it was read: read it again.
                CancellationOutcome::Transaction(TransactionOutcome::Conflict(_)) => {}
                CancellationOutcome::Transaction(_) => return Err(RequestError::Unavailable),
                CancellationOutcome::Requested => {
                    let reason = "the cell that has the job is asked to cancel it; retry later";
                    return Ok(UserReply::error(503, reason));
                }
            }
        }
        Err(RequestError::Unavailable)
    }

    /// Writes a job's cancellation, or the request for it, to the job's record. Completion and cancellation are
    /// both written on condition that the record's revision is unchanged, so that only one of them succeeds.
    pub async fn write_cancellation(&self, id: &str) -> Result<CancellationOutcome, Unavailable> {
        let entry = self.controller().records().jobs.get(id).cloned();
        let entry = entry.ok_or(Unavailable)?;
        let (record, is_confirmed) = match entry.record.cancel_step() {
            CancelStep::Confirm(record) => (record, true),
            CancelStep::Request(record) => (record, false),
            CancelStep::Await => return Ok(CancellationOutcome::Requested),
        };
        let key = job_key(id);
        let value = self.encode_cancelled(record).ok_or(Unavailable)?;
        let transaction = conditional_write(&key, &value, entry.revision);
        let outcome = self.store.commit(&transaction, CANCEL_TIMEOUT).await;
        let TransactionOutcome::Committed(revision) = outcome else {
            return Ok(CancellationOutcome::Transaction(outcome));
        };
        // Applied before the user is answered: a leader that cannot reach the state service asks this
        // controller for the cancellations that it has confirmed.
        self.apply_own_write(id, &value, revision);
        if !is_confirmed {
            tracing::info!(
                "{id} is to be cancelled once the cell that it is delegated to confirms"
            );
            return Ok(CancellationOutcome::Requested);
        }
        tracing::info!("{id} is cancelled");
        Ok(CancellationOutcome::Transaction(outcome))
    }

    /// Encodes the record of a cancelled job, without its scheduling fields if it is longer than the present
    /// limit on values.
    fn encode_cancelled(&self, mut record: JobRecord) -> Option<String> {
        let value = serde_json::to_string(&record).ok()?;
        if value.len() <= self.settings.store.max_value_bytes {
            return Some(value);
        }
        // The job was accepted under a larger limit. The leader only needs to know the resources that its
        // remaining tasks occupy.
        record.drop_scheduling_fields();
        serde_json::to_string(&record).ok()
    }
}

#[cfg(test)]
mod tests;
