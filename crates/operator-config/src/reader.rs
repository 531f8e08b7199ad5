//! Reads a file of any kind: checks its length, parses the JSON and its fields, and checks the values.

use crate::OperatorFileError;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;

/// The largest length of a file.
pub const MAX_FILE_BYTES: usize = 1024 * 1024;

/// A kind of operators' file.
pub(crate) trait OperatorFile: DeserializeOwned {
    /// Checks the values of its fields.
    fn check(&self) -> Result<(), OperatorFileError>;
}

/// Parses the text of a file and checks its values.
pub(crate) fn read_checked<F: OperatorFile>(text: &str) -> Result<F, OperatorFileError> {
    if text.len() > MAX_FILE_BYTES {
        return Err(OperatorFileError::TooLong(text.len()));
    }
    let file: F = parse(text)?;
    file.check()?;
    Ok(file)
}

fn parse<T: DeserializeOwned>(text: &str) -> Result<T, OperatorFileError> {
    let mut json = serde_json::Deserializer::from_str(text);
    let value = serde_path_to_error::deserialize(&mut json).map_err(|error| {
        let path = error.path().to_string();
        let source = error.into_inner();
        match path.as_str() {
            _ if source.is_syntax() || source.is_eof() => OperatorFileError::Syntax(source),
            "." => OperatorFileError::TopLevel(source),
            _ => OperatorFileError::Field { path, source },
        }
    })?;
    json.end().map_err(OperatorFileError::Trailing)?;
    Ok(value)
}

/// The schema of a kind of file, as it is checked in under `deploy/`.
pub(crate) fn schema_text<F: JsonSchema>() -> String {
    let schema = schemars::schema_for!(F);
    serde_json::to_string_pretty(&schema).expect("a schema is plain JSON") + "\n"
}
