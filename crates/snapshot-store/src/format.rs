//! The byte format in the storage engine: each piece is sealed with a checksum over its owner, its number, its
//! snapshot's epoch and its body; a header lists the pieces of the snapshot.

use crate::error::QuarantineReason;
use crate::snapshot::{StoredSnapshot, FORMAT, HEADER, MAX_PIECES};

/// Length of a checksum in bytes.
const CHECKSUM_BYTES: usize = 4;

/// The owner under which the header is sealed, so that another router's header can be told from a damaged one.
pub(crate) const NO_OWNER: u64 = 0;

/// Prepends a checksum and the epoch to the body of a piece.
pub(crate) fn seal(owner: u64, epoch: u64, number: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0; CHECKSUM_BYTES];
    bytes.extend(epoch.to_le_bytes());
    bytes.extend(body);
    let sum = checksum(owner, number, &bytes[CHECKSUM_BYTES..]);
    bytes[..CHECKSUM_BYTES].copy_from_slice(&sum.to_le_bytes());
    bytes
}

fn checksum(owner: u64, number: u32, rest: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&owner.to_le_bytes());
    sum.update(&number.to_le_bytes());
    sum.update(rest);
    sum.finalize()
}

/// A piece whose checksum is correct.
pub(crate) struct Unsealed<'a> {
    pub(crate) epoch: u64,
    pub(crate) body: &'a [u8],
}

/// Checks and removes the checksum of a piece; `None` if the bytes are damaged, or belong to another owner or number.
pub(crate) fn unseal(owner: u64, number: u32, bytes: &[u8]) -> Option<Unsealed<'_>> {
    let (sum, rest) = bytes.split_at_checked(CHECKSUM_BYTES)?;
    let (epoch, body) = rest.split_first_chunk()?;
    let is_correct = checksum(owner, number, rest).to_le_bytes() == sum;
    is_correct.then(|| Unsealed { epoch: u64::from_le_bytes(*epoch), body })
}

/// The header of a snapshot: its owner, its time, and which pieces it has.
pub(crate) struct Header {
    pub(crate) owner: u64,
    /// Unix time in seconds at which the snapshot was taken.
    pub(crate) taken_at: f64,
    /// The numbers of the snapshot's pieces.
    pub(crate) numbers: Vec<u32>,
}

/// Encodes the header of a snapshot: format, owner, time, and the numbers of its pieces.
pub(crate) fn write_header(owner: u64, snapshot: &StoredSnapshot) -> Vec<u8> {
    let mut bytes = FORMAT.to_le_bytes().to_vec();
    bytes.extend(owner.to_le_bytes());
    bytes.extend(snapshot.taken_at.to_le_bytes());
    for number in snapshot.pieces.keys() {
        bytes.extend(number.to_le_bytes());
    }
    bytes
}

/// Decodes the header of a snapshot.
///
/// # Errors
/// The header has a newer format, or is damaged.
pub(crate) fn read_header(bytes: &[u8]) -> Result<Header, QuarantineReason> {
    let damaged = QuarantineReason::Damaged(HEADER);
    let (format, rest) = bytes.split_first_chunk().ok_or(damaged.clone())?;
    let format = u32::from_le_bytes(*format);
    if format > FORMAT {
        return Err(QuarantineReason::NewerFormat(format));
    }
    let (owner, rest) = rest.split_first_chunk().ok_or(damaged.clone())?;
    let (at, numbers) = rest.split_first_chunk().ok_or(damaged.clone())?;
    let taken_at = f64::from_le_bytes(*at);
    let numbers = numbers.chunks_exact(size_of::<u32>());
    let has_partial_number = !numbers.remainder().is_empty();
    if has_partial_number || numbers.len() > MAX_PIECES || !taken_at.is_finite() || format == 0 {
        return Err(damaged);
    }
    let numbers = numbers.filter_map(|number| number.try_into().ok()).map(u32::from_le_bytes);
    Ok(Header { owner: u64::from_le_bytes(*owner), taken_at, numbers: numbers.collect() })
}
