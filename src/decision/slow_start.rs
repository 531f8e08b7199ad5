//! Limits the work that is sent to an engine while it warms up after its start (rule 4). The gateways together stay
//! within the engine's budget, and need not communicate for that: each uses an equal share or takes part in a lottery.
//! Reports of peers may only reduce what a gateway sends.

use super::{EngineState, Gateway};
use crate::deployment::SlowStart;
use crate::statistics::{fraction, hash_of};

/// The fraction of an engine's budget that is used: its cores never reach their full throughput, and how it warms up is
/// not known.
const USED_BUDGET_SHARE: f64 = 0.65;
/// The fraction of the budget that is given out by lottery if one gateway's share is too small for a request.
const LOTTERY_SHARE: f64 = 0.6;
/// The largest fraction of the budget that one draw of the lottery gives.
const MAX_DRAW_SHARE: f64 = 0.25;

/// The share of its capacity that an engine has reached, from 0 to 1, assuming that it warms up linearly.
pub(super) fn progress(slow_start: &SlowStart, started_at: Option<f64>, now: f64) -> f64 {
    let age = started_at.map_or(f64::INFINITY, |started_at| (now - started_at).max(0.0));
    let initial = slow_start.initial_share;
    (initial + (1.0 - initial) * age / slow_start.duration.max(1e-9)).min(1.0)
}

impl Gateway {
    /// The work that a request of a class counts for in an engine's slow-start budget, in seconds of one core: the mean
    /// of the class. The prior is the work that fits into the class's latency objective, because many gateways without
    /// any measurements must not all mistake heavy requests for light ones.
    pub(super) fn usual_work(&self, class: usize) -> f64 {
        let configured = &self.deployment.classes[class];
        let prior = configured.latency_objective * configured.threads;
        self.classes[class].work.mean_with_prior(prior, 1.0)
    }

    /// The work that this gateway may still send an engine now, in seconds of one core, given that each of its peers
    /// sends its share too. Infinite once the engine has warmed up.
    pub(super) fn slow_start_allowance(&self, engine: &EngineState, now: f64) -> f64 {
        let slow_start = &self.deployment.slow_start;
        let progress = progress(slow_start, engine.listing.started_at, now);
        if progress >= 1.0 {
            return f64::INFINITY;
        }
        // If the record of the work sent was lost in a restart, the budget counts as used up until a window has passed.
        let is_known = now >= self.lifecycle.history_lost_at + slow_start.window;
        let known_factor = f64::from(u8::from(is_known));
        let budget = known_factor
            * slow_start.overload_multiple
            * engine.cores
            * progress
            * slow_start.window
            * USED_BUDGET_SHARE;
        let sent = engine.slow_start_work.sum_after(now - slow_start.window);
        let share = budget / self.deployment.gateways;
        let drawn = if sent == 0.0 { self.slow_start_draw(engine, budget, share, now) } else { 0.0 };
        // The work that peers report having sent may only reduce the allowance, because a report may be wrong or its
        // sender may have restarted.
        drawn.max(share - sent).min(budget - sent - engine.peers_slow_start_work)
    }

    /// This gateway's draw in the lottery for an engine's budget. Among many gateways no request fits an equal share,
    /// so each draws once per window. A draw is at least `w` with probability `LOTTERY_SHARE * share / w`, so a request
    /// of work `w` is sent by `LOTTERY_SHARE * budget / w` gateways on average: together they send about
    /// [`LOTTERY_SHARE`] of the budget.
    fn slow_start_draw(&self, engine: &EngineState, budget: f64, share: f64, now: f64) -> f64 {
        let window_number = (now / self.deployment.slow_start.window) as u64;
        let draw = hash_of((self.random.seed, engine.listing.name_hash, window_number));
        (LOTTERY_SHARE * share / fraction(draw)).min(budget * MAX_DRAW_SHARE)
    }
}
