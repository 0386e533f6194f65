//! Why a message cannot be decoded.

use super::users::MAX_DEPENDENCIES;

/// Why a message cannot be decoded. Users read these texts; those on a field name it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The body is not JSON, or does not have the expected structure.
    #[error("{reason}")]
    Json {
        /// The parser's message, with the position.
        reason: String,
    },
    /// A submission is JSON, but not an object.
    #[error("the body is not a JSON object")]
    NotAnObject,
    /// A field has an invalid value.
    #[error("field `{field}` {reason}")]
    Field {
        /// The field's name in the message.
        field: &'static str,
        /// What is wrong with the value.
        reason: FieldError,
    },
    /// A heartbeat names a task in another form than `JOB/INDEX`.
    #[error("not a task id: {0:?}")]
    TaskId(String),
    /// A heartbeat does not say why a task exited.
    #[error("an exited task has no `cause`")]
    ExitWithoutCause,
    /// The state service reports a write without the value.
    #[error("a change has `write` but no value `v`")]
    WriteWithoutValue,
    /// The state service reports a change that has neither or both of the keys `write` and `delete`.
    #[error("a change must have either `write` or `delete`")]
    NotOneOfWriteAndDelete,
}

impl DecodeError {
    /// Creates the error for a field with an invalid value.
    pub fn field(field: &'static str, reason: FieldError) -> DecodeError {
        DecodeError::Field { field, reason }
    }
}

impl From<serde_json::Error> for DecodeError {
    fn from(error: serde_json::Error) -> DecodeError {
        DecodeError::Json {
            reason: error.to_string(),
        }
    }
}

/// What is wrong with a field.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FieldError {
    /// Not of the form of job ids.
    #[error("is not a job id")]
    NotAJobId,
    /// Not a valid machine name.
    #[error("is not a machine's name")]
    NotAMachineName,
    /// Not one of the values that the field can have.
    #[error("has no value {0:?}")]
    UnknownValue(String),
    /// Missing, or not a number of tasks that a job can have.
    #[error("must be an integer from 1 to 100000")]
    TaskCount,
    /// Missing, not a string, empty or too long.
    #[error("must be a string of 1 to 200 bytes")]
    NotText,
    /// Missing or not a boolean.
    #[error("must be true or false")]
    NotABoolean,
    /// Missing or not a number.
    #[error("must be a number")]
    NotANumber,
    /// Negative, too large or not finite.
    #[error("is out of range")]
    OutOfRange,
    /// Neither null nor a list of an accepted length.
    #[error("must be a list or null")]
    NotAListOrNull,
    /// Neither null nor a string.
    #[error("must be a string or null")]
    NotAStringOrNull,
    /// A list with an element that is not a string.
    #[error("must hold names")]
    NotNames,
    /// A list with an element that is not a job id.
    #[error("must hold job ids")]
    NotJobIds,
    /// More dependencies than a job can have.
    #[error("holds more than {MAX_DEPENDENCIES} ids")]
    TooManyIds,
}
