//! BGP-4 (RFC 4271) for a speaker that announces a few service addresses, without I/O: the host passes in received
//! bytes and the current time, and gets back bytes to send, the time of the next timer, and [`Action`]s.
//!
//! [`message`], [`open`], [`update`] and [`notification`] are the codec: it never allocates memory according to a
//! length field that a peer sent, and a message holds at most 4,096 octets. [`error`] defines the errors that end a
//! session. [`session`] holds the state machine of one peer (RFC 4271 section 8) with its Adj-RIB-Out, and
//! [`adj_rib_in`] the routes learned from that peer. Times are seconds on the host's clock, which must be monotonic.

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
    Action, Advertisement, Direction, Importance, LogEntry, Peer, PeerConfig, ReceiveOutcome,
    SessionCounters, State,
};
pub use update::{PathAttributes, Update};

/// The well-known community GRACEFUL_SHUTDOWN: it marks routes that are about to be withdrawn (RFC 8326).
pub const GRACEFUL_SHUTDOWN: u32 = 0xffff_0000;

/// A reader over bytes that a peer sent; each read method returns `None` if too few bytes are left.
pub(crate) struct ByteReader<'a>(pub &'a [u8]);

impl<'a> ByteReader<'a> {
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

    /// Reads a length of one octet, and then as many bytes.
    pub fn length_prefixed(&mut self) -> Option<&'a [u8]> {
        let length = self.u8()?;
        self.take(length.into())
    }

    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}
