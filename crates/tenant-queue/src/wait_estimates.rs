//! Estimates how long a queued request will wait, from the recent service rate, the work ahead of the request, and the
//! errors of earlier estimates.

use crate::moving_mean::MovingMean;
use crate::queued_request::QueuedRequest;
use crate::service_rate::ServiceRate;
use std::collections::BTreeMap;

/// Number of sections of a queue whose estimation errors are learned separately. Errors differ along a queue: near the
/// front they are random, near the end requests of higher density that are received later go ahead.
const QUEUE_SECTIONS: usize = 4;
/// Maximum number of remembered estimates.
const MAX_REMEMBERED: usize = 100_000;
/// Waits shorter than this many seconds are one turn of the event loop rather than a wait, and are not compared.
/// Also the lower limit of the expected wait as a divisor.
const MIN_WAIT: f64 = 0.005;
/// An estimate is accurate if its error is at most this fraction of the actual wait.
const ACCURATE_RATIO: f64 = 0.2;
/// An error of at most this many seconds also counts in `within_a_fifth_or_20_ms`.
const ACCURATE_SECONDS: f64 = 0.02;
/// Errors are learned as logarithms of the ratio of actual to estimated wait, limited to plus or minus this.
const MAX_LOG_RATIO: f64 = 3.0;
/// Factor by which the weight of former errors decays with each new one.
const ERROR_DECAY: f64 = 0.95;
/// Number of values of 0 that are assumed in the mean bias in addition to the observed ones.
const BIAS_PRIOR: f64 = 2.0;
/// Part of a remaining error by which the bias is corrected.
const BIAS_GAIN: f64 = 0.5;
/// Spread that is assumed before any error is observed; counts as one observation.
const SPREAD_PRIOR: f64 = 0.5;
/// Four in five values of a double exponential distribution lie within this many mean deviations.
const FOUR_IN_FIVE_DEVIATIONS: f64 = 1.6;
/// Lower limit of a tenant's share, so that the rate stays above 0.
const MIN_SHARE: f64 = 1e-6;
/// Lower limit of the queued work as a divisor.
const MIN_QUEUED_WORK: f64 = 1e-9;

/// An estimated wait, in seconds from now to the first attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitEstimate {
    /// The expected wait.
    pub expected: f64,
    /// Lower end of the range in which four waits in five are expected to lie.
    pub lower: f64,
    /// Upper end of that range.
    pub upper: f64,
    /// Index of the section of the queue for which the estimate was made; its error is learned for that section.
    pub queue_section: usize,
}

/// The inputs of an estimate.
pub(crate) struct EstimateInputs {
    /// Work ahead of the request in its tenant's queue, in seconds.
    pub work_ahead: f64,
    /// All work in that queue, in seconds.
    pub queued_work: f64,
    /// The tenant's share of all served work.
    pub share: f64,
}

/// The errors of past estimates.
#[derive(Clone, Copy, Debug, Default)]
struct Errors {
    /// The mean logarithm of the ratio of actual wait to uncorrected estimate.
    bias: MovingMean,
    /// The mean absolute logarithm of the ratio of actual wait to estimate.
    spread: MovingMean,
}

#[derive(Clone, Debug, Default)]
struct TenantStatistics {
    errors: [Errors; QUEUE_SECTIONS],
    rate: ServiceRate,
}

/// An estimate that is kept until its request is dispatched or removed.
#[derive(Clone, Copy, Debug)]
struct RememberedEstimate {
    made_at: f64,
    expected: f64,
    queue_section: usize,
}

/// Service rates, and the accuracy of the wait estimates.
#[derive(Clone, Debug)]
pub struct WaitStatistics {
    tenants: Vec<TenantStatistics>,
    overall_rate: ServiceRate,
    /// By request; at most [`MAX_REMEMBERED`].
    remembered: BTreeMap<usize, RememberedEstimate>,
    /// Number of estimates that were compared with the actual wait.
    pub compared: u64,
    /// Number of these with an error of at most a fifth of the actual wait.
    pub within_a_fifth: u64,
    /// Number of these with an error of at most a fifth of the actual wait or at most 20 ms.
    pub within_a_fifth_or_20_ms: u64,
    /// Number of requests that waited without an estimate.
    pub without_estimate: u64,
}

impl WaitStatistics {
    pub(crate) fn new(tenants: usize) -> WaitStatistics {
        WaitStatistics {
            tenants: vec![TenantStatistics::default(); tenants],
            overall_rate: ServiceRate::default(),
            remembered: BTreeMap::new(),
            compared: 0,
            within_a_fifth: 0,
            within_a_fifth_or_20_ms: 0,
            without_estimate: 0,
        }
    }

    /// Records that a request is queued. If it is the first queued request of its tenant, or of all tenants, the idle
    /// time before it is not counted in the respective rate.
    pub(crate) fn request_queued(
        &mut self,
        tenant: usize,
        first_of_tenant: bool,
        first_of_all: bool,
        now: f64,
    ) {
        if first_of_tenant {
            self.tenants[tenant].rate.skip_idle_time(now);
        }
        if first_of_all {
            self.overall_rate.skip_idle_time(now);
        }
    }

    /// Records a dispatched request in the rates, and compares its estimate with the actual wait.
    pub(crate) fn request_dispatched(&mut self, queued: &QueuedRequest, now: f64) {
        self.overall_rate.served(queued.work, now);
        self.tenants[queued.tenant].rate.served(queued.work, now);
        let Some(estimate) = self.remembered.remove(&queued.request) else { return };
        let actual = now - estimate.made_at;
        if actual >= MIN_WAIT {
            self.count_comparison(estimate.expected, actual);
            self.learn(queued.tenant, &estimate, actual);
        }
    }

    fn count_comparison(&mut self, expected: f64, actual: f64) {
        let error = (actual - expected).abs();
        self.compared += 1;
        self.within_a_fifth += u64::from(error <= ACCURATE_RATIO * actual);
        self.within_a_fifth_or_20_ms += u64::from(error <= (ACCURATE_RATIO * actual).max(ACCURATE_SECONDS));
    }

    fn learn(&mut self, tenant: usize, estimate: &RememberedEstimate, actual: f64) {
        let errors = &mut self.tenants[tenant].errors[estimate.queue_section];
        let ratio = (actual / estimate.expected.max(MIN_WAIT)).ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        errors.spread.add(ratio.abs(), ERROR_DECAY);
        // The estimate was already corrected by the bias; what is learned here is the remaining error.
        errors.bias.add(errors.bias.with_prior(BIAS_PRIOR) + BIAS_GAIN * ratio, ERROR_DECAY);
    }

    /// Forgets the estimate of a request that was removed without being dispatched.
    pub(crate) fn request_removed(&mut self, request: usize) {
        self.remembered.remove(&request);
    }

    /// Remembers an estimate, to compare it with the actual wait later. An absent estimate is counted in
    /// [`Self::without_estimate`], as is one for which there is no more room among the remembered ones.
    pub fn remember(&mut self, request: usize, estimate: Option<WaitEstimate>, now: f64) {
        match estimate {
            Some(WaitEstimate { expected, queue_section, .. }) if self.remembered.len() < MAX_REMEMBERED => {
                self.remembered.insert(request, RememberedEstimate { made_at: now, expected, queue_section });
            }
            _ => self.without_estimate += 1,
        }
    }

    /// Estimates the wait of a request with this much work; `None` if the tenant is unknown or the overall service rate
    /// is not known.
    pub(crate) fn estimate(
        &self,
        tenant: usize,
        work: f64,
        inputs: &EstimateInputs,
        now: f64,
    ) -> Option<WaitEstimate> {
        let overall_rate = self.overall_rate.per_second(now)?;
        let tenant = self.tenants.get(tenant)?;
        // The tenant's recent rate while it had queued requests is a better predictor than its weight. If it is not
        // known, its share of the overall rate is used.
        let rate = tenant.rate.per_second(now).unwrap_or(overall_rate * inputs.share.max(MIN_SHARE));
        let queue_section =
            (inputs.work_ahead / inputs.queued_work.max(MIN_QUEUED_WORK) * QUEUE_SECTIONS as f64) as usize;
        let queue_section = queue_section.min(QUEUE_SECTIONS - 1);
        let errors = &tenant.errors[queue_section];
        // The request is dispatched once the work ahead is done and its tenant's turn has come, for which half of its
        // own work is added.
        let uncorrected = (inputs.work_ahead + 0.5 * work) / rate;
        let expected = uncorrected * errors.bias.with_prior(BIAS_PRIOR).exp();
        let spread = (errors.spread.sum + SPREAD_PRIOR) / (errors.spread.weight + 1.0);
        let factor = (FOUR_IN_FIVE_DEVIATIONS * spread).exp();
        Some(WaitEstimate { expected, lower: expected / factor, upper: expected * factor, queue_section })
    }
}
