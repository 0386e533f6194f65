//! Reads the records of jobs that are not in memory: jobs that ended long ago, and jobs that nobody submitted.
//!
//! One task sends the requests, within this controller's share of the state service's request rate and after the
//! requests that must not be delayed. Everybody who asks about the same job waits for the same read.

mod queue;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use saltpitch_core::job::JobState;
use saltpitch_core::records::{job_key, JobRead, JobRecord};
use tokio::sync::Notify;

use self::queue::{LookupQueue, LookupRequest, WaitingLookup};
use crate::mutex::lock;
use crate::node::Node;
use crate::store::ReadError;

/// How long a lookup may take. Users wait 2 s for an answer.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The fraction of an equal share of the state service's request rate that lookups use.
const LOOKUP_SHARE: f64 = 0.5;
/// How often a lookup is repeated that joined a request which had been sent already.
const MAX_JOINED_REQUESTS: u32 = 3;

/// What the state service has on a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JobLookup {
    /// The job has ended in this state.
    Ended(JobState),
    /// The job was accepted and has no final record yet.
    Live,
    /// The job was never accepted.
    NeverAccepted,
}

/// Why a job could not be looked up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LookupError {
    /// Too many jobs are being looked up; the user may retry.
    #[error("too many lookups are waiting")]
    Overloaded,
    /// The state service did not answer, or the record cannot be read.
    #[error("the job's record cannot be read now")]
    Unavailable,
}

/// The lookups that wait, and the outcomes of earlier ones.
pub struct JobLookups {
    queue: Mutex<LookupQueue>,
    requested: Notify,
}

impl JobLookups {
    /// Creates an empty queue. A transaction may compare the revisions of `max_comparisons` keys.
    pub fn new(max_comparisons: usize) -> JobLookups {
        JobLookups {
            queue: Mutex::new(LookupQueue::new(max_comparisons)),
            requested: Notify::new(),
        }
    }

    /// Looks a job up in the state service. The answer is at least as new as this call.
    pub async fn find(&self, id: &str) -> Result<JobLookup, LookupError> {
        let find = self.find_without_limit(id);
        let result = tokio::time::timeout(LOOKUP_TIMEOUT, find).await;
        result.unwrap_or(Err(LookupError::Overloaded))
    }

    /// Requests lookups of jobs whose outcomes are needed soon, so that they share requests.
    pub fn prepare<'a>(&self, ids: impl Iterator<Item = &'a str>) {
        let mut queue = lock(&self.queue);
        for id in ids {
            // A lookup that finds no place now is requested again by `find`.
            let _ = queue.join(id);
        }
        self.requested.notify_one();
    }

    async fn find_without_limit(&self, id: &str) -> Result<JobLookup, LookupError> {
        let mut outcome = JobLookup::NeverAccepted;
        for _ in 0..MAX_JOINED_REQUESTS {
            let WaitingLookup {
                mut result,
                was_sent,
            } = lock(&self.queue).join(id)?;
            self.requested.notify_one();
            let received = result.wait_for(Option::is_some).await;
            let received = received.map_err(|_| LookupError::Unavailable)?;
            outcome = received.unwrap_or(Err(LookupError::Unavailable))?;
            // A request that was sent before this call may be older than the job's submission.
            if !was_sent || matches!(outcome, JobLookup::Ended(_)) {
                return Ok(outcome);
            }
        }
        match outcome {
            JobLookup::NeverAccepted => Err(LookupError::Overloaded),
            JobLookup::Live | JobLookup::Ended(_) => Ok(outcome),
        }
    }
}

/// Sends the requests of waiting lookups, one at a time. Never returns.
pub async fn serve_job_lookups(node: Arc<Node>) {
    let lookups = &node.job_lookups;
    loop {
        let request = lock(&lookups.queue).next_request();
        let Some(request) = request else {
            lookups.requested.notified().await;
            continue;
        };
        send_request(&node, request).await;
        tokio::time::sleep(node.store.pace(LOOKUP_SHARE)).await;
    }
}

async fn send_request(node: &Node, request: LookupRequest) {
    let lookups = &node.job_lookups;
    match request {
        LookupRequest::Read(id) => match node.store.read_job(&id).await {
            Ok(read) => lock(&lookups.queue).finish(&id, job_lookup(&read)),
            Err(error) => lookups.fail_all(&error),
        },
        LookupRequest::Compare(ids) => match node.store.find_accepted_jobs(&ids).await {
            Ok(accepted) => lock(&lookups.queue).compared(&ids, &accepted),
            Err(error) => lookups.fail_all(&error),
        },
    }
}

impl JobLookups {
    /// Fails everything that waits, so that the questions are passed on to a controller that reaches the state
    /// service.
    fn fail_all(&self, error: &ReadError) {
        tracing::debug!("store: lookups of jobs failed: {error}");
        lock(&self.queue).fail_all();
    }
}

/// Returns what a job's record says. An unreadable one is logged.
fn job_lookup(read: &JobRead) -> Result<JobLookup, LookupError> {
    let Some((record, _)) = &read.record else {
        return Ok(JobLookup::NeverAccepted);
    };
    match serde_json::from_str::<JobRecord>(record.get()) {
        Ok(record) if record.is_final() => Ok(JobLookup::Ended(record.state)),
        Ok(_) => Ok(JobLookup::Live),
        Err(error) => {
            let key = job_key(&read.id);
            tracing::error!("record {key} is unreadable, questions about the job fail: {error}");
            Err(LookupError::Unavailable)
        }
    }
}

#[cfg(test)]
mod tests;
