//! What survives a process. An embedded engine (`redb`) holds a handful of pieces, which are always put together; what is
//! found at the next start is either one whole put of this owner and this format, or set aside and said so.
//!
//! **Disks lie**: they acknowledge what they lose, write half, in another order, flip bits, and give back older files. The engine
//! finds most of that; what it does not is found by a checksum over each piece together with its owner, its number
//! and its put, so that pieces of two puts, of two routers or of two files never stand beside each other. That a whole
//! file is older than the last one can't be seen in it: its epoch tells, to whoever has been shown a later one.
//!
//! Design: `docs/design/store.md`. Everything here may take as long as the disk does: the host calls it from a thread
//! of its own.

#![warn(missing_docs)]

mod format;

use format::{read_head, seal, unseal, write_head, NO_OWNER};
use redb::{Database, Durability, ReadableTable, StorageBackend, TableDefinition};
use std::collections::BTreeMap;
use std::fmt;
use std::fs::{File, OpenOptions};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

/// The form in which pieces are kept. A larger number than this is not ours to read; a smaller one is migrated by its
/// reader, or set aside.
pub const FORMAT: u32 = 1;
/// A piece is no longer than this, in bytes.
pub const MAX_PIECE: usize = 1 << 20;
/// Pieces of one put at most.
pub const MAX_PIECES: usize = 16;
/// A file that has grown beyond this is begun anew, in bytes.
pub const MAX_FILE: u64 = 64 << 20;
/// Memory that the engine may keep of the file, in bytes.
const CACHE: usize = 1 << 20;

/// A file is compacted from this length on, in bytes.
const COMPACTED_FROM: u64 = MAX_FILE / 8;
/// And no more often than after so many puts, as it rewrites the file.
const PUTS_BETWEEN_COMPACTIONS: u64 = 1000;

const TABLE: TableDefinition<u32, &[u8]> = TableDefinition::new("pieces");
/// The number under which a put tells of itself.
const HEAD: u32 = u32::MAX;

/// Pieces by their numbers.
pub type Pieces = BTreeMap<u32, Vec<u8>>;

/// One whole put.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Put {
    /// Grows with each put, over all incarnations of the owner.
    pub epoch: u64,
    /// Unix time at which it was made, by the owner's clock, in seconds.
    pub at: f64,
    /// What was put.
    pub pieces: Pieces,
}

/// Why what was found is not used.
#[derive(Clone, Debug, PartialEq)]
pub enum AsideReason {
    /// The engine could not read the file, in its words.
    Unreadable(String),
    /// It is another router's.
    OtherOwner,
    /// It was written by a newer version.
    Newer(u32),
    /// This piece is missing, cut, damaged or of another put; `HEAD` for what tells of the put itself.
    Damaged(u32),
}

impl std::error::Error for AsideReason {}

impl fmt::Display for AsideReason {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            AsideReason::Unreadable(why) => write!(to, "the file can't be read: {why}"),
            AsideReason::OtherOwner => to.write_str("it is another router's"),
            AsideReason::Newer(format) => write!(to, "its format {format} is newer than ours, {FORMAT}"),
            AsideReason::Damaged(HEAD) => to.write_str("it does not tell of itself"),
            AsideReason::Damaged(piece) => write!(to, "piece {piece} is damaged or of another put"),
        }
    }
}

/// What was found at the start.
#[derive(Clone, Debug, PartialEq)]
pub enum Found {
    /// No put was made yet.
    Nothing,
    /// One whole put.
    Whole(Put),
    /// Something that is not used, for this reason.
    Aside(AsideReason),
}

/// Why a put, or the opening of a file, has failed.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreError {
    /// Nothing of it was written: more pieces, or a longer one, than are kept.
    TooMuch,
    /// The disk or the engine failed under it: what is there is the last put, or this one.
    Disk(String),
}

impl std::error::Error for StoreError {}

impl fmt::Display for StoreError {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            StoreError::TooMuch => to.write_str("more than is kept"),
            StoreError::Disk(why) => to.write_str(why),
        }
    }
}

/// The store of one owner.
pub struct Store {
    /// `None` where the file can't be used, or after the engine has failed.
    engine: Option<Database>,
    owner: u64,
    /// The epoch of the last put.
    epoch: u64,
    /// Puts since the file was last compacted.
    puts_since_compaction: u64,
}

fn disk(error: impl fmt::Display) -> StoreError {
    StoreError::Disk(error.to_string())
}

fn read(engine: &Database, owner: u64) -> Result<Found, AsideReason> {
    let words = |error: &dyn fmt::Display| AsideReason::Unreadable(error.to_string());
    let reading = engine.begin_read().map_err(|error| words(&error))?;
    let table = match reading.open_table(TABLE) {
        Ok(table) => table,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(Found::Nothing),
        Err(error) => return Err(words(&error)),
    };
    let Some(bytes) = table.get(HEAD).map_err(|error| words(&error))? else { return Ok(Found::Nothing) };
    let sealed_head = unseal(NO_OWNER, HEAD, bytes.value()).ok_or(AsideReason::Damaged(HEAD))?;
    let epoch = sealed_head.epoch;
    let head = read_head(sealed_head.body)?;
    if head.owner != owner {
        return Err(AsideReason::OtherOwner);
    }
    let mut pieces = Pieces::new();
    for number in head.numbers {
        let bytes = table.get(number).map_err(|error| words(&error))?.ok_or(AsideReason::Damaged(number))?;
        let piece = unseal(owner, number, bytes.value()).ok_or(AsideReason::Damaged(number))?;
        if piece.epoch != epoch {
            return Err(AsideReason::Damaged(number));
        }
        pieces.insert(number, piece.body.to_vec());
    }
    Ok(Found::Whole(Put { epoch, at: head.at, pieces }))
}

/// Writes one put in place of what was there, in one transaction.
fn write(engine: &mut Database, owner: u64, epoch: u64, pieces: &Pieces, at: f64) -> Result<(), StoreError> {
    let mut writing = engine.begin_write().map_err(disk)?;
    writing.set_durability(Durability::Immediate);
    {
        let mut table = writing.open_table(TABLE).map_err(disk)?;
        let stale: Vec<u32> = table
            .iter()
            .map_err(disk)?
            .filter_map(Result::ok)
            .map(|(number, _)| number.value())
            .filter(|number| *number != HEAD && !pieces.contains_key(number))
            .collect();
        for number in stale {
            table.remove(number).map_err(disk)?;
        }
        for (number, body) in pieces {
            table.insert(number, seal(owner, epoch, *number, body).as_slice()).map_err(disk)?;
        }
        let head = seal(NO_OWNER, epoch, HEAD, &write_head(owner, at, pieces));
        table.insert(HEAD, head.as_slice()).map_err(disk)?;
    }
    writing.commit().map_err(disk)
}

impl Store {
    /// What is in this storage, for this owner. Where that can't be used, nothing can be put either: a new storage is
    /// to be begun ([`Store::at`] does that with files).
    pub fn open(storage: impl StorageBackend, owner: u64) -> (Store, Found) {
        let opened = catch_unwind(AssertUnwindSafe(|| {
            let engine = Database::builder().set_cache_size(CACHE).create_with_backend(storage);
            let engine = engine.map_err(|error| AsideReason::Unreadable(error.to_string()))?;
            let found = read(&engine, owner)?;
            Ok((engine, found))
        }));
        let none =
            |aside| (Store { engine: None, owner, epoch: 0, puts_since_compaction: 0 }, Found::Aside(aside));
        match opened {
            Ok(Ok((engine, found))) => {
                let epoch = if let Found::Whole(put) = &found { put.epoch } else { 0 };
                (Store { engine: Some(engine), owner, epoch, puts_since_compaction: 0 }, found)
            }
            Ok(Err(aside)) => none(aside),
            Err(_) => none(AsideReason::Unreadable("its engine failed over it".to_string())),
        }
    }

    /// What is in this file. One that can't be used is moved out of the way, under a name beside it that tells so, and a
    /// new one is begun; the latest such file is kept.
    ///
    /// # Errors
    /// Not even a new file can be had: a folder that is missing, read-only or full.
    pub fn at(path: &Path, owner: u64) -> Result<(Store, Found), StoreError> {
        let (store, found) = Store::open(file(path)?, owner);
        if store.engine.is_some() {
            return Ok((store, found));
        }
        drop(store);
        std::fs::rename(path, aside(path)).map_err(disk)?;
        match Store::open(file(path)?, owner) {
            (store, Found::Nothing) => Ok((store, found)),
            (_, Found::Aside(AsideReason::Unreadable(why))) => Err(StoreError::Disk(why)),
            (_, other) => Err(StoreError::Disk(format!("a new file is not empty: {other:?}"))),
        }
    }

    /// Later puts have later epochs than this.
    pub fn comes_after(&mut self, epoch: u64) {
        self.epoch = self.epoch.max(epoch);
    }

    /// The epoch of the last put.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Puts all pieces in place of what was there, and comes back once the disk says that it has them. `at` is the Unix
    /// time in seconds. Returns the put's epoch.
    ///
    /// # Errors
    /// How far it came.
    pub fn put(&mut self, pieces: &Pieces, at: f64) -> Result<u64, StoreError> {
        let fits = pieces.len() <= MAX_PIECES && pieces.values().all(|body| body.len() <= MAX_PIECE);
        if !fits || pieces.contains_key(&HEAD) {
            return Err(StoreError::TooMuch);
        }
        let (owner, epoch) = (self.owner, self.epoch + 1);
        let Some(engine) = &mut self.engine else {
            return Err(StoreError::Disk("there is no file".to_string()));
        };
        let written = catch_unwind(AssertUnwindSafe(|| write(engine, owner, epoch, pieces, at)));
        match written {
            Ok(Ok(())) => {}
            Ok(Err(failed)) => {
                // The engine may go on, or not: it is asked for again by opening the file.
                return Err(failed);
            }
            Err(_) => {
                let engine = self.engine.take();
                let _ = catch_unwind(AssertUnwindSafe(|| drop(engine)));
                return Err(StoreError::Disk("its engine failed under a write".to_string()));
            }
        }
        self.epoch = epoch;
        self.puts_since_compaction += 1;
        Ok(epoch)
    }

    /// Gives back what the engine keeps of earlier puts, where it has grown.
    ///
    /// # Errors
    /// As for a put.
    pub fn compact(&mut self, length: u64) -> Result<(), StoreError> {
        if length <= COMPACTED_FROM || self.puts_since_compaction < PUTS_BETWEEN_COMPACTIONS {
            return Ok(());
        }
        self.puts_since_compaction = 0;
        let Some(engine) = &mut self.engine else { return Ok(()) };
        let done = catch_unwind(AssertUnwindSafe(|| engine.compact().map(|_| ()).map_err(disk)));
        done.unwrap_or_else(|_| Err(StoreError::Disk("its engine failed as it was compacted".to_string())))
    }
}

/// The engine writes when it is closed, and may fail over a file that is damaged where nothing was read so far.
impl Drop for Store {
    fn drop(&mut self) {
        let engine = self.engine.take();
        let _ = catch_unwind(AssertUnwindSafe(|| drop(engine)));
    }
}

/// Where a file that can't be used goes.
pub fn aside(path: &Path) -> PathBuf {
    let mut name = path.file_name().unwrap_or_default().to_os_string();
    name.push(".aside");
    path.with_file_name(name)
}

fn file(path: &Path) -> Result<redb::backends::FileBackend, StoreError> {
    let open = |path: &Path| -> std::io::Result<File> {
        let file = OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path)?;
        if file.metadata()?.len() > MAX_FILE {
            std::fs::rename(path, aside(path))?;
            return OpenOptions::new().read(true).write(true).create(true).truncate(false).open(path);
        }
        Ok(file)
    };
    redb::backends::FileBackend::new(open(path).map_err(disk)?).map_err(disk)
}

#[cfg(test)]
mod tests;
