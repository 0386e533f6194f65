//! An index of the jobs that other cells are involved in.

use std::collections::BTreeSet;

use crate::job::JobState;
use crate::records::stored::JobRecord;

/// The ids of the active jobs that another cell may own, and of those that are run for another cell.
#[derive(Clone, Debug, Default)]
pub(super) struct DelegationIndex {
    delegated_jobs: BTreeSet<String>,
    guest_jobs: BTreeSet<String>,
}

impl DelegationIndex {
    /// Updates the index after a job's record has changed.
    pub(super) fn update(&mut self, id: &str, record: &JobRecord) {
        let is_active = record.state == JobState::Active;
        let is_delegated = is_active && record.is_delegated();
        let is_guest = is_active && record.guest.is_some();
        set_member(&mut self.delegated_jobs, id, is_delegated);
        set_member(&mut self.guest_jobs, id, is_guest);
    }

    /// Returns the active jobs that another cell may own.
    pub(super) fn delegated_jobs(&self) -> impl Iterator<Item = &str> {
        self.delegated_jobs.iter().map(String::as_str)
    }

    /// Returns the active jobs that are run for another cell.
    pub(super) fn guest_jobs(&self) -> impl Iterator<Item = &str> {
        self.guest_jobs.iter().map(String::as_str)
    }
}

fn set_member(set: &mut BTreeSet<String>, id: &str, is_member: bool) {
    if is_member {
        set.insert(id.to_owned());
    } else {
        set.remove(id);
    }
}
