//! Storage that lies, in every way that we could think of: what is read back is one whole put, or set aside.

use super::format::{read_head, seal};
use super::transaction::TABLE;
use super::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use redb::StorageBackend;
use std::io;
use std::sync::{Arc, Mutex};

#[derive(Clone, Debug, PartialEq)]
enum Op {
    Write(u64, Vec<u8>),
    Length(u64),
    Sync,
}

/// Memory that keeps what was done to it, so that a crash can lose any of that.
#[derive(Clone, Debug, Default)]
struct Disk(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    before: Vec<u8>,
    bytes: Vec<u8>,
    ops: Vec<Op>,
    fails: Option<&'static str>,
}

fn apply(bytes: &mut Vec<u8>, op: &Op) {
    match op {
        Op::Write(at, data) => {
            let end = *at as usize + data.len();
            if bytes.len() < end {
                bytes.resize(end, 0);
            }
            bytes[*at as usize..end].copy_from_slice(data);
        }
        Op::Length(length) => bytes.resize(*length as usize, 0),
        Op::Sync => {}
    }
}

impl Disk {
    fn holding(bytes: Vec<u8>) -> Disk {
        Disk(Arc::new(Mutex::new(Inner { before: bytes.clone(), bytes, ..Inner::default() })))
    }

    fn bytes(&self) -> Vec<u8> {
        self.0.lock().unwrap().bytes.clone()
    }

    fn ops(&self) -> (Vec<u8>, Vec<Op>) {
        let inner = self.0.lock().unwrap();
        (inner.before.clone(), inner.ops.clone())
    }

    fn does(&self, op: Op) -> io::Result<()> {
        let mut inner = self.0.lock().unwrap();
        if let Some(why) = inner.fails {
            return Err(io::Error::other(why));
        }
        apply(&mut inner.bytes, &op);
        inner.ops.push(op);
        Ok(())
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> io::Result<u64> {
        Ok(self.0.lock().unwrap().bytes.len() as u64)
    }
    fn read(&self, offset: u64, len: usize) -> io::Result<Vec<u8>> {
        let inner = self.0.lock().unwrap();
        let bytes = inner.bytes.get(offset as usize..offset as usize + len);
        bytes.map(<[u8]>::to_vec).ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof))
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.does(Op::Length(len))
    }
    fn sync_data(&self, _eventual: bool) -> io::Result<()> {
        self.does(Op::Sync)
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.does(Op::Write(offset, data.to_vec()))
    }
}

const OWNER: u64 = 77;

fn pieces(number: u64) -> Pieces {
    let body = |piece: u32| number.to_le_bytes().repeat(1 + 40 * piece as usize);
    (0..3).map(|piece| (piece, body(piece))).collect()
}

/// It is one of these puts, whole.
fn is_a_put(put: &StoredSnapshot) -> bool {
    let first = put.pieces.get(&0).and_then(|body| body[..8].try_into().ok()).map(u64::from_le_bytes);
    first.is_some_and(|number| {
        put.pieces == pieces(number) && put.epoch == number && put.taken_at == number as f64
    })
}

fn put_some(store: &mut Store, from: u64, to: u64) {
    for number in from..=to {
        assert_eq!(store.save(&pieces(number), number as f64).unwrap(), number);
    }
}

fn found_in(bytes: Vec<u8>) -> LoadOutcome {
    Store::open(Disk::holding(bytes), OWNER).1
}

/// Panics of the engine over damaged files are part of what is tested here, and would fill the output.
fn quietly<T>(work: impl FnOnce() -> T) -> T {
    let loud = std::panic::take_hook();
    // The engine's own panics only.
    std::panic::set_hook(Box::new(|panic| {
        if panic.location().is_some_and(|at| at.file().contains("tests")) {
            eprintln!("{panic}");
        }
    }));
    let done = work();
    std::panic::set_hook(loud);
    done
}

#[test]
fn finds_the_last_put_and_continues_epochs_over_restarts() {
    let disk = Disk::default();
    let (mut store, found) = Store::open(disk.clone(), OWNER);
    assert_eq!(found, LoadOutcome::Empty);
    put_some(&mut store, 1, 5);
    drop(store);
    let (mut store, found) = Store::open(Disk::holding(disk.bytes()), OWNER);
    assert_eq!(found, LoadOutcome::Complete(StoredSnapshot { epoch: 5, taken_at: 5.0, pieces: pieces(5) }));
    store.continue_after(90);
    assert_eq!(store.save(&pieces(91), 91.0).unwrap(), 91);
    // A piece that is no longer put is gone.
    let one: Pieces = [(0, vec![1])].into();
    assert_eq!(store.save(&one, 92.0).unwrap(), 92);
    assert!(matches!(store.save(&[(0, vec![0; MAX_PIECE + 1])].into(), 93.0), Err(StoreError::TooLarge)));
}

/// Hard case: killed at every write, with what came after the last sync lost, kept in part, or in another order.
#[test]
fn crash_at_any_write_leaves_one_whole_put() {
    quietly(|| {
        let disk = Disk::default();
        let (mut store, _) = Store::open(disk.clone(), OWNER);
        put_some(&mut store, 1, 4);
        let (before, ops) = disk.ops();
        let synced = |upto: usize| ops[..upto].iter().filter(|op| **op == Op::Sync).count();
        let mut rng = SmallRng::seed_from_u64(3);
        let (mut whole, mut least) = (0, 0);
        for upto in 0..=ops.len() {
            for _ in 0..3 {
                // All up to the last sync, then any of the rest, in any order.
                let last = ops[..upto].iter().rposition(|op| *op == Op::Sync).map_or(0, |at| at + 1);
                let mut loose: Vec<&Op> =
                    ops[last..upto].iter().filter(|_| rng.random::<f64>() < 0.6).collect();
                for at in (1..loose.len()).rev() {
                    loose.swap(at, rng.random_range(0..=at));
                }
                let mut bytes = before.clone();
                ops[..last].iter().chain(loose).for_each(|op| apply(&mut bytes, op));
                match found_in(bytes) {
                    LoadOutcome::Complete(put) => {
                        assert!(is_a_put(&put), "{put:?} after {upto}");
                        // What was acknowledged on an honest disk is never lost.
                        assert!(put.epoch >= least, "{} after {least}, {upto} operations", put.epoch);
                        whole += 1;
                        if synced(upto) == synced(ops.len()) {
                            least = least.max(put.epoch);
                        }
                    }
                    LoadOutcome::Empty => assert_eq!(least, 0),
                    LoadOutcome::Quarantined(_) => {}
                }
            }
        }
        assert!(whole > ops.len(), "{whole} whole of {} crashes", 3 * ops.len());
    });
}

/// Hard case: writes that were acknowledged and synced are lost, torn or doubled, at random: 600 times,
/// or as often as `STORE_KILLS` says.
#[test]
fn disk_that_loses_acknowledged_writes_gives_one_whole_put_or_none() {
    quietly(|| {
        let disk = Disk::default();
        let (mut store, _) = Store::open(disk.clone(), OWNER);
        put_some(&mut store, 1, 6);
        let (before, ops) = disk.ops();
        let mut rng = SmallRng::seed_from_u64(4);
        let (mut whole, mut aside) = (0, 0);
        let kills = std::env::var("STORE_KILLS").ok().and_then(|kills| kills.parse().ok()).unwrap_or(600);
        for _ in 0..kills {
            let upto = rng.random_range(0..=ops.len());
            let mut bytes = before.clone();
            for op in &ops[..upto] {
                match (rng.random_range(0..60), op) {
                    (0, Op::Write(..)) => {}
                    (1, Op::Write(at, data)) => {
                        let torn = rng.random_range(0..=data.len());
                        apply(&mut bytes, &Op::Write(*at, data[..torn].to_vec()));
                    }
                    _ => apply(&mut bytes, op),
                }
            }
            match found_in(bytes) {
                LoadOutcome::Complete(put) => {
                    assert!(is_a_put(&put), "{put:?}");
                    whole += 1;
                }
                LoadOutcome::Empty => {}
                LoadOutcome::Quarantined(_) => aside += 1,
            }
        }
        println!("{kills} kills: {whole} whole, {aside} aside");
        assert!(whole > 50 && aside > 5, "{whole} whole, {aside} aside");
    });
}

/// Hard case: the file is cut, or one of its bits is flipped.
#[test]
fn cut_or_damaged_file_gives_one_whole_put_or_none() {
    quietly(|| {
        let disk = Disk::default();
        let (mut store, _) = Store::open(disk.clone(), OWNER);
        put_some(&mut store, 1, 3);
        drop(store);
        let bytes = disk.bytes();
        let sound = |found: &LoadOutcome| !matches!(found, LoadOutcome::Complete(put) if !is_a_put(put));
        let mut rng = SmallRng::seed_from_u64(5);
        for _ in 0..300 {
            let cut = rng.random_range(0..bytes.len());
            let found = found_in(bytes[..cut].to_vec());
            assert!(sound(&found), "cut at {cut}: {found:?}");
        }
        let mut noticed = 0;
        for _ in 0..1500 {
            let mut damaged = bytes.clone();
            // Most of a file is empty: half of the flips go where something stands.
            let at = loop {
                let at = rng.random_range(0..damaged.len());
                if damaged[at] != 0 || rng.random::<f64>() < 0.1 {
                    break at;
                }
            };
            damaged[at] ^= 1 << rng.random_range(0..8);
            let found = found_in(damaged);
            assert!(sound(&found), "byte {at}: {found:?}");
            noticed += usize::from(matches!(found, LoadOutcome::Quarantined(_)));
        }
        // Most flips hit what is free or is repaired from the copy beside it.
        assert!(noticed > 0, "{noticed}");
    });
}

#[test]
fn sets_aside_files_of_other_owners_and_newer_versions() {
    let disk = Disk::default();
    let (mut store, _) = Store::open(disk.clone(), OWNER);
    put_some(&mut store, 1, 2);
    drop(store);
    let other = Store::open(Disk::holding(disk.bytes()), OWNER + 1).1;
    assert_eq!(other, LoadOutcome::Quarantined(QuarantineReason::OtherOwner));
    let mut newer = (FORMAT + 1).to_le_bytes().to_vec();
    newer.extend([0; 16]);
    assert_eq!(read_head(&newer).err(), Some(QuarantineReason::NewerFormat(FORMAT + 1)));
    assert!(QuarantineReason::NewerFormat(2).to_string().contains("newer"));
}

/// Pieces of two puts beside each other, each whole by itself, are no put.
#[test]
fn never_mixes_pieces_of_two_puts() {
    let disk = Disk::default();
    let (mut store, _) = Store::open(disk.clone(), OWNER);
    put_some(&mut store, 1, 2);
    let engine = store.engine.as_ref().unwrap();
    let writing = engine.begin_write().unwrap();
    {
        let mut table = writing.open_table(TABLE).unwrap();
        table.insert(1, seal(OWNER, 1, 1, &pieces(1)[&1]).as_slice()).unwrap();
    }
    writing.commit().unwrap();
    drop(store);
    assert_eq!(found_in(disk.bytes()), LoadOutcome::Quarantined(QuarantineReason::Damaged(1)));
}

#[test]
fn failing_disk_reports_an_error_and_keeps_the_last_put() {
    quietly(|| {
        let disk = Disk::default();
        let (mut store, _) = Store::open(disk.clone(), OWNER);
        put_some(&mut store, 1, 2);
        disk.0.lock().unwrap().fails = Some("no space left on device");
        let Err(error) = store.save(&pieces(3), 3.0) else { panic!("it was written") };
        assert!(matches!(error, StoreError::Engine(_)) && !error.to_string().is_empty(), "{error:?}");
        assert_eq!(store.epoch(), 2);
        drop(store);
        let LoadOutcome::Complete(put) = found_in(disk.bytes()) else { panic!("nothing whole") };
        assert!(is_a_put(&put) && put.epoch == 2);
    });
}

#[test]
fn moves_an_unusable_file_aside_and_begins_a_new_one() {
    quietly(|| {
        let folder = std::env::temp_dir().join(format!("cleatgw-store-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let path = folder.join("kept");
        std::fs::write(&path, b"this is no store of ours, and longer than nothing").unwrap();
        let (mut store, found) = Store::open_file(&path, OWNER).unwrap();
        assert!(matches!(found, LoadOutcome::Quarantined(QuarantineReason::Unreadable(_))), "{found:?}");
        assert!(quarantine_path(&path).exists());
        put_some(&mut store, 1, 2);
        drop(store);
        assert!(
            matches!(Store::open_file(&path, OWNER), Ok((_, LoadOutcome::Complete(put))) if put.epoch == 2)
        );
        assert!(Store::open_file(&folder.join("missing").join("kept"), OWNER).is_err());
        std::fs::remove_dir_all(&folder).unwrap();
    });
}
