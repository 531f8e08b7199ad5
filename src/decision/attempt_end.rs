//! Handles the end of an attempt: updates the estimates of its engine, of its class and of the load.

use super::concurrency_limit::USUAL_THREADS;
use super::outlier_detection::AttemptEvidence;
use super::{Gateway, TICK};
use crate::request_state::{DueEvent, RequestState};
use crate::{AttemptEnd, AttemptOutcome};

/// An answer is slow if its pace is this many times its class's, and it took longer than this many seconds.
const SLOW_ANSWER_PACES: f64 = 4.0;
const SLOW_ANSWER_SECONDS: f64 = 0.5;
/// The weight of a slow answer as a failure, in addition to its weight as a success. The cause may be a slow machine, a
/// pause or other load.
const SLOW_ANSWER_FAILURE: f64 = 0.5;
/// The weight, in failures, of an engine that cannot be reached.
const UNREACHABLE_FAILURE: f64 = 3.0;
/// An engine is under memory pressure if its pace is this many times its best, or if this share of its memory is
/// granted.
const PRESSURE_PACES: f64 = 2.5;
const PRESSURE_GRANTED: f64 = 0.98;
/// The maximum pace that counts as evidence of the load of other gateways.
const MAX_PEER_LOAD_PACE: f64 = 8.0;
/// The maximum weight of one answer whose work is only estimated.
const MAX_ESTIMATE_WEIGHT: f64 = 3.0;
/// The minimum work by which a time is divided to get a pace.
const MIN_WORK: f64 = 1e-3;

/// The figures of one ended attempt.
struct AttemptSample {
    class: usize,
    /// The attempt's number among those of its request.
    number: usize,
    sent_at: f64,
    is_quarter_grant: bool,
    /// The measured work, or else the estimate, in seconds of one core.
    work: f64,
    /// The measured memory, or else the estimate, in megabytes.
    memory: f64,
    threads: f64,
    /// The elapsed time per second of work per thread.
    pace: f64,
    /// The pace as evidence of the load of other gateways; absent if it is no such evidence.
    peer_load_pace: Option<f64>,
    /// The pace as evidence is relative to the lowest recent pace of the class. This holds if the work of the class is
    /// estimated but has never been measured, and there are few gateways.
    uses_relative_pace: bool,
    /// This gateway did not run for a while, so the time of the answer is not known.
    is_stalled: bool,
}

impl Gateway {
    /// Handles the end of an attempt.
    pub fn attempt_ended(&mut self, now: f64, end: &AttemptEnd) {
        let Some(sample) = self.sample(now, end) else { return };
        self.update_engine_estimates(now, end, &sample);
        if end.outcome == AttemptOutcome::Completed {
            self.update_class_model(end, &sample);
        }
        self.start_key_quiet_period(now, end);
        self.release(end.request, sample.number);
        let needed = if end.outcome.never_ran() { 0.0 } else { sample.work };
        let request = &self.requests.open[&end.request];
        self.queue.attempt_ended(request.incoming.tenant, request.work, needed, now);
        if end.request_done {
            self.request_finished(end.request);
        } else if request.is_queued() {
            let last_start = self.last_start(request);
            self.requests.schedule(last_start, DueEvent::LastStart(end.request));
            self.schedule_retry_window_end(end.request);
            self.enqueue(now, end.request);
            self.round.ended.push(end.request);
        }
        self.requests.remove_if_done(end.request);
    }

    /// Marks the attempt as ended and returns its figures. None if no such attempt is in flight.
    fn sample(&mut self, now: f64, end: &AttemptEnd) -> Option<AttemptSample> {
        let request = self.requests.open.get_mut(&end.request)?;
        let is_ended_attempt =
            |attempt: &crate::request_state::Attempt| attempt.in_flight && attempt.engine == end.engine;
        let number = request.attempts.iter().position(is_ended_attempt)?;
        let attempt = &mut request.attempts[number];
        attempt.in_flight = false;
        attempt.never_ran = end.outcome.never_ran();
        let sent_at = attempt.sent_at;
        let is_quarter_grant = attempt.is_quarter_grant;

        let class = request.incoming.class;
        let threads = self.deployment.classes[class].threads;
        let has_estimate = request.incoming.estimated_work.is_some();
        // If the work is neither measured nor estimated, the elapsed thread time takes its place. It is an upper bound
        // of the work, and so is safe for the slow-start budget, which it enters by the mean work of the class.
        let unmeasured = if has_estimate { request.work } else { end.elapsed * threads };
        let work = end.measured.map_or(unmeasured, |measured| measured.work);
        let memory = end.measured.map_or(request.memory, |measured| measured.memory_mb);

        let is_stalled = now > self.next_tick + TICK;
        let model = &mut self.classes[class];
        let pace = if is_stalled { model.pace() } else { end.elapsed * threads / work.max(MIN_WORK) };
        // If work is never measured, a gateway among few compares the pace with the lowest recent one. It soon observes
        // that one, because its own threads are a large part of an engine's load. A gateway among many, which knows
        // little, takes the pace as it is: assuming load that does not exist is safer for it than missing load.
        let cores = self.engines.states.get(end.engine).map_or(0.0, |engine| engine.cores);
        let uses_relative_pace =
            model.work_fit.is_unmeasured() && has_estimate && self.deployment.gateways <= cores;
        let is_evidence = end.outcome == AttemptOutcome::Completed && !is_quarter_grant && !is_stalled;
        let peer_load_pace = match (uses_relative_pace, is_evidence) {
            (true, true) => model.pace_over_baseline(pace, work),
            (true, false) => None,
            (false, _) => Some(pace),
        };
        Some(AttemptSample {
            class,
            number,
            sent_at,
            is_quarter_grant,
            work,
            memory,
            threads,
            pace,
            peer_load_pace,
            uses_relative_pace,
            is_stalled,
        })
    }

    /// Updates the engine's estimates: its load, its success rate, and whether its memory is short.
    fn update_engine_estimates(&mut self, now: f64, end: &AttemptEnd, sample: &AttemptSample) {
        let class_pace = self.classes[sample.class].pace();
        let usual_work = self.classes[sample.class].work.mean_or(sample.work);
        let Some(engine) = self.engines.states.get_mut(end.engine) else { return };

        let reported = end.load.requests;
        let reported = reported.map(|requests| self.load.peer_threads_reported(requests, engine.attempts));
        let ran = matches!(
            end.outcome,
            AttemptOutcome::Completed | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
        );
        let shows_peer_load =
            ran && !sample.is_quarter_grant && !sample.is_stalled && self.deployment.gateways > 1.0;
        // The threads per core on the engine are assumed to be proportional to the pace: at pace 1 they are the
        // usual ones. Without this gateway's own threads, those of its peers remain.
        let estimated = sample
            .peer_load_pace
            .filter(|_| shows_peer_load)
            .map(|pace| USUAL_THREADS * pace.min(MAX_PEER_LOAD_PACE) * engine.cores - engine.threads);
        engine.concurrency.reports_load |= reported.is_some();
        self.load.record_pace(sample.pace);
        if let Some(threads) = reported.or(estimated) {
            // A single estimate that no measurement corrects may be wrong by a factor of ten; a sum of many
            // is not. Such answers are weighted by their work, so that the mean is a ratio of sums.
            let uses_relative_pace = sample.uses_relative_pace;
            let weight =
                if uses_relative_pace { (sample.work / usual_work).min(MAX_ESTIMATE_WEIGHT) } else { 1.0 };
            self.load.record_peer_threads(engine, threads, weight);
        }
        if end.load.memory_waits.is_some_and(|waits| waits >= 1.0) {
            engine.ledger.shrink(now);
        }

        let evidence = attempt_evidence(end, sample, class_pace, engine.last_answer_at);
        engine.reliability.add(sample.class, evidence);
        let is_success = evidence.success > 0.0;
        if is_success {
            engine.record_success(sample.peer_load_pace, sample.pace, sample.work, now);
        }
        let best = engine.best_pace.filter(|_| is_success);
        let is_slowed = best.is_some_and(|best| engine.pace.mean_or(1.0) > PRESSURE_PACES * best);
        let is_granted = end.load.granted_memory_share.is_some_and(|share| share >= PRESSURE_GRANTED);
        if is_slowed || is_granted || end.outcome == AttemptOutcome::EngineFull {
            engine.ledger.mark_pressure(now);
        }
    }

    /// Updates the class model and the grant threshold's statistics with a completed attempt.
    fn update_class_model(&mut self, end: &AttemptEnd, sample: &AttemptSample) {
        let AttemptSample { work, memory, pace, .. } = *sample;
        let request = &self.requests.open[&end.request];
        let model = &mut self.classes[sample.class];
        model.record_pace(pace, work, sample.is_quarter_grant);
        self.threshold.record_completed_attempt(pace, work / sample.threads, request.memory_wait);
        let incoming = &request.incoming;
        if incoming.estimated_work.is_none() {
            model.record_work(work, 1.0);
        }
        if end.measured.is_some() {
            let estimated_work = incoming.estimated_work;
            let estimated_memory = incoming.estimated_memory_mb;
            model.record_measured_cost(estimated_work, estimated_memory, work, memory);
        }
    }

    /// Starts the quiet period of the request's key if the attempt may still be running on the engine.
    fn start_key_quiet_period(&mut self, now: f64, end: &AttemptEnd) {
        let may_run = matches!(
            end.outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled
        );
        if !may_run {
            return;
        }
        let key = self.requests.open[&end.request].incoming.key;
        if let Some(queue) = key.and_then(|key| self.requests.keys.get_mut(&key)) {
            queue.quiet_until = queue.quiet_until.max(now + self.deployment.key_quiet_period);
        }
    }

    /// Releases what the attempt occupied on its engine: threads, table lock and memory grant.
    fn release(&mut self, id: usize, number: usize) {
        let request = &self.requests.open[&id];
        let attempt = &request.attempts[number];
        let class = &self.deployment.classes[request.incoming.class];
        let Some(engine) = self.engines.states.get_mut(attempt.engine) else { return };
        self.load.threads -= class.threads;
        self.engines.changed.push(attempt.engine);
        engine.threads -= class.threads;
        engine.attempts -= 1;
        if class.locks_tables {
            let group = request.incoming.table_group;
            let locked = engine.locked_table_groups.iter().position(|&locked| locked == group);
            if let Some(index) = locked {
                engine.locked_table_groups.swap_remove(index);
            }
        }
        engine.ledger.close(attempt.grant);
    }

    /// Puts a request into its tenant's queue.
    pub(super) fn enqueue(&mut self, now: f64, id: usize) {
        let request: &RequestState = &self.requests.open[&id];
        let queued = cleatgw_tenant_queue::QueuedRequest {
            request: id,
            tenant: request.incoming.tenant,
            class: request.incoming.class,
            density: request.value_density,
            work: request.work,
            received_at: request.received_at,
            never_ran: request.never_ran(),
        };
        self.queue.enqueue(queued, now);
    }
}

/// The evidence that an ended attempt gives on its engine.
fn attempt_evidence(
    end: &AttemptEnd,
    sample: &AttemptSample,
    class_pace: f64,
    last_answer_at: f64,
) -> AttemptEvidence {
    let is_slow = sample.pace > SLOW_ANSWER_PACES * class_pace && end.elapsed > SLOW_ANSWER_SECONDS;
    match end.outcome {
        AttemptOutcome::Completed if is_slow => AttemptEvidence::new(1.0, SLOW_ANSWER_FAILURE),
        AttemptOutcome::Completed => AttemptEvidence::new(1.0, 0.0),
        AttemptOutcome::Unreachable => AttemptEvidence::new(0.0, UNREACHABLE_FAILURE),
        AttemptOutcome::EngineError | AttemptOutcome::ConnectionLost => AttemptEvidence::new(0.0, 1.0),
        AttemptOutcome::TimedOut if last_answer_at < sample.sent_at => AttemptEvidence::new(0.0, 1.0),
        // The engine has answered other attempts since. Either the answers of one class are lost, or the request waits
        // behind a table lock. For a full engine, too, only the class is charged.
        AttemptOutcome::TimedOut | AttemptOutcome::EngineFull => AttemptEvidence::class_failure(),
        AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => AttemptEvidence::new(0.0, 0.0),
    }
}
