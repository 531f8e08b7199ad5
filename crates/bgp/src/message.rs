//! Message framing (RFC 4271 section 4.1), KEEPALIVE, and ROUTE-REFRESH (RFC 2918, RFC 7313).

use crate::error::{HeaderError, MessageError};
use crate::family::{Family, SAFI_UNICAST};

/// The length of the fixed header (marker, length and type) in octets.
pub const HEADER_LENGTH: usize = 19;
/// The maximum length of a message in octets (RFC 4271 section 4.1). The Extended Message capability (RFC 8654) is not
/// advertised, so no peer may send a longer message.
pub const MAX_MESSAGE_LENGTH: usize = 4096;

/// The marker at the start of every message.
const MARKER: [u8; 16] = [0xff; 16];
/// The message types (RFC 4271 section 4.1; RFC 2918 for ROUTE-REFRESH).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageType {
    /// Starts a session: see [`crate::Open`].
    Open = 1,
    /// Announces and withdraws routes: see [`crate::Update`].
    Update = 2,
    /// Ends a session: see [`crate::Notification`].
    Notification = 3,
    /// Keeps the session alive while there is nothing else to send: each received message restarts the hold timer.
    Keepalive = 4,
    /// Requests all routes again: see [`RouteRefresh`].
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
    fn permits_length(self, length: usize) -> bool {
        match self {
            MessageType::Open => (29..=MAX_MESSAGE_LENGTH).contains(&length),
            MessageType::Update => (23..=MAX_MESSAGE_LENGTH).contains(&length),
            MessageType::Notification => (21..=MAX_MESSAGE_LENGTH).contains(&length),
            MessageType::Keepalive => length == HEADER_LENGTH,
            MessageType::RouteRefresh => length == 23,
        }
    }
}

/// One complete message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    /// The message type from the header.
    pub message_type: MessageType,
    /// The bytes after the header.
    pub body: &'a [u8],
}

impl Frame<'_> {
    /// The length of the message in octets, header included.
    pub fn length(&self) -> usize {
        HEADER_LENGTH + self.body.len()
    }
}

/// The message at the start of the input; `None` while it is incomplete. A wrong marker is reported at its first wrong
/// octet, a wrong type or length once the header is complete, so that input from a sender that does not speak BGP is
/// never buffered without limit.
///
/// # Errors
/// The marker, length or type in the header is invalid (RFC 4271 section 6.1).
pub fn frame(input: &[u8]) -> Result<Option<Frame<'_>>, MessageError> {
    if input.iter().zip(MARKER).any(|(&octet, expected)| octet != expected) {
        let reason = "connection not synchronized: invalid marker";
        return Err(MessageError::new(HeaderError::ConnectionNotSynchronized, reason));
    }
    let Some(&[high, low, code]) = input.get(MARKER.len()..HEADER_LENGTH) else { return Ok(None) };
    let Some(message_type) = MessageType::from_code(code) else {
        return Err(MessageError::new(HeaderError::BadMessageType, "bad message type").with_data(&[code]));
    };
    let length = usize::from(u16::from_be_bytes([high, low]));
    if !message_type.permits_length(length) {
        let error = MessageError::new(HeaderError::BadMessageLength, "bad message length");
        return Err(error.with_data(&[high, low]));
    }
    Ok(input.get(HEADER_LENGTH..length).map(|body| Frame { message_type, body }))
}

/// Appends one message to `out`. `body` appends the bytes after the header; the message including the header must not
/// exceed [`MAX_MESSAGE_LENGTH`].
pub fn encode(out: &mut Vec<u8>, message_type: MessageType, body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend(MARKER);
    // Placeholder: the length is filled in after the body is written.
    out.extend([0, 0, message_type as u8]);
    body(out);
    let length = out.len() - start;
    debug_assert!(
        length <= MAX_MESSAGE_LENGTH,
        "message of {length} bytes exceeds the maximum of {MAX_MESSAGE_LENGTH}"
    );
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
    /// Requests all routes of the family.
    Request(Family),
    /// The beginning of all routes of the family.
    BeginOfRefresh(Family),
    /// The end of all routes of the family.
    EndOfRefresh(Family),
    /// A malformed message, or one with an unsupported family or subtype; it is ignored (RFC 7313 section 5).
    Unknown,
}

/// Decodes the body of a ROUTE-REFRESH.
pub fn decode_route_refresh(body: &[u8]) -> RouteRefresh {
    let &[high, low, subtype, safi] = body else { return RouteRefresh::Unknown };
    match (Family::from_afi_safi(u16::from_be_bytes([high, low]), safi), subtype) {
        (Some(family), 0) => RouteRefresh::Request(family),
        (Some(family), 1) => RouteRefresh::BeginOfRefresh(family),
        (Some(family), 2) => RouteRefresh::EndOfRefresh(family),
        _ => RouteRefresh::Unknown,
    }
}

/// Appends a ROUTE-REFRESH to `out`; appends nothing for [`RouteRefresh::Unknown`].
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
