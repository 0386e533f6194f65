//! Cordons, which close a machine to new tasks until it is returned to the cloud.

use std::collections::BTreeSet;

use crate::job::JobNumber;

/// A machine's cordon, and the jobs whose failures are attributed to the machine.
#[derive(Debug, Default)]
pub struct Cordon {
    active: bool,
    /// The jobs that failed on this machine and seem to work on others.
    failed_jobs: BTreeSet<JobNumber>,
}

impl Cordon {
    /// Returns whether the machine is closed to new tasks. It is returned to the cloud once it is empty.
    pub fn is_active(&self) -> bool {
        self.active
    }

    /// Closes the machine to new tasks.
    pub fn activate(&mut self) {
        self.active = true;
    }

    /// Sets whether a job's failure is attributed to the machine. With `limit` such jobs the machine is at
    /// fault and cordoned. Returns whether that changed.
    pub fn set_failed_job(&mut self, number: JobNumber, is_attributed: bool, limit: usize) -> bool {
        let was_at_fault = self.failed_jobs.len() >= limit;
        if is_attributed {
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
