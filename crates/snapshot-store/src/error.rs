//! What can be wrong with a file, and how a write can fail.

use crate::snapshot::{FORMAT, HEAD};
use std::fmt::Display;
use std::io;

/// Why what was found is not used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum QuarantineReason {
    /// The engine could not read the file, as it says.
    #[error("the file can't be read: {0}")]
    Unreadable(String),
    /// It is another router's.
    #[error("it is another router's")]
    OtherOwner,
    /// It was written by a newer version.
    #[error("its format {0} is newer than ours, {FORMAT}")]
    NewerFormat(u32),
    /// This piece is missing, cut, damaged or of another snapshot; `HEAD` for what describes the snapshot itself.
    #[error("{}", damage(*.0))]
    Damaged(u32),
}

fn damage(piece: u32) -> String {
    match piece {
        HEAD => "it does not describe itself".to_string(),
        piece => format!("piece {piece} is damaged or of another snapshot"),
    }
}

impl QuarantineReason {
    pub(crate) fn unreadable(error: impl Display) -> QuarantineReason {
        QuarantineReason::Unreadable(error.to_string())
    }
}

/// Why a write, or the opening of a file, has failed.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// Nothing of it was written: more pieces, or a longer one, than are stored.
    #[error("more than is stored")]
    TooLarge,
    /// The engine failed under it: what is there is the last snapshot, or this one.
    #[error(transparent)]
    Engine(Box<redb::Error>),
    /// The disk failed.
    #[error(transparent)]
    Disk(#[from] io::Error),
    /// The engine panicked.
    #[error("its engine failed {0}")]
    EnginePanicked(&'static str),
    /// The file could not be used, and there is no other.
    #[error("there is no file")]
    NoFile,
    /// A file that was begun anew can't be used either.
    #[error("a new file can't be used: {0}")]
    NewFileUnusable(QuarantineReason),
    /// A file that was begun anew holds a snapshot.
    #[error("a new file is not empty")]
    NewFileNotEmpty,
}

impl StoreError {
    /// An error of the engine, of any of its types.
    pub(crate) fn engine(error: impl Into<redb::Error>) -> StoreError {
        StoreError::Engine(Box::new(error.into()))
    }
}
