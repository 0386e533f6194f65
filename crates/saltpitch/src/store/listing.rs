//! A listing of all records, which continues where it stopped when a request of it fails.

use std::collections::BTreeSet;
use std::time::Duration;

use saltpitch_core::records::{job_id, job_key, JobRead, RecordCache, RecordChange, RecordError};
use saltpitch_core::Micros;

use super::{ReadError, StoreClient};
use crate::clock::Clock;

/// How often a listing under way reads the changes since its last read of them. The state service keeps a bounded
/// history, and a long listing would otherwise end at a revision that is older than the history.
const CATCH_UP_INTERVAL: Micros = Micros::from_secs(10);
/// After this many consecutive reads of the changes that got no readable response, there may be too many changes for
/// one response.
const MAX_UNANSWERED_CATCH_UPS: u32 = 5;

/// Why a listing stopped before its end.
#[derive(Debug, thiserror::Error)]
pub enum ListingError {
    /// A request failed. The listing keeps what it has read and can continue.
    #[error("{0}")]
    Interrupted(ReadError),
    /// The changes since the pages that were read can no longer be read: a new listing is needed.
    #[error("its changes cannot be read any more: {0}")]
    Outdated(ReadError),
}

/// The records that a listing has read so far. It keeps no more of the ended jobs than the copy of the records that it
/// will replace.
pub struct Listing {
    clock: Clock,
    started_at: Micros,
    /// The copy of the records. It is complete up to `records.revision` once all pages are read.
    records: RecordCache,
    /// The last key that was read; empty before the first page.
    last_key: String,
    has_all_pages: bool,
    page_count: u32,
    record_count: usize,
    caught_up_at: Micros,
    unanswered_catch_ups: u32,
    /// The records of ended jobs that were read by their keys because they are needed and not kept.
    job_reads: Vec<JobRead>,
    report_unreadable: ReportUnreadable,
}

/// Reports the key of a record that is skipped because it cannot be read, and the reason.
pub type ReportUnreadable = fn(&str, &RecordError);

impl Listing {
    /// Creates a listing that has read nothing yet and keeps up to `max_ended_jobs` recently ended jobs.
    pub fn new(
        clock: Clock,
        max_ended_jobs: usize,
        report_unreadable: ReportUnreadable,
    ) -> Listing {
        let now = clock.now();
        Listing {
            clock,
            started_at: now,
            records: RecordCache::new(max_ended_jobs),
            last_key: String::new(),
            has_all_pages: false,
            page_count: 0,
            record_count: 0,
            caught_up_at: now,
            unanswered_catch_ups: 0,
            job_reads: Vec::new(),
            report_unreadable,
        }
    }

    /// Returns the number of pages read so far.
    pub fn page_count(&self) -> u32 {
        self.page_count
    }

    /// Returns the number of records read so far.
    pub fn record_count(&self) -> usize {
        self.record_count
    }

    /// Returns the time since the listing began.
    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.clock.now().since(self.started_at).0)
    }

    /// Returns the records read so far.
    pub fn records(&self) -> &RecordCache {
        &self.records
    }

    /// Returns the records of ended jobs that were read by their keys.
    pub fn job_reads(&self) -> &[JobRead] {
        &self.job_reads
    }

    /// Returns the records. They are complete once [`Listing::read_to_end`] has succeeded.
    pub fn into_records(mut self) -> RecordCache {
        for read in &self.job_reads {
            if let Err(error) = self.records.put_job_read(read) {
                (self.report_unreadable)(&job_key(&read.id), &error);
            }
        }
        self.records
    }

    /// Reads the records of ended jobs by their keys.
    pub async fn read_jobs(
        &mut self,
        store: &StoreClient,
        ids: &BTreeSet<String>,
    ) -> Result<(), ListingError> {
        for id in ids {
            let read = store.read_job(id).await;
            self.job_reads
                .push(read.map_err(ListingError::Interrupted)?);
        }
        Ok(())
    }

    /// Reads the pages that are left and then the changes that were made meanwhile. After an error, the next call
    /// continues with the request that failed.
    pub async fn read_to_end(&mut self, store: &StoreClient) -> Result<(), ListingError> {
        while !self.has_all_pages {
            self.read_page(store).await?;
            if self.clock.now().since(self.caught_up_at) >= CATCH_UP_INTERVAL {
                self.catch_up(store).await?;
            }
        }
        self.catch_up(store).await
    }

    async fn read_page(&mut self, store: &StoreClient) -> Result<(), ListingError> {
        let page = store
            .list_page(&self.last_key)
            .await
            .map_err(ListingError::Interrupted)?;
        if self.page_count == 0 {
            // Later pages may be newer. The changes are read from the first page's revision on.
            self.records.revision = page.revision;
        }
        self.page_count += 1;
        self.record_count += page.records.len();
        self.has_all_pages = !page.has_next || page.records.is_empty();
        if let Some(last) = page.records.last() {
            self.last_key.clone_from(&last.key);
        }
        for record in &page.records {
            self.apply(record);
        }
        self.records.trim_listing();
        Ok(())
    }

    /// Reads and applies the changes since the revision up to which all changes are known.
    async fn catch_up(&mut self, store: &StoreClient) -> Result<(), ListingError> {
        let changes = match store.watch(self.records.revision, Duration::ZERO).await {
            Ok(changes) => changes,
            Err(error) => return Err(self.catch_up_error(error)),
        };
        for change in &changes.changes {
            self.apply(change);
        }
        self.records.revision = self.records.revision.max(changes.revision);
        self.records.trim_listing();
        self.caught_up_at = self.clock.now();
        self.unanswered_catch_ups = 0;
        Ok(())
    }

    fn catch_up_error(&mut self, error: ReadError) -> ListingError {
        match error {
            ReadError::RevisionTooOld => return ListingError::Outdated(error),
            ReadError::NoResponse(_) | ReadError::Unreadable(_) => self.unanswered_catch_ups += 1,
            ReadError::OverBudget | ReadError::Status(_) | ReadError::NotCompared(_) => {
                self.unanswered_catch_ups = 0;
            }
        }
        if self.unanswered_catch_ups >= MAX_UNANSWERED_CATCH_UPS {
            return ListingError::Outdated(error);
        }
        ListingError::Interrupted(error)
    }

    fn apply(&mut self, change: &RecordChange) {
        let Some(value) = &change.value else {
            self.records.delete(&change.key, change.revision);
            return;
        };
        if let Err(error) = self.records.put(&change.key, value, change.revision) {
            if job_id(&change.key).is_some() {
                self.records.unreadable_job_found();
            }
            (self.report_unreadable)(&change.key, &error);
        }
    }
}

#[cfg(test)]
mod tests;
