//! Estimates of the load: what other gateways hold on engines, how fast work goes of late, and what is asked for.

use super::concurrency_limit::{KEEP, USUAL_THREADS};
use super::EngineState;
use crate::statistics::{DecayingShares, WeightedMean};

/// The part of the evidence about peers on all engines that stays with each tick.
pub(super) const KEEP_OVERALL: f64 = 0.9;
/// The part of the evidence about peers that stays with each answer: on one engine, and on all of them.
const KEEP_PER_ANSWER: f64 = 0.8;
const KEEP_PER_ANSWER_OVERALL: f64 = 0.9;
/// The factors by which the median pace follows each answer, and its least value.
const MEDIAN_UP: f64 = 1.04;
const MEDIAN_DOWN: f64 = 0.96;
const MIN_MEDIAN_PACE: f64 = 0.5;
/// The part of the mean value density that stays with each request.
const KEEP_DENSITY: f64 = 0.995;
/// The part of the mean of threads that stays with each engine looked at.
const KEEP_THREADS: f64 = 0.99;

/// What this gateway believes of the load of all engines.
#[derive(Default)]
pub(super) struct LoadEstimates {
    /// The median of the pace of late, over all engines.
    pub median_pace: f64,
    /// The value of requests for each second of their work.
    pub value_density: WeightedMean,
    /// The work asked for of late, by table group.
    pub table_group_work: DecayingShares,
    /// This gateway's threads on all engines.
    pub threads: f64,
    /// The cores of the engines that are ready and not ejected.
    pub usable_cores: f64,
    threads_per_attempt: WeightedMean,
    /// Threads a core that peers hold, over all engines that said so of late.
    observed_peer_threads: WeightedMean,
    /// Threads a core that they are believed to hold on the others.
    believed_peer_threads: f64,
}

impl LoadEstimates {
    /// Learns from a request that was received.
    pub fn note_request(&mut self, value_density: f64, table_group: u64, work: f64) {
        self.value_density.add(value_density, work, KEEP_DENSITY);
        self.table_group_work.add(table_group, work);
    }

    /// Learns the pace of an answer.
    pub fn note_pace(&mut self, pace: f64) {
        let factor = if pace > self.median_pace { MEDIAN_UP } else { MEDIAN_DOWN };
        self.median_pace = self.median_or_least() * factor;
    }

    /// The median of the pace of late, or the least value that it has.
    pub fn median_or_least(&self) -> f64 {
        self.median_pace.max(MIN_MEDIAN_PACE)
    }

    /// Learns what an attempt of this gateway occupies, by what it holds on one engine.
    pub fn note_own_threads(&mut self, threads: f64, attempts: f64) {
        self.threads_per_attempt.add(threads / attempts.max(1.0), attempts, KEEP_THREADS);
    }

    /// What other gateways hold on an engine, in threads, by its report: their requests have as many threads each as ours.
    pub fn peer_threads_reported(&self, requests: f64, own_attempts: u32) -> f64 {
        (requests - f64::from(own_attempts)) * self.threads_per_attempt.mean_or(1.0)
    }

    /// Learns what other gateways hold on an engine.
    pub fn note_peer_threads(&mut self, engine: &mut EngineState, threads: f64, weight: f64) {
        let threads_per_core = threads / engine.cores;
        engine.concurrency.peer_threads.add(threads_per_core, weight, KEEP_PER_ANSWER);
        self.observed_peer_threads.add(threads_per_core, weight, KEEP_PER_ANSWER_OVERALL);
    }

    /// What other gateways are believed to hold on an engine, in threads a core.
    pub fn peer_threads_on(&self, engine: &EngineState) -> f64 {
        engine.concurrency.peer_threads.mean_with_prior(self.believed_peer_threads, 1.0)
    }

    /// A tick. Where nothing is reported, peers are believed to hold what they hold elsewhere; at first as much as this gateway
    /// does on each core, but no more than is usual.
    pub fn tick(&mut self, gateways: f64, own_threads_per_core: f64) {
        let prior = ((gateways - 1.0) * own_threads_per_core).min(USUAL_THREADS);
        self.believed_peer_threads = self.observed_peer_threads.mean_with_prior(prior, 1.0);
        self.observed_peer_threads.fade(KEEP_OVERALL);
        self.table_group_work.fade(KEEP);
    }
}
