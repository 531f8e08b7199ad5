//! The store of one owner. The engine may panic over damaged files: every call into it is guarded.

use crate::error::{QuarantineReason, StoreError};
use crate::file::{self, MAX_FILE};
use crate::snapshot::{can_be_stored, LoadOutcome, Pieces, StoredSnapshot};
use crate::transaction::{read, write};
use redb::{Database, StorageBackend};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;

/// Memory that the engine may use to cache the file, in bytes.
const CACHE: usize = 1 << 20;
/// A file is compacted from this length on, in bytes.
const COMPACTED_FROM: u64 = MAX_FILE / 8;
/// And no more often than after so many writes, as it rewrites the file.
const WRITES_BETWEEN_COMPACTIONS: u64 = 1000;

/// The store of one owner.
pub struct Store {
    /// `None` where the file can't be used, or after the engine has failed.
    pub(crate) engine: Option<Database>,
    owner: u64,
    /// The epoch of the last snapshot.
    epoch: u64,
    writes_since_compaction: u64,
}

impl Store {
    /// Opens a storage for this owner. Where what is in it can't be used, nothing can be written either: a new storage is to
    /// be begun ([`Store::open_file`] does that with files).
    pub fn open(storage: impl StorageBackend, owner: u64) -> (Store, LoadOutcome) {
        let opened = catch_unwind(AssertUnwindSafe(|| open_engine(storage, owner)));
        let panicked = |_| Err(QuarantineReason::unreadable("its engine failed over it"));
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

    /// Opens a file. One that can't be used is moved out of the way, under a name beside it that tells so, and a new one is
    /// begun.
    ///
    /// # Errors
    /// Not even a new file can be had: a folder that is missing, read-only or full.
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

    /// Later snapshots have later epochs than this.
    pub fn continue_after(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }

    /// The epoch of the last snapshot.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Writes all pieces in place of what was there, and returns once the disk says that it has them. `taken_at` is the Unix
    /// time in seconds. Returns the epoch of this snapshot.
    ///
    /// # Errors
    /// How far it came.
    pub fn save(&mut self, pieces: &Pieces, taken_at: f64) -> Result<u64, StoreError> {
        if !can_be_stored(pieces) {
            return Err(StoreError::TooLarge);
        }
        let epoch = self.epoch + 1;
        let snapshot = StoredSnapshot { epoch, taken_at, pieces: pieces.clone() };
        let engine = self.engine.as_mut().ok_or(StoreError::NoFile)?;
        // After an error the engine may go on, or not: that shows at the next write.
        match catch_unwind(AssertUnwindSafe(|| write(engine, self.owner, &snapshot))) {
            Ok(written) => written?,
            Err(_) => {
                self.drop_engine();
                return Err(StoreError::EnginePanicked("under a write"));
            }
        }
        self.epoch = epoch;
        self.writes_since_compaction += 1;
        Ok(epoch)
    }

    /// Gives back the space that earlier snapshots took, where the file has grown to this length.
    ///
    /// # Errors
    /// As for a write.
    pub fn compact(&mut self, length: u64) -> Result<(), StoreError> {
        if length <= COMPACTED_FROM || self.writes_since_compaction < WRITES_BETWEEN_COMPACTIONS {
            return Ok(());
        }
        self.writes_since_compaction = 0;
        let Some(engine) = &mut self.engine else { return Ok(()) };
        let compacted =
            catch_unwind(AssertUnwindSafe(|| engine.compact().map(|_| ()).map_err(StoreError::engine)));
        compacted.unwrap_or(Err(StoreError::EnginePanicked("as it was compacted")))
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
    let engine = Database::builder().set_cache_size(CACHE).create_with_backend(storage);
    let engine = engine.map_err(QuarantineReason::unreadable)?;
    let outcome = read(&engine, owner)?;
    Ok((engine, outcome))
}

/// The engine writes when it is closed, and may fail over a file that is damaged where nothing was read so far.
impl Drop for Store {
    fn drop(&mut self) {
        self.drop_engine();
    }
}
