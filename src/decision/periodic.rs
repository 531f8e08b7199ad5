//! The periodic work: decays and reviews the estimates, and logs each change of an engine's or the gateway's mode.

use super::engine_state::EngineState;
use super::gateway::Gateway;
use super::grant_threshold::GrantThreshold;
use super::slow_start;
use crate::statistics::half_open_fraction;

/// The minimum time that retries are kept, in seconds.
const MIN_RETRY_MEMORY: f64 = 1.0;

impl Gateway {
    /// Runs the periodic work of one tick.
    pub(super) fn tick(&mut self, now: f64) {
        if self.threshold.review(now) {
            let GrantThreshold { theta, last_wait: wait, last_total: total, .. } = self.threshold;
            self.log.push(format!(
                "grant threshold moved: θ {theta:.6}, {wait:.3} s memory wait, {total:.3} s wait and run time per second of work"
            ));
        }
        self.tick_load();
        for index in 0..self.engines.states.len() {
            self.tick_engine(index, now);
        }
        self.engines.changed = (0..self.engines.states.len()).collect();
        self.requests.remove_idle_keys(now);
        let retry_memory = self.retry_budget().window.max(MIN_RETRY_MEMORY);
        self.retries.remove_before(now - retry_memory);
        if self.shedding.end_if_quiet(now) {
            self.log.push(format!("load shedding stopped: {} queued", self.queue.len()));
        }
    }

    fn tick_load(&mut self) {
        let threads: f64 = self.engines.ready().map(|engine| engine.threads).sum();
        let cores: f64 = self.engines.ready().map(|engine| engine.cores).sum();
        let usable_cores = |engine: &EngineState| if engine.reliability.ejected { 0.0 } else { engine.cores };
        self.load.usable_cores = self.engines.ready().map(usable_cores).sum();
        self.load.tick(self.deployment.gateways, threads / cores.max(1.0));
    }

    fn tick_engine(&mut self, index: usize, now: f64) {
        let uniform = half_open_fraction(self.random.next());
        let engine = &mut self.engines.states[index];
        engine.ledger.tick(now);
        self.load.record_own_threads(engine.threads, f64::from(engine.attempts));
        engine.reliability.decay();
        engine.reliability.sample_success_rate(uniform);
        let used = engine.threads / engine.cores.max(1.0) + self.load.peer_threads_on(engine);
        engine.decay_pace();
        let pace = engine.pace.mean_with_prior(self.load.bounded_median_pace(), 1.0);
        engine.concurrency.tick(pace, used);
        if engine.reliability.review() {
            let mode = if engine.reliability.ejected { "ejected" } else { "readmitted" };
            let successes = engine.reliability.own.sum;
            let attempts = engine.reliability.own.weight;
            self.log.push(format!("engine {index} {mode}: {successes:.1} of {attempts:.1} attempts good"));
        }
        let started_at = engine.listing.started_at;
        let in_slow_start = slow_start::progress(&self.deployment.slow_start, started_at, now) < 1.0;
        if std::mem::replace(&mut engine.in_slow_start, in_slow_start) != in_slow_start {
            let mode = if in_slow_start { "in slow start" } else { "warmed up" };
            self.log.push(format!("engine {index} {mode}: started at {:.1} s", started_at.unwrap_or(0.0)));
        }
    }
}
