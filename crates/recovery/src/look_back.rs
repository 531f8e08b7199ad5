//! How long each part of a persisted snapshot is valid.

use crate::{IdempotencyRecord, SentWork, Snapshot};

/// The windows of the past that the retry budget, slow start and deduplication take into account, in seconds, as
/// configured for the deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LookBack {
    /// The window of the retry budget.
    pub retries: f64,
    /// The window of slow start.
    pub slow_start: f64,
    /// The longest window of any request class in which requests are deduplicated.
    pub deduplication: f64,
}

impl LookBack {
    /// Seconds after which nothing that a former incarnation did matters, except for its idempotency records. Lost
    /// idempotency records are not waited for: a request that is sent again then counts as one that was never
    /// attempted.
    pub(crate) fn longest(&self) -> f64 {
        self.retries.max(self.slow_start)
    }

    /// Seconds for which idempotency records are kept: twice the deduplication window. If all engines share
    /// deduplication, they recognize within the window a request that is sent again; after it they do not, and the
    /// record is kept for a second window so that the request is refused instead of running a second time. If they do
    /// not share it, a request with a record is refused at once.
    pub fn idempotency_records(&self) -> f64 {
        2.0 * self.deduplication
    }
}

/// Work that was sent to an engine in slow start, with its age.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AgedWork {
    /// The amount of work, and the engine.
    pub sent: SentWork,
    /// Age of the work, in seconds.
    pub age: f64,
}

/// The part of a former incarnation's history that is still valid. Ages are in seconds at the present time.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ValidHistory {
    /// Ages of the retries.
    pub retries: Vec<f64>,
    /// Work that was sent to engines in slow start.
    pub slow_start: Vec<AgedWork>,
    /// Records of the deduplicated requests that may have run.
    pub idempotency_records: Vec<IdempotencyRecord>,
}

/// The part of a snapshot taken `passed` seconds ago that is still valid. Retries that may have been made after the
/// snapshot count as made just now: the process may have continued without a working disk until a moment ago.
pub fn valid_history(snapshot: &Snapshot, passed: f64, look_back: &LookBack) -> ValidHistory {
    let age_within = |age: f64, window: f64| Some(age + passed).filter(|age| *age < window);
    let persisted = snapshot.retries.iter().filter_map(|age| age_within(*age, look_back.retries));
    let unpersisted = std::iter::repeat_n(0.0, snapshot.unpersisted_retries as usize);
    // All work counts as sent when the snapshot was taken: the times of sending within the window are not persisted.
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
