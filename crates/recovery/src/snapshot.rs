//! The state that a router persists, and its encoding in the store.

use crate::{SnapshotTime, MAX_UNPERSISTED_RETRIES};
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of persisted idempotency records; the oldest are left out first.
pub const MAX_IDEMPOTENCY_RECORDS: usize = 4096;
/// Maximum number of persisted retries; the oldest are left out first.
const MAX_RETRIES: usize = 4096;
/// Maximum number of persisted engines in slow start.
const MAX_SLOW_START_ENGINES: usize = 1024;

/// Number of the piece that holds the time, the retries and the number of unpersisted retries.
pub(crate) const RETRIES: u32 = 1;
/// Number of the piece that holds the engines in slow start.
pub(crate) const SLOW_START: u32 = 2;
/// Number of the piece that holds the idempotency records.
pub(crate) const IDEMPOTENCY_RECORDS: u32 = 3;

/// Encoded pieces by their numbers, as the store holds them.
pub type Pieces = BTreeMap<u32, Vec<u8>>;

/// Work that was sent to an engine in slow start within its window. The order of the fields is part of the stored
/// format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct SentWork {
    /// A hash of the engine's name.
    pub name_hash: u64,
    /// The incarnation of the engine.
    pub incarnation: u32,
    /// The work that was sent, in seconds.
    pub work: f64,
}

/// A deduplicated request that was dispatched and may have run. The order of the fields is part of the stored format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct IdempotencyRecord {
    /// A hash of its idempotency key.
    pub key: u64,
    /// The age of its first attempt, in seconds.
    pub age: f64,
}

/// The persisted state at one point in time. Times are given as ages in seconds at that point.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Time at which the snapshot was taken.
    pub taken_at: SnapshotTime,
    /// Ages of the recent retries, oldest first.
    pub retries: Vec<f64>,
    /// Maximum number of retries that may be made after this snapshot until the next one is written.
    pub unpersisted_retries: u32,
    /// Work that was sent to engines in slow start.
    pub slow_start: Vec<SentWork>,
    /// Records of the deduplicated requests that may have run, oldest first.
    pub idempotency_records: Vec<IdempotencyRecord>,
}

impl Snapshot {
    /// Encodes the snapshot as pieces for the store. Of retries and idempotency records above their maximum, the oldest
    /// are left out; of engines in slow start, the last in the list.
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

    /// Decodes the pieces of a store; `None` if one is missing, or holds values that no router of this version writes.
    pub fn from_pieces(pieces: &Pieces) -> Option<Snapshot> {
        let (taken_at, retries, unpersisted_retries) = decode(pieces.get(&RETRIES)?)?;
        let slow_start = decode(pieces.get(&SLOW_START)?)?;
        let idempotency_records = decode(pieces.get(&IDEMPOTENCY_RECORDS)?)?;
        let snapshot = Snapshot { taken_at, retries, unpersisted_retries, slow_start, idempotency_records };
        snapshot.is_valid().then_some(snapshot)
    }

    /// Whether all lengths and the number of unpersisted retries are within their maxima, all times are finite, and all
    /// ages and amounts of work are finite and not negative.
    fn is_valid(&self) -> bool {
        let is_possible = |value: f64| value.is_finite() && value >= 0.0;
        self.retries.len() <= MAX_RETRIES
            && self.slow_start.len() <= MAX_SLOW_START_ENGINES
            && self.idempotency_records.len() <= MAX_IDEMPOTENCY_RECORDS
            && self.unpersisted_retries <= MAX_UNPERSISTED_RETRIES
            && self.taken_at.since_boot.is_finite()
            && self.taken_at.unix.is_finite()
            && self.retries.iter().all(|retry| is_possible(*retry))
            && self.slow_start.iter().all(|sent| is_possible(sent.work))
            && self.idempotency_records.iter().all(|record| is_possible(record.age))
    }
}

/// The last `max` entries, which are the newest.
fn newest<T>(entries: &[T], max: usize) -> &[T] {
    &entries[entries.len().saturating_sub(max)..]
}

/// Encodes a value. If that fails, the result is empty, which can't be decoded.
fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, Vec::new()).unwrap_or_default()
}

/// Decodes a value; `None` if the bytes are not such a value or are longer than it.
fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    let (value, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(value)
}
