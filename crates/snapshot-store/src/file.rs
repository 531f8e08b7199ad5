//! The file of a store, and the quarantine of files that can't be used.

use crate::StoreError;
use redb::backends::FileBackend;
use std::fs::{rename, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

/// Maximum length of a store file in bytes. A longer file is quarantined at the next opening and a new one is created.
pub const MAX_FILE_BYTES: u64 = 64 << 20;

/// The path that a file that can't be used is renamed to: beside it, with `.aside` appended to its name.
pub fn quarantine_path(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(".aside");
    path.with_file_name(name)
}

/// Renames a file that can't be used to its quarantine path. A file that was quarantined earlier is overwritten.
pub(crate) fn quarantine(path: &Path) -> Result<(), StoreError> {
    Ok(rename(path, quarantine_path(path))?)
}

/// Opens a file for the storage engine. A file that is too long is quarantined without a report, and
/// a new one is created.
pub(crate) fn open(path: &Path) -> Result<FileBackend, StoreError> {
    let mut file = open_or_create(path)?;
    if file.metadata()?.len() > MAX_FILE_BYTES {
        quarantine(path)?;
        file = open_or_create(path)?;
    }
    FileBackend::new(file).map_err(StoreError::engine)
}

fn open_or_create(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}
