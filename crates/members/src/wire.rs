//! Datagrams between routers: an envelope that ties each to its cluster, its sender's life and its receiver's, and a body.
//!
//! What is read is bounded before anything is made of it, and the checksum finds what a network damages. It is no
//! signature: whoever can write from a member's address is that member (`deploy/cluster.json` names the networks).

use serde::{Deserialize, Serialize};
use std::fmt;

/// A datagram is no longer than this, in bytes.
pub const LONGEST: usize = 1400;
/// What is left for a body.
pub const LONGEST_BODY: usize = LONGEST - 88;

/// The unit in which datagrams tell how long ago a router was heard, in seconds: a `u16` of it spans 17 minutes.
pub const HEARD_UNIT: f64 = 0.016;

const MARK: [u8; 2] = *b"cG";
const VERSION: u8 = 2;
/// Mark, version and checksum.
const LEAST: usize = 7;

/// What goes ahead of each body.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// The hash of the cluster's name and its list.
    pub cluster: u64,
    pub from: u16,
    pub to: u16,
    /// The sender's life.
    pub born: u64,
    /// The receiver's life as the sender knows it, 0 if it knows none.
    pub yours: u64,
    /// How long ago the sender last heard the receiver, in units of 16 ms; `u16::MAX` for never or long ago.
    pub heard: u16,
    /// How many the sender holds present, itself among them, and the hash of who they are.
    pub present: u16,
    pub view: u32,
    /// How long the sender has run, in seconds, and whether it leaves.
    pub age: u32,
    pub leaving: bool,
    /// The sender holds the receiver failed in the life that `yours` names: it has to begin a new one.
    pub failed: bool,
    /// The epoch of the sender's last put that is on its disk, and the latest that it was shown of the receiver's, over all
    /// lives of that name; 0 for none.
    pub kept: u64,
    pub yours_kept: u64,
    pub kind: Kind,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub enum Kind {
    /// A digest of what the sender has learned of engines, which may be empty.
    #[default]
    Hello,
    /// The failure detector's own.
    Swim,
    Lease,
    /// Says that it wants a hello back.
    Ask,
    /// Asks when the receiver last heard these routers, and answers that: places, and units of 16 ms, 255 for long ago.
    Seek,
    Seen,
}

/// Why a datagram was not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Dropped {
    TooLong,
    /// No mark, a length that does not fit, or a checksum that is wrong.
    Noise,
    Version,
    /// Of another cluster, or of one whose list is another.
    OtherCluster,
    /// From one router's address, but under another's number, or not meant for us.
    WrongSender,
    /// Of a former life of its sender.
    FormerLife,
    /// Its body can't be read.
    Body,
}

impl Dropped {
    pub const ALL: [Dropped; 7] = [
        Dropped::TooLong,
        Dropped::Noise,
        Dropped::Version,
        Dropped::OtherCluster,
        Dropped::WrongSender,
        Dropped::FormerLife,
        Dropped::Body,
    ];
}

impl fmt::Display for Dropped {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            Dropped::TooLong => "too_long",
            Dropped::Noise => "noise",
            Dropped::Version => "version",
            Dropped::OtherCluster => "other_cluster",
            Dropped::WrongSender => "wrong_sender",
            Dropped::FormerLife => "former_life",
            Dropped::Body => "body",
        })
    }
}

/// Writes a datagram. A body that is too long can't be sent, and gives none.
pub fn write(envelope: &Envelope, body: &[u8]) -> Option<Vec<u8>> {
    if body.len() > LONGEST_BODY {
        return None;
    }
    let mut bytes = Vec::with_capacity(64 + body.len());
    bytes.extend(MARK);
    bytes.push(VERSION);
    let mut bytes = postcard::to_extend(envelope, bytes).ok()?;
    bytes.extend(body);
    let sum = crc32fast::hash(&bytes);
    bytes.extend(sum.to_le_bytes());
    Some(bytes)
}

/// Reads a datagram; nothing of it is copied.
///
/// # Errors
/// Why it is none of ours, as far as its bytes alone tell.
pub fn read(bytes: &[u8]) -> Result<(Envelope, &[u8]), Dropped> {
    if bytes.len() > LONGEST {
        return Err(Dropped::TooLong);
    }
    if bytes.len() < LEAST || bytes[..2] != MARK {
        return Err(Dropped::Noise);
    }
    let (content, sum) = bytes.split_at(bytes.len() - 4);
    if crc32fast::hash(content).to_le_bytes() != sum {
        return Err(Dropped::Noise);
    }
    if content[2] != VERSION {
        return Err(Dropped::Version);
    }
    postcard::take_from_bytes(&content[3..]).map_err(|_| Dropped::Noise)
}

#[cfg(test)]
mod tests;
