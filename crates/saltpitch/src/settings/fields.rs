//! Access to fields by their path, so that every error names the field.

use saltpitch_core::Micros;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::error::SettingsError;

const MAX_TEXT_BYTES: usize = 200;
const MIN_DURATION_S: f64 = 0.001;
const MAX_DURATION_S: f64 = 1e6;

/// The fields of a JSON object. A path is the names of nested fields, separated by dots.
pub struct Fields<'a>(pub &'a Value);

impl Fields<'_> {
    /// Returns the value at a path, which may be null.
    pub fn value(&self, path: &str) -> Result<&Value, SettingsError> {
        let mut value = self.0;
        for name in path.split('.') {
            value = value.get(name).ok_or_else(|| SettingsError::Missing {
                path: path.to_owned(),
            })?;
        }
        Ok(value)
    }

    /// Returns whether there is a value other than null at a path.
    pub fn is_present(&self, path: &str) -> bool {
        self.value(path).is_ok_and(|value| !value.is_null())
    }

    /// Returns the value at a path as a `T`.
    pub fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, SettingsError> {
        T::deserialize(self.value(path)?).map_err(|reason| SettingsError::Invalid {
            path: path.to_owned(),
            reason,
        })
    }

    /// Returns a number, which must lie between `min` and `max`.
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

    /// Returns a duration, which the file gives in seconds.
    pub fn duration(&self, path: &str) -> Result<Micros, SettingsError> {
        let seconds = self.number(path, MIN_DURATION_S, MAX_DURATION_S)?;
        Ok(Micros::from_secs_f64(seconds))
    }

    /// Returns a string, which must be neither empty nor too long.
    pub fn text(&self, path: &str) -> Result<String, SettingsError> {
        let text: String = self.get(path)?;
        if text.is_empty() || text.len() > MAX_TEXT_BYTES {
            return Err(SettingsError::TextLength {
                path: path.to_owned(),
            });
        }
        Ok(text)
    }
}
