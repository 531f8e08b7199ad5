//! Tests on faulty storage: after any fault, either one complete snapshot is loaded or the store is quarantined.

use super::format::{read_header, seal};
use super::transaction::TABLE;
use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug, PartialEq)]
enum Operation {
    Write(u64, Vec<u8>),
    SetLength(u64),
    Sync,
}

/// A storage in memory that records all operations, so that a test can lose any of them in a simulated crash.
#[derive(Clone, Debug, Default)]
struct RecordingStorage(Arc<Mutex<RecordedState>>);

#[derive(Debug, Default)]
struct RecordedState {
    /// The bytes before the first operation.
    initial: Vec<u8>,
    bytes: Vec<u8>,
    operations: Vec<Operation>,
    /// If set, all operations that change the storage fail with this message.
    failure: Option<&'static str>,
}

fn apply(bytes: &mut Vec<u8>, operation: &Operation) {
    match operation {
        Operation::Write(offset, data) => {
            let end = *offset as usize + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*offset as usize..end].copy_from_slice(data);
        }
        Operation::SetLength(length) => bytes.resize(*length as usize, 0),
        Operation::Sync => {}
    }
}

impl RecordingStorage {
    fn with_bytes(bytes: Vec<u8>) -> RecordingStorage {
        RecordingStorage(Arc::new(Mutex::new(RecordedState {
            initial: bytes.clone(),
            bytes,
            ..RecordedState::default()
        })))
    }

    fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().bytes.clone()
    }

    fn operations(&self) -> (Vec<u8>, Vec<Operation>) {
        let state = self.0.lock().unwrap();
        (state.initial.clone(), state.operations.clone())
    }

    fn perform(&self, operation: Operation) -> io::Result<()> {
        let mut state = self.0.lock().unwrap();
        if let Some(message) = state.failure {
            return Err(io::Error::other(message));
        }
        apply(&mut state.bytes, &operation);
        state.operations.push(operation);
        Ok(())
    }
}

impl StorageBackend for RecordingStorage {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().bytes.len() as u64)
    }
    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let state = self.0.lock().unwrap();
        let bytes = state.bytes.get(offset as usize..offset as usize + len);
        bytes.map(<[u8]>::to_vec).ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.perform(Operation::SetLength(len))
    }
    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        self.perform(Operation::Sync)
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.perform(Operation::Write(offset, data.to_vec()))
    }
}

const OWNER: u64 = 77;

/// Three pieces whose bodies repeat this number.
fn pieces(number: u64) -> Pieces {
    let body = |piece: u32| number.to_le_bytes().repeat(1 + 40 * piece as usize);
    (0..3).map(|piece| (piece, body(piece))).collect()
}

/// Whether the snapshot equals one that [`save_snapshots`] wrote, with all its pieces.
fn is_complete(snapshot: &StoredSnapshot) -> bool {
    let first = snapshot.pieces.get(&0).and_then(|body| body[..8].try_into().ok()).map(u64::from_le_bytes);
    first.is_some_and(|number| {
        snapshot.pieces == pieces(number) && snapshot.epoch == number && snapshot.taken_at == number as f64
    })
}

/// Saves the snapshots of the numbers `from` to `to`; each number is also the epoch and the time.
fn save_snapshots(store: &mut Store, from: u64, to: u64) {
    for number in from..=to {
        assert_eq!(store.save(&pieces(number), number as f64).unwrap(), number);
    }
}

fn load(bytes: Vec<u8>) -> LoadOutcome {
    Store::open(RecordingStorage::with_bytes(bytes), OWNER).1
}

/// Runs a test without printing the panics of the storage engine: panics on damaged files are expected here and would
/// fill the output.
fn hiding_engine_panics<T>(test: impl FnOnce() -> T) -> T {
    let former_hook = std::panic::take_hook();
    // Panics of the tests themselves are still printed.
    std::panic::set_hook(Box::new(|panic| {
        if panic.location().is_some_and(|location| location.file().contains("tests")) {
            eprintln!("{panic}");
        }
    }));
    let result = test();
    std::panic::set_hook(former_hook);
    result
}

#[test]
fn loads_the_last_snapshot_and_continues_epochs_over_restarts() {
    let storage = RecordingStorage::default();
    let (mut store, outcome) = Store::open(storage.clone(), OWNER);
    assert_eq!(outcome, LoadOutcome::Empty);
    save_snapshots(&mut store, 1, 5);
    drop(store);
    let (mut store, outcome) = Store::open(RecordingStorage::with_bytes(storage.bytes()), OWNER);
    assert_eq!(outcome, LoadOutcome::Complete(StoredSnapshot { epoch: 5, taken_at: 5.0, pieces: pieces(5) }));
    store.continue_after(90);
    assert_eq!(store.save(&pieces(91), 91.0).unwrap(), 91);
    // A snapshot may have fewer pieces than the one before it.
    let single_piece: Pieces = [(0, vec![1])].into();
    assert_eq!(store.save(&single_piece, 92.0).unwrap(), 92);
    assert!(matches!(
        store.save(&[(0, vec![0; MAX_PIECE_BYTES + 1])].into(), 93.0),
        Err(StoreError::TooLarge)
    ));
}

/// Guards against a crash at any operation in which the operations after the last sync are lost, applied in part, or
/// applied in another order.
#[test]
fn crash_at_any_operation_leaves_one_complete_snapshot() {
    hiding_engine_panics(|| {
        let storage = RecordingStorage::default();
        let (mut store, _) = Store::open(storage.clone(), OWNER);
        save_snapshots(&mut store, 1, 4);
        let (initial, operations) = storage.operations();
        let syncs = |count: usize| {
            operations[..count].iter().filter(|operation| **operation == Operation::Sync).count()
        };
        let mut rng = SmallRng::seed_from_u64(3);
        let (mut complete, mut min_epoch) = (0, 0);
        for count in 0..=operations.len() {
            for _ in 0..3 {
                // All operations up to the last sync, then a random choice of the others in random order.
                let synced_count = operations[..count]
                    .iter()
                    .rposition(|operation| *operation == Operation::Sync)
                    .map_or(0, |index| index + 1);
                let mut unsynced: Vec<&Operation> =
                    operations[synced_count..count].iter().filter(|_| rng.random::<f64>() < 0.6).collect();
                for at in (1..unsynced.len()).rev() {
                    unsynced.swap(at, rng.random_range(0..=at));
                }
                let mut bytes = initial.clone();
                operations[..synced_count]
                    .iter()
                    .chain(unsynced)
                    .for_each(|operation| apply(&mut bytes, operation));
                match load(bytes) {
                    LoadOutcome::Complete(snapshot) => {
                        assert!(is_complete(&snapshot), "{snapshot:?} after {count} operations");
                        // After the last sync, no crash leaves an earlier epoch than a crash before it did.
                        assert!(
                            snapshot.epoch >= min_epoch,
                            "epoch {} after epoch {min_epoch}, {count} operations",
                            snapshot.epoch
                        );
                        complete += 1;
                        if syncs(count) == syncs(operations.len()) {
                            min_epoch = min_epoch.max(snapshot.epoch);
                        }
                    }
                    LoadOutcome::Empty => assert_eq!(min_epoch, 0),
                    LoadOutcome::Quarantined(_) => {}
                }
            }
        }
        assert!(
            complete > operations.len(),
            "{complete} complete snapshots after {} crashes",
            3 * operations.len()
        );
    });
}

/// Guards against a disk that loses or tears acknowledged and synced writes at random, then crashes: 600 times, or as
/// many times as the environment variable `STORE_KILLS` says.
#[test]
fn disk_that_loses_acknowledged_writes_yields_one_complete_snapshot_or_none() {
    hiding_engine_panics(|| {
        let storage = RecordingStorage::default();
        let (mut store, _) = Store::open(storage.clone(), OWNER);
        save_snapshots(&mut store, 1, 6);
        let (initial, operations) = storage.operations();
        let mut rng = SmallRng::seed_from_u64(4);
        let (mut complete, mut quarantined) = (0, 0);
        let kills = std::env::var("STORE_KILLS").ok().and_then(|kills| kills.parse().ok()).unwrap_or(600);
        for _ in 0..kills {
            let count = rng.random_range(0..=operations.len());
            let mut bytes = initial.clone();
            for operation in &operations[..count] {
                match (rng.random_range(0..60), operation) {
                    (0, Operation::Write(..)) => {}
                    (1, Operation::Write(offset, data)) => {
                        let torn_length = rng.random_range(0..=data.len());
                        apply(&mut bytes, &Operation::Write(*offset, data[..torn_length].to_vec()));
                    }
                    _ => apply(&mut bytes, operation),
                }
            }
            match load(bytes) {
                LoadOutcome::Complete(snapshot) => {
                    assert!(is_complete(&snapshot), "{snapshot:?}");
                    complete += 1;
                }
                LoadOutcome::Empty => {}
                LoadOutcome::Quarantined(_) => quarantined += 1,
            }
        }
        println!("{kills} kills: {complete} complete, {quarantined} quarantined");
        assert!(complete > 50 && quarantined > 5, "{complete} complete, {quarantined} quarantined");
    });
}

/// Guards against loading a snapshot from a file that is truncated or has a flipped bit.
#[test]
fn truncated_or_damaged_file_yields_one_complete_snapshot_or_none() {
    hiding_engine_panics(|| {
        let storage = RecordingStorage::default();
        let (mut store, _) = Store::open(storage.clone(), OWNER);
        save_snapshots(&mut store, 1, 3);
        drop(store);
        let bytes = storage.bytes();
        let is_valid = |outcome: &LoadOutcome| !matches!(outcome, LoadOutcome::Complete(snapshot) if !is_complete(snapshot));
        let mut rng = SmallRng::seed_from_u64(5);
        for _ in 0..300 {
            let length = rng.random_range(0..bytes.len());
            let outcome = load(bytes[..length].to_vec());
            assert!(is_valid(&outcome), "truncated to {length} bytes: {outcome:?}");
        }
        let mut detected = 0;
        for _ in 0..1500 {
            let mut damaged = bytes.clone();
            // Most bytes of a file are unused and 0. A byte of 0 is only chosen with a probability of 0.1, so that
            // about half of the flips hit used bytes.
            let position = loop {
                let position = rng.random_range(0..damaged.len());
                if damaged[position] != 0 || rng.random::<f64>() < 0.1 {
                    break position;
                }
            };
            damaged[position] ^= 1 << rng.random_range(0..8);
            let outcome = load(damaged);
            assert!(is_valid(&outcome), "byte {position}: {outcome:?}");
            detected += usize::from(matches!(outcome, LoadOutcome::Quarantined(_)));
        }
        // Most flips hit unused bytes, or the engine repairs them from its second copy.
        assert!(detected > 0, "{detected}");
    });
}

#[test]
fn quarantines_stores_of_other_owners_and_newer_formats() {
    let storage = RecordingStorage::default();
    let (mut store, _) = Store::open(storage.clone(), OWNER);
    save_snapshots(&mut store, 1, 2);
    drop(store);
    let other = Store::open(RecordingStorage::with_bytes(storage.bytes()), OWNER + 1).1;
    assert_eq!(other, LoadOutcome::Quarantined(QuarantineReason::OtherOwner));
    let mut newer = (FORMAT + 1).to_le_bytes().to_vec();
    newer.extend([0; 16]);
    assert_eq!(read_header(&newer).err(), Some(QuarantineReason::NewerFormat(FORMAT + 1)));
    assert!(QuarantineReason::NewerFormat(2).to_string().contains("newer"));
}

/// Guards against loading pieces of two snapshots together, each of which is undamaged by itself.
#[test]
fn never_mixes_pieces_of_two_snapshots() {
    let storage = RecordingStorage::default();
    let (mut store, _) = Store::open(storage.clone(), OWNER);
    save_snapshots(&mut store, 1, 2);
    let engine = store.engine.as_ref().unwrap();
    let transaction = engine.begin_write().unwrap();
    {
        let mut table = transaction.open_table(TABLE).unwrap();
        table.insert(1, seal(OWNER, 1, 1, &pieces(1)[&1]).as_slice()).unwrap();
    }
    transaction.commit().unwrap();
    drop(store);
    assert_eq!(load(storage.bytes()), LoadOutcome::Quarantined(QuarantineReason::Damaged(1)));
}

#[test]
fn failing_disk_reports_an_error_and_keeps_the_last_snapshot() {
    hiding_engine_panics(|| {
        let storage = RecordingStorage::default();
        let (mut store, _) = Store::open(storage.clone(), OWNER);
        save_snapshots(&mut store, 1, 2);
        storage.0.lock().unwrap().failure = Some("no space left on device");
        let Err(error) = store.save(&pieces(3), 3.0) else { panic!("the save should fail") };
        assert!(matches!(error, StoreError::Engine(_)) && !error.to_string().is_empty(), "{error:?}");
        assert_eq!(store.epoch(), 2);
        drop(store);
        let LoadOutcome::Complete(snapshot) = load(storage.bytes()) else { panic!("no complete snapshot") };
        assert!(is_complete(&snapshot) && snapshot.epoch == 2);
    });
}

#[test]
fn quarantines_an_unusable_file_and_creates_a_new_one() {
    hiding_engine_panics(|| {
        let folder = std::env::temp_dir().join(format!("cleatgw-store-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("kept");
        std::fs::write(&path, b"this is no store of ours, and longer than nothing").unwrap();
        let (mut store, outcome) = Store::open_file(&path, OWNER).unwrap();
        assert!(matches!(outcome, LoadOutcome::Quarantined(QuarantineReason::Unreadable(_))), "{outcome:?}");
        assert!(quarantine_path(&path).exists());
        save_snapshots(&mut store, 1, 2);
        drop(store);
        assert!(
            matches!(Store::open_file(&path, OWNER), Ok((_, LoadOutcome::Complete(snapshot))) if snapshot.epoch == 2)
        );
        assert!(Store::open_file(&folder.join("missing").join("kept"), OWNER).is_err());
        std::fs::remove_dir_all(&folder).unwrap();
    });
}
