//! Deduplicated requests that were dispatched and may have run, by a hash of their idempotency keys: bounded, the oldest go first.

use cleatgw_recovery::MAX_MARKS;
use std::collections::{HashMap, VecDeque};

#[derive(Default)]
pub struct Marks {
    /// When each was first dispatched.
    first: HashMap<u64, f64>,
    order: VecDeque<(u64, f64)>,
}

impl Marks {
    /// It is dispatched now; tells whether that is new.
    pub fn dispatched(&mut self, idempotency_key: u64, now: f64) -> bool {
        if self.first.contains_key(&idempotency_key) {
            return false;
        }
        self.first.insert(idempotency_key, now);
        self.order.push_back((idempotency_key, now));
        if self.order.len() > MAX_MARKS {
            self.order.pop_front().map(|(oldest, _)| self.first.remove(&oldest));
        }
        true
    }

    /// The attempt of that moment never ran: if it was the first, nothing did.
    pub fn never_ran(&mut self, idempotency_key: u64, at: f64) {
        if self.first.get(&idempotency_key) == Some(&at) {
            self.first.remove(&idempotency_key);
            self.order.retain(|(of, _)| *of != idempotency_key);
        }
    }

    pub fn first(&self, idempotency_key: u64) -> Option<f64> {
        self.first.get(&idempotency_key).copied()
    }

    /// Those that are of so long ago go.
    pub fn forget_before(&mut self, time: f64) {
        while let Some((idempotency_key, _)) = self.order.pop_front_if(|(_, at)| *at < time) {
            self.first.remove(&idempotency_key);
        }
    }

    /// With their ages, the oldest first.
    pub fn ages(&self, now: f64) -> Vec<(u64, f64)> {
        self.order.iter().map(|(idempotency_key, at)| (*idempotency_key, (now - at).max(0.0))).collect()
    }

    /// Those of a former incarnation, with their ages.
    pub fn remember(&mut self, marks: &[(u64, f64)], now: f64) {
        let mut all: Vec<(u64, f64)> =
            marks.iter().map(|(idempotency_key, age)| (*idempotency_key, now - age)).collect();
        all.extend(std::mem::take(&mut self.order));
        all.sort_by(|one, other| one.1.total_cmp(&other.1));
        self.first.clear();
        for (idempotency_key, at) in all {
            self.dispatched(idempotency_key, at);
        }
    }
}

#[cfg(test)]
mod tests;
