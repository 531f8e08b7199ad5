//! Estimates of what requests of a class cost: their measured work and memory compared with the estimates, and their
//! pace (elapsed time per second of work per thread).

use crate::statistics::{FittedLine, WeightedMean};

/// The fraction of the evidence that is kept at each answer.
const KEEP: f64 = 0.99;
/// The prior that estimates are correct has the weight of this many answers.
const PRIOR_ANSWERS: f64 = 2.0;
/// The smallest amount whose logarithm is taken.
const MIN_AMOUNT: f64 = 1e-6;
/// The prior of the scatter, as a sum and the number of answers that it stands for.
const PRIOR_SCATTER_SUM: f64 = 1.2;
const PRIOR_SCATTER_WEIGHT: f64 = 3.0;
/// The headroom of a grant covers this many times the scatter.
const HEADROOM_SCATTER: f64 = 1.7;
/// The pace that is assumed before the first answer, and its bounds.
const INITIAL_PACE: f64 = 1.5;
const MIN_PACE: f64 = 0.5;
const MAX_PACE: f64 = 8.0;
/// The factor by which a quarter grant slows a request: the value that is assumed until it is known, and its maximum.
const INITIAL_SPILL_FACTOR: f64 = 2.0;
const MAX_SPILL_FACTOR: f64 = 8.0;
/// The spill factor is known once this many seconds of work (older work counts less) have completed with the best
/// grant, and as many with a quarter grant.
const MIN_SPILL_FACTOR_WORK: f64 = 3.0;

/// The relation between estimates and measurements, as a line fitted through their logarithms: an estimate far from the
/// mean overstates how far the true value lies from the mean.
#[derive(Clone, Copy, Default)]
pub(super) struct CostFit {
    line: FittedLine,
    /// The ratio of the measured amount to the expected one.
    pub ratio: WeightedMean,
    /// The absolute difference between the logarithms of the measured and the expected amount.
    pub scatter: WeightedMean,
}

impl CostFit {
    /// Records a measurement, if there was an estimate.
    pub fn add(&mut self, estimate: Option<f64>, measured: f64) {
        let Some(estimate) = estimate else { return };
        let ratio = measured.max(MIN_AMOUNT) / self.expected(Some(estimate), 0.0);
        self.ratio.add(ratio, 1.0, KEEP);
        self.scatter.add(ratio.ln().abs(), 1.0, KEEP);
        self.line.add(estimate.ln(), measured.max(MIN_AMOUNT).ln(), KEEP);
    }

    /// The factor by which a grant exceeds the expected need, up to `max`. It follows the scatter seen. The prior
    /// scatter is large, so that few requests spill before the scatter is known.
    pub fn headroom(&self, max: f64) -> f64 {
        let scatter = self.scatter.mean_with_prior(PRIOR_SCATTER_SUM, PRIOR_SCATTER_WEIGHT);
        (HEADROOM_SCATTER * scatter).exp().min(max)
    }

    /// The expected amount for an estimate, or `mean` if there is no estimate.
    pub fn expected(&self, estimate: Option<f64>, mean: f64) -> f64 {
        let Some(estimate) = estimate else { return mean };
        self.line.value_at(estimate.ln(), PRIOR_ANSWERS).exp() * self.ratio.mean_or(1.0)
    }

    /// Whether there has never been a measurement.
    pub fn is_unmeasured(&self) -> bool {
        self.ratio.weight == 0.0
    }
}

/// The pace of answers of a class whose work is never measured, relative to the lowest recent pace. Estimates that no
/// measurement corrects may be wrong by the same factor for a whole class.
#[derive(Clone, Default)]
struct UnmeasuredPace {
    mean: WeightedMean,
    /// The baseline: it approaches the mean quickly downwards and slowly upwards, so it stays near the lowest recent
    /// mean.
    baseline: f64,
    answers: u32,
}

impl UnmeasuredPace {
    /// The fraction of the distance to the mean by which the baseline moves at each answer, downwards and upwards.
    const FALL: f64 = 0.05;
    const RISE: f64 = 0.005;
    /// The baseline is known after this many answers.
    const KNOWN_AFTER: u32 = 10;
    /// The fraction of the mean pace that is kept at each answer.
    const KEEP: f64 = 0.98;
    /// The smallest baseline that a pace is divided by.
    const MIN_PACE: f64 = 1e-3;

    /// Records an answer. Returns its pace divided by the baseline once that is known.
    fn add(&mut self, pace: f64, work: f64) -> Option<f64> {
        self.answers += 1;
        self.mean.add(pace, work, Self::KEEP);
        let mean = self.mean.mean_or(pace);
        let is_known = self.answers > Self::KNOWN_AFTER;
        if is_known {
            let rate = if mean < self.baseline { Self::FALL } else { Self::RISE };
            self.baseline += rate * (mean - self.baseline);
        } else {
            self.baseline = mean;
        }
        is_known.then(|| pace / self.baseline.max(Self::MIN_PACE))
    }
}

/// The estimates for the requests of one class.
#[derive(Clone, Default)]
pub(super) struct ClassModel {
    /// The mean work, in seconds of one core.
    pub work: WeightedMean,
    /// The mean memory, in megabytes.
    pub memory: WeightedMean,
    /// The measured work compared with the estimates.
    pub work_fit: CostFit,
    /// The measured memory compared with the estimates.
    pub memory_fit: CostFit,
    /// The longest time to the deadline that a request had when it was received, in seconds.
    pub longest_lead: f64,
    /// The mean pace with the best grant.
    pace: WeightedMean,
    /// The mean pace with a quarter grant.
    quarter_pace: WeightedMean,
    unmeasured_pace: UnmeasuredPace,
}

impl ClassModel {
    /// Records the pace of a completed attempt.
    pub fn record_pace(&mut self, pace: f64, work: f64, is_quarter_grant: bool) {
        let paces = if is_quarter_grant { &mut self.quarter_pace } else { &mut self.pace };
        paces.add(pace, work, KEEP);
    }

    /// Records the pace of an answer of a class whose work is never measured. Returns it divided by the lowest recent
    /// pace once that is known.
    pub fn pace_over_baseline(&mut self, pace: f64, work: f64) -> Option<f64> {
        self.unmeasured_pace.add(pace, work)
    }

    /// Records the expected or inferred work of a request, with this weight.
    pub fn record_work(&mut self, work: f64, weight: f64) {
        self.work.add(work, weight, KEEP);
    }

    /// Records the measured work and memory of a request, with the estimates for it.
    pub fn record_measured_cost(
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

    /// The factor by which a quarter grant slows a request.
    pub fn spill_factor(&self) -> f64 {
        if self.quarter_pace.weight.min(self.pace.weight) < MIN_SPILL_FACTOR_WORK {
            return INITIAL_SPILL_FACTOR;
        }
        let ratio = self.quarter_pace.mean_or(2.0) / self.pace.mean_or(1.0);
        ratio.clamp(1.0, MAX_SPILL_FACTOR)
    }

    /// The expected pace: the time that a second of work per thread takes.
    pub fn pace(&self) -> f64 {
        self.pace.mean_or(INITIAL_PACE).clamp(MIN_PACE, MAX_PACE)
    }
}
