//! Following the state service: changes, listings and this process's own writes.

use crate::job::JobState;
use crate::leadership::{ProcessIdentity, LEADERSHIP_LEASE};
use crate::records::{node_key, Change, JobRecord, NodeRecord, RecordCache, RecordChange};
use crate::scheduler::{Precondition, Write};
use crate::time::Micros;

use super::notice::EndedJob;
use super::{Controller, Notice};

/// The state service holds records of a layout that this version cannot lead on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the state service holds an earlier version's records: not serving")]
pub struct OutdatedLayout;

/// A write of this process's incarnation.
#[derive(Clone, Debug)]
pub struct Announcement {
    /// The incarnation that is written.
    pub incarnation: u64,
    /// The revision that the record must have.
    pub expected_revision: u64,
    /// The write.
    pub write: Write,
}

impl Controller {
    /// Applies changes that are complete from revision `from` to `upto`. True if a job changed, so that
    /// a leader's loops should run.
    pub fn apply_changes(
        &mut self,
        from: u64,
        changes: impl IntoIterator<Item = RecordChange>,
        upto: u64,
        now: Micros,
        wall: Micros,
    ) -> bool {
        if from > self.records.revision {
            return false;
        }
        let known = self.records.revision;
        let mut job_changed = false;
        for change in changes {
            if change.revision > known {
                job_changed |= self.apply_change(&change, now, wall);
            }
        }
        self.records.revision = self.records.revision.max(upto);
        self.records.cancellations.trim();
        job_changed
    }

    /// Applies a write of this process that the state service confirmed. It is known from then on,
    /// whether or not the state service goes on to tell of it.
    pub fn apply_own_write(&mut self, change: &RecordChange, now: Micros, wall: Micros) {
        self.apply_change(change, now, wall);
    }

    /// True if a job changed.
    fn apply_change(&mut self, change: &RecordChange, now: Micros, wall: Micros) -> bool {
        self.note_job_end(change, wall);
        let term_holder = self.term_holder();
        let effect = match &change.value {
            Some(value) => match self.records.put(&change.key, value, change.revision) {
                Ok(effect) => effect,
                Err(error) => {
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
                // A leader that raises its own token silences nobody before it.
                if term_holder != self.term_holder() {
                    self.term_seen_at = now;
                }
                self.check_recorded_term();
            }
            Change::None | Change::Leader | Change::Tasks | Change::Machines => {}
        }
        false
    }

    /// Replaces the copy of the records by one that was read anew. `records.revision` must be the revision of
    /// the first page: whatever changed during the listing follows from there.
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
        self.records.carry_over_from(old);
        self.synced = true;
        self.last_cancellation_at = Some(now);
        self.adopt_recorded_catalog();
        self.check_recorded_term();
        if let Some(leadership) = &mut self.leadership {
            for id in self.records.jobs.keys() {
                leadership
                    .scheduler
                    .job_changed(&self.records, id, now, wall);
            }
        }
        Ok(())
    }

    /// What this process says of itself on record.
    pub(super) fn node_record(&self) -> NodeRecord {
        NodeRecord {
            incarnation: self.incarnation,
            knows_delegations: self.config.knows_delegations,
        }
    }

    /// The revisions of all controllers' announcements, if each of them knows delegations. A
    /// delegation is committed on condition of them, so that no controller of an earlier version can
    /// have started in between.
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

    /// The write that puts this process's incarnation on record, if it is not there yet.
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

    /// Whether this process's incarnation is on record: the answer to the write may have been lost.
    pub fn confirm_announcement(&mut self, incarnation: u64, written: bool) -> bool {
        let on_record = self.records.incarnation_of(&self.config.name) == incarnation;
        self.announced = self.incarnation == incarnation && (written || on_record);
        self.announced
    }

    /// Whether a cancellation was learnt so shortly before the state service was last reached that a
    /// leader may have missed it: had that leader lost the state service sooner, its lease would have
    /// ended.
    pub(super) fn has_fresh_cancellation(&self, last_success_at: Option<Micros>) -> bool {
        let margin = LEADERSHIP_LEASE.times(2.0);
        match (self.last_cancellation_at, last_success_at) {
            (Some(cancelled), Some(reached)) => cancelled.plus(margin) > reached,
            // Restarted since, it cannot tell what it confirmed.
            _ => !self.synced,
        }
    }

    /// Who holds the recorded term, and in which incarnation.
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

    fn adopt_recorded_catalog(&mut self) {
        if self.catalog.is_none() {
            self.catalog = self.records.catalog.as_ref().map(|c| c.value.clone());
        }
    }

    /// A newer incarnation of the previous leader proves that its process answers nobody.
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

    /// The leader's log tells how long each job took and where its time went.
    fn note_job_end(&mut self, change: &RecordChange, wall: Micros) {
        let Some(leadership) = &self.leadership else {
            return;
        };
        let Some(id) = crate::records::job_id(&change.key) else {
            return;
        };
        let Some(old) = self.records.jobs.get(id) else {
            return;
        };
        // A change may come twice, by a watch and by a fresh read; and a cancelled job's record changes
        // once more when the last of its tasks is gone.
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
            took: wall.since(old.record.submitted_at),
            timeline: leadership.scheduler.timeline(id).unwrap_or_default(),
            cancelled: new.state == JobState::Cancelled,
        };
        self.notices.push(Notice::JobEnded(end));
    }
}
