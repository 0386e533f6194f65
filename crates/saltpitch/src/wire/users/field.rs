//! Fields of a submission and the checks on them.

use saltpitch_core::job::MAX_TASKS;
use saltpitch_core::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::Value;

use super::{is_job_id, MAX_DEPENDENCIES};
use crate::wire::{milli, span, DecodeError, FieldError};

/// The longest text in bytes.
const MAX_TEXT: usize = 200;
/// The most machine types that a submission can name.
const MAX_NAMES: usize = 100;

/// A field as it was sent. Reading never fails, so that the fields are checked in the order of the
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
    /// The value; an error if it is absent or of another type.
    fn required(self, name: &'static str, error: FieldError) -> Result<T, DecodeError> {
        match self {
            Field::Value(value) => Ok(value),
            Field::Absent | Field::WrongType => Err(DecodeError::field(name, error)),
        }
    }

    /// The value if there is one; an error if it is of another type.
    fn optional(self, name: &'static str, error: FieldError) -> Result<Option<T>, DecodeError> {
        match self {
            Field::Value(value) => Ok(Some(value)),
            Field::Absent => Ok(None),
            Field::WrongType => Err(DecodeError::field(name, error)),
        }
    }
}

impl Field<String> {
    /// Text of a sensible length.
    pub fn text(self, name: &'static str) -> Result<String, DecodeError> {
        let text = self.required(name, FieldError::NotText)?;
        if is_text(&text) {
            Ok(text)
        } else {
            Err(DecodeError::field(name, FieldError::NotText))
        }
    }

    /// Any string or none.
    pub fn optional_string(self, name: &'static str) -> Result<Option<String>, DecodeError> {
        self.optional(name, FieldError::NotAStringOrNull)
    }
}

impl Field<bool> {
    /// True or false.
    pub fn flag(self, name: &'static str) -> Result<bool, DecodeError> {
        self.required(name, FieldError::NotABoolean)
    }
}

impl Field<u64> {
    /// A number of tasks that a job can have.
    pub fn task_count(self, name: &'static str) -> Result<u32, DecodeError> {
        let count = self.required(name, FieldError::TaskCount)?;
        u32::try_from(count)
            .ok()
            .filter(|count| (1..=MAX_TASKS).contains(count))
            .ok_or(DecodeError::field(name, FieldError::TaskCount))
    }
}

impl Field<f64> {
    /// An amount, in thousandths.
    pub fn amount(self, name: &'static str) -> Result<u64, DecodeError> {
        let number = self.required(name, FieldError::NotANumber)?;
        milli(number).ok_or(DecodeError::field(name, FieldError::OutOfRange))
    }

    /// A span of time.
    pub fn span(self, name: &'static str) -> Result<Micros, DecodeError> {
        let number = self.required(name, FieldError::NotANumber)?;
        span(number).ok_or(DecodeError::field(name, FieldError::OutOfRange))
    }

    /// A span of time or none.
    pub fn optional_span(self, name: &'static str) -> Result<Option<Micros>, DecodeError> {
        match self {
            Field::Absent => Ok(None),
            present => present.span(name).map(Some),
        }
    }
}

impl Field<Vec<Field<String>>> {
    /// Names, in the order in which they were sent, or none.
    pub fn optional_names(self, name: &'static str) -> Result<Option<Vec<String>>, DecodeError> {
        let Some(list) = self.optional(name, FieldError::NotAListOrNull)? else {
            return Ok(None);
        };
        if list.len() > MAX_NAMES {
            return Err(DecodeError::field(name, FieldError::NotAListOrNull));
        }
        let item = |item: Field<String>| item.required(name, FieldError::NotNames);
        let names: Result<Vec<String>, DecodeError> = list.into_iter().map(item).collect();
        names.map(Some)
    }

    /// Job ids, each once and in order; an absent list is empty.
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

/// Whether a string is neither empty nor too long.
pub fn is_text(text: &str) -> bool {
    (1..=MAX_TEXT).contains(&text.len())
}
