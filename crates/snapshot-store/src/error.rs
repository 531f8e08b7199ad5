//! Reasons for which a file is quarantined, and errors of opening and writing.

use crate::snapshot::{FORMAT, HEADER, MAX_PIECES, MAX_PIECE_BYTES};
use std::fmt::Display;
use std::io;

/// The reason why a stored snapshot is not used.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum QuarantineReason {
    /// The storage engine could not read the file; with its message.
    #[error("the storage engine can't read the file: {0}")]
    Unreadable(String),
    /// The snapshot belongs to another router.
    #[error("the snapshot belongs to another router")]
    OtherOwner,
    /// The snapshot has this format, which is newer than [`FORMAT`].
    #[error("the snapshot has format {0}, which is newer than the supported format {FORMAT}")]
    NewerFormat(u32),
    /// The piece of this number is missing, truncated, damaged or of another snapshot; `u32::MAX` stands for the
    /// header.
    #[error("{}", describe_damage(*.0))]
    Damaged(u32),
}

fn describe_damage(piece: u32) -> String {
    match piece {
        HEADER => "the header of the snapshot is damaged".to_string(),
        piece => format!("piece {piece} is missing, damaged or of another snapshot"),
    }
}

impl QuarantineReason {
    pub(crate) fn unreadable(error: impl Display) -> QuarantineReason {
        QuarantineReason::Unreadable(error.to_string())
    }
}

/// An error of opening a store or writing to it.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The pieces exceed a limit or use the number of the header; nothing was written.
    #[error(
        "the snapshot was not written: it exceeds {MAX_PIECES} pieces or {MAX_PIECE_BYTES} bytes in a piece, or uses the reserved piece number {HEADER}"
    )]
    TooLarge,
    /// The storage engine reported an error. The file holds the last snapshot or the new one.
    #[error(transparent)]
    Engine(Box<redb::Error>),
    /// A file operation failed.
    #[error(transparent)]
    Disk(#[from] io::Error),
    /// The storage engine panicked; with the operation.
    #[error("the storage engine panicked while {0}")]
    EnginePanicked(&'static str),
    /// The storage could not be opened, or the engine has panicked in a write since.
    #[error("no usable file is open")]
    NoFile,
    /// The file created in place of a quarantined one can't be used either.
    #[error("the newly created file can't be used: {0}")]
    NewFileUnusable(QuarantineReason),
    /// The file created in place of a quarantined one already holds a snapshot.
    #[error("the newly created file already holds a snapshot")]
    NewFileNotEmpty,
}

impl StoreError {
    /// Wraps an error of any of the storage engine's types.
    pub(crate) fn engine(error: impl Into<redb::Error>) -> StoreError {
        StoreError::Engine(Box::new(error.into()))
    }
}
