//! The store file: where this router keeps the state that it needs after a restart.

#![allow(
    missing_docs,
    reason = "some fields need no description in the schema, which is derived from the doc comments"
)]

use crate::{invalid, read_checked, schema_text, OperatorFile, OperatorFileError};
use schemars::JsonSchema;
use serde::Deserialize;
use std::path::PathBuf;

/// `deploy/store.json`: where this router keeps its state on a persistent disk.
#[derive(Clone, Debug, Deserialize, JsonSchema, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct StoreFile {
    /// The path of the store. Its folder must exist and must survive the process. Two routers must not share a store. A
    /// store that can't be used is renamed to `NAME.aside` in the same folder.
    #[schemars(with = "String")]
    pub path: PathBuf,
}

/// Reads a store file.
///
/// # Errors
/// The first error found: the file is too long, is not JSON, has an unknown, missing or malformed field, or a field
/// whose value is not allowed, by itself or together with another field. An error of a field names
/// the field by its path; a missing field of the top level only by its name.
pub fn read_store(text: &str) -> Result<StoreFile, OperatorFileError> {
    read_checked(text)
}

impl OperatorFile for StoreFile {
    fn check(&self) -> Result<(), OperatorFileError> {
        match self.path.file_name() {
            Some(_) if !self.path.is_dir() => Ok(()),
            _ => invalid("path", "the path of a file", self.path.display()),
        }
    }
}

/// The schema of the store file.
pub fn store_schema() -> String {
    schema_text::<StoreFile>()
}

#[cfg(test)]
mod tests;
