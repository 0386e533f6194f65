//! How the state service has served this controller.

use saltpitch_core::Micros;

/// When the service last served a request, and when it last failed to.
#[derive(Default)]
pub struct Health {
    last_success_at: Option<Micros>,
    last_failure_at: Option<Micros>,
}

impl Health {
    /// Records the outcome of a request.
    pub fn record(&mut self, served: bool, now: Micros) {
        if served {
            self.last_success_at = Some(now);
        } else {
            self.last_failure_at = Some(now);
        }
    }

    /// When a request was last served.
    pub fn last_success_at(&self) -> Option<Micros> {
        self.last_success_at
    }

    /// Whether the last request was served, and that no longer ago than `within`.
    pub fn is_up(&self, within: Micros, now: Micros) -> bool {
        let is_recent = |at| now.since(at) < within;
        self.last_success_at.is_some_and(is_recent) && self.last_success_at >= self.last_failure_at
    }
}

#[cfg(test)]
mod tests;
