//! The form of the bytes that the engine stores: each piece sealed with a checksum over its owner, its number and its snapshot, and
//! a head that tells which pieces a snapshot has.

use crate::error::QuarantineReason;
use crate::snapshot::{StoredSnapshot, FORMAT, HEAD, MAX_PIECES};

/// The bytes of a checksum.
const CHECKSUM: usize = 4;

/// The head is sealed under no owner, so that another router's is told from a damaged one.
pub(crate) const NO_OWNER: u64 = 0;

/// Puts a checksum and the epoch ahead of the bytes of a piece.
pub(crate) fn seal(owner: u64, epoch: u64, number: u32, body: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0; CHECKSUM];
    bytes.extend(epoch.to_le_bytes());
    bytes.extend(body);
    let sum = checksum(owner, number, &bytes[CHECKSUM..]);
    bytes[..CHECKSUM].copy_from_slice(&sum.to_le_bytes());
    bytes
}

fn checksum(owner: u64, number: u32, rest: &[u8]) -> u32 {
    let mut sum = crc32fast::Hasher::new();
    sum.update(&owner.to_le_bytes());
    sum.update(&number.to_le_bytes());
    sum.update(rest);
    sum.finalize()
}

/// A piece whose checksum is right.
pub(crate) struct Unsealed<'a> {
    pub(crate) epoch: u64,
    pub(crate) body: &'a [u8],
}

/// `None` for bytes that are damaged, or are of another owner or number.
pub(crate) fn unseal(owner: u64, number: u32, bytes: &[u8]) -> Option<Unsealed<'_>> {
    let (sum, rest) = bytes.split_at_checked(CHECKSUM)?;
    let (epoch, body) = rest.split_first_chunk()?;
    let right = checksum(owner, number, rest).to_le_bytes() == sum;
    right.then(|| Unsealed { epoch: u64::from_le_bytes(*epoch), body })
}

/// What a snapshot tells of itself.
pub(crate) struct Head {
    pub(crate) owner: u64,
    /// Unix time in seconds.
    pub(crate) taken_at: f64,
    /// The numbers of its pieces.
    pub(crate) numbers: Vec<u32>,
}

/// Writes the head of a snapshot: format, owner, time, and which pieces it has.
pub(crate) fn write_head(owner: u64, snapshot: &StoredSnapshot) -> Vec<u8> {
    let mut bytes = FORMAT.to_le_bytes().to_vec();
    bytes.extend(owner.to_le_bytes());
    bytes.extend(snapshot.taken_at.to_le_bytes());
    for number in snapshot.pieces.keys() {
        bytes.extend(number.to_le_bytes());
    }
    bytes
}

/// Reads the head of a snapshot.
///
/// # Errors
/// It is of a newer version, or damaged.
pub(crate) fn read_head(bytes: &[u8]) -> Result<Head, QuarantineReason> {
    let damaged = QuarantineReason::Damaged(HEAD);
    let (format, rest) = bytes.split_first_chunk().ok_or(damaged.clone())?;
    let format = u32::from_le_bytes(*format);
    if format > FORMAT {
        return Err(QuarantineReason::NewerFormat(format));
    }
    let (owner, rest) = rest.split_first_chunk().ok_or(damaged.clone())?;
    let (at, numbers) = rest.split_first_chunk().ok_or(damaged.clone())?;
    let taken_at = f64::from_le_bytes(*at);
    let numbers = numbers.chunks_exact(size_of::<u32>());
    let is_odd = !numbers.remainder().is_empty();
    if is_odd || numbers.len() > MAX_PIECES || !taken_at.is_finite() || format == 0 {
        return Err(damaged);
    }
    let numbers = numbers.filter_map(|number| number.try_into().ok()).map(u32::from_le_bytes);
    Ok(Head { owner: u64::from_le_bytes(*owner), taken_at, numbers: numbers.collect() })
}
