//! What can be wrong with the input.

use cleatgw_deployment_config::SettingError;

/// A line that can't be understood.
#[derive(Debug, thiserror::Error)]
pub enum WireError {
    #[error("line {line}: {message}: field {field}: expected {expected}, got \"{got}\"")]
    Field { line: u64, message: String, field: &'static str, expected: String, got: String },
    #[error("BEGIN: {0}")]
    Setting(#[from] SettingError),
}
