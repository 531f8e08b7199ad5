//! What requests of a class turn out to need against what was estimated, and how long they take.

use crate::statistics::{FittedLine, WeightedMean};

/// The part of what was learned that stays with each answer.
const KEEP: f64 = 0.99;
/// Estimates are at first believed good with the weight of so many answers.
const PRIOR_ANSWERS: f64 = 2.0;
/// The least amount that a logarithm is taken of.
const MIN_AMOUNT: f64 = 1e-6;
/// The scatter that is assumed at first, as a sum over so many answers.
const PRIOR_SCATTER_SUM: f64 = 1.2;
const PRIOR_SCATTER_WEIGHT: f64 = 3.0;
/// How many times the scatter a grant stays ahead of.
const HEADROOM_SCATTER: f64 = 1.7;
/// The pace that is assumed until answers have come, and its bounds.
const INITIAL_PACE: f64 = 1.5;
const MIN_PACE: f64 = 0.5;
const MAX_PACE: f64 = 8.0;
/// The factor by which a quarter of the memory slows a request, until it is known, and its largest value.
const INITIAL_SPILL_FACTOR: f64 = 2.0;
const MAX_SPILL_FACTOR: f64 = 8.0;
/// Answers of each kind by which that factor is known.
const SPILL_FACTOR_KNOWN: f64 = 3.0;

/// What was measured against estimates, as a line through logarithms: estimates far from the mean lie further off than
/// the truth.
#[derive(Clone, Copy, Default)]
pub(super) struct CostFit {
    line: FittedLine,
    /// What was measured over what was expected.
    pub ratio: WeightedMean,
    /// How far the logarithms of the two lie apart.
    pub scatter: WeightedMean,
}

impl CostFit {
    /// Learns from one measurement, where there was an estimate.
    pub fn add(&mut self, estimate: Option<f64>, measured: f64) {
        let Some(estimate) = estimate else { return };
        let ratio = measured.max(MIN_AMOUNT) / self.expected(Some(estimate), 0.0);
        self.ratio.add(ratio, 1.0, KEEP);
        self.scatter.add(ratio.ln().abs(), 1.0, KEEP);
        self.line.add(estimate.ln(), measured.max(MIN_AMOUNT).ln(), KEEP);
    }

    /// By how much more than expected to grant, by the scatter seen, at first as if that were large: few are to spill.
    pub fn headroom(&self, most: f64) -> f64 {
        let scatter = self.scatter.mean_with_prior(PRIOR_SCATTER_SUM, PRIOR_SCATTER_WEIGHT);
        (HEADROOM_SCATTER * scatter).exp().min(most)
    }

    /// What is to be expected for an estimate, or the mean where there is none.
    pub fn expected(&self, estimate: Option<f64>, mean: f64) -> f64 {
        let Some(estimate) = estimate else { return mean };
        self.line.value_at(estimate.ln(), PRIOR_ANSWERS).exp() * self.ratio.mean_or(1.0)
    }

    /// No measurement has ever come.
    pub fn is_unmeasured(&self) -> bool {
        self.ratio.weight == 0.0
    }
}

/// The pace of answers where nothing measures work, against the least of late: estimates that no answer corrects may be off
/// by the same factor for a whole class.
#[derive(Clone, Default)]
struct UncorrectedPace {
    mean: WeightedMean,
    least: f64,
    answers: u32,
}

impl UncorrectedPace {
    /// How fast the least follows the mean, downwards and upwards, with each answer.
    const FALL: f64 = 0.05;
    const RISE: f64 = 0.005;
    /// Answers after which the least is known.
    const KNOWN_AFTER: u32 = 10;
    const KEEP: f64 = 0.98;
    const MIN_PACE: f64 = 1e-3;

    /// Learns from an answer; returns its pace against the least, once that is known.
    fn add(&mut self, pace: f64, work: f64) -> Option<f64> {
        self.answers += 1;
        self.mean.add(pace, work, Self::KEEP);
        let mean = self.mean.mean_or(pace);
        let is_known = self.answers > Self::KNOWN_AFTER;
        if is_known {
            let rate = if mean < self.least { Self::FALL } else { Self::RISE };
            self.least += rate * (mean - self.least);
        } else {
            self.least = mean;
        }
        is_known.then(|| pace / self.least.max(Self::MIN_PACE))
    }
}

/// What is known of the requests of one class.
#[derive(Clone, Default)]
pub(super) struct ClassModel {
    /// Their work, in seconds of one core.
    pub work: WeightedMean,
    /// Their memory, in megabytes.
    pub memory: WeightedMean,
    /// Their measured work against the estimates.
    pub work_fit: CostFit,
    /// Their measured memory against the estimates.
    pub memory_fit: CostFit,
    /// The longest time that one of them had left when it was received.
    pub longest_lead: f64,
    /// Time for each second of work a thread, with the best grant and at a quarter of it.
    pace: WeightedMean,
    quarter_pace: WeightedMean,
    uncorrected_pace: UncorrectedPace,
}

impl ClassModel {
    /// Learns the pace of a completed attempt.
    pub fn note_pace(&mut self, pace: f64, work: f64, at_quarter: bool) {
        let paces = if at_quarter { &mut self.quarter_pace } else { &mut self.pace };
        paces.add(pace, work, KEEP);
    }

    /// Learns the pace of an answer that measures no work; returns it against the least of late, once that is known.
    pub fn pace_against_least(&mut self, pace: f64, work: f64) -> Option<f64> {
        self.uncorrected_pace.add(pace, work)
    }

    /// Learns work that was estimated or inferred, with this weight.
    pub fn note_work(&mut self, work: f64, weight: f64) {
        self.work.add(work, weight, KEEP);
    }

    /// Learns what a request turned out to need, by its estimates.
    pub fn note_measured(
        &mut self,
        estimated_work: Option<f64>,
        estimated_memory: Option<f64>,
        work: f64,
        memory: f64,
    ) {
        self.memory.add(memory, 1.0, KEEP);
        self.work_fit.add(estimated_work, work);
        self.memory_fit.add(estimated_memory, memory);
    }

    /// By how much a quarter of its memory slows a request.
    pub fn spill_factor(&self) -> f64 {
        if self.quarter_pace.weight.min(self.pace.weight) < SPILL_FACTOR_KNOWN {
            return INITIAL_SPILL_FACTOR;
        }
        let ratio = self.quarter_pace.mean_or(2.0) / self.pace.mean_or(1.0);
        ratio.clamp(1.0, MAX_SPILL_FACTOR)
    }

    /// The time that a second of work a thread takes.
    pub fn pace(&self) -> f64 {
        self.pace.mean_or(INITIAL_PACE).clamp(MIN_PACE, MAX_PACE)
    }
}
