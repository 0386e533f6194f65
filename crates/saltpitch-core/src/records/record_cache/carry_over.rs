//! Carries over what the previous copy of the records has and a listing lacks: unrecorded state, and records of jobs
//! that are newer than the listing.

use std::collections::HashSet;

use super::{JobEntry, RecordCache};
use crate::job::JobState;
use crate::records::Cancellations;

impl RecordCache {
    /// Adds the records of jobs in `other` that are newer than this copy: this process wrote them or read them by their
    /// keys before the changes up to them were known. No other record can be ahead of a copy's revision. Returns how
    /// many there are.
    pub fn add_newer_jobs(&mut self, other: &RecordCache) -> usize {
        let is_newer = |revision: u64| revision > self.revision;
        let live = other.jobs.iter();
        let live = live.filter(|(_, entry)| is_newer(entry.revision));
        let live = live.map(|(id, entry)| (id.clone(), entry.clone()));
        let ended = other.ended_jobs.iter();
        let ended = ended.filter(|(_, job)| is_newer(job.revision));
        let ended = ended.map(|(id, job)| (id.to_owned(), JobEntry::of_ended(job)));
        let newer: Vec<(String, JobEntry)> = live.chain(ended).collect();
        let count = newer.len();
        for (id, entry) in newer {
            self.put_job_entry(&id, entry);
        }
        count
    }

    /// Carries over the state that is not recorded: returned machines, cached images, the list of cancellations and the
    /// highest number that a segment ever had.
    /// A machine that is in the old copy but not in this one was returned in between, one that is recorded again was not.
    pub fn carry_over_from(&mut self, mut old: RecordCache) {
        let recorded: HashSet<String> = self.machine_names().map(str::to_owned).collect();
        let old_machines = old.machine_names();
        let returned: Vec<String> = old_machines
            .filter(|name| !recorded.contains(*name))
            .map(str::to_owned)
            .collect();
        let old_cancellations = std::mem::take(&mut old.cancellations);
        self.append_to_cancellations(old_cancellations, &old);
        self.last_segment = self.last_segment.max(old.last_segment);
        self.returned_machines = old.returned_machines;
        for name in &recorded {
            self.returned_machines.remove(name);
        }
        self.images = old.images;
        self.images.retain_machines(|name| recorded.contains(name));
        for name in &returned {
            self.machine_gone(name);
        }
    }

    /// Appends the cancellations that are new in this copy to the old list, whose entries leaders refer to by
    /// position. Only the newest entries of a long list are kept. The new ones are therefore appended in the order of
    /// their revisions, not in that of their keys.
    fn append_to_cancellations(&mut self, old_cancellations: Cancellations, old: &RecordCache) {
        let new = std::mem::replace(&mut self.cancellations, old_cancellations);
        let max_dropped_revision = new.max_dropped_revision();
        if max_dropped_revision > old.revision {
            self.cancellations.note_dropped(max_dropped_revision);
        }
        for cancellation in new.into_sorted() {
            // The old copy had applied all changes up to its revision, even if it no longer has the job.
            let known_state = old.job(&cancellation.id).map(|job| job.state());
            let is_known =
                cancellation.revision <= old.revision || known_state == Some(JobState::Cancelled);
            if !is_known {
                let revision = cancellation.revision;
                self.cancellations.push(revision, &cancellation.id);
            }
        }
        self.cancellations.trim();
    }
}
