//! Compares the pieces of a snapshot with those that an earlier version wrote. A router that is replaced by a newer
//! version must be able to read what its predecessor has written.

use cleatgw_recovery::{IdempotencyRecord, Pieces, SentWork, Snapshot, SnapshotTime};
use expect_test::expect_file;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn snapshot() -> Snapshot {
    Snapshot {
        taken_at: SnapshotTime { boot: 0x0123_4567_89ab_cdef, since_boot: 86_400.25, unix: 1_800_000_000.5 },
        retries: vec![9.5, 3.25, 0.0],
        unpersisted_retries: 3,
        slow_start: vec![
            SentWork { name_hash: u64::MAX, incarnation: 7, work: 1.25 },
            SentWork { name_hash: 4, incarnation: u32::MAX, work: 0.5 },
        ],
        idempotency_records: vec![
            IdempotencyRecord { key: 0xfeed_face_cafe_beef, age: 11.0 },
            IdempotencyRecord { key: 1, age: 0.125 },
        ],
    }
}

fn text(pieces: &Pieces) -> String {
    pieces.iter().map(|(number, bytes)| format!("{number} {}\n", hex(bytes))).collect()
}

#[test]
fn pieces_have_the_bytes_of_the_earlier_version_and_decode_to_the_same_snapshot() {
    let pieces = snapshot().to_pieces();
    expect_file!["golden/pieces.txt"].assert_eq(&text(&pieces));
    assert_eq!(Snapshot::from_pieces(&pieces), Some(snapshot()));
}
