//! How many threads a core an engine may hold before requests are queued at this gateway instead.

use super::{EngineState, Gateway};
use crate::statistics::WeightedMean;

/// Threads a core that an engine may hold at first.
pub(super) const INITIAL_LIMIT: f64 = 1.0;
/// Threads a core that a deployment of many gateways is taken to run where nothing reports its load.
pub(super) const USUAL_THREADS: f64 = 0.75;
/// The part of the evidence about peers that stays with each tick. Less, and gateways move together.
pub(super) const KEEP: f64 = 0.98;

/// The bounds of the limit.
const MIN_LIMIT: f64 = 0.6 * INITIAL_LIMIT;
const MAX_LIMIT: f64 = 1.5 * INITIAL_LIMIT;
/// The limit shrinks where work takes this many times as long, and grows where it takes less than that.
const SLOW_PACE: f64 = 3.0;
const FAST_PACE: f64 = 2.0;
/// The factors by which it moves with a tick.
const SHRINK: f64 = 0.97;
const GROW: f64 = 1.03;
/// It grows only where this part of it is used.
const USED_PART: f64 = 0.7;
/// How many times the limit a light request may reach, so that it passes the heavy ones that fill an engine: more where they
/// cannot make it page.
const LIGHT_FACTOR: f64 = 2.0;
const LIGHT_FACTOR_PAGING: f64 = 1.5;
/// How many times its even share of an engine one gateway may take. Reports lag, and gateways that see the same gap would fill
/// it together.
const MAX_SHARES: f64 = 2.0;
/// The part of the limit that one gateway may take where an engine reports nothing: most of the load may be its own.
const UNREPORTED_PART: f64 = 0.6;
/// A request with more threads than the limit fits an engine that is all but empty: it may have this factor of its threads.
const WIDE_REQUEST_FACTOR: f64 = 1.25;

/// The limit of one engine, and what its peers are thought to hold there.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// Threads a core.
    pub limit: f64,
    /// Threads a core that other gateways hold there, by reports or by the pace of answers: their mean, late.
    pub peer_threads: WeightedMean,
    /// The engine reports its load.
    pub reports_load: bool,
}

impl ConcurrencyLimit {
    /// The limit of an engine that has just started.
    pub fn initial() -> ConcurrencyLimit {
        ConcurrencyLimit { limit: INITIAL_LIMIT, ..ConcurrencyLimit::default() }
    }

    /// A tick: the limit follows the pace of answers. `used` is what all gateways hold, in threads a core.
    pub fn tick(&mut self, pace: f64, used: f64) {
        self.peer_threads.fade(KEEP);
        if pace > SLOW_PACE {
            self.limit = (self.limit * SHRINK).max(MIN_LIMIT);
        } else if pace < FAST_PACE && used > self.limit * USED_PART {
            self.limit = (self.limit * GROW).min(MAX_LIMIT);
        }
    }
}

impl Gateway {
    /// Whether an engine has capacity for a request of this class.
    pub(super) fn has_capacity(&self, class: usize, engine: &EngineState, is_light: bool) -> bool {
        let threads = self.deployment.classes[class].threads;
        let limit = self.limit_for(engine, is_light);
        if engine.attempts == 0 {
            // Where this gateway holds nothing and nothing is reported, a slow spell is remembered for long: a light request
            // finds out.
            let finds_out = is_light && self.deployment.gateways * threads <= engine.cores;
            // What all gateways send an engine in slow start is bounded by its budget, and the load that is estimated on
            // other engines is not there.
            if finds_out || engine.in_slow_start {
                return true;
            }
        }
        let peers = self.load.peer_threads_on(engine).max(0.0);
        let ours = (engine.threads + threads) / engine.cores;
        (engine.attempts == 0 || ours <= self.own_part(engine) * limit)
            && ours + peers <= limit.max(WIDE_REQUEST_FACTOR * threads / engine.cores)
    }

    fn limit_for(&self, engine: &EngineState, is_light: bool) -> f64 {
        let limit = engine.concurrency.limit;
        match (is_light, self.deployment.pages_memory) {
            (false, _) => limit,
            (true, false) => limit * LIGHT_FACTOR,
            (true, true) => limit * LIGHT_FACTOR_PAGING,
        }
    }

    /// The part of an engine's limit that this gateway may take alone.
    fn own_part(&self, engine: &EngineState) -> f64 {
        let unreported = if engine.concurrency.reports_load { 0.0 } else { UNREPORTED_PART };
        (MAX_SHARES / self.deployment.gateways).max(unreported)
    }

    /// With so many threads of each gateway, none of the cores has more than one.
    pub(super) fn fits_even_part(&self, threads: f64, cores: f64) -> bool {
        self.deployment.gateways * threads <= INITIAL_LIMIT * cores
    }
}
