//! The listener for one peer cell, which serves the users' protocol for the jobs that the peer cell delegates
//! to this cell.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use poem::http::{Method, StatusCode};
use poem::{Endpoint, Request, Response, Server};
use saltpitch_cells::host::{Admission, AdmissionError, HostAdmission, HostLimits};
use saltpitch_cells::link::{HostStatus, Submission};
use saltpitch_core::job::JobState;
use saltpitch_core::records::{job_key, JobRecord};
use saltpitch_core::scheduler::TransactionOutcome;
use saltpitch_core::Micros;
use serde_json::Value;

use crate::connection_limit::{listen, Connections, LimitedAcceptor};
use crate::node::Node;
use crate::responses::{
    healthy, json, not_ready, read_body, refusal, refusal_with_retry, unavailable,
};
use crate::store::conditional_write;
use crate::users::{CancellationOutcome, Unavailable};
use crate::wire::users::{
    decode_closing, decode_job_id, decode_submission, decode_unless_begun, encode_progress,
    encode_status, is_job_id,
};
use crate::wire::DecodeError;

/// The most connections that one peer cell may have open, and the most that may wait to be accepted.
const MAX_CONNECTIONS: usize = 32;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const CREATE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The most attempts to cancel a job whose record changes at the same time.
const CANCEL_ATTEMPTS: u32 = 3;
/// The value of `Retry-After`, in seconds, in answers to `GET /up` while this cell has no capacity.
const RETRY_AFTER_S: u64 = 2;

/// Opens the listener for a peer cell.
pub async fn start(node: Arc<Node>, admission: HostAdmission) -> Result<()> {
    let address = *admission
        .settings
        .listen
        .get(&node.settings.node)
        .context("cells: no address for this controller")?;
    let cell = &admission.cell;
    let cannot_listen = || format!("cells: cannot listen on {address} for cell {cell}");
    let acceptor = listen(address, MAX_CONNECTIONS).with_context(cannot_listen)?;
    let connections = Arc::new(Connections::new(MAX_CONNECTIONS));
    let acceptor = LimitedAcceptor::new(acceptor, node.clock, connections);
    tracing::info!("listening on {address} for cell {cell}");
    let api = PeerCellApi { node, admission };
    tokio::spawn(async move {
        let server = Server::new_with_acceptor(acceptor).idle_timeout(IDLE_TIMEOUT);
        if let Err(error) = server.run(api).await {
            tracing::error!("cells: the listener on {address} ended: {error}");
        }
    });
    Ok(())
}

/// The HTTP API for one peer cell.
struct PeerCellApi {
    node: Arc<Node>,
    admission: HostAdmission,
}

impl Endpoint for PeerCellApi {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let response = self.route(request).await;
        Ok(response.unwrap_or_else(|Unavailable| unavailable()))
    }
}

impl PeerCellApi {
    async fn route(&self, mut request: Request) -> Result<Response, Unavailable> {
        let path = request.uri().path().to_owned();
        let is_get = request.method() == Method::GET;
        let is_post = request.method() == Method::POST;
        let job = path.strip_prefix("/v2/runs/").unwrap_or_default();
        let (id, operation) = match job.split_once('/') {
            Some((id, operation)) => (id, Some(operation)),
            None => (job, None),
        };
        match (path.as_str(), operation) {
            ("/up", _) if is_get => Ok(self.health()),
            ("/v2/runs", _) if is_post => match read_body(&mut request).await {
                Ok(body) => self.submit(&body).await,
                Err(error) => Ok(error.response()),
            },
            (_, None) if is_get && is_job_id(id) => self.query(id).await,
            (_, Some("abort")) if is_post && is_job_id(id) => match read_body(&mut request).await {
                Ok(body) => self.cancel(id, &body).await,
                Err(error) => Ok(error.response()),
            },
            _ => Ok(refusal(StatusCode::NOT_FOUND, "no such path or job")),
        }
    }

    /// Answers 200 while jobs of the peer cell are admitted.
    fn health(&self) -> Response {
        if !self.node.is_up() {
            return not_ready();
        }
        if !self.admission.has_room(self.node.controller().records()) {
            let reason = AdmissionError::NoRoom.to_string();
            return refusal_with_retry(StatusCode::SERVICE_UNAVAILABLE, &reason, RETRY_AFTER_S);
        }
        healthy()
    }

    async fn submit(&self, body: &[u8]) -> Result<Response, Unavailable> {
        let submission = match decode_request(body) {
            Ok(submission) => submission,
            Err(reason) => return Ok(refusal(StatusCode::BAD_REQUEST, &reason.to_string())),
        };
        if let Some(status) = self.status(&submission.id).await? {
            return Ok(status_response(StatusCode::OK, &submission.id, status));
        }
        match self.admit(&submission)? {
            Ok(Admission::Known(status)) => {
                Ok(status_response(StatusCode::OK, &submission.id, status))
            }
            Ok(Admission::Create(record)) => self.create_job(&submission.id, record).await,
            Err(error) => Ok(admission_refusal(&error)),
        }
    }

    fn admit(
        &self,
        submission: &Submission,
    ) -> Result<Result<Admission, AdmissionError>, Unavailable> {
        let wall = self.node.clock.wall_time();
        let controller = self.node.controller();
        let catalog = controller.catalog().cloned().ok_or(Unavailable)?;
        let limits = HostLimits {
            catalog: &catalog,
            teams: &self.node.settings.teams,
        };
        let records = controller.records();
        Ok(self.admission.admit(records, submission, &limits, wall))
    }

    /// Writes the record of a delegated job or the record that closes a delegation.
    async fn create_job(&self, sent_id: &str, record: JobRecord) -> Result<Response, Unavailable> {
        let status = if record.state.is_final() {
            HostStatus::Withdrawn
        } else {
            HostStatus::Pending
        };
        let id = self.admission.hosted_job_id(sent_id);
        let value = serde_json::to_string(&record).map_err(|_| Unavailable)?;
        if value.len() > self.node.settings.store.max_value_bytes {
            let reason = "the description is too long";
            return Ok(refusal(StatusCode::UNPROCESSABLE_ENTITY, reason));
        }
        let transaction = conditional_write(&job_key(&id), &value, 0);
        match self.node.store.commit(&transaction, CREATE_TIMEOUT).await {
            TransactionOutcome::Committed(revision) => {
                self.node.apply_own_write(&id, &value, revision);
                tracing::info!("{sent_id} is taken from cell {}", self.admission.cell);
                Ok(status_response(StatusCode::CREATED, sent_id, status))
            }
            TransactionOutcome::Conflict(_) => self.query(sent_id).await,
            _ => Err(Unavailable),
        }
    }

    /// Returns a job's status according to the local copy of the records.
    fn cached_status(&self, sent_id: &str) -> Option<HostStatus> {
        let controller = self.node.controller();
        self.admission.status(controller.records(), sent_id)
    }

    /// Returns a job's status; `None` if the job was never accepted. Unless the status is final, the local copy of the
    /// records is first updated to be at least as new as the request.
    async fn status(&self, sent_id: &str) -> Result<Option<HostStatus>, Unavailable> {
        let id = self.admission.hosted_job_id(sent_id);
        Ok(match self.node.latest_job_state(&id).await? {
            None => None,
            Some(JobState::Done) => Some(HostStatus::Done),
            Some(JobState::Cancelled) => Some(HostStatus::Withdrawn),
            Some(JobState::Active) => Some(self.cached_status(sent_id).ok_or(Unavailable)?),
        })
    }

    async fn query(&self, sent_id: &str) -> Result<Response, Unavailable> {
        let Some(status) = self.status(sent_id).await? else {
            return Ok(refusal(StatusCode::NOT_FOUND, "no such job"));
        };
        let (running, done) = {
            let id = self.admission.hosted_job_id(sent_id);
            self.node.controller().records().task_counts(&id)
        };
        let body = encode_progress(sent_id, status.into(), done, running);
        Ok(json(StatusCode::OK, &body))
    }

    async fn cancel(&self, sent_id: &str, body: &[u8]) -> Result<Response, Unavailable> {
        let unless_begun = decode_unless_begun(body);
        let id = self.admission.hosted_job_id(sent_id);
        for _ in 0..CANCEL_ATTEMPTS {
            let Some(status) = self.status(sent_id).await? else {
                return Ok(refusal(StatusCode::NOT_FOUND, "no such job"));
            };
            if !self.should_cancel(sent_id, unless_begun) {
                return Ok(status_response(StatusCode::OK, sent_id, status));
            }
            match self.node.write_cancellation(&id).await? {
                CancellationOutcome::Transaction(TransactionOutcome::Committed(_)) => {
                    let status = HostStatus::Withdrawn;
                    return Ok(status_response(StatusCode::OK, sent_id, status));
                }
                // The record has changed since it was read: read it again.
                CancellationOutcome::Transaction(TransactionOutcome::Conflict(_)) => {}
                _ => return Err(Unavailable),
            }
        }
        Err(Unavailable)
    }

    /// Returns whether a cancellation request cancels the job.
    fn should_cancel(&self, sent_id: &str, unless_begun: bool) -> bool {
        let controller = self.node.controller();
        let records = controller.records();
        self.admission.should_cancel(records, sent_id, unless_begun)
    }
}

/// The reason why a submission cannot be decoded. The peer cell receives the text.
#[derive(Debug, thiserror::Error)]
enum SubmissionError {
    #[error("not JSON: {0}")]
    NotJson(#[from] serde_json::Error),
    #[error(transparent)]
    Invalid(#[from] DecodeError),
}

fn decode_request(body: &[u8]) -> Result<Submission, SubmissionError> {
    let body: Value = serde_json::from_slice(body)?;
    let id = decode_job_id(&body)?.to_owned();
    let spec = decode_submission(&body)?;
    Ok(Submission {
        id,
        deadline: spec.deadline,
        spec: Arc::new(spec),
        closing: decode_closing(&body),
    })
}

fn status_response(code: StatusCode, sent_id: &str, status: HostStatus) -> Response {
    json(code, &encode_status(sent_id, status.into()))
}

fn admission_refusal(error: &AdmissionError) -> Response {
    let code = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    match error.retry_after() {
        Some(wait) => refusal_with_retry(code, &error.to_string(), whole_seconds(wait)),
        None => refusal(code, &error.to_string()),
    }
}

fn whole_seconds(wait: Micros) -> u64 {
    wait.0.div_ceil(1_000_000)
}
