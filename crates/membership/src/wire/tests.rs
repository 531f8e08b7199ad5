use super::*;
use proptest::prelude::*;

fn envelope() -> Envelope {
    Envelope {
        cluster: u64::MAX,
        from: 7,
        to: 9,
        generation: u64::MAX,
        receiver_generation: u64::MAX,
        ..Envelope::default()
    }
}

#[test]
fn longest_body_fits_after_longest_envelope() {
    let longest = Envelope {
        from: u16::MAX,
        to: u16::MAX,
        heard_ago: u16::MAX,
        present: u16::MAX,
        present_hash: u32::MAX,
        age: u32::MAX,
        leaving: true,
        receiver_failed: true,
        store_epoch: u64::MAX,
        receiver_store_epoch: u64::MAX,
        kind: Kind::IndirectAck,
        ..envelope()
    };
    let bytes = write(&longest, &[7; MAX_BODY]).unwrap();
    assert!(bytes.len() <= MAX_DATAGRAM, "{}", bytes.len());
    assert_eq!(read(&bytes), Ok((longest, &[7; MAX_BODY][..])));
    assert_eq!(write(&longest, &[7; MAX_BODY + 1]), None);
}

#[test]
fn rejects_cut_or_damaged_datagrams_as_noise() {
    let datagram = write(&envelope(), b"a body").unwrap();
    for at in 0..datagram.len() {
        assert_eq!(read(&datagram[..at]).err(), Some(DropReason::Noise), "cut at {at}");
        for bit in 0..8 {
            let mut damaged = datagram.clone();
            damaged[at] ^= 1 << bit;
            assert_eq!(read(&damaged).err(), Some(DropReason::Noise), "byte {at}, bit {bit}");
        }
    }
    assert_eq!(read(&[0; MAX_DATAGRAM + 1]).err(), Some(DropReason::TooLong));
}

#[test]
fn distinguishes_another_version_from_noise() {
    let mut bytes = write(&envelope(), b"x").unwrap();
    bytes[2] = VERSION + 1;
    let end = bytes.len() - 4;
    let checksum = crc32fast::hash(&bytes[..end]).to_le_bytes();
    bytes[end..].copy_from_slice(&checksum);
    assert_eq!(read(&bytes).err(), Some(DropReason::Version));
}

proptest! {
    #[test]
    fn reads_any_bytes_without_panic(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = read(&bytes);
        let checksum = crc32fast::hash(&[&b"cG\x02"[..], &bytes].concat()).to_le_bytes();
        let _ = read(&[&b"cG\x02"[..], &bytes, &checksum].concat());
    }
}
