//! What a copy of the records that was read anew takes over from the one before.

use std::collections::{HashMap, HashSet};

use super::{JobEntry, RecordCache};
use crate::job::JobState;
use crate::records::Cancellations;

impl RecordCache {
    /// Takes over what is on no record: returned machines, images and the list of cancellations. A
    /// machine that the older copy has and this one does not was returned in between.
    pub fn carry_over_from(&mut self, mut old: RecordCache) {
        let on_record: HashSet<&str> = self.machine_names().collect();
        let old_machines = old.machine_names();
        let gone: Vec<String> = old_machines
            .filter(|name| !on_record.contains(name))
            .map(str::to_owned)
            .collect();
        let old_cancellations = std::mem::take(&mut old.cancellations);
        self.take_over_cancellations(old_cancellations, &old.jobs);
        self.returned_machines = old.returned_machines;
        self.images = old.images;
        for name in &gone {
            self.machine_gone(name);
        }
    }

    /// The list that leaders ask for goes on: what the older copy had is in it. Of a long history the
    /// newest entries are kept, so those that this copy adds come in the order of their revisions rather
    /// than of their keys.
    fn take_over_cancellations(
        &mut self,
        old: Cancellations,
        old_jobs: &HashMap<String, JobEntry>,
    ) {
        let new = std::mem::replace(&mut self.cancellations, old);
        for cancellation in new.into_sorted() {
            let known = old_jobs.get(&cancellation.id);
            let known_state = known.map(|entry| entry.record.state);
            if known_state != Some(JobState::Cancelled) {
                let revision = cancellation.revision;
                self.cancellations.note(revision, &cancellation.id);
            }
        }
        self.cancellations.trim();
    }
}
