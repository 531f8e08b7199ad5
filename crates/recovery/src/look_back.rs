//! For how long what was persisted is valid.

use crate::{IdempotencyRecord, SentWork, Snapshot};

/// How far back the rules look, in seconds, as the deployment states it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LookBack {
    /// The window of the retry budget.
    pub retries: f64,
    /// The window of slow start.
    pub slow_start: f64,
    /// The longest window in which requests are deduplicated.
    pub deduplication: f64,
}

impl LookBack {
    /// After so long nothing that a former incarnation did matters but its idempotency records.
    pub(crate) fn longest(&self) -> f64 {
        self.retries.max(self.slow_start)
    }

    /// Idempotency records are kept for twice their window: a request that comes again after it may have run must not run again.
    pub fn idempotency_records(&self) -> f64 {
        2.0 * self.deduplication
    }
}

/// Work that was sent to an engine in slow start, and how long ago.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgedWork {
    /// The work and its engine.
    pub sent: SentWork,
    /// Its age, in seconds.
    pub age: f64,
}

/// What is still valid of a former incarnation, with ages in seconds now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValidHistory {
    /// The ages of retries.
    pub retries: Vec<f64>,
    /// The engines in slow start, and what was sent to them.
    pub slow_start: Vec<AgedWork>,
    /// The deduplicated requests that may have run.
    pub idempotency_records: Vec<IdempotencyRecord>,
}

/// What is still valid of a snapshot that was taken `passed` seconds ago. Retries that may have been made after it are taken as
/// made just now: the process may have gone on without a disk until a moment ago.
pub fn valid_history(snapshot: &Snapshot, passed: f64, look_back: &LookBack) -> ValidHistory {
    let age_within = |age: f64, window: f64| Some(age + passed).filter(|age| *age < window);
    let persisted = snapshot.retries.iter().filter_map(|age| age_within(*age, look_back.retries));
    let unpersisted = std::iter::repeat_n(0.0, snapshot.unpersisted_retries as usize);
    // All work as if sent when the snapshot was taken, as parts of its window are not persisted.
    let work = |sent: &SentWork| {
        let age = age_within(0.0, look_back.slow_start)?;
        Some(AgedWork { sent: *sent, age })
    };
    let record = |record: &IdempotencyRecord| {
        let age = age_within(record.age, look_back.idempotency_records())?;
        Some(IdempotencyRecord { age, ..*record })
    };
    ValidHistory {
        retries: persisted.chain(unpersisted).collect(),
        slow_start: snapshot.slow_start.iter().filter_map(work).collect(),
        idempotency_records: snapshot.idempotency_records.iter().filter_map(record).collect(),
    }
}
