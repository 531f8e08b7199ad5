//! Whether an engine answers well. An engine whose posterior mean falls too low is ejected: it takes trials alone.

use crate::statistics::WeightedMean;

/// An engine is ejected where its success rate is under this part of the best, or under it outright.
pub(super) const MIN_SUCCESS_RATE: f64 = 0.75;
/// The part of the evidence that stays with each tick: half of it is gone after four seconds.
const KEEP: f64 = 0.9576;
/// What a peer says counts by this against what was met here: one that lies, or is ill itself, ejects no engine alone.
const PEER_WEIGHT: f64 = 0.5;
/// The prior of an engine that nothing is known of: successes, and attempts.
const PRIOR_SUCCESSES: f64 = 2.0;
const PRIOR_ATTEMPTS: f64 = 2.1;
/// That of all classes counts for so many attempts of one class.
const PRIOR_OF_CLASS: f64 = 3.0;
/// A class decides for itself once it does a fifth worse than all.
const CLASS_TOLERANCE: f64 = 1.25;
/// The width of an even distribution, in its standard deviations (2 * sqrt 3).
const WIDTH_OF_EVEN: f64 = 3.46;

/// What an ended attempt says of its engine.
#[derive(Clone, Copy, Debug)]
pub(super) struct AttemptEvidence {
    /// Its weight as a success.
    pub success: f64,
    /// Its weight as a failure of the engine.
    pub failure: f64,
    /// Its weight as a failure of the engine for the class of the request.
    pub failure_for_class: f64,
}

impl AttemptEvidence {
    /// A success, or a failure, of the engine for all classes.
    pub fn new(success: f64, failure: f64) -> AttemptEvidence {
        AttemptEvidence { success, failure, failure_for_class: failure }
    }

    /// A failure for the class of the request alone.
    pub fn of_class_alone() -> AttemptEvidence {
        AttemptEvidence { success: 0.0, failure: 0.0, failure_for_class: 1.0 }
    }
}

/// The evidence on one engine, which fades with time; some faults strike only one class.
#[derive(Default)]
pub(super) struct FailureEstimate {
    /// Successes among the attempts of this gateway.
    pub own: WeightedMean,
    /// The engine is ejected.
    pub ejected: bool,
    /// The present draw from the posterior: made anew each tick, spent by a trial.
    pub drawn_rate: f64,
    peers: WeightedMean,
    by_class: Vec<WeightedMean>,
}

impl FailureEstimate {
    /// Adds what an attempt says.
    pub fn add(&mut self, class: usize, evidence: AttemptEvidence) {
        let AttemptEvidence { success, failure, failure_for_class } = evidence;
        self.own.sum += success;
        self.own.weight = self.own.weight + success + failure;
        let classes = self.by_class.len().max(class + 1);
        self.by_class.resize(classes, WeightedMean::default());
        let weight = success + failure_for_class;
        self.by_class[class].add(success / weight.max(1e-9), weight, 1.0);
    }

    /// Sets what peers have met, each of them with one attempt at most.
    pub fn set_peers(&mut self, successes: f64, failures: f64) {
        let weight = PEER_WEIGHT * (successes + failures);
        self.peers = WeightedMean { sum: PEER_WEIGHT * successes, weight };
    }

    /// The posterior mean of the success rate.
    pub fn success_rate(&self) -> f64 {
        let sum = PRIOR_SUCCESSES + self.peers.sum;
        self.own.mean_with_prior(sum, PRIOR_ATTEMPTS + self.peers.weight)
    }

    /// The success rate for one class.
    pub fn success_rate_for(&self, class: usize) -> f64 {
        let overall = self.success_rate();
        let of_class = match self.by_class.get(class) {
            Some(own) => own.mean_with_prior(PRIOR_OF_CLASS * overall, PRIOR_OF_CLASS),
            None => 1.0,
        };
        overall.min(CLASS_TOLERANCE * of_class)
    }

    /// Fades the evidence by one tick.
    pub fn fade(&mut self) {
        for mean in &mut self.by_class {
            mean.fade(KEEP);
        }
        self.own.fade(KEEP);
    }

    /// Draws from the posterior, taken as even around its mean with its own spread. `chance` is from 0 to 1.
    pub fn draw(&mut self, chance: f64) {
        let mean = self.success_rate();
        let attempts = 1.0 + PRIOR_ATTEMPTS + self.own.weight + self.peers.weight;
        let spread = (mean * (1.0 - mean) / attempts).sqrt();
        self.drawn_rate = mean + (chance - 0.5) * WIDTH_OF_EVEN * spread;
    }

    /// Ejects or readmits the engine by its success rate; tells whether that changed.
    pub fn review(&mut self) -> bool {
        let ejected = self.success_rate() < MIN_SUCCESS_RATE;
        std::mem::replace(&mut self.ejected, ejected) != ejected
    }
}
