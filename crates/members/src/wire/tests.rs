use super::*;
use proptest::prelude::*;

fn envelope() -> Envelope {
    Envelope { cluster: u64::MAX, from: 7, to: 9, born: u64::MAX, yours: u64::MAX, ..Envelope::default() }
}

#[test]
fn the_longest_body_fits_behind_the_longest_envelope() {
    let most = Envelope {
        from: u16::MAX,
        to: u16::MAX,
        heard: u16::MAX,
        present: u16::MAX,
        view: u32::MAX,
        age: u32::MAX,
        leaving: true,
        failed: true,
        kept: u64::MAX,
        yours_kept: u64::MAX,
        kind: Kind::Seen,
        ..envelope()
    };
    let bytes = write(&most, &[7; LONGEST_BODY]).unwrap();
    assert!(bytes.len() <= LONGEST, "{}", bytes.len());
    assert_eq!(read(&bytes), Ok((most, &[7; LONGEST_BODY][..])));
    assert_eq!(write(&most, &[7; LONGEST_BODY + 1]), None);
}

#[test]
fn a_datagram_that_is_cut_or_damaged_anywhere_is_noise() {
    let whole = write(&envelope(), b"a body").unwrap();
    for at in 0..whole.len() {
        assert_eq!(read(&whole[..at]).err(), Some(Dropped::Noise), "cut at {at}");
        for bit in 0..8 {
            let mut damaged = whole.clone();
            damaged[at] ^= 1 << bit;
            assert_eq!(read(&damaged).err(), Some(Dropped::Noise), "byte {at}, bit {bit}");
        }
    }
    assert_eq!(read(&[0; LONGEST + 1]).err(), Some(Dropped::TooLong));
}

#[test]
fn another_version_is_told_from_noise() {
    let mut bytes = write(&envelope(), b"x").unwrap();
    bytes[2] = VERSION + 1;
    let end = bytes.len() - 4;
    let sum = crc32fast::hash(&bytes[..end]).to_le_bytes();
    bytes[end..].copy_from_slice(&sum);
    assert_eq!(read(&bytes).err(), Some(Dropped::Version));
}

proptest! {
    #[test]
    fn no_bytes_do_harm(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        let _ = read(&bytes);
        let sum = crc32fast::hash(&[&b"cG\x02"[..], &bytes].concat()).to_le_bytes();
        let _ = read(&[&b"cG\x02"[..], &bytes, &sum].concat());
    }
}
