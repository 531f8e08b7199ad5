//! Reads the configuration and the operators' files, with errors that name the file.

use std::error::Error;
use std::path::{Path, PathBuf};

/// Why a file can't be used, with its path.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", path.display())]
pub struct FileError {
    path: PathBuf,
    source: Box<dyn Error + Send + Sync>,
}

impl FileError {
    pub fn new(path: &Path, source: impl Into<Box<dyn Error + Send + Sync>>) -> FileError {
        FileError { path: path.to_path_buf(), source: source.into() }
    }
}

/// Reads a file and parses its text.
///
/// # Errors
/// The file can't be read, or `parse` fails.
pub fn read_file<T, E>(path: &Path, parse: impl FnOnce(&str) -> Result<T, E>) -> Result<T, FileError>
where
    E: Error + Send + Sync + 'static,
{
    let text = std::fs::read_to_string(path).map_err(|error| FileError::new(path, error))?;
    parse(&text).map_err(|error| FileError::new(path, error))
}
