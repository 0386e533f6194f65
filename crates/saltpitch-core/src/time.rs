//! Whole microseconds, the only unit of time in the code.

use serde::{Deserialize, Serialize};

/// A point on a node's steady clock, or a span of time, in whole microseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Micros(pub u64);

impl Micros {
    /// The beginning of the clock, or no time at all.
    pub const ZERO: Micros = Micros(0);

    /// A span of whole milliseconds.
    pub const fn from_millis(ms: u64) -> Micros {
        Micros(ms.saturating_mul(1_000))
    }

    /// A span of whole seconds.
    pub const fn from_secs(s: u64) -> Micros {
        Micros(s.saturating_mul(1_000_000))
    }

    /// Seconds as the wire writes them. Negative and non-finite values become zero.
    pub fn from_secs_f64(s: f64) -> Micros {
        if s.is_finite() && s > 0.0 {
            Micros((s * 1e6).round() as u64)
        } else {
            Micros(0)
        }
    }

    /// The same in seconds, for display and for the wire.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / 1e6
    }

    /// `self + other`, saturating.
    pub fn plus(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }

    /// `self - other`, or zero.
    pub fn since(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
    }

    /// A multiple of the span.
    pub fn times(self, factor: f64) -> Micros {
        Micros((self.0 as f64 * factor) as u64)
    }

    /// The span with what two machines' steady clocks may differ over it, and a small margin.
    pub fn with_drift(self) -> Micros {
        Micros(self.0 + self.0 / 1_000 + 500_000)
    }
}
