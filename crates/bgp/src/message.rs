//! Message framing (RFC 4271 section 4.1), KEEPALIVE, and ROUTE-REFRESH (RFC 2918, RFC 7313).

use crate::error::{HeaderError, MessageError};
use crate::family::{Family, SAFI_UNICAST};

/// Octets of the fixed header: marker, length and type.
pub const HEADER_LENGTH: usize = 19;
/// Octets of the longest message (RFC 4271 section 4.1). The extended length of RFC 8654 is not offered, so no peer may
/// send a longer one.
pub const MAX_MESSAGE_LENGTH: usize = 4096;

/// The marker that every message begins with.
const MARKER: [u8; 16] = [0xff; 16];
/// The message types (RFC 4271 section 4.1; RFC 2918 for ROUTE-REFRESH).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageType {
    /// Begins a session: see [`crate::Open`].
    Open = 1,
    /// Announces and withdraws routes: see [`crate::Update`].
    Update = 2,
    /// Ends a session: see [`crate::Notification`].
    Notification = 3,
    /// Restarts the peer's hold timer.
    Keepalive = 4,
    /// Asks for all routes again: see [`RouteRefresh`].
    RouteRefresh = 5,
}

impl MessageType {
    fn from_code(code: u8) -> Option<MessageType> {
        match code {
            1 => Some(MessageType::Open),
            2 => Some(MessageType::Update),
            3 => Some(MessageType::Notification),
            4 => Some(MessageType::Keepalive),
            5 => Some(MessageType::RouteRefresh),
            _ => None,
        }
    }

    /// Whether a message of this type may have this length, header included (RFC 4271 section 6.1).
    fn permits(self, length: usize) -> bool {
        match self {
            MessageType::Open => (29..=MAX_MESSAGE_LENGTH).contains(&length),
            MessageType::Update => (23..=MAX_MESSAGE_LENGTH).contains(&length),
            MessageType::Notification => (21..=MAX_MESSAGE_LENGTH).contains(&length),
            MessageType::Keepalive => length == HEADER_LENGTH,
            MessageType::RouteRefresh => length == 23,
        }
    }
}

/// A whole message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The type in its header.
    pub message_type: MessageType,
    /// What follows the header.
    pub body: &'a [u8],
}

impl Frame<'_> {
    /// Octets of the message, header included.
    pub fn length(&self) -> usize {
        HEADER_LENGTH + self.body.len()
    }
}

/// The message that the input begins with; `None` while it is not there whole. What can't become a message is reported
/// as early as its first wrong octet, so that endless bytes of a stranger are never collected.
///
/// # Errors
/// RFC 4271 section 6.1: a wrong marker, length or type.
pub fn frame(input: &[u8]) -> Result<Option<Frame<'_>>, MessageError> {
    if input.iter().zip(MARKER).any(|(&octet, expected)| octet != expected) {
        let reason = "connection not synchronised: the marker is wrong";
        return Err(MessageError::new(HeaderError::ConnectionNotSynchronized, reason));
    }
    let Some(&[high, low, code]) = input.get(MARKER.len()..HEADER_LENGTH) else { return Ok(None) };
    let Some(message_type) = MessageType::from_code(code) else {
        return Err(MessageError::new(HeaderError::BadMessageType, "bad message type").with(&[code]));
    };
    let length = usize::from(u16::from_be_bytes([high, low]));
    if !message_type.permits(length) {
        let error = MessageError::new(HeaderError::BadMessageLength, "bad message length");
        return Err(error.with(&[high, low]));
    }
    Ok(input.get(HEADER_LENGTH..length).map(|body| Frame { message_type, body }))
}

/// Appends one message. `body` writes what follows the header; with it the message must not grow past
/// [`MAX_MESSAGE_LENGTH`].
pub fn encode(out: &mut Vec<u8>, message_type: MessageType, body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend(MARKER);
    // The length is filled in once it is known.
    out.extend([0, 0, message_type as u8]);
    body(out);
    let length = out.len() - start;
    debug_assert!(length <= MAX_MESSAGE_LENGTH, "a message of {length} bytes");
    let length_field = start + MARKER.len()..start + MARKER.len() + 2;
    out[length_field].copy_from_slice(&(length as u16).to_be_bytes());
}

/// Appends a KEEPALIVE.
pub fn encode_keepalive(out: &mut Vec<u8>) {
    encode(out, MessageType::Keepalive, |_| {});
}

/// A ROUTE-REFRESH (RFC 2918) with its subtype (RFC 7313).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RouteRefresh {
    /// Asks for all routes of the family.
    Request(Family),
    /// All routes of the family follow.
    BeginOfRefresh(Family),
    /// All routes of the family have been sent.
    EndOfRefresh(Family),
    /// A family or subtype that is not spoken: ignored (RFC 7313 section 5).
    Unknown,
}

/// Reads the body of a ROUTE-REFRESH.
pub fn decode_route_refresh(body: &[u8]) -> RouteRefresh {
    let &[high, low, subtype, safi] = body else { return RouteRefresh::Unknown };
    match (Family::of(u16::from_be_bytes([high, low]), safi), subtype) {
        (Some(family), 0) => RouteRefresh::Request(family),
        (Some(family), 1) => RouteRefresh::BeginOfRefresh(family),
        (Some(family), 2) => RouteRefresh::EndOfRefresh(family),
        _ => RouteRefresh::Unknown,
    }
}

/// Appends a ROUTE-REFRESH; nothing for an unknown one.
pub fn encode_route_refresh(out: &mut Vec<u8>, refresh: RouteRefresh) {
    let (family, subtype) = match refresh {
        RouteRefresh::Request(family) => (family, 0),
        RouteRefresh::BeginOfRefresh(family) => (family, 1),
        RouteRefresh::EndOfRefresh(family) => (family, 2),
        RouteRefresh::Unknown => return,
    };
    let [high, low] = family.afi().to_be_bytes();
    encode(out, MessageType::RouteRefresh, |out| out.extend([high, low, subtype, SAFI_UNICAST]));
}

#[cfg(test)]
mod tests;
