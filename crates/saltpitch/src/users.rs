//! Users' requests: submissions, questions and cancellations.

use std::sync::Arc;
use std::time::Duration;

use saltpitch_core::job::{JobKind, JobSpec, JobState};
use saltpitch_core::messages::{PeerRequest, PeerResponse, UserRequest};
use saltpitch_core::records::{self, CancelStep, DelegationState, JobRecord};
use saltpitch_core::scheduler::{Precondition, TransactionOutcome, Write};
use serde_json::{json, Value};

use crate::node::Node;
use crate::wire::users;

/// How long a peer may take to serve a forwarded request.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(900);
const SUBMIT_TIMEOUT: Duration = Duration::from_millis(2_000);
const CANCEL_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How often a cancellation is tried against a record that keeps changing.
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

    fn error(status: u16, reason: impl std::fmt::Display) -> UserReply {
        UserReply::new(status, json!({ "error": reason.to_string() }))
    }

    fn known(id: &str, status: JobStatus) -> UserReply {
        UserReply::new(200, users::short(id, status.word()))
    }
}

/// The controller cannot answer now: it cannot read the state service. The user is told to come back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Unavailable;

/// What became of a cancellation.
#[derive(Clone, Debug, PartialEq)]
pub enum Cancellation {
    /// The transaction ended like this.
    Ended(TransactionOutcome),
    /// Another cell has the job and has yet to confirm; the record says that the user asked.
    Requested,
}

/// What is known of a job.
#[derive(Clone, Copy, Debug)]
struct JobStatus {
    state: JobState,
    running: u64,
    done: u64,
    /// Another cell said that it runs.
    runs_elsewhere: bool,
}

impl JobStatus {
    fn word(self) -> &'static str {
        let running = self.running.max(u64::from(self.runs_elsewhere));
        users::status_word(self.state, running)
    }
}

impl Node {
    /// Serves a user's request, if need be through a peer that can reach the state service.
    pub async fn user_request(&self, request: UserRequest) -> Result<UserReply, Unavailable> {
        match self.user_request_here(&request).await {
            Ok(reply) => Ok(reply),
            Err(Unavailable) => self.forward(request).await,
        }
    }

    /// Serves a user's request without the help of a peer.
    pub async fn user_request_here(&self, request: &UserRequest) -> Result<UserReply, Unavailable> {
        match request {
            UserRequest::Submit(body) => self.submit(body).await,
            UserRequest::Query(id) => self.query(id).await,
            UserRequest::Cancel(id) => self.cancel(id).await,
        }
    }

    async fn forward(&self, request: UserRequest) -> Result<UserReply, Unavailable> {
        let peers: Vec<_> = {
            let controller = self.controller();
            let able: Vec<&str> = controller.peers_with_store(self.now()).collect();
            let peers = self.settings.peers.iter();
            let peers = peers.filter(|p| able.contains(&p.node.as_str()));
            peers.map(|p| p.addr).collect()
        };
        let request = PeerRequest::User(request);
        for addr in peers {
            let answer = self.links.ask(addr, &request, FORWARD_TIMEOUT).await;
            if let Some(PeerResponse::User { status, body }) = answer {
                let body = serde_json::from_str(&body).unwrap_or(Value::Null);
                return Ok(UserReply::new(status, body));
            }
        }
        Err(Unavailable)
    }

    fn status_in_memory(&self, id: &str) -> Option<JobStatus> {
        let controller = self.controller();
        let state = controller.records().state(id)?;
        let (running, done) = controller.records().counts(id);
        let running = if state.is_final() { 0 } else { running };
        let record = controller.records().jobs.get(id).map(|entry| &entry.record);
        let delegation = record.and_then(|record| record.delegation.as_ref());
        let runs_elsewhere = delegation.is_some_and(|d| d.state == DelegationState::Running);
        Some(JobStatus {
            runs_elsewhere,
            state,
            running,
            done,
        })
    }

    /// A job's status, `None` if it was never accepted. A final state never changes, so memory may
    /// answer; anything else needs records as new as the request.
    async fn status(&self, id: &str) -> Result<Option<JobStatus>, Unavailable> {
        let in_memory = self.status_in_memory(id);
        if in_memory.is_some_and(|status| status.state.is_final()) {
            return Ok(in_memory);
        }
        if !self.fresh().await {
            return Err(Unavailable);
        }
        Ok(self.status_in_memory(id))
    }

    async fn query(&self, id: &str) -> Result<UserReply, Unavailable> {
        let in_memory = self.status_in_memory(id);
        let known = in_memory.is_some_and(|status| status.state.is_final());
        let permit = self.questions.try_acquire();
        if permit.is_err() && !known {
            // Told to come back rather than held: more of them would only make all of them later.
            return Ok(UserReply::error(503, "too many questions are waiting"));
        }
        Ok(match self.status(id).await? {
            Some(status) => {
                let body = users::full(id, status.word(), status.done, status.running);
                UserReply::new(200, body)
            }
            None => UserReply::error(404, "no such job"),
        })
    }

    async fn cancel(&self, id: &str) -> Result<UserReply, Unavailable> {
        for _ in 0..CANCEL_ATTEMPTS {
            let Some(status) = self.status(id).await? else {
                return Ok(UserReply::error(404, "no such job"));
            };
            if status.state.is_final() {
                return Ok(UserReply::known(id, status));
            }
            match self.write_cancellation(id).await? {
                Cancellation::Ended(TransactionOutcome::Committed(_)) => {
                    return Ok(UserReply::new(200, users::short(id, "withdrawn")));
                }
                // The record has changed: look again.
                Cancellation::Ended(TransactionOutcome::Conflict(_)) => continue,
                Cancellation::Ended(_) => return Err(Unavailable),
                Cancellation::Requested => {
                    let reason = "the cell that has the job is asked to give it up; come back";
                    return Ok(UserReply::error(503, reason));
                }
            }
        }
        Err(Unavailable)
    }

    /// Cancelled and done are both written on condition of the record's revision: one of them wins and
    /// stays.
    pub async fn write_cancellation(&self, id: &str) -> Result<Cancellation, Unavailable> {
        let entry = self.controller().records().jobs.get(id).cloned();
        let entry = entry.ok_or(Unavailable)?;
        let (record, confirms) = match entry.record.cancel_step() {
            CancelStep::Confirm(record) => (record, true),
            CancelStep::Request(record) => (record, false),
            CancelStep::Await => return Ok(Cancellation::Requested),
        };
        let key = records::job_key(id);
        let value = self.cancelled_record(record).ok_or(Unavailable)?;
        let preconditions = [Precondition::new(key.clone(), entry.rev)];
        let write = Write {
            key: key.clone(),
            value: Some(value.clone()),
        };
        let outcome = self
            .store
            .txn(&preconditions, &[write], None, CANCEL_TIMEOUT)
            .await;
        if let TransactionOutcome::Committed(revision) = outcome {
            // Known here before the user is told: a leader without the state service asks for it.
            self.apply_own_write(&key, &value, revision);
            if !confirms {
                tracing::info!(
                    "{id} is to be cancelled, once the cell that has it has given it up"
                );
                return Ok(Cancellation::Requested);
            }
            tracing::info!("{id} is cancelled");
        }
        Ok(Cancellation::Ended(outcome))
    }

    fn cancelled_record(&self, mut record: JobRecord) -> Option<String> {
        let value = serde_json::to_string(&record).ok()?;
        if value.len() <= self.settings.store.max_value_bytes {
            return Some(value);
        }
        // Stored when the store took more. Its leader only needs to know what its tasks take.
        record.shorten();
        serde_json::to_string(&record).ok()
    }

    async fn submit(&self, body: &[u8]) -> Result<UserReply, Unavailable> {
        let value: Value = match serde_json::from_slice(body) {
            Ok(value) => value,
            Err(error) => return Ok(UserReply::error(400, format!("not JSON: {error}"))),
        };
        let id = match users::id_of(&value) {
            Ok(id) => id.to_owned(),
            Err(error) => return Ok(UserReply::error(400, error)),
        };
        if self.status_in_memory(&id).is_some() {
            let status = self.status(&id).await?.ok_or(Unavailable)?;
            return Ok(UserReply::known(&id, status));
        }
        match self.check_submission(&id, &value).await? {
            Ok(spec) => self.create(&id, spec).await,
            // A job that was accepted is known for ever, whatever its repetition looks like.
            Err(refusal) => Ok(match self.status(&id).await? {
                Some(status) => UserReply::known(&id, status),
                None => refusal,
            }),
        }
    }

    async fn check_submission(
        &self,
        id: &str,
        body: &Value,
    ) -> Result<Result<JobSpec, UserReply>, Unavailable> {
        let spec = match users::submission(body) {
            Ok(spec) => spec,
            Err(error) => return Ok(Err(UserReply::error(400, error))),
        };
        let catalog = self.controller().catalog().cloned().ok_or(Unavailable)?;
        if let Err(never) = spec.can_ever_run(&catalog, &self.settings.teams) {
            return Ok(Err(UserReply::error(422, never)));
        }
        if let Some(refusal) = self.check_dependencies(id, &spec).await? {
            return Ok(Err(refusal));
        }
        Ok(Ok(spec))
    }

    /// Why the jobs that this one waits on cannot be waited on. A name that is not known here is looked
    /// for in records as new as the request.
    async fn check_dependencies(
        &self,
        id: &str,
        spec: &JobSpec,
    ) -> Result<Option<UserReply>, Unavailable> {
        if self.unknown_dependency(spec).is_some() && !self.fresh().await {
            return Err(Unavailable);
        }
        if let Some(name) = self.unknown_dependency(spec) {
            let reason = format!("field `waits_on` names {name}, which was never accepted");
            return Ok(Some(UserReply::error(422, reason)));
        }
        let Some(name) = self.service_dependency(spec) else {
            return Ok(None);
        };
        tracing::info!("{id} is refused: {name} is a service");
        let reason = format!("field `waits_on` names {name}, a service, which is never done");
        Ok(Some(UserReply::error(422, reason)))
    }

    fn unknown_dependency(&self, spec: &JobSpec) -> Option<String> {
        let controller = self.controller();
        let jobs = &controller.records().jobs;
        let unknown = spec
            .dependencies
            .iter()
            .find(|name| !jobs.contains_key(*name));
        unknown.cloned()
    }

    fn service_dependency(&self, spec: &JobSpec) -> Option<String> {
        let controller = self.controller();
        let jobs = &controller.records().jobs;
        let is_service = |name: &&String| {
            let spec = jobs.get(*name).and_then(|e| e.record.spec.as_ref());
            spec.is_some_and(|s| s.kind == JobKind::Service)
        };
        spec.dependencies.iter().find(is_service).cloned()
    }

    async fn create(&self, id: &str, spec: JobSpec) -> Result<UserReply, Unavailable> {
        let key = records::job_key(id);
        let record = JobRecord::accepted(self.clock.wall(), Arc::new(spec));
        let value = serde_json::to_string(&record).map_err(|_| Unavailable)?;
        if value.len() > self.settings.store.max_value_bytes {
            return Ok(UserReply::error(400, "the description is too long"));
        }
        let preconditions = [Precondition::new(key.clone(), 0)];
        let write = Write {
            key,
            value: Some(value),
        };
        match self
            .store
            .txn(&preconditions, &[write], None, SUBMIT_TIMEOUT)
            .await
        {
            TransactionOutcome::Committed(_) => {
                tracing::debug!("{id} is accepted");
                Ok(UserReply::new(201, users::short(id, "pending")))
            }
            TransactionOutcome::Conflict(_) => {
                let status = self.status(id).await?.ok_or(Unavailable)?;
                Ok(UserReply::known(id, status))
            }
            _ => Err(Unavailable),
        }
    }
}

#[cfg(test)]
mod tests;
