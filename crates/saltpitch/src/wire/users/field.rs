//! The fields of a submission and the checks of their values.

use saltpitch_core::job::MAX_TASKS;
use saltpitch_core::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use super::{is_job_id, MAX_DEPENDENCIES};
use crate::wire::{to_duration, to_thousandths, DecodeError, FieldError};

const MAX_TEXT_BYTES: usize = 200;
/// The largest number of machine types that a submission can name.
const MAX_TYPE_NAMES: usize = 100;

/// A field as it was sent. Deserializing it never fails, so that the fields are checked in the order of the
/// protocol and not in the order in which they were sent.
#[derive(Default)]
pub enum Field<T> {
    /// Missing or null.
    #[default]
    Absent,
    /// A value of the right type.
    Value(T),
    /// A value of another type.
    WrongType,
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Field<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Field<T>, D::Error> {
        let value = Value::deserialize(deserializer)?;
        if value.is_null() {
            return Ok(Field::Absent);
        }
        Ok(serde_json::from_value(value).map_or(Field::WrongType, Field::Value))
    }
}

impl<T> Field<T> {
    /// Returns the value, or `error` if it is absent or of another type.
    fn required(self, name: &'static str, error: FieldError) -> Result<T, DecodeError> {
        match self {
            Field::Value(value) => Ok(value),
            Field::Absent | Field::WrongType => Err(DecodeError::field(name, error)),
        }
    }

    /// Returns the value if there is one, or `error` if it is of another type.
    fn optional(self, name: &'static str, error: FieldError) -> Result<Option<T>, DecodeError> {
        match self {
            Field::Value(value) => Ok(Some(value)),
            Field::Absent => Ok(None),
            Field::WrongType => Err(DecodeError::field(name, error)),
        }
    }
}

impl Field<String> {
    /// Returns the string if it is neither empty nor too long.
    pub fn text(self, name: &'static str) -> Result<String, DecodeError> {
        let text = self.required(name, FieldError::NotText)?;
        if is_text(&text) {
            Ok(text)
        } else {
            Err(DecodeError::field(name, FieldError::NotText))
        }
    }

    /// Returns the string, of any length, or `None` if it is absent.
    pub fn optional_string(self, name: &'static str) -> Result<Option<String>, DecodeError> {
        self.optional(name, FieldError::NotAStringOrNull)
    }
}

impl Field<bool> {
    /// Returns the boolean.
    pub fn flag(self, name: &'static str) -> Result<bool, DecodeError> {
        self.required(name, FieldError::NotABoolean)
    }
}

impl Field<u64> {
    /// Returns the number if a job can have this many tasks.
    pub fn task_count(self, name: &'static str) -> Result<u32, DecodeError> {
        let count = self.required(name, FieldError::TaskCount)?;
        u32::try_from(count)
            .ok()
            .filter(|count| (1..=MAX_TASKS).contains(count))
            .ok_or(DecodeError::field(name, FieldError::TaskCount))
    }
}

impl Field<f64> {
    /// Returns the amount in thousandths.
    pub fn amount(self, name: &'static str) -> Result<u64, DecodeError> {
        let number = self.required(name, FieldError::NotANumber)?;
        to_thousandths(number).ok_or(DecodeError::field(name, FieldError::OutOfRange))
    }

    /// Returns the duration, which is sent in seconds.
    pub fn duration(self, name: &'static str) -> Result<Micros, DecodeError> {
        let number = self.required(name, FieldError::NotANumber)?;
        to_duration(number).ok_or(DecodeError::field(name, FieldError::OutOfRange))
    }

    /// Returns the duration, or `None` if it is absent.
    pub fn optional_duration(self, name: &'static str) -> Result<Option<Micros>, DecodeError> {
        match self {
            Field::Absent => Ok(None),
            present => present.duration(name).map(Some),
        }
    }
}

impl Field<Vec<Field<String>>> {
    /// Returns the names in the order in which they were sent, or `None` if the list is absent.
    pub fn optional_names(self, name: &'static str) -> Result<Option<Vec<String>>, DecodeError> {
        let Some(list) = self.optional(name, FieldError::NotAListOrNull)? else {
            return Ok(None);
        };
        if list.len() > MAX_TYPE_NAMES {
            return Err(DecodeError::field(name, FieldError::NotAListOrNull));
        }
        let item = |item: Field<String>| item.required(name, FieldError::NotNames);
        let names: Result<Vec<String>, DecodeError> = list.into_iter().map(item).collect();
        names.map(Some)
    }

    /// Returns the job ids, sorted and without duplicates; an absent list is empty.
    pub fn job_ids(self, name: &'static str) -> Result<Vec<String>, DecodeError> {
        let list = self.optional(name, FieldError::NotAListOrNull)?;
        let list = list.unwrap_or_default();
        if list.len() > MAX_DEPENDENCIES {
            return Err(DecodeError::field(name, FieldError::TooManyIds));
        }
        let mut ids = Vec::with_capacity(list.len());
        for item in list {
            let id = item.required(name, FieldError::NotJobIds)?;
            if !is_job_id(&id) {
                return Err(DecodeError::field(name, FieldError::NotJobIds));
            }
            ids.push(id);
        }
        ids.sort();
        ids.dedup();
        Ok(ids)
    }
}

/// Returns whether a string is neither empty nor too long.
pub fn is_text(text: &str) -> bool {
    (1..=MAX_TEXT_BYTES).contains(&text.len())
}
