//! Receipted requests that were pushed and may have run, by a hash of their receipts: bounded, the oldest go first.

use cleatgw_recovery::MAX_MARKS;
use std::collections::{HashMap, VecDeque};

#[derive(Default)]
pub struct Marks {
    /// When each was first pushed.
    first: HashMap<u64, f64>,
    order: VecDeque<(u64, f64)>,
}

impl Marks {
    /// It is pushed now; tells whether that is new.
    pub fn pushed(&mut self, receipt: u64, now: f64) -> bool {
        if self.first.contains_key(&receipt) {
            return false;
        }
        self.first.insert(receipt, now);
        self.order.push_back((receipt, now));
        if self.order.len() > MAX_MARKS {
            self.order.pop_front().map(|(oldest, _)| self.first.remove(&oldest));
        }
        true
    }

    /// The push of that moment never ran: if it was the first, nothing did.
    pub fn never_ran(&mut self, receipt: u64, at: f64) {
        if self.first.get(&receipt) == Some(&at) {
            self.first.remove(&receipt);
            self.order.retain(|(of, _)| *of != receipt);
        }
    }

    pub fn first(&self, receipt: u64) -> Option<f64> {
        self.first.get(&receipt).copied()
    }

    /// Those that are of so long ago go.
    pub fn forget_before(&mut self, time: f64) {
        while let Some((receipt, _)) = self.order.pop_front_if(|(_, at)| *at < time) {
            self.first.remove(&receipt);
        }
    }

    /// With their ages, the oldest first.
    pub fn ages(&self, now: f64) -> Vec<(u64, f64)> {
        self.order.iter().map(|(receipt, at)| (*receipt, (now - at).max(0.0))).collect()
    }

    /// Those of a former life, with their ages.
    pub fn remember(&mut self, marks: &[(u64, f64)], now: f64) {
        let mut all: Vec<(u64, f64)> = marks.iter().map(|(receipt, age)| (*receipt, now - age)).collect();
        all.extend(std::mem::take(&mut self.order));
        all.sort_by(|one, other| one.1.total_cmp(&other.1));
        self.first.clear();
        for (receipt, at) in all {
            self.pushed(receipt, at);
        }
    }
}

#[cfg(test)]
mod tests;
