//! Errors in the input.

use cleatgw_deployment_config::SettingError;

/// Why a line of the input is rejected.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    /// A field is missing or malformed, or the line is not allowed here.
    #[error("line {line}: {message}: field {field}: expected {expected}, got \"{got}\"")]
    Field { line: u64, message: String, field: &'static str, expected: String, got: String },
    /// A setting in a `BEGIN` line is malformed.
    #[error("BEGIN: {0}")]
    Setting(#[from] SettingError),
}
