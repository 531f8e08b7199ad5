//! A budget of work: so many seconds of it a second, saved up to a bound, and owed without one.

#[derive(Clone, Debug, PartialEq)]
pub struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    at: f64,
}

impl Bucket {
    /// Full at first.
    pub fn new(rate: f64, burst: f64, now: f64) -> Bucket {
        Bucket { rate, burst, level: burst, at: now }
    }

    pub fn fill(&mut self, now: f64) {
        self.level = (self.level + self.rate * (now - self.at).max(0.0)).min(self.burst);
        self.at = self.at.max(now);
    }

    /// Work beyond what is saved up is owed: a budget smaller than one request still lets one through, and then none for
    /// as long as it takes to earn it.
    pub fn spend(&mut self, work: f64, now: f64) {
        self.fill(now);
        self.level = (self.level - work).min(self.burst);
    }

    pub fn empty(&self) -> bool {
        self.level <= 0.0
    }

    /// When it is no longer empty, as far as is known now.
    pub fn full_at(&self, now: f64) -> f64 {
        match self.rate > 0.0 {
            // A little more than nothing has to be there.
            true => now.max(self.at) + (-self.level).max(0.0) / self.rate + 1e-3,
            false => f64::INFINITY,
        }
    }
}
