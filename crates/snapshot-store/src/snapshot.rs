//! A stored snapshot, and the result of loading one.

use crate::QuarantineReason;
use std::collections::BTreeMap;

/// Version of the stored format. A store with a higher version is not read. When the version is raised, stores with a
/// lower one are to be migrated or quarantined; `read_header` accepts them unchanged today, as there is none.
pub const FORMAT: u32 = 1;
/// Maximum length of a piece in bytes.
pub const MAX_PIECE_BYTES: usize = 1 << 20;
/// Maximum number of pieces of one snapshot.
pub const MAX_PIECES: usize = 16;
/// The number under which the header of a snapshot is stored.
pub(crate) const HEADER: u32 = u32::MAX;

/// The pieces of a snapshot by their numbers.
pub type Pieces = BTreeMap<u32, Vec<u8>>;

/// One complete snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredSnapshot {
    /// Number of the snapshot; increases with each snapshot over all incarnations of the owner.
    pub epoch: u64,
    /// Unix time in seconds, by the owner's clock, at which the snapshot was taken.
    pub taken_at: f64,
    /// The stored pieces.
    pub pieces: Pieces,
}

/// The result of loading a store when it is opened.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadOutcome {
    /// No snapshot was stored yet.
    Empty,
    /// One complete snapshot.
    Complete(StoredSnapshot),
    /// The stored contents can't be used, for this reason. [`Store::open_file`](crate::Store::open_file) has renamed
    /// the file and created a new one; after [`Store::open`](crate::Store::open) the store can't be written to.
    Quarantined(QuarantineReason),
}

/// Whether these pieces are within the limits and do not use the number of the header.
pub(crate) fn can_be_stored(pieces: &Pieces) -> bool {
    let is_within_limits =
        pieces.len() <= MAX_PIECES && pieces.values().all(|body| body.len() <= MAX_PIECE_BYTES);
    is_within_limits && !pieces.contains_key(&HEADER)
}
