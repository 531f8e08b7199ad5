//! The two clocks of the router.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The Unix time in seconds.
pub fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}

/// The Unix clock, on which requests have their deadlines; where that is set back, time goes on from where it was.
#[derive(Default)]
pub struct WallClock {
    last: f64,
    set_back_by: f64,
}

impl WallClock {
    pub fn read(&mut self) -> f64 {
        self.at(unix_time())
    }

    /// What it reads while the Unix clock reads this.
    pub fn at(&mut self, unix: f64) -> f64 {
        if unix + self.set_back_by < self.last {
            self.set_back_by = self.last - unix;
        }
        self.last = unix + self.set_back_by;
        self.last
    }
}

/// Seconds since the start. Sessions with peers, leases and what is announced must not depend on how the Unix clock is set,
/// either way.
pub struct MonotonicClock(Instant);

impl MonotonicClock {
    pub fn start() -> MonotonicClock {
        MonotonicClock(Instant::now())
    }

    pub fn read(&self) -> f64 {
        self.0.elapsed().as_secs_f64()
    }

    /// A due time on this clock, on the Unix one that reads `unix` when this one reads `now`.
    pub fn to_unix(due: f64, now: f64, unix: f64) -> f64 {
        unix + (due - now).max(0.0)
    }
}
