//! Decodes and encodes the messages of the HTTP protocols. Only these modules use the protocols' field names;
//! all other code uses the types of this crate and of the core.

pub mod agents;
pub mod cloud;
mod error;
pub mod store;
pub mod users;

use saltpitch_core::Micros;

pub use error::{DecodeError, FieldError};

/// The largest request body that may be sent or accepted.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// The largest accepted amount of a resource or number of seconds.
const MAX_QUANTITY: f64 = 1e9;

/// Converts an amount to thousandths; `None` if it is negative, too large or not finite.
pub fn to_thousandths(amount: f64) -> Option<u64> {
    is_in_range(amount).then(|| (amount * 1e3).round() as u64)
}

/// Converts a number of seconds to a duration; `None` if it is negative, too large or not finite.
pub fn to_duration(seconds: f64) -> Option<Micros> {
    is_in_range(seconds).then(|| Micros::from_secs_f64(seconds))
}

fn is_in_range(number: f64) -> bool {
    number.is_finite() && (0.0..=MAX_QUANTITY).contains(&number)
}
