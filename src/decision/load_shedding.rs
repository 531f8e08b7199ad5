//! Decides when a queued request is rejected, and which Retry-After its client gets.

use super::Gateway;
use crate::request_state::{DueEvent, RequestState};
use crate::statistics::fraction;
use crate::ActionWriter;

/// A request that is worth running after its objective is kept until the last start that meets its deadline, provided
/// that this is more than this many seconds away.
const LATE_MARGIN: f64 = 0.05;
/// Load shedding ends after this many seconds without a rejection.
const SHEDDING_ENDS_AFTER: f64 = 5.0;
/// The Retry-After is the expected wait times a random factor from 0.8 to 1.2, so that clients rejected together do not
/// all return at the same time.
const MIN_JITTER: f64 = 0.8;
const JITTER_RANGE: f64 = 0.4;
/// The shortest Retry-After is the longest one divided by this.
const MIN_RETRY_AFTER_DIVISOR: f64 = 10.0;

/// The load-shedding mode, which lasts from one rejection until there has been none for a while.
#[derive(Default)]
pub(super) struct LoadShedding {
    /// When a request was last rejected for lack of capacity; absent while no load is shed.
    last_rejection: Option<f64>,
}

impl LoadShedding {
    /// Records a rejection. Returns whether it starts the mode.
    fn record_rejection(&mut self, now: f64) -> bool {
        self.last_rejection.replace(now).is_none()
    }

    /// Ends the mode if the last rejection is long enough ago. Returns true once, when the mode ends.
    pub fn end_if_quiet(&mut self, now: f64) -> bool {
        self.last_rejection.take_if(|last| now > *last + SHEDDING_ENDS_AFTER).is_some()
    }
}

impl Gateway {
    /// Rejects a queued request that can no longer meet its latency objective, unless its value density for a late
    /// answer is at least the mean value density of all requests and it can still meet its deadline.
    pub(super) fn shed_if_too_late(&mut self, now: f64, id: usize, out: &mut dyn ActionWriter) {
        let Some(request) = self.requests.open.get(&id).filter(|request| request.is_queued()) else { return };
        let class = &self.deployment.classes[request.incoming.class];
        let late_density = request.value_density * class.late_value_share;
        let last_start = request.incoming.deadline - self.expected_run_time(request);
        if late_density >= self.load.value_density.mean_or(0.0) && now < last_start - LATE_MARGIN {
            self.requests.schedule(last_start, DueEvent::LastStart(id));
            return;
        }
        self.shed(now, id, out);
    }

    /// Rejects a request for lack of capacity, or fails it if sending it again could do harm.
    pub(super) fn shed(&mut self, now: f64, id: usize, out: &mut dyn ActionWriter) {
        if self.shedding.record_rejection(now) {
            let queued = self.queue.len();
            let density = self.requests.open[&id].value_density;
            self.log.push(format!("load shedding started: {queued} queued, value density {density:.2}"));
        }
        self.reject_or_fail(now, id, out);
    }

    /// The Retry-After for a rejected request, in seconds: with tenants, the expected wait until the tenant's queue
    /// could run the request; otherwise the longest Retry-After that clients obey. Absent if clients ignore
    /// Retry-After.
    pub(super) fn retry_after(&mut self, now: f64, id: usize) -> Option<f64> {
        let longest = self.deployment.max_retry_after?;
        let RequestState { incoming, work, .. } = &self.requests.open[&id];
        let wait =
            self.queue.estimate_wait_of_new(incoming.tenant, *work, now).filter(|_| self.queue.has_tenants());
        let Some(wait) = wait else { return Some(longest) };
        let jitter = MIN_JITTER + JITTER_RANGE * fraction(self.random.next());
        Some((jitter * wait.expected).clamp(longest / MIN_RETRY_AFTER_DIVISOR, longest))
    }
}
