//! How much work an engine may be sent while it warms up after its start (rule 4). All gateways together keep its budget, each by
//! its even share, without talking to each other.

use super::{EngineState, Gateway};
use crate::deployment::SlowStart;
use crate::statistics::{fraction, hash_of};

/// How much of an engine's budget is used: its cores never do all that they could, and how it warms up is not told.
const CAUTION: f64 = 0.65;
/// How much of it is drawn for by lottery where a share is too small for a request.
const LOTTERY_PART: f64 = 0.6;
/// The largest part of the budget that one draw gives.
const MAX_DRAW_PART: f64 = 0.25;

/// The part of its capacity that an engine has by now, from 0 to 1, if it warms up evenly.
pub(super) fn progress(slow_start: &SlowStart, started_at: Option<f64>, now: f64) -> f64 {
    let age = started_at.map_or(f64::INFINITY, |started_at| (now - started_at).max(0.0));
    let initial = slow_start.initial_share;
    (initial + (1.0 - initial) * age / slow_start.duration.max(1e-9)).min(1.0)
}

impl Gateway {
    /// What a request of a class counts for in an engine's budget. Until some have been measured, as much as runs within its
    /// latency objective: many gateways that know nothing yet must not all take heavy requests for light ones.
    pub(super) fn usual_work(&self, class: usize) -> f64 {
        let configured = &self.deployment.classes[class];
        let prior = configured.latency_objective * configured.threads;
        self.classes[class].work.mean_with_prior(prior, 1.0)
    }

    /// The work that this gateway may still send an engine now, if each of its peers sends its share too; infinite once the
    /// engine has warmed up.
    pub(super) fn slow_start_allowance(&self, engine: &EngineState, now: f64) -> f64 {
        let slow_start = &self.deployment.slow_start;
        let progress = progress(slow_start, engine.listing.started_at, now);
        if progress >= 1.0 {
            return f64::INFINITY;
        }
        // Until a window has passed since what was sent is not known any more, the budget counts as used up.
        let is_known = now >= self.lifecycle.history_lost_at + slow_start.window;
        let known = f64::from(u8::from(is_known));
        let budget =
            known * slow_start.overload_multiple * engine.cores * progress * slow_start.window * CAUTION;
        let sent = engine.slow_start_work.sum_after(now - slow_start.window);
        let share = budget / self.deployment.gateways;
        let drawn = if sent == 0.0 { self.slow_start_draw(engine, budget, share, now) } else { 0.0 };
        // What others say that they sent makes it less, never more: they may be wrong, or have restarted.
        drawn.max(share - sent).min(budget - sent - engine.peers_slow_start_work)
    }

    /// Among many gateways no request fits a share: each draws once a window, and all together send about [`LOTTERY_PART`] of
    /// the budget.
    fn slow_start_draw(&self, engine: &EngineState, budget: f64, share: f64, now: f64) -> f64 {
        let window_number = (now / self.deployment.slow_start.window) as u64;
        let draw = hash_of((self.random.seed, engine.listing.name_hash, window_number));
        (LOTTERY_PART * share / fraction(draw)).min(budget * MAX_DRAW_PART)
    }
}
