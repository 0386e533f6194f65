//! A listing of all records, which continues where it stopped when a request of it fails.

use std::collections::BTreeSet;
use std::time::Duration;

use saltpitch_core::records::{RecordCache, RecordListing, UnreadableRecord};
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

/// A listing under way, and the requests that it still needs.
pub struct Listing {
    clock: Clock,
    started_at: Micros,
    records: RecordListing,
    caught_up_at: Micros,
    unanswered_catch_ups: u32,
    report_unreadable: ReportUnreadable,
}

/// Reports a record that is skipped because it cannot be read.
pub type ReportUnreadable = fn(&UnreadableRecord);

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
            records: RecordListing::new(max_ended_jobs),
            caught_up_at: now,
            unanswered_catch_ups: 0,
            report_unreadable,
        }
    }

    /// Returns the number of pages read so far.
    pub fn page_count(&self) -> u32 {
        self.records.page_count()
    }

    /// Returns the number of records read so far.
    pub fn record_count(&self) -> usize {
        self.records.record_count()
    }

    /// Returns the time since the listing began.
    pub fn elapsed(&self) -> Duration {
        Duration::from_micros(self.clock.now().since(self.started_at).0)
    }

    /// Returns what was read so far.
    pub fn records(&mut self) -> &mut RecordListing {
        &mut self.records
    }

    /// Returns the records. They are complete once [`Listing::read_to_end`] has succeeded.
    pub fn into_records(self) -> RecordCache {
        self.records.into_records()
    }

    /// Reads the records of ended jobs by their keys.
    pub async fn read_jobs(
        &mut self,
        store: &StoreClient,
        ids: &BTreeSet<String>,
    ) -> Result<(), ListingError> {
        for id in ids {
            let read = store.read_job(id).await;
            let read = read.map_err(ListingError::Interrupted)?;
            let unreadable = self.records.job_read(read);
            self.report(unreadable);
        }
        Ok(())
    }

    /// Reads the pages that are left and then the changes that were made meanwhile. After an error, the next call
    /// continues with the request that failed.
    pub async fn read_to_end(&mut self, store: &StoreClient) -> Result<(), ListingError> {
        while let Some(last_key) = self.records.next_page() {
            let page = store.list_page(last_key).await;
            let page = page.map_err(ListingError::Interrupted)?;
            let unreadable = self.records.page_read(&page);
            self.report(unreadable);
            if self.clock.now().since(self.caught_up_at) >= CATCH_UP_INTERVAL {
                self.catch_up(store).await?;
            }
        }
        self.catch_up(store).await
    }

    /// Reads and applies the changes since the revision up to which all changes are known.
    async fn catch_up(&mut self, store: &StoreClient) -> Result<(), ListingError> {
        let from_revision = self.records.known_revision();
        let changes = match store.watch(from_revision, Duration::ZERO).await {
            Ok(changes) => changes,
            Err(error) => return Err(self.catch_up_error(error)),
        };
        let unreadable = self.records.changes_read(&changes);
        self.report(unreadable);
        self.caught_up_at = self.clock.now();
        self.unanswered_catch_ups = 0;
        Ok(())
    }

    fn catch_up_error(&mut self, error: ReadError) -> ListingError {
        match error {
            ReadError::RevisionTooOld => return ListingError::Outdated(error),
            ReadError::NoResponse(_) | ReadError::Unreadable(_) => self.unanswered_catch_ups += 1,
            ReadError::OverBudget
            | ReadError::Status(_)
            | ReadError::NotCompared(_)
            | ReadError::NotApplied(_) => self.unanswered_catch_ups = 0,
        }
        if self.unanswered_catch_ups >= MAX_UNANSWERED_CATCH_UPS {
            return ListingError::Outdated(error);
        }
        ListingError::Interrupted(error)
    }

    fn report(&self, unreadable: impl IntoIterator<Item = UnreadableRecord>) {
        for record in unreadable {
            (self.report_unreadable)(&record);
        }
    }
}

#[cfg(test)]
mod tests;
