//! Reads of the records: pages of a listing, and watches.

use std::time::Duration;

use hyper::Method;
use saltpitch_core::records::PREFIX;

use super::StoreClient;
use crate::http::{CallError, Reply};
use crate::wire::store::{self as wire, Changes, Page};
use crate::wire::DecodeError;

/// The number of records requested per page of a listing.
const PAGE_SIZE: usize = 1_000;
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
    /// The response cannot be decoded.
    #[error("unreadable response: {0}")]
    Unreadable(#[from] DecodeError),
}

impl StoreClient {
    /// Reads the page of records that follow the key `after`, or the first page if `after` is empty. All records
    /// together may exceed the memory of this process. A page waits for the request budget, part of which it
    /// leaves to other requests.
    pub async fn list_page(&self, after: &str) -> Result<Page, ReadError> {
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

    /// Reads the changes after a revision, and waits up to `wait` for the first one. The caller must
    /// pace watches that wait, since they are sent even if the request budget is exhausted. A watch with a `wait`
    /// of zero is sent once the budget allows it.
    pub async fn watch(&self, from: u64, wait: Duration) -> Result<Changes, ReadError> {
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

fn decode_changes(reply: &Reply) -> Result<Changes, ReadError> {
    wire::decode_changes(&reply.body).map_err(|error| {
        tracing::error!("store: unreadable changes, treating the watch as failed: {error}");
        ReadError::Unreadable(error)
    })
}
