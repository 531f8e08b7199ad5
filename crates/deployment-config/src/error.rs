//! The error of a malformed setting.

/// A setting whose value is malformed or out of range.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("setting {setting}: expected {expected}, got {got}")]
pub struct SettingError {
    /// The path of the setting.
    pub setting: String,
    /// What was expected.
    pub expected: &'static str,
    /// The value of the setting.
    pub got: String,
}

impl SettingError {
    /// An error for a text that is not a value of the expected kind.
    pub(crate) fn malformed(setting: &str, expected: &'static str, got: &str) -> SettingError {
        SettingError { setting: setting.to_string(), expected, got: format!("\"{got}\"") }
    }
}
