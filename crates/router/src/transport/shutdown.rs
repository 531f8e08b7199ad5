//! A planned stop, from the signal to the exit.

/// After a planned stop, requests come for this long, in seconds.
const REQUESTS_COME_FOR: f64 = 0.75;
/// The router is killed so long after its longest request, in seconds.
const KILLED_AFTER: f64 = 0.7;
/// The longest request counts for no more than this, in seconds.
const MAX_LONGEST_REQUEST: f64 = 3.0;
/// The last answers are out so much sooner, in seconds.
const MARGIN: f64 = 0.3;

/// The times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// Requests may come until then.
    requests_come_until: f64,
    /// Every request has its answer by then.
    answered_by: f64,
}

impl Shutdown {
    /// A stop that begins now, where a client waits for `longest_request` at most, if that is stated.
    pub fn begin(now: f64, longest_request: Option<f64>) -> Shutdown {
        let longest = longest_request.map_or(MAX_LONGEST_REQUEST, |longest| longest.min(MAX_LONGEST_REQUEST));
        Shutdown {
            requests_come_until: now + REQUESTS_COME_FOR,
            answered_by: now + longest + KILLED_AFTER - MARGIN,
        }
    }

    /// When every request has its answer.
    pub fn answered_by(&self) -> f64 {
        self.answered_by
    }

    fn exits_at(&self) -> f64 {
        self.answered_by + MARGIN / 2.0
    }

    /// The next of its times; `now` once all have passed.
    pub fn next_time(&self, now: f64) -> f64 {
        let times = [self.requests_come_until, self.answered_by, self.exits_at()];
        times.into_iter().find(|time| now < *time).unwrap_or(now)
    }

    /// Requests may still come.
    pub fn expects_requests(&self, now: f64) -> bool {
        now < self.requests_come_until
    }

    /// Nothing is waited for any more but answers.
    pub fn is_late(&self, now: f64) -> bool {
        now >= self.answered_by
    }

    /// The time is over, whatever is left.
    pub fn is_over(&self, now: f64) -> bool {
        now >= self.exits_at()
    }
}
