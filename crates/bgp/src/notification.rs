//! NOTIFICATION (RFC 4271 section 4.5), with the shutdown communication of RFC 9003 and the hard reset of RFC 8538.

use crate::error::{CeaseSubcode, ErrorKind, MessageError};
use crate::message::{self, MessageType};
use std::fmt;

/// The longest shutdown communication, in octets of UTF-8 (RFC 9003 section 2).
const MAX_SHUTDOWN_COMMUNICATION: usize = 255;
/// Error codes that are only ever matched against what a peer sent.
const CEASE: u8 = 6;
const HARD_RESET: u8 = CeaseSubcode::HardReset as u8;

/// Why a session ends. A peer may send codes that are unknown here, so they are numbers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification {
    /// The error code; within a hard reset the one that it carries.
    pub code: u8,
    /// The subcode that belongs to `code`.
    pub subcode: u8,
    /// What follows the codes.
    pub data: Vec<u8>,
    /// It is sent, or was received, within a hard reset.
    pub hard_reset: bool,
}

impl Notification {
    /// A Cease with a shutdown communication for the operator of the other side, cut to 255 octets at the end of a
    /// character.
    pub fn cease(subcode: CeaseSubcode, communication: &str, hard_reset: bool) -> Notification {
        let mut length = communication.len().min(MAX_SHUTDOWN_COMMUNICATION);
        while !communication.is_char_boundary(length) {
            length -= 1;
        }
        let mut data = vec![length as u8];
        data.extend(&communication.as_bytes()[..length]);
        Notification { code: CEASE, subcode: subcode as u8, data, hard_reset }
    }

    /// Reads the body of a NOTIFICATION, which the framing has found to hold two octets or more. A malformed one is
    /// taken as it is (RFC 4271 section 6.4): there is no answer to it.
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

    /// Appends the message.
    pub fn encode(&self, out: &mut Vec<u8>) {
        message::encode(out, MessageType::Notification, |out| {
            if self.hard_reset {
                out.extend([CEASE, HARD_RESET]);
            }
            out.extend([self.code, self.subcode]);
            out.extend(&self.data);
        });
    }

    /// What the operator of the other side says of a shutdown or reset; `None` where nothing is said or its length is
    /// wrong. Octets that are no UTF-8 and control characters are replaced: it goes into a log line, and nothing in it
    /// may look like another one.
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

    /// The name of the code and subcode.
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
