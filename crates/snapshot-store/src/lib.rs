//! What survives a process. An embedded engine (`redb`) holds a handful of pieces, which are always written together; what is
//! found at the next start is either one complete snapshot of this owner and this format, or quarantined and said so.
//!
//! **Disks lie**: they acknowledge what they lose, write half, in another order, flip bits, and give back older files. The engine
//! finds most of that; what it does not is found by a checksum over each piece together with its owner, its number
//! and its snapshot, so that pieces of two snapshots, of two routers or of two files never stand beside each other. That a
//! complete file is older than the last one can't be seen in it: its epoch tells, to whoever has been shown a later one.
//!
//! Design: `docs/design/store.md`. Everything here may take as long as the disk does: the host calls it from a thread
//! of its own.

mod error;
mod file;
mod format;
mod snapshot;
mod store;
#[cfg(test)]
mod tests;
mod transaction;

pub use error::{QuarantineReason, StoreError};
pub use file::{quarantine_path, MAX_FILE};
pub use snapshot::{LoadOutcome, Pieces, StoredSnapshot, FORMAT, MAX_PIECE, MAX_PIECES};
pub use store::Store;
