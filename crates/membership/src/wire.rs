//! Datagrams between routers: an envelope that ties each to its cluster, its sender's incarnation and its receiver's, and a body.
//!
//! What is read is bounded before anything is made of it, and the checksum finds what a network damages. It is no
//! signature: whoever can send from a member's address is that member (`deploy/cluster.json` names the networks).
//!
//! ```text
//! magic (2) | version (1) | envelope (postcard) | body | CRC-32 of all before it (4, little endian)
//! ```

use serde::{Deserialize, Serialize};
use std::fmt;

/// The longest datagram, in bytes: it fits an Ethernet frame with its IP and UDP headers, and some tunnel's.
pub const MAX_DATAGRAM: usize = 1400;
/// The longest body, in bytes: what the longest envelope leaves.
pub const MAX_BODY: usize = MAX_DATAGRAM - 88;
/// The unit in which datagrams tell how long ago a router was heard, in seconds: a `u16` of it spans 17 minutes, a `u8`
/// 4 s.
pub const HEARD_UNIT: f64 = 0.016;

const MAGIC: [u8; 2] = *b"cG";
const VERSION: u8 = 2;
/// The bytes of the checksum.
const CHECKSUM: usize = 4;
/// Magic, version and checksum.
const MIN_DATAGRAM: usize = 7;
/// Room that is reserved for magic, version and a usual envelope, in bytes.
const USUAL_ENVELOPE: usize = 64;

/// What goes ahead of each body. The order of the fields is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The hash of the cluster's name and of its list of routers.
    pub cluster: u64,
    /// The sender, by its place in the cluster file.
    pub from: u16,
    /// The receiver, by its place in the cluster file.
    pub to: u16,
    /// The sender's incarnation.
    pub generation: u64,
    /// The receiver's incarnation as the sender knows it, 0 if it knows none.
    pub receiver_generation: u64,
    /// How long ago the sender last heard the receiver, in [`HEARD_UNIT`]; `u16::MAX` for never or long ago.
    pub heard_ago: u16,
    /// How many routers the sender holds present, itself among them.
    pub present: u16,
    /// The hash of which routers those are.
    pub present_hash: u32,
    /// How long the sender has run, in seconds.
    pub age: u32,
    /// The sender leaves by plan.
    pub leaving: bool,
    /// The sender holds the receiver failed in the incarnation `receiver_generation`: the receiver has to begin a new one.
    pub receiver_failed: bool,
    /// The epoch of the sender's last put that is on its disk, 0 for none.
    pub store_epoch: u64,
    /// The latest epoch of the receiver's store that the sender was shown, over all its incarnations; 0 for none.
    pub receiver_store_epoch: u64,
    /// What the body is.
    pub kind: Kind,
}

/// What a body is. The order of the variants is the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A heartbeat: a digest of what the sender has learned of engines, which may be empty.
    #[default]
    Heartbeat,
    /// A message of the failure detector.
    Swim,
    /// A message about a lease.
    Lease,
    /// Asks for a heartbeat back.
    DirectProbe,
    /// Asks when the receiver last heard the routers that it names.
    IndirectProbe,
    /// Answers an indirect probe.
    IndirectAck,
}

/// When one router was last heard, as the answer to an indirect probe tells it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastHeard {
    /// The router, by its place in the cluster file.
    pub router: u16,
    /// How long ago, in [`HEARD_UNIT`]; `u8::MAX` for never or long ago.
    pub ago: u8,
}

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DropReason {
    /// Longer than [`MAX_DATAGRAM`].
    TooLong,
    /// Without the magic bytes, with a length that does not fit, or with a wrong checksum.
    Noise,
    /// Of another version of this format.
    Version,
    /// Of another cluster, or of one with another list of routers.
    OtherCluster,
    /// From one router's address under another's number, or not meant for this router.
    WrongSender,
    /// Of a former incarnation of its sender.
    FormerIncarnation,
    /// With a body that can't be read.
    Body,
}

impl DropReason {
    /// All reasons, in the order of the checks.
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

/// Writes a datagram; `None` for a body longer than [`MAX_BODY`].
pub fn write(envelope: &Envelope, body: &[u8]) -> Option<Vec<u8>> {
    if body.len() > MAX_BODY {
        return None;
    }
    let mut bytes = Vec::with_capacity(USUAL_ENVELOPE + body.len());
    bytes.extend(MAGIC);
    bytes.push(VERSION);
    let mut bytes = postcard::to_extend(envelope, bytes).ok()?;
    bytes.extend(body);
    let checksum = crc32fast::hash(&bytes);
    bytes.extend(checksum.to_le_bytes());
    Some(bytes)
}

/// Reads a datagram into its envelope and its body, of which nothing is copied.
///
/// # Errors
/// Why it is none of this format, as far as its bytes alone tell.
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
