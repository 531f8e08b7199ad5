//! BGP-4 (RFC 4271) for a speaker that announces a few service addresses, without I/O: a host hands in bytes and the
//! time, and takes out bytes, due times and [`Action`]s.
//!
//! [`message`], [`open`], [`update`] and [`notification`] are the codec: it never allocates by a length that a peer
//! claims, and a message holds 4,096 octets at most. [`error`] names what ends a session. [`session`] holds the state
//! machine of one peer (RFC 4271 section 8) with its Adj-RIB-Out, [`adj_rib_in`] the routes learned from it. Times are
//! seconds on the host's clock, which must not go back.

pub mod adj_rib_in;
pub mod error;
pub mod family;
pub mod message;
pub mod notification;
pub mod open;
pub mod session;
pub mod update;

pub use adj_rib_in::{AdjRibIn, LearnedRoute};
pub use error::{CeaseSubcode, ErrorKind, MessageError};
pub use family::Family;
pub use message::{frame, Frame, MessageType, HEADER_LENGTH, MAX_MESSAGE_LENGTH};
pub use notification::Notification;
pub use open::{Capabilities, GracefulRestart, Open, Role};
pub use session::{
    Action, Advertisement, Direction, Importance, LogEntry, Peer, PeerConfig, Received, SessionCounters,
    State,
};
pub use update::{PathAttributes, Update};

/// The well-known community of routes that are about to be withdrawn (RFC 8326).
pub const GRACEFUL_SHUTDOWN: u32 = 0xffff_0000;

/// A reader over bytes that a peer sent; each method gives `None` where too few are left.
pub(crate) struct Bytes<'a>(pub &'a [u8]);

impl<'a> Bytes<'a> {
    pub fn take(&mut self, length: usize) -> Option<&'a [u8]> {
        let (taken, rest) = self.0.split_at_checked(length)?;
        self.0 = rest;
        Some(taken)
    }

    pub fn u8(&mut self) -> Option<u8> {
        self.take(1).map(|bytes| bytes[0])
    }

    pub fn u16(&mut self) -> Option<u16> {
        self.take(2).map(|bytes| u16::from_be_bytes([bytes[0], bytes[1]]))
    }

    pub fn u32(&mut self) -> Option<u32> {
        self.take(4).map(|bytes| u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]))
    }

    /// A part that follows its length in one octet.
    pub fn part(&mut self) -> Option<&'a [u8]> {
        let length = self.u8()?;
        self.take(length.into())
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
