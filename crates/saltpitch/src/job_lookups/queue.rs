//! The order in which waiting lookups are sent, and the outcomes that are kept.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;

use saltpitch_core::job::JobState;
use tokio::sync::watch;

use super::{JobLookup, LookupError};

/// The maximum number of jobs that wait to be looked up.
const MAX_WAITING: usize = 1_024;
/// The maximum number of ended jobs whose outcomes are kept after a lookup.
const MAX_FOUND: usize = 4_096;

type LookupResult = Result<JobLookup, LookupError>;

/// The next request to send.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum LookupRequest {
    /// Read the record of this job.
    Read(Arc<str>),
    /// Find out which of these jobs were accepted.
    Compare(Vec<Arc<str>>),
}

/// A lookup that waits for its result.
pub(super) struct WaitingLookup {
    /// Receives the result.
    pub(super) result: watch::Receiver<Option<LookupResult>>,
    /// Whether the request had been sent before this lookup joined it.
    pub(super) was_sent: bool,
}

struct Lookup {
    result: watch::Sender<Option<LookupResult>>,
    is_sent: bool,
}

/// The lookups by job.
pub(super) struct LookupQueue {
    max_comparisons: usize,
    lookups: HashMap<Arc<str>, Lookup>,
    /// Jobs of which it is not known whether they were accepted.
    unknown: VecDeque<Arc<str>>,
    /// Jobs that were accepted and whose records have to be read.
    accepted: VecDeque<Arc<str>>,
    /// Whether the last request was a comparison. Comparisons and reads take turns while both wait.
    has_just_compared: bool,
    found: HashMap<Arc<str>, JobState>,
    found_order: VecDeque<Arc<str>>,
}

impl LookupQueue {
    /// Creates an empty queue. One request may compare `max_comparisons` jobs.
    pub(super) fn new(max_comparisons: usize) -> LookupQueue {
        LookupQueue {
            max_comparisons: max_comparisons.max(1),
            lookups: HashMap::new(),
            unknown: VecDeque::new(),
            accepted: VecDeque::new(),
            has_just_compared: false,
            found: HashMap::new(),
            found_order: VecDeque::new(),
        }
    }

    /// Joins the lookup of a job, or begins one.
    pub(super) fn join(&mut self, id: &str) -> Result<WaitingLookup, LookupError> {
        if let Some(state) = self.found.get(id) {
            let ended = Some(Ok(JobLookup::Ended(*state)));
            let (_, result) = watch::channel(ended);
            return Ok(WaitingLookup {
                result,
                was_sent: false,
            });
        }
        if let Some(lookup) = self.lookups.get(id) {
            return Ok(WaitingLookup {
                result: lookup.result.subscribe(),
                was_sent: lookup.is_sent,
            });
        }
        if self.lookups.len() >= MAX_WAITING {
            return Err(LookupError::Overloaded);
        }
        let (sender, result) = watch::channel(None);
        let lookup = Lookup {
            result: sender,
            is_sent: false,
        };
        let id: Arc<str> = id.into();
        self.lookups.insert(id.clone(), lookup);
        self.unknown.push_back(id);
        Ok(WaitingLookup {
            result,
            was_sent: false,
        })
    }

    /// Returns the next request to send, if a lookup waits. Several jobs are compared first, since one request is
    /// enough for those that nobody submitted.
    pub(super) fn next_request(&mut self) -> Option<LookupRequest> {
        let is_turn_of_reads = self.has_just_compared && !self.accepted.is_empty();
        self.has_just_compared = self.unknown.len() > 1 && !is_turn_of_reads;
        if self.has_just_compared {
            let count = self.unknown.len().min(self.max_comparisons);
            let ids: Vec<Arc<str>> = self.unknown.drain(..count).collect();
            self.mark_sent(&ids);
            return Some(LookupRequest::Compare(ids));
        }
        let id = self
            .accepted
            .pop_front()
            .or_else(|| self.unknown.pop_front())?;
        self.mark_sent(std::slice::from_ref(&id));
        Some(LookupRequest::Read(id))
    }

    fn mark_sent(&mut self, ids: &[Arc<str>]) {
        for id in ids {
            if let Some(lookup) = self.lookups.get_mut(id) {
                lookup.is_sent = true;
            }
        }
    }

    /// Handles the outcome of a comparison: `accepted` are the jobs that were accepted. If there are any, the others
    /// are compared again.
    pub(super) fn compared(&mut self, ids: &[Arc<str>], accepted: &[Arc<str>]) {
        if accepted.is_empty() {
            for id in ids {
                self.finish(id, Ok(JobLookup::NeverAccepted));
            }
            return;
        }
        for id in ids.iter().rev().filter(|id| !accepted.contains(id)) {
            self.unknown.push_front(id.clone());
        }
        self.accepted.extend(accepted.iter().cloned());
        for id in ids {
            if let Some(lookup) = self.lookups.get_mut(id) {
                lookup.is_sent = false;
            }
        }
    }

    /// Handles the result of a job's lookup.
    pub(super) fn finish(&mut self, id: &str, result: LookupResult) {
        if let Some((id, lookup)) = self.lookups.remove_entry(id) {
            lookup.result.send_replace(Some(result));
            if let Ok(JobLookup::Ended(state)) = result {
                self.keep(id, state);
            }
        }
    }

    /// Fails all lookups that wait.
    pub(super) fn fail_all(&mut self) {
        self.unknown.clear();
        self.accepted.clear();
        for (_, lookup) in self.lookups.drain() {
            let failure = Err(LookupError::Unavailable);
            lookup.result.send_replace(Some(failure));
        }
    }

    fn keep(&mut self, id: Arc<str>, state: JobState) {
        if self.found.insert(id.clone(), state).is_none() {
            self.found_order.push_back(id);
        }
        if self.found_order.len() > MAX_FOUND {
            if let Some(oldest) = self.found_order.pop_front() {
                self.found.remove(&oldest);
            }
        }
    }
}
