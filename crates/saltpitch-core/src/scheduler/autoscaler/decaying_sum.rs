//! An exponentially decaying sum of events.

use crate::time::Micros;

/// A sum of event sizes that decays exponentially with their age. In a steady state it equals the rate of the
/// events times the time constant.
#[derive(Clone, Copy, Debug)]
pub(super) struct DecayingSum {
    sum: f64,
    updated_at: Micros,
    time_constant: Micros,
}

impl DecayingSum {
    /// Creates an empty sum.
    pub(super) fn new(time_constant: Micros, now: Micros) -> DecayingSum {
        DecayingSum {
            sum: 0.0,
            updated_at: now,
            time_constant,
        }
    }

    /// Adds an event of this size.
    pub(super) fn add(&mut self, size: f64, now: Micros) {
        self.sum = self.value(now) + size;
        self.updated_at = now;
    }

    /// Returns the estimated rate of the events per second.
    pub(super) fn rate_per_second(&self, now: Micros) -> f64 {
        self.value(now) / self.time_constant.as_secs_f64()
    }

    fn value(&self, now: Micros) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64();
        self.sum * (-age / self.time_constant.as_secs_f64()).exp()
    }
}
