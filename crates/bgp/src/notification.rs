//! NOTIFICATION (RFC 4271 section 4.5), with the shutdown communication of RFC 9003 and the hard reset of RFC 8538.

use crate::message::{self, Fault};
use std::fmt;

/// Cease (RFC 4486) and its subcodes.
pub const CEASE: u8 = 6;
pub const MOST_PREFIXES: u8 = 1;
pub const SHUTDOWN: u8 = 2;
pub const DECONFIGURED: u8 = 3;
pub const REJECTED: u8 = 5;
pub const CHANGED: u8 = 6;
pub const COLLISION: u8 = 7;
/// RFC 8538: the session ends for good, and its routes with it.
pub const HARD_RESET: u8 = 9;
/// Hold timer expired.
pub const HOLD: u8 = 4;
/// Finite state machine error (RFC 6608): a message in the wrong state.
pub const STATE: u8 = 5;

/// The longest shutdown communication, in bytes of UTF-8 (RFC 9003 section 2).
const LONGEST_WORDS: usize = 255;

/// Why a session ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Notification {
    pub code: u8,
    pub subcode: u8,
    pub data: Vec<u8>,
    /// It came, or goes, within a hard reset.
    pub hard: bool,
}

impl Notification {
    /// A Cease with words for the other side's operator.
    pub fn cease(subcode: u8, words: &str, hard: bool) -> Notification {
        let mut end = words.len().min(LONGEST_WORDS);
        while !words.is_char_boundary(end) {
            end -= 1;
        }
        let mut data = vec![end as u8];
        data.extend(&words.as_bytes()[..end]);
        Notification { code: CEASE, subcode, data, hard }
    }

    /// Reads the body of a NOTIFICATION, which the framing has found to hold two bytes or more. A malformed one can
    /// only be taken as it is (RFC 4271 section 6.4): there is no answer to it.
    pub fn read(body: &[u8]) -> Notification {
        let (code, subcode) = (body.first().copied().unwrap_or(0), body.get(1).copied().unwrap_or(0));
        let data = body.get(2..).unwrap_or(&[]);
        match data {
            [code, subcode, inner @ ..] if (body[0], body[1]) == (CEASE, HARD_RESET) => {
                Notification { code: *code, subcode: *subcode, data: inner.to_vec(), hard: true }
            }
            _ => Notification {
                code,
                subcode,
                data: data.to_vec(),
                hard: (code, subcode) == (CEASE, HARD_RESET),
            },
        }
    }

    pub fn put(&self, out: &mut Vec<u8>) {
        message::put(out, message::NOTIFICATION, |out| {
            if self.hard {
                out.extend([CEASE, HARD_RESET]);
            }
            out.extend([self.code, self.subcode]);
            out.extend(&self.data);
        });
    }

    /// What the other side's operator says of a shutdown; bytes that are no text are shown as such.
    pub fn words(&self) -> Option<String> {
        if self.code != CEASE || !matches!(self.subcode, SHUTDOWN | 4) {
            return None;
        }
        let (&length, text) = self.data.split_first()?;
        let text = text.get(..length.into())?;
        // It goes into a log line: nothing in it may look like another one.
        let plain = |text: char| if text.is_control() { '?' } else { text };
        Some(String::from_utf8_lossy(text).chars().map(plain).collect())
            .filter(|words: &String| !words.is_empty())
    }
}

impl From<Fault> for Notification {
    fn from(fault: Fault) -> Notification {
        Notification { code: fault.code, subcode: fault.subcode, data: fault.data, hard: false }
    }
}

impl fmt::Display for Notification {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        let name = match (self.code, self.subcode) {
            (1, _) => "message header error",
            (2, 2) => "bad peer AS",
            (2, 3) => "bad BGP identifier",
            (2, 6) => "unacceptable hold time",
            (2, 7) => "unsupported capability",
            (2, 11) => "role mismatch",
            (2, _) => "OPEN message error",
            (3, _) => "UPDATE message error",
            (HOLD, _) => "hold timer expired",
            (STATE, _) => "message in the wrong state",
            (CEASE, MOST_PREFIXES) => "too many prefixes",
            (CEASE, SHUTDOWN) => "administrative shutdown",
            (CEASE, DECONFIGURED) => "peer no longer configured",
            (CEASE, 4) => "administrative reset",
            (CEASE, REJECTED) => "connection rejected",
            (CEASE, CHANGED) => "other configuration change",
            (CEASE, COLLISION) => "connection collision resolved",
            (CEASE, 8) => "out of resources",
            (CEASE, HARD_RESET) => "hard reset",
            (CEASE, _) => "cease",
            (8, _) => "send hold timer expired",
            _ => "unknown error",
        };
        write!(to, "{name} ({}/{})", self.code, self.subcode)?;
        if self.hard {
            write!(to, ", hard reset")?;
        }
        self.words().map_or(Ok(()), |words| write!(to, ": {words}"))
    }
}

#[cfg(test)]
mod tests;
