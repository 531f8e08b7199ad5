//! Estimates of the load: the threads that other gateways occupy on engines, the recent pace of answers, and the work
//! requested.

use super::concurrency_limit::{KEEP_PER_TICK, USUAL_THREADS};
use super::EngineState;
use crate::statistics::{DecayingShares, WeightedMean};

/// The fraction of the evidence about peers on all engines, and of the evidence on an engine's pace, that is kept at
/// each tick.
pub(super) const KEEP_OVERALL_PER_TICK: f64 = 0.9;
/// The fraction of the evidence about peers that is kept at each answer: on one engine, and on all engines.
const KEEP_PER_ANSWER: f64 = 0.8;
const KEEP_PER_ANSWER_OVERALL: f64 = 0.9;
/// The factors by which the estimated median pace moves at each answer, and its minimum.
const MEDIAN_UP: f64 = 1.04;
const MEDIAN_DOWN: f64 = 0.96;
const MIN_MEDIAN_PACE: f64 = 0.5;
/// The fraction of the mean value density that is kept at each request.
const KEEP_DENSITY: f64 = 0.995;
/// The fraction of the mean of threads per attempt that is kept with each engine that is added at a tick.
const KEEP_THREADS: f64 = 0.99;

/// This gateway's estimates of the load on all engines.
#[derive(Default)]
pub(super) struct LoadEstimates {
    /// The estimated median of the recent pace, over all engines.
    pub median_pace: f64,
    /// The mean value density of requests, weighted by their work.
    pub value_density: WeightedMean,
    /// The recently requested work by table group.
    pub table_group_work: DecayingShares,
    /// The threads that this gateway occupies on all engines.
    pub threads: f64,
    /// The cores of the engines that are ready and not ejected.
    pub usable_cores: f64,
    threads_per_attempt: WeightedMean,
    /// The mean of the threads per core that peers occupy, by recent reports and estimates from all engines.
    observed_peer_threads: WeightedMean,
    /// The threads per core that peers are assumed to occupy on engines without such evidence.
    assumed_peer_threads: f64,
}

impl LoadEstimates {
    /// Records a request that was received.
    pub fn record_request(&mut self, value_density: f64, table_group: u64, work: f64) {
        self.value_density.add(value_density, work, KEEP_DENSITY);
        self.table_group_work.add(table_group, work);
    }

    /// Records the pace of an answer.
    pub fn record_pace(&mut self, pace: f64) {
        let factor = if pace > self.median_pace { MEDIAN_UP } else { MEDIAN_DOWN };
        self.median_pace = self.bounded_median_pace() * factor;
    }

    /// The estimated median of the recent pace, but at least its minimum.
    pub fn bounded_median_pace(&self) -> f64 {
        self.median_pace.max(MIN_MEDIAN_PACE)
    }

    /// Updates the mean of threads per attempt with the threads and attempts of this gateway on one engine.
    pub fn record_own_threads(&mut self, threads: f64, attempts: f64) {
        self.threads_per_attempt.add(threads / attempts.max(1.0), attempts, KEEP_THREADS);
    }

    /// The threads that other gateways occupy on an engine according to its report. Their requests are assumed to have
    /// as many threads as this gateway's.
    pub fn peer_threads_reported(&self, requests: f64, own_attempts: u32) -> f64 {
        (requests - f64::from(own_attempts)) * self.threads_per_attempt.mean_or(1.0)
    }

    /// Records the threads that other gateways occupy on an engine.
    pub fn record_peer_threads(&mut self, engine: &mut EngineState, threads: f64, weight: f64) {
        let threads_per_core = threads / engine.cores;
        engine.concurrency.peer_threads.add(threads_per_core, weight, KEEP_PER_ANSWER);
        self.observed_peer_threads.add(threads_per_core, weight, KEEP_PER_ANSWER_OVERALL);
    }

    /// The estimated threads per core that other gateways occupy on an engine.
    pub fn peer_threads_on(&self, engine: &EngineState) -> f64 {
        engine.concurrency.peer_threads.mean_with_prior(self.assumed_peer_threads, 1.0)
    }

    /// Updates the estimates at a tick. Without evidence on an engine, peers are assumed to occupy as many threads per
    /// core as on other engines. The prior for that is that each peer occupies as much as this gateway does, up to the
    /// usual load.
    pub fn tick(&mut self, gateways: f64, own_threads_per_core: f64) {
        let prior = ((gateways - 1.0) * own_threads_per_core).min(USUAL_THREADS);
        self.assumed_peer_threads = self.observed_peer_threads.mean_with_prior(prior, 1.0);
        self.observed_peer_threads.decay(KEEP_OVERALL_PER_TICK);
        self.table_group_work.decay(KEEP_PER_TICK);
    }
}
