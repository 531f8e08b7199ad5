//! What can be wrong with a file.

use crate::MAX_FILE_BYTES;
use std::fmt::Display;

/// An operator's file that can't be used. An error of a field names it by its path, what was expected and what stood
/// there.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// It is longer than any may be; its length in bytes.
    #[error("expected at most {MAX_FILE_BYTES} bytes, got {0}")]
    TooLong(usize),
    /// It is no JSON.
    #[error("expected JSON: {0}")]
    Syntax(serde_json::Error),
    /// Something follows the JSON.
    #[error("expected the end of the JSON: {0}")]
    Trailing(serde_json::Error),
    /// It is JSON of another kind.
    #[error("{0}")]
    Kind(serde_json::Error),
    /// A field whose value is of another kind, or that is unknown or missing.
    #[error("field {path}: {source}")]
    Field {
        /// Where it stands.
        path: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// A field whose value can be read but is out of bounds.
    #[error("field {path}: expected {expected}, got {got}")]
    Value {
        /// Where it stands.
        path: String,
        /// What it should be.
        expected: String,
        /// What it is.
        got: String,
    },
}

/// A field whose value can be read but is out of bounds.
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
