//! Rules 1 to 7, which every attempt and every answer must satisfy:
//!
//! 1. Each request gets one final answer.
//! 2. A request is not run a second time if that would have a second effect, and it has at most one attempt in flight
//!    unless hedging is allowed.
//! 3. Engines that drain or are gone get nothing new.
//! 4. An engine in slow start is sent no more work than its budget allows.
//! 5. Requests with the same key, of a class that runs in key order, run one at a time and in order of arrival. A quiet
//!    period follows an attempt that may still be running.
//! 6. A request runs only in the zones and on the kinds of engine that its class allows.
//! 7. Retries stay within a budget.
//!
//! No rule relies on what other gateways do: the slow-start budget is divided by the number of gateways, and the retry
//! budget is that of one gateway. Reports of peers can only reduce the slow-start allowance.

use super::{EngineState, Gateway};
use crate::request_state::{Attempt, DueEvent, RequestState};
use crate::{ActionWriter, DeduplicationScope, Idempotency};

/// The time that a repeat may take to reach its engine, in seconds: it must leave the gateway this long before the
/// window in which engines recognise it ends.
const DELIVERY_MARGIN: f64 = 0.02;

impl Gateway {
    /// Whether rules 2 to 7 allow an attempt of the request on this engine now.
    pub fn may_attempt(&self, id: usize, engine: usize, now: f64) -> bool {
        self.request_may_be_attempted(id, now) && self.engine_may_run(id, engine, now)
    }

    /// Whether an attempt may be made for the request now, on any engine.
    pub(super) fn request_may_be_attempted(&self, id: usize, now: f64) -> bool {
        let Some(request) = self.requests.open.get(&id) else { return false };
        if request.done || now >= request.incoming.deadline {
            return false;
        }
        // Rule 2: no second effect, and one attempt in flight unless hedging is allowed.
        if self.attempts_exhausted(id, now) || (request.in_flight() && !self.deployment.allows_hedging) {
            return false;
        }
        // Rule 5: the order of keys, and the quiet period after an attempt that may still be running.
        if !self.is_first_of_key(id, now) {
            return false;
        }
        // Rule 7: the retry budget.
        request.attempts.is_empty() || self.retries.has_budget(&self.retry_budget(), now)
    }

    /// Whether the rules allow this engine to run the request now.
    pub(super) fn engine_may_run(&self, id: usize, engine: usize, now: f64) -> bool {
        let Some(request) = self.requests.open.get(&id) else { return false };
        let Some(engine) = self.engines.states.get(engine) else { return false };
        let class = request.incoming.class;
        // Rule 3: an engine that drains or is gone gets nothing new.
        engine.is_ready()
            // Rule 2: a repeat goes only to engines that recognise it.
            && self.recognises_repeat(request, engine)
            // Rule 6: zones and kinds of engine.
            && self.is_allowed_on(class, engine)
            // Rule 4: the budget of an engine in slow start.
            && self.slow_start_allowance(engine, now) >= self.usual_work(class)
    }

    /// Whether the engine would recognise the request as a repeat of each of its attempts that may have run.
    fn recognises_repeat(&self, request: &RequestState, engine: &EngineState) -> bool {
        let may_have_run = |attempt: &&Attempt| !attempt.never_ran;
        let in_scope = |attempt: &Attempt| {
            // Not the current listing: the engine may have been replaced since, under the same index.
            let earlier = &attempt.sent_to;
            match self.deployment.classes[request.incoming.class].idempotency {
                Idempotency::Deduplicated { scope: DeduplicationScope::Zone, .. } => {
                    earlier.zone == engine.listing.zone
                }
                Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. } => {
                    earlier.cell == engine.listing.cell
                }
                _ => true,
            }
        };
        request.attempts.iter().filter(may_have_run).all(in_scope)
    }

    /// Whether a class may run in an engine's zone and on its kind.
    pub(super) fn is_allowed_on(&self, class: usize, engine: &EngineState) -> bool {
        let class = &self.deployment.classes[class];
        let allows = |allowed: &Option<Vec<usize>>, index| {
            allowed.as_ref().is_none_or(|allowed| allowed.contains(&index))
        };
        allows(&class.allowed_zones, engine.listing.zone) && allows(&class.allowed_kinds, engine.listing.kind)
    }

    /// Whether the request is the first with its key and, unless it is a retry, the key's quiet period is over.
    pub(super) fn is_first_of_key(&self, id: usize, now: f64) -> bool {
        let Some(queue) = self.requests.key_queue(id) else { return true };
        let is_retry = !self.requests.open[&id].attempts.is_empty();
        queue.requests.front() == Some(&id) && (is_retry || now >= queue.quiet_until)
    }

    /// Whether no attempt can be made for the request any more.
    pub(super) fn attempts_exhausted(&self, id: usize, now: f64) -> bool {
        let request = &self.requests.open[&id];
        now >= self.attempts_allowed_until(request)
            || request.attempts.len() as u32 >= self.deployment.max_attempts
    }

    /// Until when a further attempt may leave, given the earlier attempts that may have run.
    pub(super) fn attempts_allowed_until(&self, request: &RequestState) -> f64 {
        let class = &self.deployment.classes[request.incoming.class];
        // How long a repeat may leave after an attempt of this gateway, and after an earlier attempt that the host
        // reported (`IncomingRequest::earlier_attempt_at`).
        let (after_own, after_earlier) = match class.idempotency {
            Idempotency::Idempotent => return f64::INFINITY,
            Idempotency::NonIdempotent => (f64::NEG_INFINITY, f64::NEG_INFINITY),
            Idempotency::Deduplicated { window, scope: DeduplicationScope::All } => {
                (window - DELIVERY_MARGIN, window - DELIVERY_MARGIN)
            }
            // For an earlier attempt that the host reported, only the time is known, not the engine.
            Idempotency::Deduplicated { window, .. } => (window - DELIVERY_MARGIN, f64::NEG_INFINITY),
        };
        let mut until = f64::INFINITY;
        for attempt in request.attempts.iter().filter(|attempt| !attempt.never_ran) {
            until = until.min(attempt.sent_at + after_own);
        }
        if let Some(sent_at) = request.incoming.earlier_attempt_at {
            until = until.min(sent_at + after_earlier);
        }
        until
    }

    /// Schedules an event for the time from which no further attempt can be made for the request.
    pub(super) fn schedule_retry_window_end(&mut self, id: usize) {
        let until = self.attempts_allowed_until(&self.requests.open[&id]);
        if until < f64::INFINITY {
            self.requests.schedule(until, DueEvent::RetryWindowEnds(id));
        }
    }

    /// Answers a queued request for which no attempt can be made any more.
    pub(super) fn reject_or_fail_if_exhausted(&mut self, now: f64, id: usize, out: &mut dyn ActionWriter) {
        let is_queued = self.requests.open.get(&id).is_some_and(RequestState::is_queued);
        if is_queued && self.attempts_exhausted(id, now) {
            self.reject_or_fail(now, id, out);
        }
    }

    /// Rule 1: answers the request, unless it is done. Rejects it if its client may safely send it again, and fails it
    /// otherwise. Every request that gets no answer from an engine is answered by this function.
    pub(super) fn reject_or_fail(&mut self, now: f64, id: usize, out: &mut dyn ActionWriter) {
        let Some(request) = self.requests.open.get(&id).filter(|request| !request.done) else { return };
        if self.is_safe_to_resend(request, now) {
            let retry_after = self.retry_after(now, id);
            out.reject(id, retry_after);
        } else {
            out.fail(id);
        }
        self.request_finished(id);
    }

    /// Whether the client may send the request again without harm. If all engines recognise repeats, only an earlier
    /// attempt that the host reported is compared with the window, not the attempts of this gateway.
    fn is_safe_to_resend(&self, request: &RequestState, now: f64) -> bool {
        let earlier = request.incoming.earlier_attempt_at;
        match self.deployment.classes[request.incoming.class].idempotency {
            Idempotency::Idempotent => true,
            Idempotency::Deduplicated { scope: DeduplicationScope::All, window } => {
                earlier.is_none_or(|sent_at| now < sent_at + window)
            }
            _ => request.never_ran() && earlier.is_none(),
        }
    }
}
