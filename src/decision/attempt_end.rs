//! What the end of an attempt teaches: of its engine, of its class, and of the load.

use super::concurrency_limit::USUAL_THREADS;
use super::outlier_detection::AttemptEvidence;
use super::{Gateway, TICK};
use crate::request_state::{DueEvent, RequestState};
use crate::{AttemptEnd, AttemptOutcome};

/// An answer is slow where it took so many times what its class takes elsewhere, and longer than this in seconds.
const SLOW_ANSWER_PACES: f64 = 4.0;
const SLOW_ANSWER_SECONDS: f64 = 0.5;
/// The weight of a slow answer as a failure, beside that as a success: a slow machine, a pause, a crowd.
const SLOW_ANSWER_FAILURE: f64 = 0.5;
/// The weight of an engine that can't be reached, as failures.
const UNREACHABLE_FAILURE: f64 = 3.0;
/// An engine is under pressure where its pace is so many times its best, or this part of its memory is granted.
const PRESSURE_PACES: f64 = 2.5;
const PRESSURE_GRANTED: f64 = 0.98;
/// The largest pace that is taken as evidence of a crowd.
const MAX_PEER_LOAD_PACE: f64 = 8.0;
/// The largest weight of one answer whose work was only estimated.
const MAX_ESTIMATE_WEIGHT: f64 = 3.0;
/// The least work that a pace is taken of.
const MIN_WORK: f64 = 1e-3;

/// What one ended attempt shows.
struct AttemptSample {
    class: usize,
    number: usize,
    sent_at: f64,
    at_quarter: bool,
    /// What the request needed, or is thought to have needed.
    work: f64,
    memory: f64,
    threads: f64,
    /// Time for each second of work a thread.
    pace: f64,
    /// The same as evidence of a crowd, where it is any.
    peer_load_pace: Option<f64>,
    /// No answer of the class measures work, and gateways are few.
    is_uncorrected: bool,
    /// This gateway had no turn for a while, and can't tell when the answer came.
    is_stalled: bool,
}

impl Gateway {
    /// An attempt has ended.
    pub fn attempt_ended(&mut self, now: f64, end: &AttemptEnd) {
        let Some(sample) = self.sample(now, end) else { return };
        self.learn_of_engine(now, end, &sample);
        if end.outcome == AttemptOutcome::Completed {
            self.learn_of_class(end, &sample);
        }
        self.rest_key(now, end);
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
        self.requests.forget_if_done(end.request);
    }

    /// Closes the attempt, and reads off what it shows; none where there is no such attempt in flight.
    fn sample(&mut self, now: f64, end: &AttemptEnd) -> Option<AttemptSample> {
        let request = self.requests.open.get_mut(&end.request)?;
        let is_meant =
            |attempt: &crate::request_state::Attempt| attempt.in_flight && attempt.engine == end.engine;
        let number = request.attempts.iter().position(is_meant)?;
        let attempt = &mut request.attempts[number];
        attempt.in_flight = false;
        attempt.never_ran = end.outcome.never_ran();
        let sent_at = attempt.sent_at;
        let at_quarter = attempt.at_quarter;

        let class = request.incoming.class;
        let threads = self.deployment.classes[class].threads;
        let has_estimate = request.incoming.estimated_work.is_some();
        // Where work is neither measured nor estimated, the time it took is safe for an engine in slow start.
        let unmeasured = if has_estimate { request.work } else { end.elapsed * threads };
        let work = end.measured.map_or(unmeasured, |measured| measured.work);
        let memory = end.measured.map_or(request.memory, |measured| measured.memory_mb);

        let is_stalled = now > self.next_tick + TICK;
        let model = &mut self.classes[class];
        let pace = if is_stalled { model.pace() } else { end.elapsed * threads / work.max(MIN_WORK) };
        // Among few gateways this one's threads are much of what stands there, and the least pace is soon met. Many that all
        // know little must rather believe a crowd that is not there than none.
        let cores = self.engines.states.get(end.engine).map_or(0.0, |engine| engine.cores);
        let is_uncorrected =
            model.work_fit.is_unmeasured() && has_estimate && self.deployment.gateways <= cores;
        let is_evidence = end.outcome == AttemptOutcome::Completed && !at_quarter && !is_stalled;
        let peer_load_pace = match (is_uncorrected, is_evidence) {
            (true, true) => model.pace_against_least(pace, work),
            (true, false) => None,
            (false, _) => Some(pace),
        };
        Some(AttemptSample {
            class,
            number,
            sent_at,
            at_quarter,
            work,
            memory,
            threads,
            pace,
            peer_load_pace,
            is_uncorrected,
            is_stalled,
        })
    }

    /// What the attempt shows of its engine: the load there, whether it answers well, and whether its memory is short.
    fn learn_of_engine(&mut self, now: f64, end: &AttemptEnd, sample: &AttemptSample) {
        let class_pace = self.classes[sample.class].pace();
        let usual_work = self.classes[sample.class].work.mean_or(sample.work);
        let Some(engine) = self.engines.states.get_mut(end.engine) else { return };

        let reported = end.load.requests;
        let reported = reported.map(|all| self.load.peer_threads_reported(all, engine.attempts));
        let ran = matches!(
            end.outcome,
            AttemptOutcome::Completed | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled
        );
        let shows_peer_load =
            ran && !sample.at_quarter && !sample.is_stalled && self.deployment.gateways > 1.0;
        let estimated = sample
            .peer_load_pace
            .filter(|_| shows_peer_load)
            .map(|pace| USUAL_THREADS * pace.min(MAX_PEER_LOAD_PACE) * engine.cores - engine.threads);
        engine.concurrency.reports_load |= reported.is_some();
        self.load.note_pace(sample.pace);
        if let Some(threads) = reported.or(estimated) {
            // One estimate that no answer corrects may be off by ten times; their sum is not.
            let is_uncorrected = sample.is_uncorrected;
            let weight =
                if is_uncorrected { (sample.work / usual_work).min(MAX_ESTIMATE_WEIGHT) } else { 1.0 };
            self.load.note_peer_threads(engine, threads, weight);
        }
        if end.load.memory_waits.is_some_and(|waits| waits >= 1.0) {
            engine.ledger.shrink(now);
        }

        let evidence = evidence(end, sample, class_pace, engine.last_answer_at);
        engine.failures.add(sample.class, evidence);
        let is_success = evidence.success > 0.0;
        if is_success {
            engine.note_success(sample.peer_load_pace, sample.pace, sample.work, now);
        }
        let best = engine.best_pace.filter(|_| is_success);
        let is_slowed = best.is_some_and(|best| engine.pace.mean_or(1.0) > PRESSURE_PACES * best);
        let is_granted = end.load.granted_memory_share.is_some_and(|share| share >= PRESSURE_GRANTED);
        if is_slowed || is_granted || end.outcome == AttemptOutcome::EngineFull {
            engine.ledger.press(now);
        }
    }

    /// What a completed attempt shows of its class, and of the waits for memory.
    fn learn_of_class(&mut self, end: &AttemptEnd, sample: &AttemptSample) {
        let AttemptSample { work, memory, pace, .. } = *sample;
        let request = &self.requests.open[&end.request];
        let model = &mut self.classes[sample.class];
        model.note_pace(pace, work, sample.at_quarter);
        self.threshold.note_completed(pace, work / sample.threads, request.memory_wait);
        let incoming = &request.incoming;
        if incoming.estimated_work.is_none() {
            model.note_work(work, 1.0);
        }
        if end.measured.is_some() {
            let estimated_work = incoming.estimated_work;
            let estimated_memory = incoming.estimated_memory_mb;
            model.note_measured(estimated_work, estimated_memory, work, memory);
        }
    }

    /// The request's key rests where the attempt may still run.
    fn rest_key(&mut self, now: f64, end: &AttemptEnd) {
        let may_run = matches!(
            end.outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled
        );
        if !may_run {
            return;
        }
        let key = self.requests.open[&end.request].incoming.key;
        if let Some(queue) = key.and_then(|key| self.requests.keys.get_mut(&key)) {
            queue.rests_until = queue.rests_until.max(now + self.deployment.key_quiet_period);
        }
    }

    /// An attempt no longer counts on its engine.
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
        let waiting = cleatgw_tenant_queue::QueuedRequest {
            request: id,
            tenant: request.incoming.tenant,
            class: request.incoming.class,
            density: request.value_density,
            work: request.work,
            since: request.received_at,
            never_ran: request.never_ran(),
        };
        self.queue.enqueue(waiting, now);
    }
}

/// What an ended attempt says of its engine.
fn evidence(
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
        // Others were answered since: one class's answers are lost, or it stands behind a lock.
        AttemptOutcome::TimedOut | AttemptOutcome::EngineFull => AttemptEvidence::of_class_alone(),
        AttemptOutcome::Cancelled | AttemptOutcome::NeverSent => AttemptEvidence::new(0.0, 0.0),
    }
}
