//! AS_PATH and AS4_PATH on the wire, in two octets for each AS and in four (RFC 6793).

use super::Segment;
use crate::open::AS_TRANS;
use crate::Bytes;

/// Segment types (RFC 4271 section 4.3).
const AS_SET: u8 = 1;
const AS_SEQUENCE: u8 = 2;

/// Reads the value of an AS_PATH; none where it is malformed (RFC 7606 section 7.2).
pub(super) fn decode(value: &[u8], four_octet: bool) -> Option<Vec<Segment>> {
    let mut bytes = Bytes(value);
    let mut segments = Vec::new();
    while !bytes.is_empty() {
        let segment_type = bytes.u8()?;
        let count = usize::from(bytes.u8()?);
        // Confederations (3, 4) end at our borders: none may come (RFC 5065 section 4).
        if !matches!(segment_type, AS_SET | AS_SEQUENCE) || count == 0 {
            return None;
        }
        let size = if four_octet { 4 } else { 2 };
        let numbers = bytes.take(count * size)?.chunks_exact(size);
        let number = |octets: &[u8]| octets.iter().fold(0, |sum, &octet| sum << 8 | u32::from(octet));
        segments.push(Segment { set: segment_type == AS_SET, numbers: numbers.map(number).collect() });
    }
    Some(segments)
}

/// The value of an AS_PATH. In two octets AS_TRANS stands for what they can't hold.
pub(super) fn encode(path: &[Segment], four_octet: bool) -> Vec<u8> {
    let mut value = Vec::new();
    for segment in path {
        let segment_type = if segment.set { AS_SET } else { AS_SEQUENCE };
        value.extend([segment_type, segment.numbers.len() as u8]);
        for &number in &segment.numbers {
            match four_octet {
                true => value.extend(number.to_be_bytes()),
                false => value.extend(u16::try_from(number).unwrap_or(AS_TRANS).to_be_bytes()),
            }
        }
    }
    value
}

/// RFC 6793 section 4.2.3: what an old speaker could not write in its AS_PATH stands at the end of AS4_PATH.
pub(super) fn merge_as4(as_path: Vec<Segment>, as4_path: Option<Vec<Segment>>) -> Vec<Segment> {
    let hops = |segments: &[Segment]| -> usize { segments.iter().map(Segment::hops).sum() };
    let Some(as4_path) = as4_path.filter(|as4_path| hops(as4_path) <= hops(&as_path)) else { return as_path };
    let leading = hops(&as_path) - hops(&as4_path);
    let mut merged = first_hops(as_path, leading);
    for segment in as4_path {
        match merged.last_mut() {
            Some(last) if !last.set && !segment.set => last.numbers.extend(segment.numbers),
            _ => merged.push(segment),
        }
    }
    merged
}

/// So many hops off the front of a path that has as many or more.
fn first_hops(path: Vec<Segment>, count: usize) -> Vec<Segment> {
    let mut missing = count;
    let mut first = Vec::new();
    for mut segment in path {
        if missing == 0 {
            break;
        }
        if !segment.set {
            segment.numbers.truncate(missing);
        }
        missing -= segment.hops();
        first.push(segment);
    }
    first
}
