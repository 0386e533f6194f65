//! What work with accelerators needs, so that other work leaves these machines to it.

use std::collections::HashSet;

use crate::catalog::Resources;
use crate::job::JobSpec;
use crate::time::Micros;

/// The demand for accelerators, as far as this leader has seen it.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct AcceleratorDemand {
    /// What tasks with accelerators need.
    needs: HashSet<Resources>,
    last_requested_at: Micros,
}

impl AcceleratorDemand {
    /// A job was queued; only jobs that need accelerators count.
    pub(super) fn job_queued(&mut self, spec: &JobSpec, queued: Micros) {
        if spec.need.gpu > 0 {
            self.needs.insert(spec.need);
            self.last_requested_at = self.last_requested_at.max(queued);
        }
    }

    /// When a job that needs accelerators was last queued.
    pub(super) fn last_requested_at(&self) -> Micros {
        self.last_requested_at
    }

    /// Whether machines of this size have accelerators and hold tasks that need some: other work may use
    /// them meanwhile, but nothing is ordered for it.
    pub(in crate::scheduler) fn is_contested(&self, size: &Resources) -> bool {
        size.gpu > 0 && self.needs.iter().any(|need| need.fits(size))
    }

    /// Whether accelerators that other work needs make machines of this size a last resort for the job.
    pub(in crate::scheduler) fn is_contested_for(&self, spec: &JobSpec, size: &Resources) -> bool {
        spec.need.gpu == 0 && self.is_contested(size)
    }
}
