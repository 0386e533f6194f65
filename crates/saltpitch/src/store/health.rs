//! Whether the state service serves this controller's requests.

use saltpitch_core::Micros;

/// The times at which the service last served and last failed to serve a request.
#[derive(Default)]
pub struct Health {
    last_success_at: Option<Micros>,
    last_failure_at: Option<Micros>,
}

impl Health {
    /// Records whether the service served a request.
    pub fn record(&mut self, is_served: bool, now: Micros) {
        if is_served {
            self.last_success_at = Some(now);
        } else {
            self.last_failure_at = Some(now);
        }
    }

    /// Returns when the service last served a request.
    pub fn last_success_at(&self) -> Option<Micros> {
        self.last_success_at
    }

    /// Returns whether the service served the last request, less than `within` ago.
    pub fn is_up(&self, within: Micros, now: Micros) -> bool {
        let is_recent = |at| now.since(at) < within;
        self.last_success_at.is_some_and(is_recent) && self.last_success_at >= self.last_failure_at
    }
}

#[cfg(test)]
mod tests;
