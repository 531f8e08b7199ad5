//! The file of a store, and where one goes that can't be used.

use crate::StoreError;
use redb::backends::FileBackend;
use std::fs::{rename, File, OpenOptions};
use std::io;
use std::path::{Path, PathBuf};

/// A file that has grown beyond this is begun anew, in bytes.
pub const MAX_FILE: u64 = 64 << 20;

/// Where a file that can't be used goes.
pub fn quarantine_path(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(".aside");
    path.with_file_name(name)
}

/// Moves a file that can't be used out of the way; the latest such file is left there.
pub(crate) fn quarantine(path: &Path) -> Result<(), StoreError> {
    Ok(rename(path, quarantine_path(path))?)
}

/// Opens a file for the engine; one that is too long is moved out of the way.
pub(crate) fn open(path: &Path) -> Result<FileBackend, StoreError> {
    let mut file = open_or_create(path)?;
    if file.metadata()?.len() > MAX_FILE {
        quarantine(path)?;
        file = open_or_create(path)?;
    }
    FileBackend::new(file).map_err(StoreError::engine)
}

fn open_or_create(path: &Path) -> io::Result<File> {
    OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)
}
