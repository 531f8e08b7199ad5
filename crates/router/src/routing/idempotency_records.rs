//! The first attempts of deduplicated requests that may have run, by the hash of the request's idempotency key. The
//! number of records is bounded; the oldest are dropped first.

use cleatgw_recovery::{IdempotencyRecord, MAX_IDEMPOTENCY_RECORDS};
use std::collections::{HashMap, VecDeque};

/// The hash of an idempotency key, and when a request with this key was first attempted.
#[derive(Clone, Copy, Debug)]
struct FirstAttempt {
    key: u64,
    at: f64,
}

/// The records of one router.
#[derive(Default)]
pub struct IdempotencyRecords {
    /// When each key was first attempted.
    first_attempts: HashMap<u64, f64>,
    /// The same records, the oldest first.
    by_age: VecDeque<FirstAttempt>,
}

impl IdempotencyRecords {
    /// Records an attempt of a request with this key, unless the key has a record already. Returns whether it is the
    /// first attempt.
    pub fn record_attempt(&mut self, key: u64, now: f64) -> bool {
        if self.first_attempts.contains_key(&key) {
            return false;
        }
        self.first_attempts.insert(key, now);
        self.by_age.push_back(FirstAttempt { key, at: now });
        if self.by_age.len() > MAX_IDEMPOTENCY_RECORDS {
            if let Some(oldest) = self.by_age.pop_front() {
                self.first_attempts.remove(&oldest.key);
            }
        }
        true
    }

    /// Removes the record of a key if it stands for an attempt that was sent at this time and never ran. An attempt
    /// other than the first leaves the record as it is.
    pub fn remove_never_ran(&mut self, key: u64, sent_at: f64) {
        if self.first_attempts.get(&key) == Some(&sent_at) {
            self.first_attempts.remove(&key);
            self.by_age.retain(|attempt| attempt.key != key);
        }
    }

    /// When a request with this key was first attempted.
    pub fn first_attempt(&self, key: u64) -> Option<f64> {
        self.first_attempts.get(&key).copied()
    }

    /// Removes the records of attempts before a time.
    pub fn remove_before(&mut self, time: f64) {
        while let Some(attempt) = self.by_age.pop_front_if(|attempt| attempt.at < time) {
            self.first_attempts.remove(&attempt.key);
        }
    }

    /// All records with their ages in seconds, the oldest first.
    pub fn ages(&self, now: f64) -> Vec<IdempotencyRecord> {
        let record =
            |attempt: &FirstAttempt| IdempotencyRecord { key: attempt.key, age: (now - attempt.at).max(0.0) };
        self.by_age.iter().map(record).collect()
    }

    /// Adds the records of this router's former incarnation. Of two records with the same key the earlier one counts.
    pub fn restore(&mut self, records: &[IdempotencyRecord], now: f64) {
        let restored = |record: &IdempotencyRecord| FirstAttempt { key: record.key, at: now - record.age };
        let mut attempts: Vec<FirstAttempt> = records.iter().map(restored).collect();
        attempts.extend(std::mem::take(&mut self.by_age));
        attempts.sort_by(|a, b| a.at.total_cmp(&b.at));
        self.first_attempts.clear();
        for attempt in attempts {
            self.record_attempt(attempt.key, attempt.at);
        }
    }
}

#[cfg(test)]
#[path = "idempotency_records/tests.rs"]
mod tests;
