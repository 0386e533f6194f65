//! Pauses between the attempts of a request that fails repeatedly.

use std::time::Duration;

/// Exponential backoff with jitter. The mean pause doubles with each failure up to a limit, and each pause is
/// drawn from half to one and a half times its mean, so that controllers that failed together retry at different
/// times.
#[derive(Clone, Debug)]
pub struct Backoff {
    first_mean: Duration,
    max_mean: Duration,
    next_mean: Duration,
}

impl Backoff {
    /// Creates a backoff whose first pause has the mean `first_mean`, and whose pauses never have a mean above
    /// `max_mean`.
    pub fn new(first_mean: Duration, max_mean: Duration) -> Backoff {
        let first_mean = first_mean.min(max_mean);
        Backoff {
            first_mean,
            max_mean,
            next_mean: first_mean,
        }
    }

    /// Returns the pause before the next attempt. `random` is uniformly distributed.
    pub fn next_pause(&mut self, random: u64) -> Duration {
        let mean = self.next_mean;
        self.next_mean = (mean * 2).min(self.max_mean);
        let fraction = random as f64 / u64::MAX as f64;
        mean.mul_f64(0.5 + fraction)
    }

    /// Starts again with the first pause, after a success.
    pub fn reset(&mut self) {
        self.next_mean = self.first_mean;
    }
}

#[cfg(test)]
mod tests;
