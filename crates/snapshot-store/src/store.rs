//! The store of one owner. The storage engine may panic on damaged files, so panics are caught around every call into
//! it.

use crate::error::{QuarantineReason, StoreError};
use crate::file::{self, MAX_FILE_BYTES};
use crate::snapshot::{can_be_stored, LoadOutcome, Pieces, StoredSnapshot};
use crate::transaction::{read, write};
use redb::{Database, StorageBackend};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// Memory in bytes that the engine may use to cache the file.
const CACHE_BYTES: usize = 1 << 20;
/// Length in bytes above which a file is compacted.
const COMPACTION_THRESHOLD_BYTES: u64 = MAX_FILE_BYTES / 8;
/// Minimum number of writes between two compactions, as a compaction rewrites the file.
const WRITES_BETWEEN_COMPACTIONS: u64 = 1000;

/// The store of one owner.
pub struct Store {
    /// `None` if the storage can't be used, or after the engine has panicked in a write.
    pub(crate) engine: Option<Database>,
    owner: u64,
    /// The epoch of the last snapshot, or a higher one set by [`Store::continue_after`].
    epoch: u64,
    writes_since_compaction: u64,
}

impl Store {
    /// Opens a storage for this owner. If its contents can't be used, the store can't be written to either, and the
    /// caller has to open a new storage ([`Store::open_file`] does that with files).
    pub fn open(storage: impl StorageBackend, owner: u64) -> (Store, LoadOutcome) {
        let opened = catch_unwind(AssertUnwindSafe(|| open_engine(storage, owner)));
        let panicked =
            |_| Err(QuarantineReason::unreadable("the engine panicked while opening or reading it"));
        match opened.unwrap_or_else(panicked) {
            Ok((engine, outcome)) => {
                let epoch = match &outcome {
                    LoadOutcome::Complete(snapshot) => snapshot.epoch,
                    LoadOutcome::Empty | LoadOutcome::Quarantined(_) => 0,
                };
                (Store { engine: Some(engine), owner, epoch, writes_since_compaction: 0 }, outcome)
            }
            Err(reason) => {
                let store = Store { engine: None, owner, epoch: 0, writes_since_compaction: 0 };
                (store, LoadOutcome::Quarantined(reason))
            }
        }
    }

    /// Opens a file. A file that can't be used is renamed to [`quarantine_path`](crate::quarantine_path) and a new one
    /// is created. A file longer than [`MAX_FILE_BYTES`] is replaced in the same way, but without a report:
    /// [`LoadOutcome::Empty`] is returned.
    ///
    /// # Errors
    /// [`StoreError::Disk`] or [`StoreError::Engine`]: the file can't be opened, renamed or newly created, for example
    /// because the folder is missing, read-only or full. [`StoreError::NewFileUnusable`] or
    /// [`StoreError::NewFileNotEmpty`]: the newly created file can't be used, or already holds a snapshot.
    pub fn open_file(path: &Path, owner: u64) -> Result<(Store, LoadOutcome), StoreError> {
        let (store, outcome) = Store::open(file::open(path)?, owner);
        if store.engine.is_some() {
            return Ok((store, outcome));
        }
        drop(store);
        file::quarantine(path)?;
        match Store::open(file::open(path)?, owner) {
            (store, LoadOutcome::Empty) => Ok((store, outcome)),
            (_, LoadOutcome::Quarantined(reason)) => Err(StoreError::NewFileUnusable(reason)),
            (_, LoadOutcome::Complete(_)) => Err(StoreError::NewFileNotEmpty),
        }
    }

    /// Makes the epochs of later snapshots higher than this one.
    pub fn continue_after(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }

    /// The epoch of the last snapshot, or a higher one set by [`Store::continue_after`].
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Writes the pieces as a new snapshot that replaces the last one, and returns once the disk has acknowledged it.
    /// `taken_at` is the Unix time in seconds. Returns the epoch of the snapshot.
    ///
    /// # Errors
    /// The pieces exceed a limit, no usable file is open, or the storage engine reports an error or panics.
    pub fn save(&mut self, pieces: &Pieces, taken_at: f64) -> Result<u64, StoreError> {
        if !can_be_stored(pieces) {
            return Err(StoreError::TooLarge);
        }
        let epoch = self.epoch + 1;
        let snapshot = StoredSnapshot { epoch, taken_at, pieces: pieces.clone() };
        let engine = self.engine.as_mut().ok_or(StoreError::NoFile)?;
        // After an error the engine may or may not be usable; the next write shows which.
        match catch_unwind(AssertUnwindSafe(|| write(engine, self.owner, &snapshot))) {
            Ok(written) => written?,
            Err(_) => {
                self.drop_engine();
                return Err(StoreError::EnginePanicked("writing a snapshot"));
            }
        }
        self.epoch = epoch;
        self.writes_since_compaction += 1;
        Ok(epoch)
    }

    /// Releases the space of earlier snapshots if the file, of this `length` in bytes, has grown beyond a threshold and
    /// enough writes were made since the last compaction. After an error, also a panic, the engine stays open; a later
    /// write shows whether it is still usable.
    ///
    /// # Errors
    /// The storage engine reports an error or panics.
    pub fn compact(&mut self, length: u64) -> Result<(), StoreError> {
        if length <= COMPACTION_THRESHOLD_BYTES || self.writes_since_compaction < WRITES_BETWEEN_COMPACTIONS {
            return Ok(());
        }
        self.writes_since_compaction = 0;
        let Some(engine) = &mut self.engine else { return Ok(()) };
        let compacted =
            catch_unwind(AssertUnwindSafe(|| engine.compact().map(|_| ()).map_err(StoreError::engine)));
        compacted.unwrap_or(Err(StoreError::EnginePanicked("compacting the file")))
    }

    fn drop_engine(&mut self) {
        let engine = self.engine.take();
        let _ = catch_unwind(AssertUnwindSafe(|| drop(engine)));
    }
}

fn open_engine(
    storage: impl StorageBackend,
    owner: u64,
) -> Result<(Database, LoadOutcome), QuarantineReason> {
    let engine = Database::builder().set_cache_size(CACHE_BYTES).create_with_backend(storage);
    let engine = engine.map_err(QuarantineReason::unreadable)?;
    let outcome = read(&engine, owner)?;
    Ok((engine, outcome))
}

/// Closes the engine and ignores a panic: the engine writes to the file when it is closed, and may panic if the file is
/// damaged in a part that was not read before.
impl Drop for Store {
    fn drop(&mut self) {
        self.drop_engine();
    }
}
