//! Estimates the success rate of each engine. An engine whose posterior mean falls too low is ejected: it no longer
//! counts as usable. Engine selection avoids an engine whose success rate is far below the best one; such an engine
//! gets only single trial requests.

use crate::statistics::WeightedMean;

/// An engine is ejected if its success rate is below this value. A request avoids an engine whose success rate is below
/// this fraction of the best one.
pub(super) const MIN_SUCCESS_RATE: f64 = 0.75;
/// The fraction of the evidence that is kept at each tick: its half-life is four seconds.
const KEEP_PER_TICK: f64 = 0.9576;
/// The weight of peers' evidence relative to this gateway's own, so that a single peer that reports wrongly or is
/// faulty itself cannot eject an engine.
const PEER_WEIGHT: f64 = 0.5;
/// The prior of an engine without evidence, as successes and attempts.
const PRIOR_SUCCESSES: f64 = 2.0;
const PRIOR_ATTEMPTS: f64 = 2.1;
/// The success rate over all classes is the prior for one class, with the weight of this many attempts.
const CLASS_PRIOR_ATTEMPTS: f64 = 3.0;
/// A class's own success rate takes effect once it is a fifth lower than that over all classes.
const CLASS_TOLERANCE: f64 = 1.25;
/// The width of a uniform distribution, in its standard deviations (2 * sqrt 3).
const UNIFORM_WIDTH: f64 = 3.46;

/// The evidence that an attempt gives on its engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEvidence {
    /// The weight of the attempt as a success.
    pub success: f64,
    /// The weight of the attempt as a failure of the engine.
    pub failure: f64,
    /// The weight of the attempt as a failure of the engine for the request's class.
    pub failure_for_class: f64,
}

impl AttemptEvidence {
    /// Evidence of success and failure of the engine for all classes.
    pub fn new(success: f64, failure: f64) -> AttemptEvidence {
        AttemptEvidence { success, failure, failure_for_class: failure }
    }

    /// A failure for the request's class only.
    pub fn class_failure() -> AttemptEvidence {
        AttemptEvidence { success: 0.0, failure: 0.0, failure_for_class: 1.0 }
    }
}

/// The evidence on one engine, which decays with time. It is also kept by class, because some faults affect only one
/// class.
#[derive(Default)]
pub(super) struct ReliabilityEstimate {
    /// The success rate of this gateway's own attempts.
    pub own: WeightedMean,
    /// The engine is ejected.
    pub ejected: bool,
    /// A sample of the success rate from the posterior. It is drawn at each tick, and reset to 0 when an attempt is
    /// sent.
    pub sampled_success_rate: f64,
    peers: WeightedMean,
    by_class: Vec<WeightedMean>,
}

impl ReliabilityEstimate {
    /// Adds the evidence of an attempt.
    pub fn add(&mut self, class: usize, evidence: AttemptEvidence) {
        let AttemptEvidence { success, failure, failure_for_class } = evidence;
        self.own.sum += success;
        self.own.weight = self.own.weight + success + failure;
        let class_count = self.by_class.len().max(class + 1);
        self.by_class.resize(class_count, WeightedMean::default());
        let weight = success + failure_for_class;
        self.by_class[class].add(success / weight.max(1e-9), weight, 1.0);
    }

    /// Sets the evidence of all peers, in which each peer counts for at most one attempt.
    pub fn set_peers(&mut self, successes: f64, failures: f64) {
        let weight = PEER_WEIGHT * (successes + failures);
        self.peers = WeightedMean { sum: PEER_WEIGHT * successes, weight };
    }

    /// The posterior mean of the success rate.
    pub fn success_rate(&self) -> f64 {
        let sum = PRIOR_SUCCESSES + self.peers.sum;
        self.own.mean_with_prior(sum, PRIOR_ATTEMPTS + self.peers.weight)
    }

    /// The posterior mean of the success rate for one class.
    pub fn success_rate_for(&self, class: usize) -> f64 {
        let overall = self.success_rate();
        let of_class = match self.by_class.get(class) {
            Some(own) => own.mean_with_prior(CLASS_PRIOR_ATTEMPTS * overall, CLASS_PRIOR_ATTEMPTS),
            None => 1.0,
        };
        overall.min(CLASS_TOLERANCE * of_class)
    }

    /// Decays the evidence by one tick.
    pub fn decay(&mut self) {
        for mean in &mut self.by_class {
            mean.decay(KEEP_PER_TICK);
        }
        self.own.decay(KEEP_PER_TICK);
    }

    /// Samples the success rate from the posterior, approximated by a uniform distribution with the posterior's mean
    /// and standard deviation. `uniform` is a random number from 0 to 1.
    pub fn sample_success_rate(&mut self, uniform: f64) {
        let mean = self.success_rate();
        let attempts = 1.0 + PRIOR_ATTEMPTS + self.own.weight + self.peers.weight;
        let deviation = (mean * (1.0 - mean) / attempts).sqrt();
        self.sampled_success_rate = mean + (uniform - 0.5) * UNIFORM_WIDTH * deviation;
    }

    /// Ejects or readmits the engine according to its success rate. Returns whether that changed.
    pub fn review(&mut self) -> bool {
        let ejected = self.success_rate() < MIN_SUCCESS_RATE;
        std::mem::replace(&mut self.ejected, ejected) != ejected
    }
}
