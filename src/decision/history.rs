//! What this instance did before it was restarted, as far as rules 4 and 7 look back.

use super::gateway::Gateway;
use crate::SlowStartWork;

impl Gateway {
    /// This instance begins without knowing what it sent before: the worst that rules 4 and 7 can mean, for as long as they
    /// look back.
    pub fn assume_lost_history(&mut self, now: f64) {
        self.lifecycle.history_lost_at = now;
        let retries = self.retry_budget().base.ceil() as usize;
        self.retries.made_at.extend(std::iter::repeat_n(now, retries));
    }

    /// It does know: retries by their times, and work that went to engines in slow start.
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

    /// The retries of late, by their times, the oldest first.
    pub fn retries(&self) -> impl Iterator<Item = f64> + '_ {
        self.retries.made_at.iter().copied()
    }

    /// So many more retries may follow, where what is persisted of them lags behind.
    pub fn limit_unpersisted_retries(&mut self, allowance: u32) {
        self.retries.unpersisted_allowance = Some(allowance);
    }
}
