//! The words of the wire. Outside these modules the project's own terms are used.

pub mod agents;
pub mod cloud;
pub mod store;
pub mod users;

use saltpitch_core::Micros;

/// The longest body or line that may be sent or taken.
pub const MAX_BODY: usize = 64 * 1024;

/// An amount in thousandths, or None when it is not a sensible number.
pub fn milli(n: f64) -> Option<u64> {
    (n.is_finite() && (0.0..=1e9).contains(&n)).then(|| (n * 1e3).round() as u64)
}

/// A span in seconds.
pub fn span(s: f64) -> Option<Micros> {
    (s.is_finite() && (0.0..=1e9).contains(&s)).then(|| Micros::from_secs_f64(s))
}
