//! A token bucket for a budget of work. Saved-up work is limited by the burst; debt is not limited.

use crate::config::Budget;

/// Seconds that are added to the time at which the level reaches 0, as the budget is usable only above 0.
const REFILL_MARGIN: f64 = 1e-3;

#[derive(Clone, Debug, PartialEq)]
pub(crate) struct TokenBucket {
    budget: Budget,
    /// Saved-up work in seconds; negative if work is owed.
    level: f64,
    /// Time of the last refill.
    refilled_to: f64,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(budget: Budget, now: f64) -> TokenBucket {
        TokenBucket { budget, level: budget.burst, refilled_to: now }
    }

    pub fn refill(&mut self, now: f64) {
        let earned = self.budget.rate * (now - self.refilled_to).max(0.0);
        self.level = (self.level + earned).min(self.budget.burst);
        self.refilled_to = self.refilled_to.max(now);
    }

    /// Spends work. Work beyond the saved-up amount is owed: a budget smaller than one request still admits one
    /// request, and then stays used up until that request's work has been earned.
    pub fn spend(&mut self, work: f64, now: f64) {
        self.refill(now);
        self.level = (self.level - work).min(self.budget.burst);
    }

    pub fn is_empty(&self) -> bool {
        self.level <= 0.0
    }

    /// The time at which the bucket will no longer be empty if nothing more is spent.
    pub fn refilled_at(&self, now: f64) -> f64 {
        if self.budget.rate <= 0.0 {
            return f64::INFINITY;
        }
        now.max(self.refilled_to) + (-self.level).max(0.0) / self.budget.rate + REFILL_MARGIN
    }
}
