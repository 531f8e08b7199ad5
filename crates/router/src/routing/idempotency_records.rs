//! Deduplicated requests that were dispatched and may have run, by a hash of their idempotency keys: bounded, the oldest go
//! first.

use cleatgw_recovery::{IdempotencyRecord, MAX_IDEMPOTENCY_RECORDS};
use std::collections::{HashMap, VecDeque};

/// A key and when its first attempt was made.
#[derive(Clone, Copy, Debug)]
struct FirstAttempt {
    key: u64,
    at: f64,
}

/// The records of one router.
#[derive(Default)]
pub struct IdempotencyRecords {
    /// When each was first attempted.
    first: HashMap<u64, f64>,
    /// The same, the oldest first.
    order: VecDeque<FirstAttempt>,
}

impl IdempotencyRecords {
    /// A request with this key is attempted now; tells whether that is its first attempt.
    pub fn attempted(&mut self, key: u64, now: f64) -> bool {
        if self.first.contains_key(&key) {
            return false;
        }
        self.first.insert(key, now);
        self.order.push_back(FirstAttempt { key, at: now });
        if self.order.len() > MAX_IDEMPOTENCY_RECORDS {
            if let Some(oldest) = self.order.pop_front() {
                self.first.remove(&oldest.key);
            }
        }
        true
    }

    /// The attempt of that time never ran: if it was the first, nothing did.
    pub fn never_ran(&mut self, key: u64, at: f64) {
        if self.first.get(&key) == Some(&at) {
            self.first.remove(&key);
            self.order.retain(|attempt| attempt.key != key);
        }
    }

    /// When a request with this key was first attempted.
    pub fn first_attempt(&self, key: u64) -> Option<f64> {
        self.first.get(&key).copied()
    }

    /// Forgets what is older than a time.
    pub fn forget_before(&mut self, time: f64) {
        while let Some(attempt) = self.order.pop_front_if(|attempt| attempt.at < time) {
            self.first.remove(&attempt.key);
        }
    }

    /// All records with their ages, the oldest first.
    pub fn ages(&self, now: f64) -> Vec<IdempotencyRecord> {
        let record =
            |attempt: &FirstAttempt| IdempotencyRecord { key: attempt.key, age: (now - attempt.at).max(0.0) };
        self.order.iter().map(record).collect()
    }

    /// Adds the records of a former incarnation.
    pub fn restore(&mut self, records: &[IdempotencyRecord], now: f64) {
        let former = |record: &IdempotencyRecord| FirstAttempt { key: record.key, at: now - record.age };
        let mut all: Vec<FirstAttempt> = records.iter().map(former).collect();
        all.extend(std::mem::take(&mut self.order));
        all.sort_by(|a, b| a.at.total_cmp(&b.at));
        self.first.clear();
        for attempt in all {
            self.attempted(attempt.key, attempt.at);
        }
    }
}

#[cfg(test)]
#[path = "idempotency_records/tests.rs"]
mod tests;
