//! The store file: where this router keeps what it needs after a restart.

#![allow(missing_docs, reason = "doc comments here are texts of the checked-in schema, which stays as it is")]

use crate::{invalid, read_checked, schema_text, OperatorFile, OperatorFileError};
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

/// Reads a store file.
///
/// # Errors
/// The first thing that is wrong, by the field's path.
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
