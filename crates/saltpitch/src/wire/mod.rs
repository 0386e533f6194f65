//! Messages as they are sent and received. The protocol's own field names are used in these modules
//! only; everywhere else a message is a type of the project.

pub mod agents;
pub mod cloud;
mod error;
pub mod store;
pub mod users;

use saltpitch_core::Micros;

pub use error::{DecodeError, FieldError};

/// The longest body or line that may be sent or taken.
pub const MAX_BODY: usize = 64 * 1024;

/// The largest amount or number of seconds that is taken.
const MAX_NUMBER: f64 = 1e9;

/// An amount in thousandths; `None` if it is negative, too large or no number.
pub fn milli(amount: f64) -> Option<u64> {
    is_sensible(amount).then(|| (amount * 1e3).round() as u64)
}

/// A span of time; `None` if it is negative, too long or no number.
pub fn span(seconds: f64) -> Option<Micros> {
    is_sensible(seconds).then(|| Micros::from_secs_f64(seconds))
}

fn is_sensible(number: f64) -> bool {
    number.is_finite() && (0.0..=MAX_NUMBER).contains(&number)
}
