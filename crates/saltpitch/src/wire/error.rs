//! Why a message cannot be decoded.

use super::users::MAX_DEPENDENCIES;

/// Why a message cannot be decoded. Users read these texts; those on a field name it.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It is not JSON, or not of the expected structure.
    #[error("{reason}")]
    Json {
        /// What the parser says, with the position.
        reason: String,
    },
    /// A submission is JSON, but no object.
    #[error("the body is not a JSON object")]
    NotAnObject,
    /// A field cannot be taken.
    #[error("field `{field}` {reason}")]
    Field {
        /// The field's name in the message.
        field: &'static str,
        /// What is wrong with it.
        reason: FieldError,
    },
    /// A heartbeat names a task in another form than `JOB/INDEX`.
    #[error("no task id: {0:?}")]
    TaskId(String),
    /// A heartbeat does not say why a task exited.
    #[error("an exited task has no `cause`")]
    ExitWithoutCause,
    /// The state service announces a write without the value.
    #[error("a write without a value")]
    WriteWithoutValue,
    /// The state service announces a change of an unknown kind.
    #[error("a change that is neither write nor delete")]
    NeitherWriteNorDelete,
}

impl DecodeError {
    /// A field that cannot be taken.
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
    /// Not the form that job ids always have.
    #[error("is not a job id")]
    NotAJobId,
    /// Not a name that a machine can have.
    #[error("is not a machine's name")]
    NotAMachineName,
    /// None of the words that the field can hold.
    #[error("has no value {0:?}")]
    UnknownValue(String),
    /// Not a number of tasks that a job can have.
    #[error("must be an integer from 1 to 100000")]
    TaskCount,
    /// Missing, no string, empty or too long.
    #[error("must be a string of 1 to 200 bytes")]
    NotText,
    /// Missing or no boolean.
    #[error("must be true or false")]
    NotABoolean,
    /// Missing or no number.
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
    /// A list of something else than names.
    #[error("must hold names")]
    NotNames,
    /// A list of something else than job ids.
    #[error("must hold job ids")]
    NotJobIds,
    /// More dependencies than a job can have.
    #[error("holds more than {MAX_DEPENDENCIES} ids")]
    TooManyIds,
}
