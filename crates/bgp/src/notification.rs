//! The NOTIFICATION message (RFC 4271 section 4.5), with the shutdown communication of RFC 9003 and the hard reset of
//! RFC 8538.

use crate::error::{CeaseSubcode, ErrorKind, MessageError};
use crate::message::{self, MessageType};
use std::fmt;

/// The maximum length of a shutdown communication, in octets of UTF-8 (RFC 9003 section 2).
const MAX_SHUTDOWN_COMMUNICATION: usize = 255;
/// The error code of a Cease, as a number that is matched against received messages.
const CEASE: u8 = 6;
/// The Cease subcode of a hard reset (RFC 8538), as a number that is matched against received messages.
const HARD_RESET: u8 = CeaseSubcode::HardReset as u8;

/// The message that reports why a session ends. Codes are plain numbers because a peer may send unknown ones.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification {
    /// The error code; in a hard reset, the code that is encapsulated in its data, or 6 (Cease) if nothing is
    /// encapsulated.
    pub code: u8,
    /// The subcode of `code`; in a hard reset that encapsulates nothing, 9 (hard reset).
    pub subcode: u8,
    /// The bytes after code and subcode.
    pub data: Vec<u8>,
    /// Whether code, subcode and data are encapsulated in a hard reset.
    pub hard_reset: bool,
}

impl Notification {
    /// A Cease with a shutdown communication for the operator of the other side, truncated to at most 255 octets at a
    /// character boundary.
    pub fn cease(subcode: CeaseSubcode, communication: &str, hard_reset: bool) -> Notification {
        let mut length = communication.len().min(MAX_SHUTDOWN_COMMUNICATION);
        while !communication.is_char_boundary(length) {
            length -= 1;
        }
        let mut data = vec![length as u8];
        data.extend(&communication.as_bytes()[..length]);
        Notification { code: CEASE, subcode: subcode as u8, data, hard_reset }
    }

    /// Decodes the body of a NOTIFICATION; [`message::frame`] has checked that it holds two octets or more. A malformed
    /// NOTIFICATION is accepted as it is, because an error in it can't be reported to the peer (RFC 4271 section 6.4).
    pub fn decode(body: &[u8]) -> Notification {
        let code = body.first().copied().unwrap_or(0);
        let subcode = body.get(1).copied().unwrap_or(0);
        let data = body.get(2..).unwrap_or(&[]);
        let hard_reset = (code, subcode) == (CEASE, HARD_RESET);
        match data {
            &[code, subcode, ref data @ ..] if hard_reset => {
                Notification { code, subcode, data: data.to_vec(), hard_reset }
            }
            _ => Notification { code, subcode, data: data.to_vec(), hard_reset },
        }
    }

    /// Appends the message to `out`.
    pub fn encode(&self, out: &mut Vec<u8>) {
        message::encode(out, MessageType::Notification, |out| {
            if self.hard_reset {
                out.extend([CEASE, HARD_RESET]);
            }
            out.extend([self.code, self.subcode]);
            out.extend(&self.data);
        });
    }

    /// The text that the operator of the other side sent with an administrative shutdown or reset; `None` if there is
    /// no text or its length field is wrong. Invalid UTF-8 and control characters are replaced, because the text is
    /// written to a log line and must not be able to forge another log line.
    pub fn shutdown_communication(&self) -> Option<String> {
        let shutdown = CeaseSubcode::AdministrativeShutdown as u8;
        let reset = CeaseSubcode::AdministrativeReset as u8;
        if self.code != CEASE || ![shutdown, reset].contains(&self.subcode) {
            return None;
        }
        let (&length, text) = self.data.split_first()?;
        let text = text.get(..length.into())?;
        let printable = |character: char| if character.is_control() { '?' } else { character };
        let communication: String = String::from_utf8_lossy(text).chars().map(printable).collect();
        Some(communication).filter(|communication| !communication.is_empty())
    }

    /// The name of the error with this code and subcode, for the log.
    fn name(&self) -> &'static str {
        match (self.code, self.subcode) {
            (1, _) => "message header error",
            (2, 2) => "bad peer AS",
            (2, 3) => "bad BGP identifier",
            (2, 6) => "unacceptable hold time",
            (2, 7) => "unsupported capability",
            (2, 11) => "role mismatch",
            (2, _) => "OPEN message error",
            (3, _) => "UPDATE message error",
            (4, _) => "hold timer expired",
            (5, _) => "message in the wrong state",
            (CEASE, 1) => "too many prefixes",
            (CEASE, 2) => "administrative shutdown",
            (CEASE, 3) => "peer no longer configured",
            (CEASE, 4) => "administrative reset",
            (CEASE, 5) => "connection rejected",
            (CEASE, 6) => "other configuration change",
            (CEASE, 7) => "connection collision resolved",
            (CEASE, 8) => "out of resources",
            (CEASE, HARD_RESET) => "hard reset",
            (CEASE, _) => "cease",
            (8, _) => "send hold timer expired",
            _ => "unknown error",
        }
    }
}

impl From<ErrorKind> for Notification {
    fn from(kind: ErrorKind) -> Notification {
        Notification { code: kind.code(), subcode: kind.subcode(), data: Vec::new(), hard_reset: false }
    }
}

impl From<MessageError> for Notification {
    fn from(error: MessageError) -> Notification {
        Notification { data: error.data, ..Notification::from(error.kind) }
    }
}

impl fmt::Display for Notification {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        write!(formatter, "{} ({}/{})", self.name(), self.code, self.subcode)?;
        if self.hard_reset {
            write!(formatter, ", hard reset")?;
        }
        match self.shutdown_communication() {
            Some(communication) => write!(formatter, ": {communication}"),
            None => Ok(()),
        }
    }
}

#[cfg(test)]
mod tests;
