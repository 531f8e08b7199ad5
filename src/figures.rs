//! Arithmetic that the decisions use: a weighted mean, an order of times, a hash. It decides nothing, and holds no value
//! that was tuned.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A sum of values by their weights, and the sum of these.
#[derive(Clone, Copy, Debug, Default)]
pub struct Mean {
    pub sum: f64,
    pub weight: f64,
}

impl Mean {
    /// What was there counts by `keep` from now on.
    pub fn add(&mut self, value: f64, weight: f64, keep: f64) {
        self.sum = self.sum * keep + value * weight;
        self.weight = self.weight * keep + weight;
    }

    /// The mean, or this where nothing was added.
    pub fn or(&self, absent: f64) -> f64 {
        Some(self.sum / self.weight).filter(|mean| mean.is_finite()).unwrap_or(absent)
    }

    pub fn fade(&mut self, keep: f64) {
        (self.sum, self.weight) = (self.sum * keep, self.weight * keep);
    }

    /// With a belief added, as a sum of values and what they weigh.
    pub fn with(&self, sum: f64, weight: f64) -> f64 {
        (self.sum + sum) / (self.weight + weight)
    }
}

/// A line through points, of which the older ones count less.
#[derive(Clone, Copy, Debug, Default)]
pub struct Trend {
    /// Count, x, y, xx and xy.
    sums: [f64; 5],
}

impl Trend {
    /// What was there counts by `keep` from now on.
    pub fn add(&mut self, x: f64, y: f64, keep: f64) {
        let values = [1.0, x, y, x * x, x * y];
        self.sums.iter_mut().zip(values).for_each(|(sum, value)| *sum = *sum * keep + value);
    }

    /// The line's value at `x`, with so many points' worth of belief that its slope is 1.
    pub fn at(&self, x: f64, belief: f64) -> f64 {
        let count = self.sums[0].max(1e-9);
        let [_, mean_x, mean_y, xx, xy] = self.sums.map(|sum| sum / count);
        let doubt = belief / (count + belief);
        let slope = (xy - mean_x * mean_y + doubt) / (xx - mean_x * mean_x + doubt);
        mean_y + slope * (x - mean_x)
    }
}

/// Amounts by their times, in the order in which they were added.
#[derive(Clone, Debug, Default)]
pub struct Window {
    entries: VecDeque<(f64, f64)>,
}

impl Window {
    /// Adds an amount at a time, in seconds; what lies longer before it than `kept` is dropped.
    pub fn add(&mut self, at: f64, amount: f64, kept: f64) {
        self.entries.push_back((at, amount));
        self.entries.retain(|(earlier, _)| *earlier >= at - kept);
    }

    /// The sum of what lies after a time.
    pub fn after(&self, from: f64) -> f64 {
        self.entries.iter().filter(|(at, _)| *at > from).map(|(_, amount)| amount).sum()
    }
}

/// Amounts by key, of which the older ones count less. A key whose share has come to next to nothing is dropped, so that
/// those of strangers do not pile up.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    amounts: BTreeMap<u64, f64>,
    sum: f64,
    count: f64,
}

impl Shares {
    /// A key with a smaller share of the sum is dropped.
    const LEAST: f64 = 1e-3;

    /// Adds to a key's amount.
    pub fn add(&mut self, key: u64, amount: f64) {
        *self.amounts.entry(key).or_default() += amount;
        self.sum += amount;
        self.count += 1.0;
    }

    /// A key's part of the sum, from 0 to 1, with so many amounts' worth of belief that it has none.
    pub fn share(&self, key: u64, belief: f64) -> f64 {
        let sum = self.sum * (1.0 + belief / self.count);
        self.amounts.get(&key).map_or(0.0, |amount| amount / sum)
    }

    /// What was added counts by `keep` from now on.
    pub fn fade(&mut self, keep: f64) {
        self.sum *= keep;
        self.count *= keep;
        let least = Self::LEAST * self.sum;
        self.amounts.retain(|_, amount| {
            *amount *= keep;
            *amount > least
        });
    }
}

/// The value that parts the weights in half; 0 of nothing.
pub fn weighted_median(values: impl Iterator<Item = (f64, f64)>) -> f64 {
    let mut sorted: Vec<(f64, f64)> = values.collect();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut left = sorted.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    let at = sorted.iter().find(|(_, weight)| {
        left -= weight;
        left <= 0.0
    });
    at.map_or(0.0, |(value, _)| *value)
}

/// Positive times and amounts keep their order as bits.
pub fn rank(value: f64) -> u64 {
    value.max(0.0).to_bits()
}

/// A number that is drawn alike wherever the parts are alike.
pub fn mix(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}
