//! The datagram format between routers: an envelope, which ties the datagram to its cluster and to the incarnations
//! of its sender and receiver, and a body.
//!
//! Sizes are checked before anything is decoded, and a checksum detects damage in transit. The checksum is not a
//! signature: whoever can send from a member's address can pose as that member (`deploy/cluster.json` names the
//! allowed networks).
//!
//! ```text
//! magic (2) | version (1) | envelope (postcard) | body | CRC-32 of all before it (4, little endian)
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;

/// The longest datagram, in bytes: it fits into an Ethernet frame with its IP and UDP headers, and those of a tunnel.
pub const MAX_DATAGRAM: usize = 1400;
/// The longest body, in bytes. The 88 bytes hold the magic bytes, the version and the checksum (7 bytes) and the
/// longest envelope (75 bytes as encoded by postcard), with some to spare.
pub const MAX_BODY: usize = MAX_DATAGRAM - 88;
/// The unit in which datagrams report how long ago a router was heard, in seconds. A `u16` covers 17 minutes, a `u8`
/// 4 s.
pub const HEARD_UNIT: f64 = 0.016;

const MAGIC: [u8; 2] = *b"cG";
const VERSION: u8 = 2;
/// The length of the checksum, in bytes.
const CHECKSUM: usize = 4;
/// The shortest datagram, in bytes: magic, version and checksum.
const MIN_DATAGRAM: usize = 7;
/// The buffer capacity for magic, version and an envelope of typical length, in bytes.
const TYPICAL_ENVELOPE: usize = 64;

/// The header that precedes each body. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The hash of the cluster's name and its list of routers.
    pub cluster: u64,
    /// The sender, by its index in the cluster file.
    pub from: u16,
    /// The receiver, by its index in the cluster file.
    pub to: u16,
    /// The generation of the sender's incarnation.
    pub generation: u64,
    /// The generation of the receiver's latest incarnation that the sender knows, 0 if it knows none.
    pub receiver_generation: u64,
    /// How long ago the sender last heard the receiver, in units of [`HEARD_UNIT`]; `u16::MAX` for never, or longer
    /// ago than that.
    pub heard_ago: u16,
    /// How many routers the sender considers present, itself included.
    pub present: u16,
    /// A hash of the indexes of those routers.
    pub present_hash: u32,
    /// How long the sender has been running, in seconds.
    pub age: u32,
    /// Whether the sender is leaving as planned.
    pub leaving: bool,
    /// Whether the sender considers the receiver failed in the incarnation `receiver_generation`. If so, the receiver
    /// must begin a new incarnation.
    pub receiver_failed: bool,
    /// The epoch of the last write to the sender's store that is on its disk, 0 for none.
    pub store_epoch: u64,
    /// The latest epoch of the receiver's store that the sender has seen, over all the receiver's incarnations; 0 for
    /// none.
    pub receiver_store_epoch: u64,
    /// The kind of the body.
    pub kind: Kind,
}

/// The kind of a body. The order of the variants is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A heartbeat, with a digest of what the sender has observed of engines; the digest may be empty.
    #[default]
    Heartbeat,
    /// A message of the failure detector.
    Swim,
    /// A message about a lease.
    Lease,
    /// A direct probe: asks the receiver to send a heartbeat back.
    DirectProbe,
    /// An indirect probe: asks when the receiver last heard the named routers.
    IndirectProbe,
    /// The answer to an indirect probe.
    IndirectAck,
}

/// When one router was last heard, as the answer to an indirect probe reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastHeard {
    /// The router, by its index in the cluster file.
    pub router: u16,
    /// How long ago, in units of [`HEARD_UNIT`]; `u8::MAX` for never, or longer ago than that.
    pub ago: u8,
}

/// Why a received datagram was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Longer than [`MAX_DATAGRAM`].
    TooLong,
    /// Without the magic bytes, too short, with a wrong checksum, or with an envelope that can't be decoded.
    Noise,
    /// Of another version of the datagram format.
    Version,
    /// Of another cluster, or of one with another list of routers.
    OtherCluster,
    /// Sent from one router's address under another router's index, or addressed to another router.
    WrongSender,
    /// Of an earlier incarnation of its sender than the latest known.
    FormerIncarnation,
    /// With a body that can't be decoded, or a generation above the limit.
    Body,
}

impl DropReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [DropReason; 7] = [
        DropReason::TooLong,
        DropReason::Noise,
        DropReason::Version,
        DropReason::OtherCluster,
        DropReason::WrongSender,
        DropReason::FormerIncarnation,
        DropReason::Body,
    ];
}

impl std::error::Error for DropReason {}

impl fmt::Display for DropReason {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            DropReason::TooLong => "too_long",
            DropReason::Noise => "noise",
            DropReason::Version => "version",
            DropReason::OtherCluster => "other_cluster",
            DropReason::WrongSender => "wrong_sender",
            DropReason::FormerIncarnation => "former_life",
            DropReason::Body => "body",
        })
    }
}

/// Encodes a datagram; `None` if the body is longer than [`MAX_BODY`].
pub fn write(envelope: &Envelope, body: &[u8]) -> Option<Vec<u8>> {
    if body.len() > MAX_BODY {
        return None;
    }
    let mut bytes = Vec::with_capacity(TYPICAL_ENVELOPE + body.len());
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    let mut bytes = postcard::to_extend(envelope, bytes).ok()?;
    bytes.extend(body);
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    Some(bytes)
}

/// Decodes a datagram into its envelope and its body, which is borrowed from `bytes`.
///
/// # Errors
/// [`DropReason::TooLong`], [`DropReason::Noise`] or [`DropReason::Version`] if the bytes are not a datagram of this
/// format. The contents of the envelope are not checked here.
pub fn read(bytes: &[u8]) -> Result<(Envelope, &[u8]), DropReason> {
    if bytes.len() > MAX_DATAGRAM {
        return Err(DropReason::TooLong);
    }
    if bytes.len() < MIN_DATAGRAM || bytes[..2] != MAGIC {
        return Err(DropReason::Noise);
    }
    let (content, checksum) = bytes.split_at(bytes.len() - CHECKSUM);
    if crc32fast::hash(content).to_le_bytes() != checksum {
        return Err(DropReason::Noise);
    }
    if content[2] != VERSION {
        return Err(DropReason::Version);
    }
    postcard::take_from_bytes(&content[3..]).map_err(|_| DropReason::Noise)
}

#[cfg(test)]
mod tests;
