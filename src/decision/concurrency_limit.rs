//! Limits the threads per core that an engine may run. Beyond the limit, requests stay queued at this gateway.

use super::{EngineState, Gateway};
use crate::statistics::WeightedMean;

/// The initial limit, in threads per core.
pub(super) const INITIAL_LIMIT: f64 = 1.0;
/// The threads per core that engines are assumed to run in a deployment of many gateways if no engine reports its load.
pub(super) const USUAL_THREADS: f64 = 0.75;
/// The fraction of the evidence about peers, and of the work by table group, that is kept at each tick. With a smaller
/// value, gateways react in step with each other.
pub(super) const KEEP_PER_TICK: f64 = 0.98;

/// The bounds of the limit.
const MIN_LIMIT: f64 = 0.6 * INITIAL_LIMIT;
const MAX_LIMIT: f64 = 1.5 * INITIAL_LIMIT;
/// The limit shrinks if the pace is above the first value, and may grow if it is below the second.
const SLOW_PACE: f64 = 3.0;
const FAST_PACE: f64 = 2.0;
/// The factors by which the limit changes at a tick.
const SHRINK: f64 = 0.97;
const GROW: f64 = 1.03;
/// The limit grows only if more than this share of it is used.
const MIN_USED_SHARE: f64 = 0.7;
/// The factor by which the limit is higher for light requests, so that they can pass the heavy ones that fill an
/// engine. It is larger if requests cannot make the engine page.
const LIGHT_FACTOR: f64 = 2.0;
const LIGHT_FACTOR_PAGING: f64 = 1.5;
/// The largest multiple of an equal share of the limit that one gateway may use on an engine. Reports are delayed, so
/// gateways that all see the same free capacity would overfill it together.
const MAX_SHARES: f64 = 2.0;
/// The share of the limit that one gateway may use on an engine that does not report its load: most of the load may be
/// its own.
const UNREPORTED_SHARE: f64 = 0.6;
/// A request with more threads than the limit still fits an almost empty engine: the limit is raised to this multiple
/// of the request's threads.
const WIDE_REQUEST_FACTOR: f64 = 1.25;

/// The limit of one engine, and the estimated load of other gateways on it.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// The limit, in threads per core.
    pub limit: f64,
    /// The decaying mean of the threads per core that other gateways occupy, from load reports or from the pace of
    /// answers.
    pub peer_threads: WeightedMean,
    /// The engine reports its load.
    pub reports_load: bool,
}

impl ConcurrencyLimit {
    /// The limit of an engine that is new or has restarted.
    pub fn initial() -> ConcurrencyLimit {
        ConcurrencyLimit { limit: INITIAL_LIMIT, ..ConcurrencyLimit::default() }
    }

    /// Adjusts the limit to the pace of answers at a tick. `used` is the load of all gateways, in threads per core.
    pub fn tick(&mut self, pace: f64, used: f64) {
        self.peer_threads.decay(KEEP_PER_TICK);
        if pace > SLOW_PACE {
            self.limit = (self.limit * SHRINK).max(MIN_LIMIT);
        } else if pace < FAST_PACE && used > self.limit * MIN_USED_SHARE {
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
            // Without own attempts and load reports, the gateway would long remember a period of slow answers. So a
            // light request is sent as a trial, provided that the engine could run one from every gateway at once.
            let is_trial = is_light && self.deployment.gateways * threads <= engine.cores;
            // The work sent to an engine in slow start is bounded by its budget, and the load that is estimated from
            // other engines does not exist there yet.
            if is_trial || engine.in_slow_start {
                return true;
            }
        }
        let peers = self.load.peer_threads_on(engine).max(0.0);
        let own = (engine.threads + threads) / engine.cores;
        (engine.attempts == 0 || own <= self.max_own_share(engine) * limit)
            && own + peers <= limit.max(WIDE_REQUEST_FACTOR * threads / engine.cores)
    }

    /// The limit that applies to a light or a heavy request, in threads per core.
    fn limit_for(&self, engine: &EngineState, is_light: bool) -> f64 {
        let limit = engine.concurrency.limit;
        match (is_light, self.deployment.pages_memory) {
            (false, _) => limit,
            (true, false) => limit * LIGHT_FACTOR,
            (true, true) => limit * LIGHT_FACTOR_PAGING,
        }
    }

    /// The share of an engine's limit that this gateway may use alone.
    fn max_own_share(&self, engine: &EngineState) -> f64 {
        let unreported = if engine.concurrency.reports_load { 0.0 } else { UNREPORTED_SHARE };
        (MAX_SHARES / self.deployment.gateways).max(unreported)
    }

    /// Whether these threads are within this gateway's fair share of the cores: if every gateway used as many, no core
    /// would run more than one thread.
    pub(super) fn fits_fair_share(&self, threads: f64, cores: f64) -> bool {
        self.deployment.gateways * threads <= INITIAL_LIMIT * cores
    }
}
