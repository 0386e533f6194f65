//! Why settings cannot be used.

use std::path::PathBuf;

use super::contradictions::Contradiction;

/// Why settings cannot be used. The texts name the field by its path.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("{file}: cannot read {}", path.display())]
    Unreadable {
        /// Which of the files: `settings`, `policy` or `cells`.
        file: &'static str,
        /// The file's path.
        path: PathBuf,
        /// The error of the file system.
        source: std::io::Error,
    },
    /// The settings file is not JSON.
    #[error("settings: not valid JSON")]
    NotJson(#[source] serde_json::Error),
    /// The settings file is JSON, but not an object.
    #[error("settings: not a JSON object")]
    NotAnObject,
    /// A field is missing.
    #[error("settings: field `{path}` is missing")]
    Missing {
        /// The field's path.
        path: String,
    },
    /// A field has the wrong type.
    #[error("settings: field `{path}` is invalid: {reason}")]
    Invalid {
        /// The field's path.
        path: String,
        /// The parser's message.
        reason: serde_json::Error,
    },
    /// An optional field is neither null nor an object.
    #[error("settings: field `{path}` must be an object")]
    NotAnObjectField {
        /// The field's path.
        path: String,
    },
    /// A number is out of its range.
    #[error("settings: field `{path}` must lie between {min} and {max}, not {number}")]
    OutOfRange {
        /// The field's path.
        path: String,
        /// The smallest allowed value.
        min: f64,
        /// The largest allowed value.
        max: f64,
        /// The value in the file.
        number: f64,
    },
    /// A text is empty or too long.
    #[error("settings: field `{path}` must have 1 to 200 characters")]
    TextLength {
        /// The field's path.
        path: String,
    },
    /// An element of a list is invalid.
    #[error("settings: field `{list}[{index}]`")]
    Element {
        /// The list's path.
        list: &'static str,
        /// The element's index, counted from zero.
        index: usize,
        /// The error in the element.
        source: Box<SettingsError>,
    },
    /// Fields that are valid by themselves contradict each other.
    #[error(transparent)]
    Contradiction(#[from] Contradiction),
    /// The operators' policy is invalid.
    #[error("policy: {}:{reason}", path.display())]
    Policy {
        /// The file's path.
        path: PathBuf,
        /// The error, with its position.
        reason: String,
    },
    /// The operators' file on cells is invalid.
    #[error(transparent)]
    Cells(#[from] saltpitch_cells::settings::SettingsError),
}
