//! An exponentially weighted moving mean.

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean {
    pub sum: f64,
    pub weight: f64,
}

impl MovingMean {
    /// Adds a value; the weight of all former values is multiplied by `keep`.
    pub fn add(&mut self, value: f64, keep: f64) {
        self.sum = self.sum * keep + value;
        self.weight = self.weight * keep + 1.0;
    }

    /// The mean, as if `prior` further values of 0 had been added.
    pub fn with_prior(&self, prior: f64) -> f64 {
        self.sum / (self.weight + prior)
    }
}
