//! A mean that forgets.

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean {
    pub sum: f64,
    pub weight: f64,
}

impl MovingMean {
    /// Takes a value in; `keep` of what was there before still counts.
    pub fn add(&mut self, value: f64, keep: f64) {
        self.sum = self.sum * keep + value;
        self.weight = self.weight * keep + 1.0;
    }

    /// The mean, with so many values of 0 believed beside.
    pub fn with_prior(&self, prior: f64) -> f64 {
        self.sum / (self.weight + prior)
    }
}
