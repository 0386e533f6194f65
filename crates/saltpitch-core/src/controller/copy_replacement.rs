//! Replaces the copy of the records by those of a listing.

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
    Replaced,
    /// The records of these ended jobs have to be read by their keys first.
    Missing(BTreeSet<String>),
}

impl Controller {
    /// Replaces the copy of the records by those of a listing, unless outcomes of ended jobs are missing.
    pub fn finish_listing(
        &mut self,
        listing: &mut RecordListing,
        now: Micros,
        wall: Micros,
    ) -> Result<ListingEnd, OutdatedLayout> {
        let unknown = self.unknown_outcomes(listing.records(), listing.job_reads());
        if !unknown.is_empty() {
            return Ok(ListingEnd::Missing(unknown));
        }
        let records = std::mem::take(&mut listing.records);
        self.replace_records(records, now, wall)?;
        Ok(ListingEnd::Replaced)
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

    /// Replaces the copy of the records by a new listing. `records.revision()` must be the revision of the first
    /// page, so that the changes made during the listing are applied from there.
    pub fn replace_records(
        &mut self,
        records: RecordCache,
        now: Micros,
        wall: Micros,
    ) -> Result<(), OutdatedLayout> {
        if records.has_earlier_layout {
            return Err(OutdatedLayout);
        }
        let old = std::mem::replace(&mut self.records, records);
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
        Ok(())
    }
}
