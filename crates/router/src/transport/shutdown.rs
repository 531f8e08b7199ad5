//! The schedule of a planned stop, from the signal to the exit.

/// How long after the signal new requests may still arrive, in seconds.
const REQUEST_ARRIVAL_WINDOW: f64 = 0.75;
/// A stopping router is killed once the longest request time plus this has passed since the signal, in seconds.
const KILL_DELAY: f64 = 0.7;
/// The longest request time that the schedule allows for, in seconds, even if the configuration states more or nothing.
const MAX_LONGEST_REQUEST: f64 = 3.0;
/// The last answers are sent this long before the router is killed, in seconds.
const MARGIN: f64 = 0.3;

/// The times of a planned stop.
#[derive(Clone, Copy, Debug)]
pub struct Shutdown {
    /// New requests may arrive until this time.
    requests_come_until: f64,
    /// Every request has its answer by this time.
    answered_by: f64,
}

impl Shutdown {
    /// A stop that begins at `now`. `longest_request` is the longest time that a client waits for the answer to a
    /// request, in seconds; none if the configuration does not state it.
    pub fn begin(now: f64, longest_request: Option<f64>) -> Shutdown {
        let longest = longest_request.map_or(MAX_LONGEST_REQUEST, |longest| longest.min(MAX_LONGEST_REQUEST));
        Shutdown {
            requests_come_until: now + REQUEST_ARRIVAL_WINDOW,
            answered_by: now + longest + KILL_DELAY - MARGIN,
        }
    }

    /// The time by which every request has its answer.
    pub fn answered_by(&self) -> f64 {
        self.answered_by
    }

    /// The router exits halfway between the time of the last answers and the time at which it is killed.
    fn exits_at(&self) -> f64 {
        self.answered_by + MARGIN / 2.0
    }

    /// The next of the scheduled times; `now` once all of them have passed.
    pub fn next_time(&self, now: f64) -> f64 {
        let times = [self.requests_come_until, self.answered_by, self.exits_at()];
        times.into_iter().find(|time| now < *time).unwrap_or(now)
    }

    /// Whether new requests may still arrive.
    pub fn expects_requests(&self, now: f64) -> bool {
        now < self.requests_come_until
    }

    /// Whether the time by which every request has its answer has passed. From then on the stop no longer
    /// waits until BGP peers have dropped their routes to this router.
    pub fn is_answer_time_over(&self, now: f64) -> bool {
        now >= self.answered_by
    }

    /// Whether the router exits now, even if requests or sessions are left.
    pub fn must_exit(&self, now: f64) -> bool {
        now >= self.exits_at()
    }
}
