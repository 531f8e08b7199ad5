//! The rate at which queued work is dispatched.

/// Half-life in seconds of the observations that make up the rate.
const HALF_LIFE: f64 = 2.0;
/// After this many seconds without a dispatch the rate is unknown.
const MAX_SILENCE: f64 = 2.0;
/// The rate is known once more than this many seconds have been observed in which requests waited.
const MIN_OBSERVED_TIME: f64 = 0.05;

#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceRate {
    /// Dispatched work in seconds; earlier work counts half every [`HALF_LIFE`] seconds.
    work: f64,
    /// Observed time in which requests waited, in seconds; decays like `work`.
    time: f64,
    /// Time up to which `time` is counted; `None` before the first dispatch.
    counted_to: Option<f64>,
}

impl ServiceRate {
    /// Records dispatched work. The time since the last dispatch is added, or since the queue was last empty if that is
    /// later.
    pub fn served(&mut self, work: f64, now: f64) {
        // A longer gap counts as no more than the time after which the rate is unknown.
        let passed = self.counted_to.map_or(0.0, |last| (now - last).clamp(0.0, MAX_SILENCE));
        let keep = (-passed / HALF_LIFE).exp2();
        self.work = self.work * keep + work;
        self.time = self.time * keep + passed;
        self.counted_to = Some(now);
    }

    /// Excludes the time until now, in which the queue was empty.
    pub fn skip_idle_time(&mut self, now: f64) {
        self.counted_to = self.counted_to.map(|_| now);
    }

    /// Work per second; `None` if too little was observed or nothing was dispatched for too long.
    pub fn per_second(&self, now: f64) -> Option<f64> {
        let silent = now - self.counted_to?;
        let is_known = silent < MAX_SILENCE && self.time > MIN_OBSERVED_TIME && self.work > 0.0;
        is_known.then(|| self.work / (self.time + silent))
    }
}
