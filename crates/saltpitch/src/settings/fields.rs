//! Looking up fields by their path, so that every error names one.

use saltpitch_core::Micros;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::error::SettingsError;

/// The longest text in bytes.
const MAX_TEXT: usize = 200;
/// Bounds of a span of time in seconds.
const MIN_SPAN_S: f64 = 0.001;
const MAX_SPAN_S: f64 = 1e6;

/// The fields of a JSON object; paths are separated by dots.
pub struct Fields<'a>(pub &'a Value);

impl Fields<'_> {
    /// The value at a path, null or not.
    pub fn value(&self, path: &str) -> Result<&Value, SettingsError> {
        let mut value = self.0;
        for name in path.split('.') {
            value = value.get(name).ok_or_else(|| SettingsError::Missing {
                path: path.to_owned(),
            })?;
        }
        Ok(value)
    }

    /// Whether there is a value other than null at a path.
    pub fn is_present(&self, path: &str) -> bool {
        self.value(path).is_ok_and(|value| !value.is_null())
    }

    /// A value of some type.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, SettingsError> {
        T::deserialize(self.value(path)?).map_err(|reason| SettingsError::Invalid {
            path: path.to_owned(),
            reason,
        })
    }

    /// A number from `min` to `max`.
    pub fn number(&self, path: &str, min: f64, max: f64) -> Result<f64, SettingsError> {
        let number: f64 = self.get(path)?;
        if !number.is_finite() || number < min || number > max {
            return Err(SettingsError::OutOfRange {
                path: path.to_owned(),
                min,
                max,
                number,
            });
        }
        Ok(number)
    }

    /// A span of time, given in seconds.
    pub fn span(&self, path: &str) -> Result<Micros, SettingsError> {
        let seconds = self.number(path, MIN_SPAN_S, MAX_SPAN_S)?;
        Ok(Micros::from_secs_f64(seconds))
    }

    /// Text of a sensible length.
    pub fn text(&self, path: &str) -> Result<String, SettingsError> {
        let text: String = self.get(path)?;
        if text.is_empty() || text.len() > MAX_TEXT {
            return Err(SettingsError::TextLength {
                path: path.to_owned(),
            });
        }
        Ok(text)
    }
}
