//! The errors of operators' files.

use crate::MAX_FILE_BYTES;
use std::fmt::Display;

/// An operator's file that can't be used. An error of a field names the path of the field, the expected value and the
/// actual one.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file is longer than [`MAX_FILE_BYTES`]; contains its length in bytes.
    #[error("expected at most {MAX_FILE_BYTES} bytes, got {0}")]
    TooLong(usize),
    /// The file is not JSON.
    #[error("expected JSON: {0}")]
    Syntax(serde_json::Error),
    /// There is more text after the JSON value.
    #[error("expected the end of the JSON: {0}")]
    Trailing(serde_json::Error),
    /// The error concerns the top level of the JSON value: a field is missing there, or the value is not an object.
    #[error("{0}")]
    TopLevel(serde_json::Error),
    /// A field has a value of the wrong type, is unknown, or is missing below the top level.
    #[error("field {path}: {source}")]
    Field {
        /// The path of the field.
        path: String,
        /// The error.
        source: serde_json::Error,
    },
    /// A field has a value of the right type that is not allowed.
    #[error("field {path}: expected {expected}, got {got}")]
    Value {
        /// The path of the field.
        path: String,
        /// The allowed values.
        expected: String,
        /// The actual value.
        got: String,
    },
}

/// Returns the error of a field whose value has the right type but is not allowed.
pub(crate) fn invalid<T>(
    path: impl Display,
    expected: &str,
    got: impl Display,
) -> Result<T, OperatorFileError> {
    let path = path.to_string();
    let expected = expected.to_string();
    let got = got.to_string();
    Err(OperatorFileError::Value { path, expected, got })
}
