//! What can be wrong with a setting.

/// A setting that can't be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("setting {setting}: expected {expected}, got {got}")]
pub struct SettingError {
    /// Its path.
    pub setting: String,
    /// What was expected.
    pub expected: &'static str,
    /// What stood there.
    pub got: String,
}

impl SettingError {
    /// A text that is no such value.
    pub(crate) fn text(setting: &str, expected: &'static str, got: &str) -> SettingError {
        SettingError { setting: setting.to_string(), expected, got: format!("\"{got}\"") }
    }
}
