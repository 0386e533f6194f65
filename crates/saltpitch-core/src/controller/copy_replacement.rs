//! Replaces the copy of the records by those of a listing. Nothing else replaces it, and here it cannot go back.
//!
//! Other reads go on while the records are listed, and the last answer to a listing may arrive after theirs. A listing
//! replaces the copy only if it is newer. The copy is then the newer one in at most the records of jobs that this
//! process wrote or read by their keys, which are carried over before the replacement.

use std::collections::BTreeSet;

use crate::records::{JobRead, RecordCache, RecordListing};
use crate::time::Micros;

use super::Controller;

/// The error for records of an older layout, with which this version must not serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the state service holds an earlier version's records: not serving")]
pub struct OutdatedLayout;

/// What became of a listing whose pages and changes are read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ListingEnd {
    /// The copy was replaced by the listing.
    Replaced {
        /// The revision of the copy before, or 0 for the first listing.
        from_revision: u64,
        /// The revision of the listing.
        to_revision: u64,
        /// The number of jobs whose newer records were carried over from the copy.
        newer_jobs: usize,
    },
    /// The copy is at least as new, so the listing was not used.
    NotNewer {
        /// The revision of the listing.
        listed_revision: u64,
        /// The revision of the copy.
        revision: u64,
    },
    /// The records of these ended jobs have to be read by their keys first.
    Missing(BTreeSet<String>),
}

impl Controller {
    /// Replaces the copy of the records by those of a listing, unless the copy is as new or outcomes of ended jobs are
    /// missing.
    pub fn finish_listing(
        &mut self,
        listing: &mut RecordListing,
        now: Micros,
        wall: Micros,
    ) -> Result<ListingEnd, OutdatedLayout> {
        if let Some(end) = self.check_listing(&listing.records)? {
            return Ok(end);
        }
        listing.records.add_newer_jobs(&self.records);
        let unknown = self.unknown_outcomes(listing.records(), listing.job_reads());
        if !unknown.is_empty() {
            return Ok(ListingEnd::Missing(unknown));
        }
        let records = std::mem::take(&mut listing.records);
        self.replace_records(records, now, wall)
    }

    /// Returns the ended jobs whose outcomes a new listing has to have before it replaces the copy, without those in
    /// `reads`: dependencies of live jobs and, for a leader, jobs that its scheduler still has.
    pub fn unknown_outcomes(&self, records: &RecordCache, reads: &[JobRead]) -> BTreeSet<String> {
        let mut unknown = BTreeSet::from_iter(records.unknown_dependencies());
        if self.is_leader() && !records.ended_jobs().is_complete() {
            let live = self.records.jobs.keys();
            unknown.extend(live.filter(|id| records.job(id).is_none()).cloned());
        }
        unknown.retain(|id| !reads.iter().any(|read| read.id == *id));
        unknown
    }

    /// Replaces the copy of the records by those of a listing, unless the copy is as new. The changes up to the
    /// listing's revision must be applied; later ones are applied from there.
    pub fn replace_records(
        &mut self,
        mut records: RecordCache,
        now: Micros,
        wall: Micros,
    ) -> Result<ListingEnd, OutdatedLayout> {
        if let Some(end) = self.check_listing(&records)? {
            return Ok(end);
        }
        let newer_jobs = records.add_newer_jobs(&self.records);
        let to_revision = records.revision();
        let old = std::mem::replace(&mut self.records, records);
        let from_revision = old.revision();
        self.copy_replaced(old, now, wall);
        Ok(ListingEnd::Replaced {
            from_revision,
            to_revision,
            newer_jobs,
        })
    }

    /// Returns why a listing must not replace the copy, if there is a reason.
    fn check_listing(&self, records: &RecordCache) -> Result<Option<ListingEnd>, OutdatedLayout> {
        if records.has_earlier_layout {
            return Err(OutdatedLayout);
        }
        let (listed_revision, revision) = (records.revision(), self.records.revision());
        let is_newer = !self.synced || listed_revision > revision;
        Ok((!is_newer).then_some(ListingEnd::NotNewer {
            listed_revision,
            revision,
        }))
    }

    /// Carries over what is not recorded, and tells the scheduler what has changed.
    fn copy_replaced(&mut self, old: RecordCache, now: Micros, wall: Micros) {
        if old.term.revision != self.records.term.revision {
            self.term_seen_at = now;
        }
        let ended_meanwhile: Vec<String> = {
            let live_before = old.jobs.keys();
            let ended = live_before.filter(|id| !self.records.jobs.contains_key(*id));
            ended.cloned().collect()
        };
        self.records.carry_over_from(old);
        self.synced = true;
        self.last_cancellation_at = Some(now);
        self.adopt_recorded_catalog();
        self.check_recorded_term();
        if let Some(leadership) = &mut self.leadership {
            for id in self.records.jobs.keys().chain(&ended_meanwhile) {
                leadership
                    .scheduler
                    .job_changed(&self.records, id, now, wall);
            }
            leadership.scheduler.records_replaced(&self.records);
        }
        self.records.set_max_ended_jobs(self.config.max_ended_jobs);
        self.records.trim();
    }
}
