//! What is stored, and what is found at the start.

use crate::QuarantineReason;
use std::collections::BTreeMap;

/// The form in which pieces are stored. A larger number than this is not ours to read; a smaller one is migrated by its
/// reader, or quarantined.
pub const FORMAT: u32 = 1;
/// A piece is no longer than this, in bytes.
pub const MAX_PIECE: usize = 1 << 20;
/// Pieces of one snapshot at most.
pub const MAX_PIECES: usize = 16;
/// The number under which a snapshot describes itself.
pub(crate) const HEAD: u32 = u32::MAX;

/// Pieces by their numbers.
pub type Pieces = BTreeMap<u32, Vec<u8>>;

/// One complete snapshot.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct StoredSnapshot {
    /// Grows with each snapshot, over all incarnations of the owner.
    pub epoch: u64,
    /// Unix time at which it was taken, by the owner's clock, in seconds.
    pub taken_at: f64,
    /// What was stored.
    pub pieces: Pieces,
}

/// What was found at the start.
#[derive(Clone, Debug, PartialEq)]
pub enum LoadOutcome {
    /// Nothing was stored yet.
    Empty,
    /// One complete snapshot.
    Complete(StoredSnapshot),
    /// Something that is not used, for this reason.
    Quarantined(QuarantineReason),
}

/// Whether these pieces may be stored.
pub(crate) fn can_be_stored(pieces: &Pieces) -> bool {
    let fit = pieces.len() <= MAX_PIECES && pieces.values().all(|body| body.len() <= MAX_PIECE);
    fit && !pieces.contains_key(&HEAD)
}
