//! What a router persists of itself, and its form in the store.

use crate::{SnapshotTime, MAX_UNPERSISTED_RETRIES};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Idempotency records that are persisted; the oldest are left out first.
pub const MAX_IDEMPOTENCY_RECORDS: usize = 4096;
/// Retries that are persisted; the oldest are left out first.
const MAX_RETRIES: usize = 4096;
/// Engines in slow start that are persisted.
const MAX_SLOW_START_ENGINES: usize = 1024;

/// The numbers of the pieces in the store.
pub(crate) const RETRIES: u32 = 1;
pub(crate) const SLOW_START: u32 = 2;
pub(crate) const IDEMPOTENCY_RECORDS: u32 = 3;

/// Pieces by their numbers, as a store keeps them.
pub type Pieces = BTreeMap<u32, Vec<u8>>;

/// Work that was sent to an engine in slow start within its window. The order of the fields is the format of the store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SentWork {
    /// A hash of the engine's name.
    pub name_hash: u64,
    /// The incarnation of the engine.
    pub incarnation: u32,
    /// How much was sent, in seconds of work.
    pub work: f64,
}

/// A deduplicated request that was dispatched and may have run. The order of the fields is the format of the store.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// A hash of its idempotency key.
    pub key: u64,
    /// The age of its first attempt, in seconds.
    pub age: f64,
}

/// What is persisted, as of one time. Times are ages in seconds then.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// When it was taken.
    pub taken_at: SnapshotTime,
    /// The retries of late, each by its age.
    pub retries: Vec<f64>,
    /// How many retries may be made after it until the next snapshot is written.
    pub unpersisted_retries: u32,
    /// The engines in slow start.
    pub slow_start: Vec<SentWork>,
    /// The deduplicated requests that may have run.
    pub idempotency_records: Vec<IdempotencyRecord>,
}

impl Snapshot {
    /// The pieces to be written to the store. What is too much is left out, the oldest first.
    pub fn to_pieces(&self) -> Pieces {
        let retries = newest(&self.retries, MAX_RETRIES);
        let slow_start = &self.slow_start[..self.slow_start.len().min(MAX_SLOW_START_ENGINES)];
        let idempotency_records = newest(&self.idempotency_records, MAX_IDEMPOTENCY_RECORDS);
        BTreeMap::from([
            (RETRIES, encode(&(self.taken_at, retries, self.unpersisted_retries))),
            (SLOW_START, encode(&slow_start)),
            (IDEMPOTENCY_RECORDS, encode(&idempotency_records)),
        ])
    }

    /// Reads the pieces of a store; `None` where one is missing, or holds what no router of this version writes.
    pub fn from_pieces(pieces: &Pieces) -> Option<Snapshot> {
        let (taken_at, retries, unpersisted_retries) = decode(pieces.get(&RETRIES)?)?;
        let slow_start = decode(pieces.get(&SLOW_START)?)?;
        let idempotency_records = decode(pieces.get(&IDEMPOTENCY_RECORDS)?)?;
        let snapshot = Snapshot { taken_at, retries, unpersisted_retries, slow_start, idempotency_records };
        snapshot.is_sound().then_some(snapshot)
    }

    /// Within all bounds, and without an age that can't be.
    fn is_sound(&self) -> bool {
        let age = |age: f64| age.is_finite() && age >= 0.0;
        self.retries.len() <= MAX_RETRIES
            && self.slow_start.len() <= MAX_SLOW_START_ENGINES
            && self.idempotency_records.len() <= MAX_IDEMPOTENCY_RECORDS
            && self.unpersisted_retries <= MAX_UNPERSISTED_RETRIES
            && self.taken_at.since_boot.is_finite()
            && self.taken_at.unix.is_finite()
            && self.retries.iter().all(|retry| age(*retry))
            && self.slow_start.iter().all(|sent| age(sent.work))
            && self.idempotency_records.iter().all(|record| age(record.age))
    }
}

/// The last of them, at most so many.
fn newest<T>(all: &[T], most: usize) -> &[T] {
    &all[all.len().saturating_sub(most)..]
}

/// Nothing for what can't be encoded, which is read as unsound.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, Vec::new()).unwrap_or_default()
}

/// `None` for bytes that are no such value, or more than one.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(value)
}
