//! Times and spans in whole microseconds, the only unit of time in the code.

use serde::{Deserialize, Serialize};

/// A point in time on a node's steady clock, or a span of time, in whole microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// The start of the clock, or an empty span.
    pub const ZERO: Micros = Micros(0);

    /// Creates a span of whole milliseconds.
    pub const fn from_millis(ms: u64) -> Micros {
        Micros(ms.saturating_mul(1_000))
    }

    /// Creates a span of whole seconds.
    pub const fn from_secs(s: u64) -> Micros {
        Micros(s.saturating_mul(1_000_000))
    }

    /// Creates a span from seconds as written on the wire. Negative and non-finite values become zero.
    pub fn from_secs_f64(s: f64) -> Micros {
        if s.is_finite() && s > 0.0 {
            Micros((s * 1e6).round() as u64)
        } else {
            Micros(0)
        }
    }

    /// Returns the span in seconds, for display and for the wire.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// Returns `self + other`, limited to the largest value.
    pub fn plus(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }

    /// Returns `self - other`, or zero if `other` is larger.
    pub fn since(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// Returns the span multiplied by `factor`.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }

    /// Returns the span extended by the possible difference between two machines' steady clocks over it, and
    /// by a small margin.
    pub fn with_drift(self) -> Micros {
        Micros(self.0 + self.0 / 1_000 + 500_000)
    }
}
