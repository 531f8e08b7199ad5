//! Persistent storage of one snapshot across process restarts. An embedded storage engine (`redb`) holds a few pieces
//! that are always written together. At the next start the store either loads one complete snapshot of this owner and
//! format, or quarantines the file and reports the reason. A file that is too long is quarantined without a report.
//!
//! **Disk faults.** Disks lose acknowledged writes, write in part or in another order, flip bits, and return older
//! files. The engine detects most of these faults. The others are detected by a checksum over each piece together with
//! its owner, its number and its snapshot, so that pieces of two snapshots, two routers or two files are never
//! combined. A complete file that is older than the last one can't be detected from the file alone: only a peer that
//! was shown a later epoch can tell.
//!
//! Design: `docs/design/store.md`. All calls block for as long as the disk takes, so the host makes them from a
//! dedicated thread.

mod error;
mod file;
mod format;
mod snapshot;
mod store;
#[cfg(test)]
mod tests;
mod transaction;

pub use error::{QuarantineReason, StoreError};
pub use file::{quarantine_path, MAX_FILE_BYTES};
pub use snapshot::{LoadOutcome, Pieces, StoredSnapshot, FORMAT, MAX_PIECES, MAX_PIECE_BYTES};
pub use store::Store;
