//! How much of a shared rate this node may use.

use saltpitch_core::Micros;

/// A bucket that fills at `rate` a second and holds a second's worth, or what else is said.
#[derive(Clone, Debug)]
pub struct Budget {
    rate: f64,
    burst: Option<f64>,
    level: f64,
    at: Micros,
}

impl Budget {
    pub fn new(rate: f64) -> Budget {
        Budget {
            rate,
            burst: None,
            level: rate.max(1.0),
            at: Micros::ZERO,
        }
    }

    /// Holds `burst` at the most.
    pub fn with_burst(rate: f64, burst: f64) -> Budget {
        Budget {
            burst: Some(burst),
            level: burst.max(1.0),
            ..Budget::new(rate)
        }
    }

    /// Changes the rate: a leader may use more than the others.
    pub fn set_rate(&mut self, rate: f64) {
        self.rate = rate;
    }

    pub fn take(&mut self, n: f64, now: Micros) -> bool {
        let cap = self.burst.unwrap_or(self.rate).max(1.0).max(n);
        self.level = (self.level + now.since(self.at).as_secs_f64() * self.rate).min(cap);
        self.at = now;
        if self.level >= n {
            self.level -= n;
            true
        } else {
            false
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_budget_runs_out_and_fills_again() {
        let mut b = Budget::new(10.0);
        let mut now = Micros::from_secs(1);
        assert_eq!((0..50).filter(|_| b.take(1.0, now)).count(), 10);
        now = now.plus(Micros::from_millis(500));
        assert_eq!((0..50).filter(|_| b.take(1.0, now)).count(), 5);
    }
}
