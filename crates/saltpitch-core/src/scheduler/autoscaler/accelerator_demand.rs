//! Demand for accelerators, by which other work is kept off the machines that have them.

use std::collections::HashSet;

use crate::catalog::Resources;
use crate::job::JobSpec;
use crate::time::Micros;

/// The demand for accelerators that this leader has seen.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct AcceleratorDemand {
    /// The distinct needs of tasks that use accelerators.
    needs: HashSet<Resources>,
    /// When a job that needs accelerators was last queued.
    last_requested_at: Micros,
}

impl AcceleratorDemand {
    /// Records a queued job. Only jobs that need accelerators count.
    pub(super) fn job_queued(&mut self, spec: &JobSpec, queued_at: Micros) {
        if spec.need.gpu > 0 {
            self.needs.insert(spec.need);
            self.last_requested_at = self.last_requested_at.max(queued_at);
        }
    }

    /// Returns when a job that needs accelerators was last queued.
    pub(super) fn last_requested_at(&self) -> Micros {
        self.last_requested_at
    }

    /// Returns whether machines of this size have accelerators and are large enough for tasks that need
    /// some. Other work may use such machines in the meantime, but none are ordered for it.
    pub(in crate::scheduler) fn is_contested(&self, size: &Resources) -> bool {
        size.gpu > 0 && self.needs.iter().any(|need| need.fits(size))
    }

    /// Returns whether machines of this size are a last resort for the job: it needs no accelerators, and
    /// other work needs those of the machine.
    pub(in crate::scheduler) fn is_contested_for(&self, spec: &JobSpec, size: &Resources) -> bool {
        spec.need.gpu == 0 && self.is_contested(size)
    }
}
