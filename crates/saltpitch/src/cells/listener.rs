//! The listener for one neighbour: the users' protocol for its jobs, as guests.

use std::sync::Arc;
use std::time::Duration;

use anyhow::{Context, Result};
use poem::http::{Method, StatusCode};
use poem::{Endpoint, Request, Response, Server};
use saltpitch_cells::host::{Admission, GuestError, HostAdmission, HostSite};
use saltpitch_cells::link::{HostStatus, Submission};
use saltpitch_core::records::{job_key, JobRecord};
use saltpitch_core::scheduler::{Precondition, TransactionOutcome, Write};
use saltpitch_core::Micros;
use serde_json::Value;

use crate::api::{answer, answer_later, body, refuse};
use crate::connection_limit::{Bounded, Connections};
use crate::node::{listen, Node};
use crate::users::{Cancellation, Unavailable};
use crate::wire::users;

/// Connections that one neighbour may have open, and that may wait to be accepted.
const MAX_CONNECTIONS: usize = 32;
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
const CREATE_TIMEOUT: Duration = Duration::from_millis(1_200);
/// How often an abort is tried against a record that keeps changing.
const ABORT_ATTEMPTS: u32 = 3;
/// How soon a neighbour may ask again that was told that there is no room, in seconds.
const RETRY_AFTER_S: u64 = 2;

/// Opens the listener for a neighbour.
pub async fn start(node: Arc<Node>, door: HostAdmission) -> Result<()> {
    let address = *door
        .settings
        .listen
        .get(&node.settings.node)
        .context("cells: no address for this controller")?;
    let cannot_listen = || format!("cells: cannot listen on {address} for cell {}", door.cell);
    let acceptor = listen(address, MAX_CONNECTIONS).with_context(cannot_listen)?;
    let connections = Arc::new(Connections::new(MAX_CONNECTIONS));
    let acceptor = Bounded::new(acceptor, node.clock, connections);
    tracing::info!("listening on {address} for cell {}", door.cell);
    let guests = Guests { node, door };
    tokio::spawn(async move {
        let server = Server::new_with_acceptor(acceptor).idle_timeout(IDLE_TIMEOUT);
        if let Err(error) = server.run(guests).await {
            tracing::error!("cells: the listener on {address} ended: {error}");
        }
    });
    Ok(())
}

/// Every path and method in one place.
struct Guests {
    node: Arc<Node>,
    door: HostAdmission,
}

impl Endpoint for Guests {
    type Output = Response;

    async fn call(&self, request: Request) -> poem::Result<Response> {
        let reply = self.route(request).await;
        Ok(reply.unwrap_or_else(|Unavailable| {
            refuse(StatusCode::SERVICE_UNAVAILABLE, "the state service is away")
        }))
    }
}

impl Guests {
    async fn route(&self, mut request: Request) -> Result<Response, Unavailable> {
        let path = request.uri().path().to_owned();
        let get = request.method() == Method::GET;
        let post = request.method() == Method::POST;
        let job = path.strip_prefix("/v2/runs/").unwrap_or_default();
        let (id, verb) = match job.split_once('/') {
            Some((id, verb)) => (id, Some(verb)),
            None => (job, None),
        };
        match (path.as_str(), verb) {
            ("/up", _) if get => Ok(self.up()),
            ("/v2/runs", _) if post => match body(&mut request).await {
                Ok(body) => self.submit(&body).await,
                Err(response) => Ok(response),
            },
            (_, None) if get && users::is_job_id(id) => self.status(id).await,
            (_, Some("abort")) if post && users::is_job_id(id) => match body(&mut request).await {
                Ok(body) => self.abort(id, &body).await,
                Err(response) => Ok(response),
            },
            _ => Ok(refuse(StatusCode::NOT_FOUND, "no such path or job")),
        }
    }

    /// 200 while guests are taken.
    fn up(&self) -> Response {
        if !self.node.is_up() {
            return refuse(StatusCode::SERVICE_UNAVAILABLE, "not ready");
        }
        if !self.door.has_room(self.node.controller().records()) {
            let reason = GuestError::NoRoom.to_string();
            return answer_later(StatusCode::SERVICE_UNAVAILABLE, &reason, RETRY_AFTER_S);
        }
        answer(StatusCode::OK, &serde_json::json!({"status": "up"}))
    }

    async fn submit(&self, body: &[u8]) -> Result<Response, Unavailable> {
        let submission = match read_submission(body) {
            Ok(submission) => submission,
            Err(reason) => return Ok(refuse(StatusCode::BAD_REQUEST, &reason)),
        };
        if !self.node.fresh().await {
            return Err(Unavailable);
        }
        match self.admit(&submission)? {
            Ok(Admission::Known(status)) => Ok(short(StatusCode::OK, &submission.id, status)),
            Ok(Admission::Create(record)) => self.create(&submission.id, record).await,
            Err(error) => Ok(guest_refusal(&error)),
        }
    }

    fn admit(&self, submission: &Submission) -> Result<Result<Admission, GuestError>, Unavailable> {
        let wall = self.node.clock.wall();
        let controller = self.node.controller();
        let catalog = controller.catalog().cloned().ok_or(Unavailable)?;
        let site = HostSite {
            catalog: &catalog,
            teams: &self.node.settings.teams,
        };
        Ok(self
            .door
            .admit(controller.records(), submission, &site, wall))
    }

    /// Puts a guest, or the record that closes its submission, on record.
    async fn create(&self, sent: &str, record: JobRecord) -> Result<Response, Unavailable> {
        let status = match record.state.is_final() {
            true => HostStatus::Withdrawn,
            false => HostStatus::Pending,
        };
        let key = job_key(&self.door.guest_id(sent));
        let value = serde_json::to_string(&record).map_err(|_| Unavailable)?;
        if value.len() > self.node.settings.store.max_value_bytes {
            let reason = "the description is too long";
            return Ok(refuse(StatusCode::UNPROCESSABLE_ENTITY, reason));
        }
        let preconditions = [Precondition::new(key.clone(), 0)];
        let write = Write {
            key: key.clone(),
            value: Some(value.clone()),
        };
        let store = &self.node.store;
        match store
            .txn(&preconditions, &[write], None, CREATE_TIMEOUT)
            .await
        {
            TransactionOutcome::Committed(revision) => {
                self.node.apply_own_write(&key, &value, revision);
                tracing::info!("{} is taken from cell {}", sent, self.door.cell);
                Ok(short(StatusCode::CREATED, sent, status))
            }
            TransactionOutcome::Conflict(_) => self.status(sent).await,
            _ => Err(Unavailable),
        }
    }

    fn status_in_memory(&self, sent: &str) -> Option<HostStatus> {
        self.door.status(self.node.controller().records(), sent)
    }

    /// A job's status on records as new as the request, unless it is final.
    async fn fresh_status(&self, sent: &str) -> Result<Option<HostStatus>, Unavailable> {
        let known = self.status_in_memory(sent);
        let is_final = matches!(known, Some(HostStatus::Done | HostStatus::Withdrawn));
        if !is_final && !self.node.fresh().await {
            return Err(Unavailable);
        }
        Ok(self.status_in_memory(sent))
    }

    async fn status(&self, sent: &str) -> Result<Response, Unavailable> {
        let Some(status) = self.fresh_status(sent).await? else {
            return Ok(refuse(StatusCode::NOT_FOUND, "no such job"));
        };
        let (running, done) = {
            let id = self.door.guest_id(sent);
            self.node.controller().records().counts(&id)
        };
        let body = users::full(sent, word(status), done, running);
        Ok(answer(StatusCode::OK, &body))
    }

    async fn abort(&self, sent: &str, body: &[u8]) -> Result<Response, Unavailable> {
        let unless_begun = users::unless_begun(body);
        let id = self.door.guest_id(sent);
        for _ in 0..ABORT_ATTEMPTS {
            let Some(status) = self.fresh_status(sent).await? else {
                return Ok(refuse(StatusCode::NOT_FOUND, "no such job"));
            };
            let cancels = {
                let controller = self.node.controller();
                self.door.cancels(controller.records(), sent, unless_begun)
            };
            if !cancels {
                return Ok(short(StatusCode::OK, sent, status));
            }
            match self.node.write_cancellation(&id).await? {
                Cancellation::Ended(TransactionOutcome::Committed(_)) => {
                    return Ok(short(StatusCode::OK, sent, HostStatus::Withdrawn));
                }
                // The record has changed: look again.
                Cancellation::Ended(TransactionOutcome::Conflict(_)) => {}
                _ => return Err(Unavailable),
            }
        }
        Err(Unavailable)
    }
}

fn read_submission(body: &[u8]) -> Result<Submission, String> {
    let value: Value =
        serde_json::from_slice(body).map_err(|error| format!("not JSON: {error}"))?;
    let id = users::id_of(&value)?.to_owned();
    let spec = users::submission(&value)?;
    Ok(Submission {
        id,
        deadline: spec.deadline,
        spec: Arc::new(spec),
        closing: users::is_closing(&value),
    })
}

fn word(status: HostStatus) -> &'static str {
    match status {
        HostStatus::Pending => "pending",
        HostStatus::Running => "running",
        HostStatus::Done => "done",
        HostStatus::Withdrawn => "withdrawn",
    }
}

fn short(code: StatusCode, sent: &str, status: HostStatus) -> Response {
    answer(code, &users::short(sent, word(status)))
}

fn guest_refusal(error: &GuestError) -> Response {
    let code = StatusCode::from_u16(error.status()).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
    match error.retry_after() {
        Some(wait) => answer_later(code, &error.to_string(), seconds(wait)),
        None => refuse(code, &error.to_string()),
    }
}

fn seconds(wait: Micros) -> u64 {
    wait.0.div_ceil(1_000_000)
}
