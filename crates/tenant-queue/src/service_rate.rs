//! How fast work goes through.

/// Half of the rate's memory is gone after so many seconds.
const HALF_LIFE: f64 = 2.0;
/// With nothing gone through for so many seconds, nothing can be told.
const SILENCE: f64 = 2.0;
/// The rate is known once so many seconds of waiting were seen.
const MIN_TIME: f64 = 0.05;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceRate {
    work: f64,
    /// Time in which some waited.
    time: f64,
    last: Option<f64>,
}

impl ServiceRate {
    /// So much has gone; time counts from the last one, or from when the queue was last empty.
    pub fn served(&mut self, work: f64, now: f64) {
        // A gap counts for no more than silence does.
        let passed = self.last.map_or(0.0, |last| (now - last).clamp(0.0, SILENCE));
        let keep = (-passed / HALF_LIFE).exp2();
        self.work = self.work * keep + work;
        self.time = self.time * keep + passed;
        self.last = Some(now);
    }

    /// The time until now was idle and does not count.
    pub fn skip_idle_time(&mut self, now: f64) {
        self.last = self.last.map(|_| now);
    }

    /// Work a second, if it can be told: not after a silence.
    pub fn per_second(&self, now: f64) -> Option<f64> {
        let silent = now - self.last?;
        let is_known = silent < SILENCE && self.time > MIN_TIME && self.work > 0.0;
        is_known.then(|| self.work / (self.time + silent))
    }
}
