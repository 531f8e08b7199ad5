//! A budget of work: so many seconds of it a second, saved up to a bound, and owed without one.

use crate::config::Budget;

/// A little more than nothing has to be there, in seconds.
const REFILL_MARGIN: f64 = 1e-3;

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TokenBucket {
    budget: Budget,
    level: f64,
    at: f64,
}

impl TokenBucket {
    /// Full at first.
    pub fn new(budget: Budget, now: f64) -> TokenBucket {
        TokenBucket { budget, level: budget.burst, at: now }
    }

    pub fn refill(&mut self, now: f64) {
        let earned = self.budget.rate * (now - self.at).max(0.0);
        self.level = (self.level + earned).min(self.budget.burst);
        self.at = self.at.max(now);
    }

    /// Work beyond what is saved up is owed: a budget smaller than one request still lets one through, and then none for
    /// as long as it takes to earn it.
    pub fn spend(&mut self, work: f64, now: f64) {
        self.refill(now);
        self.level = (self.level - work).min(self.budget.burst);
    }

    pub fn is_empty(&self) -> bool {
        self.level <= 0.0
    }

    /// When it is no longer empty, as far as is known now.
    pub fn refilled_at(&self, now: f64) -> f64 {
        if self.budget.rate <= 0.0 {
            return f64::INFINITY;
        }
        now.max(self.at) + (-self.level).max(0.0) / self.budget.rate + REFILL_MARGIN
    }
}
