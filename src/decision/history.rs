//! Restores what this instance did before a restart, as far back as rules 4 (slow start) and 7 (retry budget) need it.

use super::gateway::Gateway;
use crate::SlowStartWork;

impl Gateway {
    /// Assumes the worst case for rules 4 and 7, because this instance starts without a record of what it sent before:
    /// the slow-start budgets and the base retry budget count as used up until their windows have passed.
    pub fn assume_lost_history(&mut self, now: f64) {
        self.lifecycle.history_lost_at = now;
        let retries = self.retry_budget().base.ceil() as usize;
        self.retries.made_at.extend(std::iter::repeat_n(now, retries));
    }

    /// Replaces the assumed worst case by the recorded history: the times of the retries, and the work that was sent to
    /// engines in slow start.
    pub fn restore_history(&mut self, retries: &[f64], slow_start_work: &[SlowStartWork]) {
        let assumed_at = std::mem::take(&mut self.lifecycle.history_lost_at);
        let made_at = &mut self.retries.made_at;
        made_at.retain(|&at| at != assumed_at);
        made_at.extend(retries);
        made_at.make_contiguous().sort_by(f64::total_cmp);
        for sent in slow_start_work {
            if let Some(engine) = self.engines.states.get_mut(sent.engine) {
                engine.slow_start_work.add(sent.sent_at, sent.work, f64::INFINITY);
            }
        }
    }

    /// The times of the recent retries, oldest first.
    pub fn retries(&self) -> impl Iterator<Item = f64> + '_ {
        self.retries.made_at.iter().copied()
    }

    /// Limits the number of further retries while the persisted record of retries lags behind.
    pub fn limit_unpersisted_retries(&mut self, allowance: u32) {
        self.retries.unpersisted_allowance = Some(allowance);
    }
}
