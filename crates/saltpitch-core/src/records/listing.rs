//! A listing of all records, page by page, without input or output.
//!
//! The caller sends the requests: the pages, as [`RecordListing::next_page`] names them, and reads of the changes since
//! [`RecordListing::known_revision`]. The records are complete once the changes are read after the last page.

use super::{job_id, job_key, JobRead, RecordCache, RecordChange, RecordError};

/// One page of a listing.
#[derive(Clone, Debug)]
pub struct RecordPage {
    /// The records, in the order of their keys.
    pub records: Vec<RecordChange>,
    /// Whether there is another page.
    pub has_next: bool,
    /// The revision at which the page was read.
    pub revision: u64,
}

/// The changes of records after a revision.
#[derive(Clone, Debug)]
pub struct RecordChanges {
    /// The changes, in the order in which they were made.
    pub changes: Vec<RecordChange>,
    /// The revision up to which the changes are complete.
    pub revision: u64,
}

/// A record that is skipped because it cannot be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnreadableRecord {
    /// The record's key.
    pub key: String,
    /// Why it cannot be read.
    pub error: RecordError,
}

/// The records that a listing has read so far. It keeps no more of the ended jobs than the copy of the records that it
/// may replace.
#[derive(Debug)]
pub struct RecordListing {
    pub(crate) records: RecordCache,
    /// The last key that was read; empty before the first page.
    last_key: String,
    has_all_pages: bool,
    page_count: u32,
    record_count: usize,
    /// The records of ended jobs that were read by their keys because they are needed and not kept.
    job_reads: Vec<JobRead>,
}

impl RecordListing {
    /// Creates a listing that has read nothing yet and keeps up to `max_ended_jobs` recently ended jobs.
    pub fn new(max_ended_jobs: usize) -> RecordListing {
        RecordListing {
            records: RecordCache::new(max_ended_jobs),
            last_key: String::new(),
            has_all_pages: false,
            page_count: 0,
            record_count: 0,
            job_reads: Vec::new(),
        }
    }

    /// Returns the key after which the next page begins, or `None` if all pages are read.
    pub fn next_page(&self) -> Option<&str> {
        (!self.has_all_pages).then_some(&self.last_key)
    }

    /// Returns the revision up to which all changes are known, apart from the pages that are still to come.
    pub fn known_revision(&self) -> u64 {
        self.records.revision()
    }

    /// Returns the number of pages read so far.
    pub fn page_count(&self) -> u32 {
        self.page_count
    }

    /// Returns the number of records read so far.
    pub fn record_count(&self) -> usize {
        self.record_count
    }

    /// Returns the records read so far.
    pub fn records(&self) -> &RecordCache {
        &self.records
    }

    /// Returns the records of ended jobs that were read by their keys.
    pub fn job_reads(&self) -> &[JobRead] {
        &self.job_reads
    }

    /// Returns the records read so far.
    pub fn into_records(self) -> RecordCache {
        self.records
    }

    /// Adds the page that follows [`RecordListing::next_page`]. Returns the records that cannot be read.
    pub fn page_read(&mut self, page: &RecordPage) -> Vec<UnreadableRecord> {
        if self.page_count == 0 {
            // Later pages may be newer. The changes are read from the first page's revision on.
            self.records.advance_to(page.revision);
        }
        self.page_count += 1;
        self.record_count += page.records.len();
        self.has_all_pages = !page.has_next || page.records.is_empty();
        if let Some(last) = page.records.last() {
            self.last_key.clone_from(&last.key);
        }
        self.apply(&page.records)
    }

    /// Adds the changes since [`RecordListing::known_revision`]. Returns the records that cannot be read.
    pub fn changes_read(&mut self, changes: &RecordChanges) -> Vec<UnreadableRecord> {
        let unreadable = self.apply(&changes.changes);
        self.records.advance_to(changes.revision);
        self.records.trim_listing();
        unreadable
    }

    /// Adds the record of a job that was read by its key. Returns it if it cannot be read.
    pub fn job_read(&mut self, read: JobRead) -> Option<UnreadableRecord> {
        let error = self.records.put_job_read(&read).err();
        let key = job_key(&read.id);
        self.job_reads.push(read);
        error.map(|error| UnreadableRecord { key, error })
    }

    fn apply(&mut self, changes: &[RecordChange]) -> Vec<UnreadableRecord> {
        let unreadable = changes.iter().filter_map(|change| self.apply_one(change));
        let unreadable = unreadable.collect();
        self.records.trim_listing();
        unreadable
    }

    fn apply_one(&mut self, change: &RecordChange) -> Option<UnreadableRecord> {
        let Some(value) = &change.value else {
            self.records.delete(&change.key, change.revision);
            return None;
        };
        let error = self
            .records
            .put(&change.key, value, change.revision)
            .err()?;
        if job_id(&change.key).is_some() {
            self.records.unreadable_job_found();
        }
        Some(UnreadableRecord {
            key: change.key.clone(),
            error,
        })
    }
}
