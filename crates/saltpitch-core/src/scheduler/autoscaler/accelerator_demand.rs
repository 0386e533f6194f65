//! Demand for accelerators, by which other work is kept off the machines that have them.

use crate::catalog::Resources;
use crate::job::JobSpec;
use crate::time::Micros;

/// The most needs that are kept. Beyond that, two of them are merged into one that counts for every machine for which
/// either of them does.
const MAX_NEEDS: usize = 64;

/// The demand for accelerators that this leader has seen.
#[derive(Debug, Default)]
pub(in crate::scheduler) struct AcceleratorDemand {
    /// The needs of tasks that use accelerators, without those that are at least as large as another one in each
    /// resource: a machine that holds the larger one holds the smaller one, too.
    smallest_needs: Vec<Resources>,
    /// When a job that needs accelerators was last queued.
    last_requested_at: Micros,
}

impl AcceleratorDemand {
    /// Records a queued job. Only jobs that need accelerators count.
    pub(super) fn job_queued(&mut self, spec: &JobSpec, queued_at: Micros) {
        if spec.need.gpu > 0 {
            self.add_need(spec.need);
            self.last_requested_at = self.last_requested_at.max(queued_at);
        }
    }

    fn add_need(&mut self, need: Resources) {
        if self.smallest_needs.iter().any(|known| known.fits(&need)) {
            return;
        }
        self.smallest_needs.retain(|known| !need.fits(known));
        if self.smallest_needs.len() >= MAX_NEEDS {
            let merged = self.smallest_needs.swap_remove(0).min(&need);
            return self.add_need(merged);
        }
        self.smallest_needs.push(need);
    }

    /// Returns when a job that needs accelerators was last queued.
    pub(super) fn last_requested_at(&self) -> Micros {
        self.last_requested_at
    }

    /// Returns whether machines of this size have accelerators and are large enough for tasks that need
    /// some. Other work may use such machines in the meantime, but none are ordered for it.
    pub(in crate::scheduler) fn is_contested(&self, size: &Resources) -> bool {
        size.gpu > 0 && self.smallest_needs.iter().any(|need| need.fits(size))
    }

    /// Returns whether machines of this size are a last resort for the job: it needs no accelerators, and
    /// other work needs those of the machine.
    pub(in crate::scheduler) fn is_contested_for(&self, spec: &JobSpec, size: &Resources) -> bool {
        spec.need.gpu == 0 && self.is_contested(size)
    }
}

#[cfg(test)]
mod tests;
