//! Opens a store file that an earlier version (1b8dd66) wrote: two snapshots of three pieces each, then compacted. The
//! last snapshot must be loaded complete, and the next one must continue its epoch.

use cleatgw_snapshot_store::{LoadOutcome, Pieces, Store, StoredSnapshot};
use std::path::{Path, PathBuf};

const OWNER: u64 = 0x5eed_0b0e;

fn pieces(number: u8) -> Pieces {
    (1..=3).map(|piece: u32| (piece, vec![number ^ piece as u8; 10 * piece as usize])).collect()
}

/// The path of a new copy of the fixture, which the test may write to.
fn copy_fixture(name: &str) -> PathBuf {
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/store.redb");
    let path = std::env::temp_dir().join(format!("cleatgw-golden-{}-{name}.redb", std::process::id()));
    std::fs::copy(fixture, &path).expect("the fixture can be copied");
    path
}

#[test]
fn a_file_of_an_earlier_version_is_loaded_complete_and_can_be_written_to() {
    let path = copy_fixture("complete");
    let (mut store, outcome) = Store::open_file(&path, OWNER).expect("the store opens");
    assert_eq!(
        outcome,
        LoadOutcome::Complete(StoredSnapshot { epoch: 2, taken_at: 1_800_000_002.0, pieces: pieces(2) })
    );
    assert_eq!(store.save(&pieces(3), 1_800_000_003.0).expect("the snapshot is written"), 3);
    drop(store);
    let (_, outcome) = Store::open_file(&path, OWNER).expect("the store opens again");
    assert_eq!(
        outcome,
        LoadOutcome::Complete(StoredSnapshot { epoch: 3, taken_at: 1_800_000_003.0, pieces: pieces(3) })
    );
    std::fs::remove_file(path).expect("the copy can be removed");
}

#[test]
fn a_file_of_an_earlier_version_is_quarantined_for_another_owner() {
    let path = copy_fixture("owner");
    let (_, outcome) = Store::open_file(&path, OWNER + 1).expect("the store opens");
    assert!(matches!(outcome, LoadOutcome::Quarantined(_)), "{outcome:?}");
    std::fs::remove_file(cleatgw_snapshot_store::quarantine_path(&path)).expect("the file was quarantined");
    let _ = std::fs::remove_file(path);
}
