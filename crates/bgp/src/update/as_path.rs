//! The codec of AS_PATH and AS4_PATH, with two or four octets for each AS number (RFC 6793).

use super::{AsPathSegment, SegmentType};
use crate::open::AS_TRANS;
use crate::ByteReader;

/// Decodes the value of an AS_PATH; `None` if it is malformed (RFC 7606 section 7.2).
pub(super) fn decode(value: &[u8], four_octet_as: bool) -> Option<Vec<AsPathSegment>> {
    let mut bytes = ByteReader(value);
    let mut segments = Vec::new();
    while !bytes.is_empty() {
        // Confederation segments (types 3 and 4) must not cross the border of a confederation, so a peer must not
        // send them (RFC 5065 section 4).
        let segment_type = match bytes.u8()? {
            1 => SegmentType::Set,
            2 => SegmentType::Sequence,
            _ => return None,
        };
        let count = usize::from(bytes.u8()?);
        if count == 0 {
            return None;
        }
        let size = if four_octet_as { 4 } else { 2 };
        let numbers = bytes.take(count * size)?.chunks_exact(size);
        let as_number =
            |octets: &[u8]| octets.iter().fold(0, |number, &octet| number << 8 | u32::from(octet));
        segments.push(AsPathSegment { segment_type, numbers: numbers.map(as_number).collect() });
    }
    Some(segments)
}

/// Encodes the value of an AS_PATH. With two-octet AS numbers, AS_TRANS replaces those that do not fit.
pub(super) fn encode(path: &[AsPathSegment], four_octet_as: bool) -> Vec<u8> {
    let mut value = Vec::new();
    for segment in path {
        value.extend([segment.segment_type as u8, segment.numbers.len() as u8]);
        for &number in &segment.numbers {
            match four_octet_as {
                true => value.extend(number.to_be_bytes()),
                false => value.extend(u16::try_from(number).unwrap_or(AS_TRANS).to_be_bytes()),
            }
        }
    }
    value
}

/// Merges AS4_PATH into AS_PATH (RFC 6793 section 4.2.3): AS4_PATH replaces the last hops of AS_PATH, where AS_TRANS
/// stands for AS numbers that do not fit in two octets. An AS4_PATH that is longer than AS_PATH is ignored.
pub(super) fn merge_as4(
    as_path: Vec<AsPathSegment>,
    as4_path: Option<Vec<AsPathSegment>>,
) -> Vec<AsPathSegment> {
    let hops = |segments: &[AsPathSegment]| -> usize { segments.iter().map(AsPathSegment::hops).sum() };
    let Some(as4_path) = as4_path.filter(|as4_path| hops(as4_path) <= hops(&as_path)) else { return as_path };
    let leading = hops(&as_path) - hops(&as4_path);
    let mut merged = first_hops(as_path, leading);
    for segment in as4_path {
        match merged.last_mut() {
            Some(last) if is_sequence(last) && is_sequence(&segment) => last.numbers.extend(segment.numbers),
            _ => merged.push(segment),
        }
    }
    merged
}

/// The first `count` hops of a path that has at least `count` hops.
fn first_hops(path: Vec<AsPathSegment>, count: usize) -> Vec<AsPathSegment> {
    let mut remaining = count;
    let mut first = Vec::new();
    for mut segment in path {
        if remaining == 0 {
            break;
        }
        if is_sequence(&segment) {
            segment.numbers.truncate(remaining);
        }
        remaining -= segment.hops();
        first.push(segment);
    }
    first
}

fn is_sequence(segment: &AsPathSegment) -> bool {
    segment.segment_type == SegmentType::Sequence
}
