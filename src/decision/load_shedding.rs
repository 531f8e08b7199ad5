//! When a queued request is rejected, and what its client is told to wait.

use super::Gateway;
use crate::request_state::{DueEvent, RequestState};
use crate::statistics::fraction;
use crate::ActionWriter;

/// A request whose late value counts is kept until so shortly before it could not even meet its deadline.
const LATE_MARGIN: f64 = 0.05;
/// Load shedding has stopped after so many seconds without a rejection.
const QUIET_AFTER: f64 = 5.0;
/// The wait that clients are told is spread over this part of it, so that those rejected together do not return as one.
const MIN_SPREAD: f64 = 0.8;
const SPREAD: f64 = 0.4;
/// No client is told less than the longest Retry-After divided by this.
const MIN_RETRY_AFTER_DIVISOR: f64 = 10.0;

/// Whether load is being shed.
#[derive(Default)]
pub(super) struct LoadShedding {
    /// When the last request was rejected, while the mode lasts.
    last_rejection: Option<f64>,
}

impl LoadShedding {
    /// Notes a rejection; tells whether it begins the mode.
    fn begin(&mut self, now: f64) -> bool {
        self.last_rejection.replace(now).is_none()
    }

    /// Tells once that the mode has ended.
    pub fn ends(&mut self, now: f64) -> bool {
        self.last_rejection.take_if(|last| now > *last + QUIET_AFTER).is_some()
    }
}

impl Gateway {
    /// A queued request can't meet its objective any more: rejected, unless what it earns late beats the work that waits.
    pub(super) fn too_late(&mut self, now: f64, id: usize, out: &mut dyn ActionWriter) {
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

    /// Rejects a request for want of capacity.
    pub(super) fn shed(&mut self, now: f64, id: usize, out: &mut dyn ActionWriter) {
        if self.shedding.begin(now) {
            let queued = self.queue.len();
            let density = self.requests.open[&id].value_density;
            self.log.push(format!("load shedding started: {queued} queued, value density {density:.2}"));
        }
        self.end(now, id, out);
    }

    /// What a client is told to wait, no longer than clients follow: with tenants, until its queue would take the request.
    pub(super) fn retry_after(&mut self, now: f64, id: usize) -> Option<f64> {
        let most = self.deployment.max_retry_after?;
        let RequestState { incoming, work, .. } = &self.requests.open[&id];
        let wait = self.queue.wait_for(incoming.tenant, *work, now).filter(|_| self.queue.has_tenants());
        let Some(wait) = wait else { return Some(most) };
        let spread = MIN_SPREAD + SPREAD * fraction(self.random.next());
        Some((spread * wait.expected).clamp(most / MIN_RETRY_AFTER_DIVISOR, most))
    }
}
