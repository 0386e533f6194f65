//! Carries unrecorded state over from the previous copy of the records when the records are read again.

use std::collections::{HashMap, HashSet};

use super::{JobEntry, RecordCache};
use crate::job::JobState;
use crate::records::Cancellations;

impl RecordCache {
    /// Carries over the state that is not recorded: returned machines, cached images and the list of cancellations.
    /// A machine that is in the old copy but not in this one was returned in between.
    pub fn carry_over_from(&mut self, mut old: RecordCache) {
        let recorded: HashSet<&str> = self.machine_names().collect();
        let old_machines = old.machine_names();
        let returned: Vec<String> = old_machines
            .filter(|name| !recorded.contains(name))
            .map(str::to_owned)
            .collect();
        let old_cancellations = std::mem::take(&mut old.cancellations);
        self.append_to_cancellations(old_cancellations, &old.jobs);
        self.returned_machines = old.returned_machines;
        self.images = old.images;
        for name in &returned {
            self.machine_gone(name);
        }
    }

    /// Appends the cancellations that are new in this copy to the old list, whose entries leaders refer to by
    /// position. Only the newest entries of a long list are kept. The new ones are therefore appended in the order of
    /// their revisions, not in that of their keys.
    fn append_to_cancellations(
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
                self.cancellations.push(revision, &cancellation.id);
            }
        }
        self.cancellations.trim();
    }
}
