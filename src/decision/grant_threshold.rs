//! The grant threshold θ: a request whose return on consumption exceeds it gets its best grant. θ is adjusted by hill
//! climbing on the waits for memory and the run times.

use crate::statistics::{weighted_median, WeightedMean};
use std::collections::VecDeque;

/// The relative size of the first step of θ.
const INITIAL_STEP: f64 = 0.25;
/// The interval between two reviews of θ, in seconds.
const REVIEW_PERIOD: f64 = 2.0;
/// A review needs this many completed seconds of work per thread.
const MIN_COMPLETED_WORK: f64 = 3.0;
/// Waits for memory below this fraction of the work count as no wait.
const NEGLIGIBLE_WAIT: f64 = 0.05;
/// The number of recent best grants from which the median is computed.
const REMEMBERED_GRANTS: usize = 101;
/// Waits that grow by more than this factor start a climb.
const WAIT_GROWTH_FACTOR: f64 = 1.1;
/// The total of waits and run times is worse, or better, if it changed by more than these factors.
const WORSE_TOTAL_FACTOR: f64 = 1.02;
const BETTER_TOTAL_FACTOR: f64 = 0.98;
/// The climb stops after this many reversals without an improvement.
const MAX_REVERSALS: u32 = 2;

/// A recent best grant.
struct BestGrant {
    return_on_consumption: f64,
    /// Megabytes.
    memory: f64,
}

/// θ and the state of its hill climb.
#[derive(Default)]
pub(super) struct GrantThreshold {
    /// The threshold θ.
    pub theta: f64,
    /// Seconds of waiting for memory per second of work per thread, at the last review.
    pub last_wait: f64,
    /// Seconds of waiting for memory and of running per second of work per thread, at the last review.
    pub last_total: f64,
    step: f64,
    upwards: bool,
    climbing: bool,
    reversals: u32,
    /// Waits for memory since the last review, in seconds.
    memory_waits: WeightedMean,
    /// The pace of completed attempts since the last review, weighted by work per thread.
    run_pace: WeightedMean,
    recent_grants: VecDeque<BestGrant>,
    review_at: f64,
}

impl GrantThreshold {
    /// Records the return on consumption of a best grant, and its memory.
    pub fn record_best_grant(&mut self, return_on_consumption: f64, memory: f64) {
        if return_on_consumption.is_finite() && return_on_consumption > 0.0 {
            self.recent_grants.push_front(BestGrant { return_on_consumption, memory });
            self.recent_grants.truncate(REMEMBERED_GRANTS);
        }
    }

    /// Records that an engine reported that an attempt waits for memory. Each report counts as one second of waiting.
    pub fn record_memory_wait(&mut self) {
        self.memory_waits.add(1.0, 1.0, 1.0);
    }

    /// Records a completed attempt: its pace, its work per thread in seconds, and how long the request waited for
    /// memory, in seconds.
    pub fn record_completed_attempt(&mut self, pace: f64, work_per_thread: f64, memory_wait: f64) {
        self.run_pace.add(pace, work_per_thread, 1.0);
        self.memory_waits.add(memory_wait, 1.0, 1.0);
    }

    /// The median return on consumption of the recent best grants, weighted by memory. By count, many small requests
    /// would exceed the threshold at the expense of every large one.
    fn median(&self) -> f64 {
        weighted_median(self.recent_grants.iter().map(|grant| (grant.return_on_consumption, grant.memory)))
    }

    /// Adjusts θ once per review period. Returns whether θ changed.
    pub fn review(&mut self, now: f64) -> bool {
        if now < self.review_at || self.run_pace.weight < MIN_COMPLETED_WORK {
            return false;
        }
        self.review_at = now + REVIEW_PERIOD;
        // Both figures are per second of work per thread, so that a few heavy requests do not look like a change.
        let wait = self.memory_waits.sum / self.run_pace.weight;
        let total = wait + self.run_pace.mean_or(0.0);
        let previous_theta = self.theta;
        if wait < NEGLIGIBLE_WAIT {
            self.descend();
        } else if !self.climbing {
            self.begin_climb(wait);
        } else {
            self.climb(total);
        }
        self.last_wait = wait;
        self.last_total = total;
        self.memory_waits = WeightedMean::default();
        self.run_pace = WeightedMean::default();
        self.theta != previous_theta
    }

    /// Lowers θ until every request gets its best grant: while no request waits for memory, a smaller grant would cause
    /// spilling without any benefit.
    fn descend(&mut self) {
        self.climbing = false;
        self.theta = if self.theta < self.median() / 4.0 { 0.0 } else { self.theta * (1.0 - INITIAL_STEP) };
    }

    /// Starts a climb when waits for memory grow: θ rises from zero to the median, or by one step.
    fn begin_climb(&mut self, wait: f64) {
        if wait > self.last_wait * WAIT_GROWTH_FACTOR {
            self.theta = if self.theta == 0.0 { self.median() } else { self.theta * (1.0 + INITIAL_STEP) };
            self.climbing = true;
            self.upwards = true;
            self.step = INITIAL_STEP;
            self.reversals = 0;
        }
    }

    /// Makes one step of the climb. If the total became worse, the direction is reversed and the step halved.
    fn climb(&mut self, total: f64) {
        if total > self.last_total * WORSE_TOTAL_FACTOR {
            self.upwards = !self.upwards;
            self.step /= 2.0;
            self.reversals += 1;
        } else if total < self.last_total * BETTER_TOTAL_FACTOR {
            self.reversals = 0;
        }
        self.climbing = self.reversals < MAX_REVERSALS;
        if self.climbing {
            self.theta *= if self.upwards { 1.0 + self.step } else { 1.0 - self.step };
        }
    }
}
