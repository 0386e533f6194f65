//! Reads of the records: pages of a listing, and watches.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use hyper::Method;
use saltpitch_core::controller::MissingChanges;
use saltpitch_core::records::{job_id, job_key, JobRead, RecordChanges, RecordPage, PREFIX};
use saltpitch_core::scheduler::{Precondition, Transaction, TransactionOutcome};

use super::StoreClient;
use crate::http::{CallError, Reply};
use crate::wire::store as wire;
use crate::wire::DecodeError;

/// The number of records requested per page of a listing.
const PAGE_SIZE: usize = 1_000;
const JOB_READ_TIMEOUT: Duration = Duration::from_millis(800);
const LIST_TIMEOUT: Duration = Duration::from_secs(3);
/// The time that the response to a watch may take beyond the time for which the service may hold it
/// open.
const WATCH_GRACE: Duration = Duration::from_millis(1_500);

/// Why records or changes could not be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// This controller's request budget is exhausted; nothing was sent.
    #[error("the request budget is exhausted")]
    OverBudget,
    /// The request was not sent, or there was no response in time.
    #[error("no response ({0:?})")]
    NoResponse(CallError),
    /// The service responded with an error, for example 429 above its rate limit.
    #[error("status {0}")]
    Status(u16),
    /// The revision is older than the service's history, so all records must be listed again.
    #[error("the revision is older than the history of changes")]
    RevisionTooOld,
    /// A transaction that only compares had this outcome.
    #[error("the comparison had the outcome {0:?}")]
    NotCompared(TransactionOutcome),
    /// The changes were read, and the copy of the records lacks changes before them.
    #[error("not applied: {0}")]
    NotApplied(#[from] MissingChanges),
    /// The response cannot be decoded.
    #[error("unreadable response: {0}")]
    Unreadable(#[from] DecodeError),
}

impl StoreClient {
    /// Reads the page of records that follow the key `after`, or the first page if `after` is empty. All records
    /// together may exceed the memory of this process. A page waits for the request budget, part of which it
    /// leaves to other requests.
    pub async fn list_page(&self, after: &str) -> Result<RecordPage, ReadError> {
        self.background_request().await;
        let path = if after.is_empty() {
            format!("/store?starts={PREFIX}&page={PAGE_SIZE}")
        } else {
            format!("/store?starts={PREFIX}&from={after}&page={PAGE_SIZE}")
        };
        let reply = self
            .call(Method::GET, &path, Vec::new(), LIST_TIMEOUT)
            .await
            .map_err(ReadError::NoResponse)?;
        match reply.status {
            200 => Ok(wire::decode_page(&reply.body)?),
            status => Err(ReadError::Status(status)),
        }
    }

    /// Reads the record of a job by its key. The read waits for the request budget, part of which it leaves to other
    /// requests.
    pub async fn read_job(&self, id: &str) -> Result<JobRead, ReadError> {
        self.background_request().await;
        let path = format!("/store/{}", job_key(id));
        let reply = self
            .call(Method::GET, &path, Vec::new(), JOB_READ_TIMEOUT)
            .await
            .map_err(ReadError::NoResponse)?;
        let record = match reply.status {
            200 => Some(wire::decode_record(&reply.body)?),
            404 => None,
            status => return Err(ReadError::Status(status)),
        };
        Ok(JobRead {
            id: id.to_owned(),
            record,
        })
    }

    /// Returns those of the jobs that were accepted, or at least one of them if there are any, by a transaction that
    /// writes nothing and requires that none of the records exists. It waits for the request budget like
    /// [`StoreClient::read_job`].
    pub async fn find_accepted_jobs(&self, ids: &[Arc<str>]) -> Result<Vec<Arc<str>>, ReadError> {
        self.background_request().await;
        let preconditions = ids.iter().map(|id| Precondition::new(job_key(id), 0));
        let transaction = Transaction {
            preconditions: preconditions.collect(),
            writes: Vec::new(),
        };
        let outcome = self
            .send_transaction(&transaction, None, JOB_READ_TIMEOUT)
            .await;
        let existing_keys = match outcome {
            TransactionOutcome::Committed(_) => return Ok(Vec::new()),
            TransactionOutcome::Conflict(keys) => keys,
            outcome => return Err(ReadError::NotCompared(outcome)),
        };
        let existing: HashSet<&str> = existing_keys.iter().filter_map(|key| job_id(key)).collect();
        let accepted = ids.iter().filter(|id| existing.contains(&***id));
        let accepted: Vec<Arc<str>> = accepted.cloned().collect();
        if accepted.is_empty() {
            return Err(ReadError::NotCompared(TransactionOutcome::Conflict(
                existing_keys,
            )));
        }
        Ok(accepted)
    }

    /// Reads the changes after a revision, and waits up to `wait` for the first one. The caller must
    /// pace watches that wait, since they are sent even if the request budget is exhausted. A watch with a `wait`
    /// of zero is sent once the budget allows it.
    pub async fn watch(&self, from: u64, wait: Duration) -> Result<RecordChanges, ReadError> {
        if !wait.is_zero() {
            self.spend_request();
        } else if !self.wait_for_request().await {
            return Err(ReadError::OverBudget);
        }
        let wait_ms = wait.as_millis();
        let path = format!("/watch?starts={PREFIX}&from={from}&wait_ms={wait_ms}");
        let reply = self
            .call(Method::GET, &path, Vec::new(), wait + WATCH_GRACE)
            .await
            .map_err(ReadError::NoResponse)?;
        match reply.status {
            200 => decode_changes(&reply),
            410 => Err(ReadError::RevisionTooOld),
            status => Err(ReadError::Status(status)),
        }
    }
}

fn decode_changes(reply: &Reply) -> Result<RecordChanges, ReadError> {
    wire::decode_changes(&reply.body).map_err(|error| {
        tracing::error!("store: unreadable changes, treating the watch as failed: {error}");
        ReadError::Unreadable(error)
    })
}
