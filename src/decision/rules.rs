//! Rules 1 to 7, and nothing else: whether an attempt may be made at all, whether on this engine, and that each request has one
//! final answer. Nothing here depends on what peers do: budgets are divided by the number of gateways.

use super::{EngineState, Gateway};
use crate::request_state::{Attempt, DueEvent, RequestState};
use crate::{ActionWriter, DeduplicationScope, Idempotency};

/// How long the repeat of a request may take to its engine: so much sooner than its window ends it must have left.
const DELIVERY_MARGIN: f64 = 0.02;

impl Gateway {
    /// Rules 2 to 7, in two parts: every attempt passes both.
    pub fn may_attempt(&self, id: usize, engine: usize, now: f64) -> bool {
        self.request_may_go(id, now) && self.engine_may_take(id, engine, now)
    }

    /// Whether an attempt may be made for the request at all now.
    pub(super) fn request_may_go(&self, id: usize, now: f64) -> bool {
        let Some(request) = self.requests.open.get(&id) else { return false };
        if request.done || now >= request.incoming.deadline {
            return false;
        }
        // Rule 2: no second effect, and one attempt in flight unless hedging is allowed.
        if self.retries_exhausted(id, now) || (request.in_flight() && !self.deployment.allows_hedging) {
            return false;
        }
        // Rule 5: the order of keys, and the rest after an attempt that may still run.
        if !self.is_first_of_key(id, now) {
            return false;
        }
        // Rule 7: the budget of retries.
        request.attempts.is_empty() || self.retries.has_budget(&self.retry_budget(), now)
    }

    /// Whether this engine may take the request now.
    pub(super) fn engine_may_take(&self, id: usize, engine: usize, now: f64) -> bool {
        let Some(request) = self.requests.open.get(&id) else { return false };
        let Some(engine) = self.engines.states.get(engine) else { return false };
        let class = request.incoming.class;
        // Rule 3: nothing new to an engine that drains or is gone.
        engine.is_ready()
            // Rule 2: repeats only where they are recognised.
            && self.recognises_repeat(request, engine)
            // Rule 6: placement.
            && self.is_allowed_on(class, engine)
            // Rule 4: the budget of an engine in slow start.
            && self.slow_start_allowance(engine, now) >= self.usual_work(class)
    }

    /// Whether the engine recognises a repeat of every attempt that may have run.
    fn recognises_repeat(&self, request: &RequestState, engine: &EngineState) -> bool {
        let may_have_run = |attempt: &&Attempt| !attempt.never_ran;
        let in_scope = |attempt: &Attempt| {
            let first = &self.engines.states[attempt.engine].listing;
            match self.deployment.classes[request.incoming.class].idempotency {
                Idempotency::Deduplicated { scope: DeduplicationScope::Zone, .. } => {
                    first.zone == engine.listing.zone
                }
                Idempotency::Deduplicated { scope: DeduplicationScope::Cell, .. } => {
                    first.cell == engine.listing.cell
                }
                _ => true,
            }
        };
        request.attempts.iter().filter(may_have_run).all(in_scope)
    }

    /// Whether a class may run on an engine's zone and kind.
    pub(super) fn is_allowed_on(&self, class: usize, engine: &EngineState) -> bool {
        let class = &self.deployment.classes[class];
        let allows = |allowed: &Option<Vec<usize>>, index| {
            allowed.as_ref().is_none_or(|allowed| allowed.contains(&index))
        };
        allows(&class.allowed_zones, engine.listing.zone) && allows(&class.allowed_kinds, engine.listing.kind)
    }

    /// Whether it is the request's turn among those with its key, and the key has rested.
    pub(super) fn is_first_of_key(&self, id: usize, now: f64) -> bool {
        let Some(queue) = self.requests.key_queue(id) else { return true };
        let is_retry = !self.requests.open[&id].attempts.is_empty();
        queue.requests.front() == Some(&id) && (is_retry || now >= queue.rests_until)
    }

    /// No attempt can follow, whatever comes.
    pub(super) fn retries_exhausted(&self, id: usize, now: f64) -> bool {
        let request = &self.requests.open[&id];
        now >= self.attempts_allowed_until(request)
            || request.attempts.len() as u32 >= self.deployment.max_attempts
    }

    /// Until when an attempt may leave, by the earlier ones that may have run.
    pub(super) fn attempts_allowed_until(&self, request: &RequestState) -> f64 {
        let class = &self.deployment.classes[request.incoming.class];
        // How long after an attempt of this gateway, and of another, a repeat may leave.
        let (after_own, after_others) = match class.idempotency {
            Idempotency::Idempotent => return f64::INFINITY,
            Idempotency::NonIdempotent => (f64::NEG_INFINITY, f64::NEG_INFINITY),
            Idempotency::Deduplicated { window, scope: DeduplicationScope::All } => {
                (window - DELIVERY_MARGIN, window - DELIVERY_MARGIN)
            }
            // Of an attempt under another index only the time is known, not where it ran.
            Idempotency::Deduplicated { window, .. } => (window - DELIVERY_MARGIN, f64::NEG_INFINITY),
        };
        let mut until = f64::INFINITY;
        for attempt in request.attempts.iter().filter(|attempt| !attempt.never_ran) {
            until = until.min(attempt.sent_at + after_own);
        }
        if let Some(sent_at) = request.incoming.earlier_attempt_at {
            until = until.min(sent_at + after_others);
        }
        until
    }

    /// Makes sure that a queued request is looked at when no attempt can follow any more.
    pub(super) fn schedule_retry_window_end(&mut self, id: usize) {
        let until = self.attempts_allowed_until(&self.requests.open[&id]);
        if until < f64::INFINITY {
            self.requests.schedule(until, DueEvent::RetryWindowEnds(id));
        }
    }

    /// A queued request that no attempt can follow any more has its answer.
    pub(super) fn end_if_exhausted(&mut self, now: f64, id: usize, out: &mut dyn ActionWriter) {
        let is_queued = self.requests.open.get(&id).is_some_and(RequestState::is_queued);
        if is_queued && self.retries_exhausted(id, now) {
            self.end(now, id, out);
        }
    }

    /// Rule 1: the one place where a request gets its answer from this gateway.
    pub(super) fn end(&mut self, now: f64, id: usize, out: &mut dyn ActionWriter) {
        let Some(request) = self.requests.open.get(&id).filter(|request| !request.done) else { return };
        if self.may_be_tried_again(request, now) {
            let retry_after = self.retry_after(now, id);
            out.reject(id, retry_after);
        } else {
            out.fail(id);
        }
        self.request_finished(id);
    }

    /// Whether its client may send the request again without harm.
    fn may_be_tried_again(&self, request: &RequestState, now: f64) -> bool {
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
