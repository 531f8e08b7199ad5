//! Statistics that the decisions use: decaying means, a fitted line, random draws, hashes. This module makes no
//! decision. Its only tuned value is the share below which [`DecayingShares`] drops a key.

use std::collections::{BTreeMap, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};

/// A weighted mean in which older values may count less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WeightedMean {
    /// The sum of the values, each multiplied by its weight.
    pub sum: f64,
    /// The sum of the weights.
    pub weight: f64,
}

impl WeightedMean {
    /// Multiplies the existing sums by `keep`, then adds a value.
    pub fn add(&mut self, value: f64, weight: f64, keep: f64) {
        self.sum = self.sum * keep + value * weight;
        self.weight = self.weight * keep + weight;
    }

    /// The mean, or `default` if no value was added.
    pub fn mean_or(&self, default: f64) -> f64 {
        let mean = self.sum / self.weight;
        if mean.is_finite() {
            mean
        } else {
            default
        }
    }

    /// The mean combined with a prior, which is given as a weighted sum of values and its weight.
    pub fn mean_with_prior(&self, prior_sum: f64, prior_weight: f64) -> f64 {
        (self.sum + prior_sum) / (self.weight + prior_weight)
    }

    /// Multiplies the weight of all values by `keep`.
    pub fn decay(&mut self, keep: f64) {
        self.sum *= keep;
        self.weight *= keep;
    }
}

/// A line fitted through points, in which older points count less.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct FittedLine {
    /// The decayed sums of 1, x, y, x² and xy over all points.
    sums: [f64; 5],
}

impl FittedLine {
    /// Multiplies the weight of the existing points by `keep`, then adds a point.
    pub fn add(&mut self, x: f64, y: f64, keep: f64) {
        let values = [1.0, x, y, x * x, x * y];
        for (sum, value) in self.sums.iter_mut().zip(values) {
            *sum = *sum * keep + value;
        }
    }

    /// The line's value at `x`. The prior is that the slope is 1, with the weight of `prior_points` points.
    pub fn value_at(&self, x: f64, prior_points: f64) -> f64 {
        let count = self.sums[0].max(1e-9);
        let [_, mean_x, mean_y, xx, xy] = self.sums.map(|sum| sum / count);
        let prior = prior_points / (count + prior_points);
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

/// Amounts with the times at which they were added, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimeWindow {
    entries: VecDeque<TimedAmount>,
}

impl TimeWindow {
    /// Adds an amount at a time, and drops the entries that are more than `keep_for` seconds older.
    pub fn add(&mut self, at: f64, amount: f64, keep_for: f64) {
        self.entries.push_back(TimedAmount { at, amount });
        self.entries.retain(|entry| entry.at >= at - keep_for);
    }

    /// The sum of the amounts that were added after `start`.
    pub fn sum_after(&self, start: f64) -> f64 {
        self.entries.iter().filter(|entry| entry.at > start).map(|entry| entry.amount).sum()
    }
}

/// Amounts by key, in which older amounts count less. A key whose share becomes negligible is dropped, so that keys
/// chosen by clients do not accumulate.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecayingShares {
    amounts: BTreeMap<u64, f64>,
    sum: f64,
    count: f64,
}

impl DecayingShares {
    /// Keys with a smaller share of the sum are dropped.
    const MIN_SHARE: f64 = 1e-3;

    /// Adds to a key's amount.
    pub fn add(&mut self, key: u64, amount: f64) {
        *self.amounts.entry(key).or_default() += amount;
        self.sum += amount;
        self.count += 1.0;
    }

    /// A key's share of the sum, from 0 to 1. The prior is a share of zero, with the weight of `prior_count` mean
    /// amounts.
    pub fn share(&self, key: u64, prior_count: f64) -> f64 {
        let sum = self.sum * (1.0 + prior_count / self.count);
        self.amounts.get(&key).map_or(0.0, |amount| amount / sum)
    }

    /// Multiplies all amounts by `keep`, and drops the keys whose share is too small.
    pub fn decay(&mut self, keep: f64) {
        self.sum *= keep;
        self.count *= keep;
        let min_amount = Self::MIN_SHARE * self.sum;
        self.amounts.retain(|_, amount| {
            *amount *= keep;
            *amount > min_amount
        });
    }
}

/// A pseudo-random sequence that depends on the seed alone.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RandomDraws {
    pub seed: u64,
    /// The number of draws so far.
    pub draws: u64,
}

impl RandomDraws {
    /// The next draw, uniform over all `u64` values.
    pub fn next(&mut self) -> u64 {
        self.draws += 1;
        hash_of((self.seed, self.draws))
    }

    /// Skips one draw.
    pub fn advance(&mut self) {
        self.draws += 1;
    }

    /// A value for one of several candidates, derived from the current draw.
    pub fn for_candidate(&self, candidate: usize) -> u64 {
        hash_of((self.seed, self.draws, candidate))
    }
}

/// Maps a draw over all `u64` values to a fraction from 0 to 1, both included.
pub(crate) fn fraction(draw: u64) -> f64 {
    draw as f64 / u64::MAX as f64
}

/// Maps a draw over all `u64` values to a fraction from 0 up to but excluding 1. It uses 53 bits, the precision of an
/// `f64`.
pub(crate) fn half_open_fraction(draw: u64) -> f64 {
    (draw >> 11) as f64 / (1u64 << 53) as f64
}

/// The weighted median of pairs of a value and its weight; 0 if there are none.
pub(crate) fn weighted_median(values: impl Iterator<Item = (f64, f64)>) -> f64 {
    let mut sorted: Vec<(f64, f64)> = values.collect();
    sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut remaining = sorted.iter().map(|(_, weight)| weight).sum::<f64>() / 2.0;
    for (value, weight) in sorted {
        remaining -= weight;
        if remaining <= 0.0 {
            return value;
        }
    }
    0.0
}

/// Maps a non-negative value to an integer with the same order. Negative values map to the key of 0.
pub(crate) fn order_key(value: f64) -> u64 {
    value.max(0.0).to_bits()
}

/// The inverse of [`order_key`] for non-negative values.
pub(crate) fn from_order_key(key: u64) -> f64 {
    f64::from_bits(key)
}

/// A hash of the parts that is the same in every process.
pub(crate) fn hash_of(parts: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    parts.hash(&mut hasher);
    hasher.finish()
}
