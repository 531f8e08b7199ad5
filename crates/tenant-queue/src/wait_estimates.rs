//! How long a queued request will wait: from how fast work has gone through of late, the work ahead, and what was learned
//! of this estimate's own errors.

use crate::moving_mean::MovingMean;
use crate::queued_request::QueuedRequest;
use crate::service_rate::ServiceRate;
use std::collections::BTreeMap;

/// Estimates err otherwise at a queue's front, where luck decides, than at its end, where later and denser requests go ahead.
const QUEUE_PARTS: usize = 4;
const MAX_REMEMBERED: usize = 100_000;
/// Shorter waits are a turn of the loop, and no wait.
const MIN_WAIT: f64 = 0.005;
/// An estimate is good within this part of the truth.
const GOOD_WITHIN: f64 = 0.2;
/// Or within so many seconds, to be near it.
const NEAR_WITHIN: f64 = 0.02;
/// Errors are learned as logarithms of ratios, bounded by this.
const MAX_LOG_RATIO: f64 = 3.0;
const ERROR_MEMORY: f64 = 0.95;
const BIAS_PRIOR: f64 = 2.0;
const BIAS_GAIN: f64 = 0.5;
/// The spread that is believed before any is seen.
const SPREAD_PRIOR: f64 = 0.5;
/// Four in five of a double exponential distribution lie within so many mean deviations.
const FOUR_IN_FIVE: f64 = 1.6;
const MIN_SHARE: f64 = 1e-6;
const MIN_QUEUED_WORK: f64 = 1e-9;

/// An estimate, in seconds from now to the first attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitEstimate {
    /// The wait that is expected.
    pub expected: f64,
    /// Four waits in five are thought to lie between this...
    pub lower: f64,
    /// ... and this.
    pub upper: f64,
    /// The part of the queue that it was made for, which its error is learned by.
    pub queue_part: usize,
}

/// What an estimate is made from.
pub(crate) struct WorkAhead {
    /// The work ahead in the queue.
    pub ahead: f64,
    /// All work in it.
    pub queue: f64,
    /// The tenant's share of all that goes through.
    pub share: f64,
}

/// What estimates turned out to be worth.
#[derive(Clone, Copy, Debug, Default)]
struct Errors {
    /// The logarithm of the true wait over the estimated one.
    bias: MovingMean,
    /// How far off that mean they are.
    spread: MovingMean,
}

#[derive(Clone, Debug, Default)]
struct TenantStatistics {
    errors: [Errors; QUEUE_PARTS],
    rate: ServiceRate,
}

/// An estimate that is remembered until its request goes.
#[derive(Clone, Copy, Debug)]
struct RememberedEstimate {
    made_at: f64,
    expected: f64,
    queue_part: usize,
}

/// How fast work goes through, and what estimates of waits were worth.
#[derive(Clone, Debug)]
pub struct WaitStatistics {
    tenants: Vec<TenantStatistics>,
    all: ServiceRate,
    /// By request. Bounded.
    remembered: BTreeMap<usize, RememberedEstimate>,
    /// Estimates that were compared with the truth.
    pub compared: u64,
    /// Those within a fifth of it.
    pub within_a_fifth: u64,
    /// Those within a fifth of it or 20 ms.
    pub within_a_fifth_or_20_ms: u64,
    /// Requests that waited without an estimate.
    pub without_estimate: u64,
}

impl WaitStatistics {
    pub(crate) fn new(tenants: usize) -> WaitStatistics {
        WaitStatistics {
            tenants: vec![TenantStatistics::default(); tenants],
            all: ServiceRate::default(),
            remembered: BTreeMap::new(),
            compared: 0,
            within_a_fifth: 0,
            within_a_fifth_or_20_ms: 0,
            without_estimate: 0,
        }
    }

    /// A request joins the queue. Where none, of its tenant or of all, stood in it before, the time of idleness does not
    /// count.
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
            self.all.skip_idle_time(now);
        }
    }

    /// A request has gone: the rates, and what its estimate was worth.
    pub(crate) fn request_dispatched(&mut self, queued: &QueuedRequest, now: f64) {
        self.all.served(queued.work, now);
        self.tenants[queued.tenant].rate.served(queued.work, now);
        let Some(estimate) = self.remembered.remove(&queued.request) else { return };
        let truth = now - estimate.made_at;
        if truth >= MIN_WAIT {
            self.count_comparison(estimate.expected, truth);
            self.learn(queued.tenant, &estimate, truth);
        }
    }

    fn count_comparison(&mut self, expected: f64, truth: f64) {
        let off = (truth - expected).abs();
        self.compared += 1;
        self.within_a_fifth += u64::from(off <= GOOD_WITHIN * truth);
        self.within_a_fifth_or_20_ms += u64::from(off <= (GOOD_WITHIN * truth).max(NEAR_WITHIN));
    }

    fn learn(&mut self, tenant: usize, estimate: &RememberedEstimate, truth: f64) {
        let errors = &mut self.tenants[tenant].errors[estimate.queue_part];
        let ratio = (truth / estimate.expected.max(MIN_WAIT)).ln().clamp(-MAX_LOG_RATIO, MAX_LOG_RATIO);
        errors.spread.add(ratio.abs(), ERROR_MEMORY);
        // The estimate was corrected by the bias already: what is left of it is learned.
        errors.bias.add(errors.bias.with_prior(BIAS_PRIOR) + BIAS_GAIN * ratio, ERROR_MEMORY);
    }

    /// It waits no more, and did not go.
    pub(crate) fn request_removed(&mut self, request: usize) {
        self.remembered.remove(&request);
    }

    /// Remembers an estimate to compare it with the truth.
    pub fn remember(&mut self, request: usize, estimate: Option<WaitEstimate>, now: f64) {
        match estimate {
            Some(WaitEstimate { expected, queue_part, .. }) if self.remembered.len() < MAX_REMEMBERED => {
                self.remembered.insert(request, RememberedEstimate { made_at: now, expected, queue_part });
            }
            _ => self.without_estimate += 1,
        }
    }

    /// The wait of a request of so much work.
    pub(crate) fn estimate(
        &self,
        tenant: usize,
        work: f64,
        ahead: &WorkAhead,
        now: f64,
    ) -> Option<WaitEstimate> {
        let all = self.all.per_second(now)?;
        let tenant = self.tenants.get(tenant)?;
        // What the tenant had of late while it waited says more than its weight; without that, its share.
        let rate = tenant.rate.per_second(now).unwrap_or(all * ahead.share.max(MIN_SHARE));
        let queue_part = (ahead.ahead / ahead.queue.max(MIN_QUEUED_WORK) * QUEUE_PARTS as f64) as usize;
        let queue_part = queue_part.min(QUEUE_PARTS - 1);
        let errors = &tenant.errors[queue_part];
        // It goes once what is ahead has gone, and its own turn has come.
        let uncorrected = (ahead.ahead + 0.5 * work) / rate;
        let expected = uncorrected * errors.bias.with_prior(BIAS_PRIOR).exp();
        let spread = (errors.spread.sum + SPREAD_PRIOR) / (errors.spread.weight + 1.0);
        let factor = (FOUR_IN_FIVE * spread).exp();
        Some(WaitEstimate { expected, lower: expected / factor, upper: expected * factor, queue_part })
    }
}
