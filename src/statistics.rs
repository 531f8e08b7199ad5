//! Arithmetic that the decisions use: decaying means, a fitted line, hashes. It decides nothing and holds no tuned value.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A mean of weighted values, of which older ones may count less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WeightedMean {
    /// The sum of the values by their weights.
    pub sum: f64,
    /// The sum of the weights.
    pub weight: f64,
}

impl WeightedMean {
    /// Adds a value; what was there before counts by `keep` from now on.
    pub fn add(&mut self, value: f64, weight: f64, keep: f64) {
        self.sum = self.sum * keep + value * weight;
        self.weight = self.weight * keep + weight;
    }

    /// The mean, or `absent` where nothing was added.
    pub fn mean_or(&self, absent: f64) -> f64 {
        let mean = self.sum / self.weight;
        if mean.is_finite() {
            mean
        } else {
            absent
        }
    }

    /// The mean with a prior added, given as a sum of values and its weight.
    pub fn mean_with_prior(&self, sum: f64, weight: f64) -> f64 {
        (self.sum + sum) / (self.weight + weight)
    }

    /// What was added counts by `keep` from now on.
    pub fn fade(&mut self, keep: f64) {
        self.sum *= keep;
        self.weight *= keep;
    }
}

/// A line fitted through points, of which the older ones count less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FittedLine {
    /// Count, x, y, xx and xy.
    sums: [f64; 5],
}

impl FittedLine {
    /// Adds a point; what was there before counts by `keep` from now on.
    pub fn add(&mut self, x: f64, y: f64, keep: f64) {
        let values = [1.0, x, y, x * x, x * y];
        for (sum, value) in self.sums.iter_mut().zip(values) {
            *sum = *sum * keep + value;
        }
    }

    /// The line's value at `x`, with a prior of so many points that its slope is 1.
    pub fn value_at(&self, x: f64, prior: f64) -> f64 {
        let count = self.sums[0].max(1e-9);
        let [_, mean_x, mean_y, xx, xy] = self.sums.map(|sum| sum / count);
        let prior = prior / (count + prior);
        let slope = (xy - mean_x * mean_y + prior) / (xx - mean_x * mean_x + prior);
        mean_y + slope * (x - mean_x)
    }
}

/// An amount and when it was added, in seconds.
#[derive(Clone, Copy, Debug)]
struct TimedAmount {
    at: f64,
    amount: f64,
}

/// Amounts by their times, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimeWindow {
    entries: VecDeque<TimedAmount>,
}

impl TimeWindow {
    /// Adds an amount at a time; what lies more than `keep_for` seconds before it is dropped.
    pub fn add(&mut self, at: f64, amount: f64, keep_for: f64) {
        self.entries.push_back(TimedAmount { at, amount });
        self.entries.retain(|entry| entry.at >= at - keep_for);
    }

    /// The sum of what was added after a time.
    pub fn sum_after(&self, from: f64) -> f64 {
        self.entries.iter().filter(|entry| entry.at > from).map(|entry| entry.amount).sum()
    }
}

/// Amounts by key, of which the older ones count less. A key whose share has come to next to nothing is dropped, so that
/// keys that strangers choose do not pile up.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecayingShares {
    amounts: BTreeMap<u64, f64>,
    sum: f64,
    count: f64,
}

impl DecayingShares {
    /// A key with a smaller share of the sum is dropped.
    const MIN_SHARE: f64 = 1e-3;

    /// Adds to a key's amount.
    pub fn add(&mut self, key: u64, amount: f64) {
        *self.amounts.entry(key).or_default() += amount;
        self.sum += amount;
        self.count += 1.0;
    }

    /// A key's part of the sum, from 0 to 1, with a prior of so many amounts that it has none.
    pub fn share(&self, key: u64, prior: f64) -> f64 {
        let sum = self.sum * (1.0 + prior / self.count);
        self.amounts.get(&key).map_or(0.0, |amount| amount / sum)
    }

    /// What was added counts by `keep` from now on.
    pub fn fade(&mut self, keep: f64) {
        self.sum *= keep;
        self.count *= keep;
        let least = Self::MIN_SHARE * self.sum;
        self.amounts.retain(|_, amount| {
            *amount *= keep;
            *amount > least
        });
    }
}

/// Pseudo-random draws that follow from a seed alone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RandomDraws {
    pub seed: u64,
    pub draws: u64,
}

impl RandomDraws {
    /// The next draw, from all numbers.
    pub fn next(&mut self) -> u64 {
        self.draws += 1;
        hash_of((self.seed, self.draws))
    }

    /// Moves on to the next draw without looking at it.
    pub fn advance(&mut self) {
        self.draws += 1;
    }

    /// A draw for one of several candidates, as part of the present draw.
    pub fn for_candidate(&self, candidate: usize) -> u64 {
        hash_of((self.seed, self.draws, candidate))
    }
}

/// A draw from all numbers as a fraction from 0 to 1.
pub(crate) fn fraction(draw: u64) -> f64 {
    draw as f64 / u64::MAX as f64
}

/// A draw from all numbers as a fraction from 0 up to, but not, 1: the 53 bits that a fraction holds.
pub(crate) fn open_fraction(draw: u64) -> f64 {
    (draw >> 11) as f64 / (1u64 << 53) as f64
}

/// The value that parts the weights in half; 0 where there is none. The values come with their weights.
pub(crate) fn weighted_median(values: impl Iterator<Item = (f64, f64)>) -> f64 {
    let mut sorted: Vec<(f64, f64)> = values.collect();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut left = sorted.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    for (value, weight) in sorted {
        left -= weight;
        if left <= 0.0 {
            return value;
        }
    }
    0.0
}

/// A key by which positive times and amounts are ordered.
pub(crate) fn order_key(value: f64) -> u64 {
    value.max(0.0).to_bits()
}

/// The value that a key of [`order_key`] was made of.
pub(crate) fn from_order_key(key: u64) -> f64 {
    f64::from_bits(key)
}

/// A hash that is the same wherever the parts are.
pub(crate) fn hash_of(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}
