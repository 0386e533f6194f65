//! Keeps the copy of the records up to date from the state service's changes and from this process's own writes.

use std::collections::BTreeSet;

use crate::job::JobState;
use crate::leadership::{ProcessIdentity, LEADERSHIP_LEASE};
use crate::records::{
    job_id, job_key, node_key, Change, JobRead, JobRecord, JobWrite, NodeRecord, RecordChange,
};
use crate::scheduler::{Precondition, Write};
use crate::time::Micros;

use super::notice::EndedJob;
use super::{Controller, Notice};

/// The field of a job's specification with its dependencies, as the record has it.
const DEPENDENCIES_FIELD: &str = "\"needs\"";

/// The error for changes that are not applied because the copy lacks changes before them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the changes follow revision {from}, and the copy of the records is at revision {revision}"
)]
pub struct MissingChanges {
    /// The revision that the changes follow.
    pub from: u64,
    /// The revision of the copy.
    pub revision: u64,
}

/// A write that puts this process's incarnation on record.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// The incarnation to write.
    pub incarnation: u64,
    /// The revision that the record must have, as the precondition of the write.
    pub expected_revision: u64,
    /// The write of the node's record.
    pub write: Write,
}

impl Controller {
    /// Applies the changes from revision `from` to `upto`, which must be complete; those that the copy already has are
    /// skipped. Afterwards the copy is at least as new as `upto`. Returns true if a job has changed, so that a leader's
    /// loops should run.
    pub fn apply_changes(
        &mut self,
        from: u64,
        changes: impl IntoIterator<Item = RecordChange>,
        upto: u64,
        now: Micros,
        wall: Micros,
    ) -> Result<bool, MissingChanges> {
        let known = self.records.revision();
        if from > known {
            return Err(MissingChanges {
                from,
                revision: known,
            });
        }
        let mut job_changed = false;
        for change in changes {
            if change.revision > known {
                job_changed |= self.apply_change(&change, now, wall);
            }
        }
        self.records.advance_to(upto);
        self.records.trim();
        Ok(job_changed)
    }

    /// Returns the ended jobs that new jobs in `changes` depend on and whose outcomes this controller no longer keeps,
    /// without those in `reads`. Their records have to be read by their keys and passed to
    /// [`Controller::apply_job_reads`] directly before the changes are applied. Otherwise the new jobs would wait
    /// forever.
    pub fn unknown_dependencies(
        &self,
        changes: &[RecordChange],
        reads: &[JobRead],
    ) -> BTreeSet<String> {
        if self.records.ended_jobs().is_complete() {
            return BTreeSet::new();
        }
        // Changes up to the copy's revision are not applied again, so the job that they end may be evicted already.
        let is_new = |change: &&RecordChange| change.revision > self.records.revision();
        let new_job_changes = changes.iter().filter(is_new);
        let changed_jobs: BTreeSet<&str> = new_job_changes
            .clone()
            .filter_map(|change| job_id(&change.key))
            .collect();
        let is_known = |id: &str| {
            self.records.job(id).is_some()
                || changed_jobs.contains(id)
                || reads
                    .iter()
                    .any(|read| read.id == id && self.records.is_read_current(read))
        };
        new_job_changes
            .filter(|change| job_id(&change.key).is_some())
            .filter_map(|change| change.value.as_deref())
            .flat_map(|value| active_dependencies(value.get()))
            .filter(|id| !is_known(id))
            .collect()
    }

    /// Adds the records of ended jobs that were read by their keys.
    pub fn apply_job_reads(&mut self, reads: &[JobRead]) {
        for read in reads {
            if let Err(error) = self.records.put_job_read(read) {
                self.notices.push(Notice::UnreadableRecord {
                    key: job_key(&read.id),
                    error,
                });
            }
        }
    }

    /// Applies a write of this process that the state service confirmed, without waiting until the state
    /// service reports the change.
    pub fn apply_own_write(&mut self, write: JobWrite, now: Micros, wall: Micros) {
        let change = RecordChange {
            key: job_key(&write.id),
            value: Some(write.record),
            revision: write.revision,
        };
        self.apply_change(&change, now, wall);
    }

    /// Applies one change. Returns true if a job has changed.
    fn apply_change(&mut self, change: &RecordChange, now: Micros, wall: Micros) -> bool {
        self.note_job_end(change, wall);
        let term_holder = self.term_holder();
        let effect = match &change.value {
            Some(value) => match self.records.put(&change.key, value, change.revision) {
                Ok(effect) => effect,
                Err(error) => {
                    if job_id(&change.key).is_some() {
                        self.records.unreadable_job_found();
                    }
                    self.notices.push(Notice::UnreadableRecord {
                        key: change.key.clone(),
                        error,
                    });
                    return false;
                }
            },
            None => self.records.delete(&change.key, change.revision),
        };
        match effect {
            Change::Job(id) => {
                self.job_changed(&id, now, wall);
                return true;
            }
            Change::Catalog => self.adopt_recorded_catalog(),
            Change::Node(name) => self.incarnation_changed(&name, now),
            Change::Term => {
                // A leader that raises its own term does not fence any earlier leader by that.
                if term_holder != self.term_holder() {
                    self.term_seen_at = now;
                }
                self.check_recorded_term();
            }
            Change::None | Change::Leader | Change::Tasks | Change::Machines => {}
        }
        false
    }

    /// Returns the record that announces this process.
    pub(super) fn node_record(&self) -> NodeRecord {
        NodeRecord {
            incarnation: self.incarnation,
            knows_delegations: self.config.knows_delegations,
        }
    }

    /// Returns preconditions on the revisions of all controllers' announcements, or `None` if one of them does
    /// not support delegations. A delegation is committed under these preconditions, so that no controller of
    /// an earlier version can have started in between.
    pub fn announcement_preconditions(&self) -> Option<Vec<Precondition>> {
        let peers = self.config.peers.iter().map(|peer| peer.name.as_str());
        let names = peers.chain([self.config.name.as_str()]);
        names
            .map(|name| {
                let node = self.records.nodes.get(name)?;
                let known = node.value.knows_delegations;
                known.then(|| Precondition::new(node_key(name), node.revision))
            })
            .collect()
    }

    /// Returns the write that puts this process's incarnation on record, or `None` if it is already confirmed.
    pub fn announcement(&mut self) -> Option<Announcement> {
        if self.announced {
            return None;
        }
        let name = &self.config.name;
        let (expected_revision, known) = match self.records.nodes.get(name) {
            Some(node) => (node.revision, node.value.incarnation),
            None => (0, 0),
        };
        self.incarnation = self.incarnation.max(known + 1);
        let record = self.node_record();
        Some(Announcement {
            incarnation: self.incarnation,
            expected_revision,
            write: Write {
                key: node_key(name),
                value: serde_json::to_string(&record).ok(),
            },
        })
    }

    /// Records the outcome of an announcement and returns whether this process's incarnation is on record.
    /// That may be so even if `written` is false, because the answer to the write may have been lost.
    pub fn confirm_announcement(&mut self, incarnation: u64, written: bool) -> bool {
        let on_record = self.records.incarnation_of(&self.config.name) == incarnation;
        self.announced = self.incarnation == incarnation && (written || on_record);
        self.announced
    }

    /// Returns whether this controller received a cancellation so shortly before its last success with the
    /// state service that a leader may have missed it. If the cancellation is older, a leader that missed it
    /// had lost the state service so early that its leadership lease had expired by that success.
    pub(super) fn has_fresh_cancellation(&self, last_success_at: Option<Micros>) -> bool {
        let margin = LEADERSHIP_LEASE.times(2.0);
        match (self.last_cancellation_at, last_success_at) {
            (Some(cancelled_at), Some(success_at)) => cancelled_at.plus(margin) > success_at,
            // A process that has not read the records since its start does not know which cancellations its
            // predecessor confirmed.
            _ => !self.synced,
        }
    }

    /// Returns the controller that holds the recorded term, and its incarnation.
    fn term_holder(&self) -> (String, u64) {
        let term = &self.records.term.value;
        (term.node.clone(), term.incarnation)
    }

    fn job_changed(&mut self, id: &str, now: Micros, wall: Micros) {
        if self.records.job_state(id) == Some(JobState::Cancelled) {
            self.last_cancellation_at = Some(now);
        }
        if let Some(leadership) = &mut self.leadership {
            leadership
                .scheduler
                .job_changed(&self.records, id, now, wall);
        }
    }

    pub(super) fn adopt_recorded_catalog(&mut self) {
        if self.catalog.is_none() {
            self.catalog = self.records.catalog.as_ref().map(|c| c.value.clone());
        }
    }

    /// Handles a new incarnation on record. If it is newer than the previous leader's, it proves that the
    /// previous leader's process answers no agents.
    fn incarnation_changed(&mut self, name: &str, now: Micros) {
        let incarnation = self.records.incarnation_of(name);
        let Some(leadership) = &mut self.leadership else {
            return;
        };
        let superseded = leadership
            .previous
            .take_if(|process| process.node == name && process.incarnation < incarnation);
        let Some(ProcessIdentity { node, .. }) = superseded else {
            return;
        };
        let fenced_at = now.max(leadership.earlier_leaders_fenced_at);
        leadership.scheduler.previous_leader_gone(fenced_at);
        self.notices.push(Notice::PreviousLeaderGone { node });
    }

    /// Adds a notice with the duration and timeline of a job if this change ends the job and this controller
    /// leads.
    fn note_job_end(&mut self, change: &RecordChange, wall: Micros) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let Some(id) = job_id(&change.key) else {
            return;
        };
        let Some(old) = self.records.jobs.get(id) else {
            return;
        };
        // A change may arrive twice, from a watch and from a listing, and the record of a cancelled job
        // changes once more when the last of its tasks is gone.
        if old.record.state != JobState::Active || change.revision <= old.revision {
            return;
        }
        let (Some(spec), Some(value)) = (&old.record.spec, &change.value) else {
            return;
        };
        let Ok(new) = serde_json::from_str::<JobRecord>(value.get()) else {
            return;
        };
        let end = EndedJob {
            id: id.to_owned(),
            class: spec.class.clone(),
            tasks: spec.tasks,
            estimate: spec.estimate,
            deadline: spec.deadline,
            dependencies: spec.dependencies.clone(),
            duration: wall.since(old.record.submitted_at),
            timeline: leadership.scheduler.timeline(id).unwrap_or_default(),
            cancelled: new.state == JobState::Cancelled,
        };
        self.notices.push(Notice::JobEnded(end));
    }
}

/// Returns the dependencies of an active job's record. A record that cannot be read has none.
fn active_dependencies(record: &str) -> Vec<String> {
    // Few jobs depend on others, and reading a record takes much longer than this search.
    if !record.contains(DEPENDENCIES_FIELD) {
        return Vec::new();
    }
    let record = serde_json::from_str::<JobRecord>(record).ok();
    let active = record.filter(|record| record.state == JobState::Active);
    active.map_or_else(Vec::new, |record| record.dependencies().to_vec())
}
