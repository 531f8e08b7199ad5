//! A golden file: a store that the version before the code was reshaped (1b8dd66) has written by two puts of three pieces each,
//! compacted. It is read whole, and the next put follows its epoch.

use cleatgw_snapshot_store::{LoadOutcome, Pieces, Store, StoredSnapshot};
use std::path::{Path, PathBuf};

const OWNER: u64 = 0x5eed_0b0e;

fn pieces(number: u8) -> Pieces {
    (1..=3).map(|piece: u32| (piece, vec![number ^ piece as u8; 10 * piece as usize])).collect()
}

/// A copy of the fixture that the test may write to.
fn copy(name: &str) -> PathBuf {
    let fixture = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden/store.redb");
    let path = std::env::temp_dir().join(format!("cleatgw-golden-{}-{name}.redb", std::process::id()));
    std::fs::copy(fixture, &path).expect("the fixture is there");
    path
}

#[test]
fn a_file_of_the_former_version_is_read_whole_and_written_on() {
    let path = copy("whole");
    let (mut store, found) = Store::open_file(&path, OWNER).expect("it opens");
    assert_eq!(
        found,
        LoadOutcome::Complete(StoredSnapshot { epoch: 2, taken_at: 1_800_000_002.0, pieces: pieces(2) })
    );
    assert_eq!(store.save(&pieces(3), 1_800_000_003.0).expect("it is written"), 3);
    drop(store);
    let (_, found) = Store::open_file(&path, OWNER).expect("it opens again");
    assert_eq!(
        found,
        LoadOutcome::Complete(StoredSnapshot { epoch: 3, taken_at: 1_800_000_003.0, pieces: pieces(3) })
    );
    std::fs::remove_file(path).expect("it is ours");
}

#[test]
fn a_file_of_the_former_version_is_set_aside_for_another_owner() {
    let path = copy("owner");
    let (_, found) = Store::open_file(&path, OWNER + 1).expect("it opens");
    assert!(matches!(found, LoadOutcome::Quarantined(_)), "{found:?}");
    std::fs::remove_file(cleatgw_snapshot_store::quarantine_path(&path)).expect("it was set aside");
    let _ = std::fs::remove_file(path);
}
