//! Whether a machine is closed to new tasks until it is returned.

use std::collections::BTreeSet;

use crate::job::JobNumber;

/// A machine's cordon, and the jobs whose failures speak for it.
#[derive(Debug, Default)]
pub struct Cordon {
    active: bool,
    /// Jobs that failed here and seem to work elsewhere.
    failed_jobs: BTreeSet<JobNumber>,
}

impl Cordon {
    /// Whether nothing new is placed here; the machine is returned once it is empty.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Closes the machine to new tasks.
    pub fn activate(&mut self) {
        self.active = true;
    }

    /// A job's failure here counts, or no longer does; with `limit` such jobs the machine is at fault and
    /// cordoned. Says whether that changed.
    pub fn set_failed_job(&mut self, number: JobNumber, counts: bool, limit: usize) -> bool {
        let was_at_fault = self.failed_jobs.len() >= limit;
        if counts {
            self.failed_jobs.insert(number);
        } else {
            self.failed_jobs.remove(&number);
        }
        let at_fault = self.failed_jobs.len() >= limit;
        if was_at_fault != at_fault {
            self.active = at_fault;
        }
        was_at_fault != at_fault
    }
}
