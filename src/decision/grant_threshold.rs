//! θ, the return on consumption above which a request gets its best grant, and its hill climb.

use crate::statistics::{weighted_median, WeightedMean};
use std::collections::VecDeque;

/// The part by which θ moves at first.
const FIRST_STEP: f64 = 0.25;
/// Seconds between two reviews.
const REVIEW_PERIOD: f64 = 2.0;
/// Attempts that must have completed for a review.
const MIN_COMPLETED: f64 = 3.0;
/// Waits that are no more than this part of the work count as none.
const NO_WAIT: f64 = 0.05;
/// Best grants that are remembered for the median.
const REMEMBERED_GRANTS: usize = 101;
/// Waits that grow by more than this factor begin a climb.
const WAITS_GROW: f64 = 1.1;
/// The total is worse, or better, beyond these factors.
const TOTAL_WORSE: f64 = 1.02;
const TOTAL_BETTER: f64 = 0.98;
/// The climb rests after so many reversals.
const MAX_REVERSALS: u32 = 2;

/// The return on consumption of a best grant, and its memory.
struct BestGrant {
    return_on_consumption: f64,
    memory: f64,
}

/// θ and its climb.
#[derive(Default)]
pub(super) struct GrantThreshold {
    /// θ itself.
    pub theta: f64,
    /// Waits for memory, for each second of work a thread, at the last review.
    pub last_wait: f64,
    /// The same with the time of the runs.
    pub last_total: f64,
    step: f64,
    upwards: bool,
    climbing: bool,
    reversals: u32,
    waits: WeightedMean,
    runs: WeightedMean,
    recent: VecDeque<BestGrant>,
    review_at: f64,
}

impl GrantThreshold {
    /// Notes what a best grant would return.
    pub fn note_grant(&mut self, return_on_consumption: f64, memory: f64) {
        if return_on_consumption.is_finite() && return_on_consumption > 0.0 {
            self.recent.push_front(BestGrant { return_on_consumption, memory });
            self.recent.truncate(REMEMBERED_GRANTS);
        }
    }

    /// Notes that an engine says that an attempt waits for memory.
    pub fn note_memory_wait(&mut self) {
        self.waits.add(1.0, 1.0, 1.0);
    }

    /// Notes a completed attempt: its time for each second of work a thread, that work, and how long it had waited for memory.
    pub fn note_completed(&mut self, pace: f64, work_per_thread: f64, memory_wait: f64) {
        self.runs.add(pace, work_per_thread, 1.0);
        self.waits.add(memory_wait, 1.0, 1.0);
    }

    /// The return that parts the memory asked for in half: by count, many small requests would pass every large one.
    fn median(&self) -> f64 {
        weighted_median(self.recent.iter().map(|grant| (grant.return_on_consumption, grant.memory)))
    }

    /// Moves θ once a period; tells whether it moved.
    pub fn review(&mut self, now: f64) -> bool {
        if now < self.review_at || self.runs.weight < MIN_COMPLETED {
            return false;
        }
        self.review_at = now + REVIEW_PERIOD;
        // Both for each second of work a thread, so that a few heavy requests do not pass for a change.
        let wait = self.waits.sum / self.runs.weight;
        let total = wait + self.runs.mean_or(0.0);
        let before = self.theta;
        if wait < NO_WAIT {
            self.descend();
        } else if !self.climbing {
            self.begin_climb(wait);
        } else {
            self.climb(total);
        }
        self.last_wait = wait;
        self.last_total = total;
        self.waits = WeightedMean::default();
        self.runs = WeightedMean::default();
        self.theta != before
    }

    /// Memory that nobody waits for is not worth a spill: θ falls until every request gets its best grant.
    fn descend(&mut self) {
        self.climbing = false;
        self.theta = if self.theta < self.median() / 4.0 { 0.0 } else { self.theta * (1.0 - FIRST_STEP) };
    }

    /// The first rise of waits: θ leaves zero for the median, or goes up a step.
    fn begin_climb(&mut self, wait: f64) {
        if wait > self.last_wait * WAITS_GROW {
            self.theta = if self.theta == 0.0 { self.median() } else { self.theta * (1.0 + FIRST_STEP) };
            self.climbing = true;
            self.upwards = true;
            self.step = FIRST_STEP;
            self.reversals = 0;
        }
    }

    /// A step of the climb, in the other direction and by half where things became worse.
    fn climb(&mut self, total: f64) {
        if total > self.last_total * TOTAL_WORSE {
            self.upwards = !self.upwards;
            self.step /= 2.0;
            self.reversals += 1;
        } else if total < self.last_total * TOTAL_BETTER {
            self.reversals = 0;
        }
        self.climbing = self.reversals < MAX_REVERSALS;
        if self.climbing {
            self.theta *= if self.upwards { 1.0 + self.step } else { 1.0 - self.step };
        }
    }
}
