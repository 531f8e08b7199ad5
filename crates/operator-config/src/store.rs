//! The store file: where this router keeps what it needs after a restart.

use crate::{parse, wrong, Wrong, LONGEST};
use schemars::JsonSchema;
use serde::Deserialize;
use std::path::PathBuf;

/// `deploy/store.json`: a lasting disk of this router's own.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreFile {
    /// The file that is kept, in a folder that is there and that survives the process. No two routers may share it; beside
    /// it goes one that could not be used, as `NAME.aside`.
    #[schemars(with = "String")]
    pub path: PathBuf,
}

/// # Errors
/// As for the service file.
pub fn read_store(text: &str) -> Result<StoreFile, Wrong> {
    if text.len() > LONGEST {
        return Err(Wrong(format!("expected at most {LONGEST} bytes, got {}", text.len())));
    }
    let file: StoreFile = parse(text)?;
    match file.path.file_name() {
        Some(_) if !file.path.is_dir() => Ok(file),
        _ => wrong("path", "the path of a file", file.path.display()),
    }
}

/// The schema of the store file.
pub fn store_schema() -> String {
    let schema = schemars::schema_for!(StoreFile);
    serde_json::to_string_pretty(&schema).expect("a schema is plain JSON") + "\n"
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::path::Path;

    const GOOD: &str = include_str!("../../../deploy/store.json");

    #[test]
    fn the_example_is_read_the_schema_is_the_one_checked_in_and_errors_name_the_field() {
        assert!(read_store(GOOD).unwrap().path.ends_with("kept.redb"));
        let checked_in = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/store.schema.json");
        let text = std::fs::read_to_string(checked_in).unwrap();
        assert!(text == store_schema(), "stale: write `cleatgw schema store` to deploy/store.schema.json");
        for (text, words) in [
            (r#"{"path": "/"}"#, "field path: expected the path of a file, got /"),
            (r#"{"path": 3}"#, "field path: invalid type"),
            (r#"{"file": "x"}"#, "field file: unknown field"),
            ("{}", "missing field `path`"),
        ] {
            let said = read_store(text).unwrap_err().0;
            assert!(said.contains(words), "{text}: {said}");
        }
    }
}
