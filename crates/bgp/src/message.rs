//! Message framing (RFC 4271 section 4.1), and what is wrong with a message (section 6).

use crate::open::Family;

/// The fixed header.
pub const HEADER: usize = 19;
/// No message is longer (RFC 4271 section 4.1); the extended length of RFC 8654 is not offered, so none may come.
pub const LONGEST: usize = 4096;

pub const OPEN: u8 = 1;
pub const UPDATE: u8 = 2;
pub const NOTIFICATION: u8 = 3;
pub const KEEPALIVE: u8 = 4;
/// RFC 2918.
pub const ROUTE_REFRESH: u8 = 5;

/// What ends a session: the codes of the NOTIFICATION it is ended with, and words for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub code: u8,
    pub subcode: u8,
    pub data: Vec<u8>,
    pub why: &'static str,
}

impl Fault {
    pub fn new(code: u8, subcode: u8, why: &'static str) -> Fault {
        Fault { code, subcode, data: Vec::new(), why }
    }

    pub fn with(self, data: &[u8]) -> Fault {
        Fault { data: data[..data.len().min(64)].to_vec(), ..self }
    }
}

/// A whole message: its type and its body without the header.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Frame<'a> {
    pub kind: u8,
    pub body: &'a [u8],
}

impl Frame<'_> {
    pub fn length(&self) -> usize {
        HEADER + self.body.len()
    }
}

/// The message that the input begins with, if it is there whole. What can't become one is told as early as its first
/// wrong byte, so that a stranger's endless bytes are never collected.
///
/// # Errors
/// RFC 4271 section 6.1: a wrong marker, length or type.
pub fn frame(input: &[u8]) -> Result<Option<Frame<'_>>, Fault> {
    if input.iter().take(16).any(|&byte| byte != 0xff) {
        return Err(Fault::new(1, 1, "connection not synchronised: the marker is wrong"));
    }
    let Some(&[high, low, kind]) = input.get(16..HEADER) else { return Ok(None) };
    let length = usize::from(u16::from_be_bytes([high, low]));
    let fits = match kind {
        OPEN => (29..=LONGEST).contains(&length),
        UPDATE => (23..=LONGEST).contains(&length),
        NOTIFICATION => (21..=LONGEST).contains(&length),
        KEEPALIVE => length == HEADER,
        ROUTE_REFRESH => length == 23,
        _ => return Err(Fault::new(1, 3, "bad message type").with(&[kind])),
    };
    if !fits {
        return Err(Fault::new(1, 2, "bad message length").with(&[high, low]));
    }
    Ok(input.get(HEADER..length).map(|body| Frame { kind, body }))
}

/// Writes one message; `body` must not grow past [`LONGEST`].
pub fn put(out: &mut Vec<u8>, kind: u8, body: impl FnOnce(&mut Vec<u8>)) {
    let start = out.len();
    out.extend([0xff; 16]);
    out.extend([0, 0, kind]);
    body(out);
    let length = out.len() - start;
    debug_assert!(length <= LONGEST, "a message of {length} bytes");
    out[start + 16..start + 18].copy_from_slice(&(length as u16).to_be_bytes());
}

pub fn keepalive(out: &mut Vec<u8>) {
    put(out, KEEPALIVE, |_| {});
}

/// A ROUTE-REFRESH of RFC 2918, with the subtypes of RFC 7313.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refresh {
    Asked(Family),
    Begins(Family),
    Ends(Family),
    /// A family or subtype that we do not speak: passed over (RFC 7313 section 5).
    Unknown,
}

pub fn refresh(body: &[u8]) -> Refresh {
    let &[high, low, subtype, safi] = body else { return Refresh::Unknown };
    match (Family::of(u16::from_be_bytes([high, low]), safi), subtype) {
        (Some(family), 0) => Refresh::Asked(family),
        (Some(family), 1) => Refresh::Begins(family),
        (Some(family), 2) => Refresh::Ends(family),
        _ => Refresh::Unknown,
    }
}

pub fn put_refresh(out: &mut Vec<u8>, what: Refresh) {
    let (family, subtype) = match what {
        Refresh::Asked(family) => (family, 0),
        Refresh::Begins(family) => (family, 1),
        Refresh::Ends(family) => (family, 2),
        Refresh::Unknown => return,
    };
    let [high, low] = family.afi().to_be_bytes();
    put(out, ROUTE_REFRESH, |out| out.extend([high, low, subtype, 1]));
}

#[cfg(test)]
mod tests;
