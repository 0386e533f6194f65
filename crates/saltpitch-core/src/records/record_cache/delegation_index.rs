//! Which jobs concern other cells.

use std::collections::BTreeSet;

use crate::job::JobState;
use crate::records::stored::JobRecord;

/// The active jobs that another cell may own, and those that are run for another cell.
#[derive(Clone, Debug, Default)]
pub(super) struct DelegationIndex {
    delegated: BTreeSet<String>,
    guests: BTreeSet<String>,
}

impl DelegationIndex {
    /// A job's record changed.
    pub(super) fn update(&mut self, id: &str, record: &JobRecord) {
        let is_active = record.state == JobState::Active;
        let is_delegated = is_active && record.is_delegated();
        let is_guest = is_active && record.guest.is_some();
        set_member(&mut self.delegated, id, is_delegated);
        set_member(&mut self.guests, id, is_guest);
    }

    /// The active jobs that another cell may own.
    pub(super) fn delegated_jobs(&self) -> impl Iterator<Item = &str> {
        self.delegated.iter().map(String::as_str)
    }

    /// The active jobs that are run for another cell.
    pub(super) fn guest_jobs(&self) -> impl Iterator<Item = &str> {
        self.guests.iter().map(String::as_str)
    }
}

fn set_member(set: &mut BTreeSet<String>, id: &str, is_member: bool) {
    if is_member {
        set.insert(id.to_owned());
    } else {
        set.remove(id);
    }
}
