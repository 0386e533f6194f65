//! Why settings cannot be used.

use std::path::PathBuf;

use super::contradictions::Contradiction;

/// Why settings cannot be used. The texts name the field by its path.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A file cannot be read.
    #[error("{file}: cannot read {}", path.display())]
    Unreadable {
        /// Which of the files.
        file: &'static str,
        /// Where it was looked for.
        path: PathBuf,
        /// Why.
        source: std::io::Error,
    },
    /// The settings file is not JSON.
    #[error("settings: not valid JSON")]
    NotJson(#[source] serde_json::Error),
    /// The settings file is JSON, but no object.
    #[error("settings: not a JSON object")]
    NotAnObject,
    /// A field is missing.
    #[error("settings: field `{path}` is missing")]
    Missing {
        /// The field.
        path: String,
    },
    /// A field has the wrong type.
    #[error("settings: field `{path}` is invalid: {reason}")]
    Invalid {
        /// The field.
        path: String,
        /// What the reader says.
        reason: serde_json::Error,
    },
    /// A field that may be left out is neither null nor an object.
    #[error("settings: field `{path}` must be an object")]
    NotAnObjectField {
        /// The field.
        path: String,
    },
    /// A number is out of its range.
    #[error("settings: field `{path}` must lie between {min} and {max}, not {number}")]
    OutOfRange {
        /// The field.
        path: String,
        /// The least that is allowed.
        min: f64,
        /// The most that is allowed.
        max: f64,
        /// What the file says.
        number: f64,
    },
    /// A text is empty or too long.
    #[error("settings: field `{path}` must have 1 to 200 characters")]
    TextLength {
        /// The field.
        path: String,
    },
    /// An element of a list cannot be used.
    #[error("settings: field `{list}[{index}]`")]
    Element {
        /// The list.
        list: &'static str,
        /// Which element, counted from zero.
        index: usize,
        /// What is wrong with it.
        source: Box<SettingsError>,
    },
    /// Fields that are valid one by one contradict each other.
    #[error(transparent)]
    Contradiction(#[from] Contradiction),
    /// The operators' policy cannot be used.
    #[error("policy: {}:{reason}", path.display())]
    Policy {
        /// The file.
        path: PathBuf,
        /// What is wrong with it, with the position.
        reason: String,
    },
    /// The operators' file on cells cannot be used.
    #[error(transparent)]
    Cells(#[from] saltpitch_cells::settings::SettingsError),
}
