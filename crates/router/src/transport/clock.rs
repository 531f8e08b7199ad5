//! The two clocks of the router: a wall clock that never goes back, and a monotonic clock.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The Unix time in seconds.
pub fn unix_time() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |since| since.as_secs_f64())
}

/// The Unix clock, on which the deadlines of requests are measured. After the Unix clock was set back, this clock
/// continues from its last reading.
#[derive(Default)]
pub struct WallClock {
    last: f64,
    /// Seconds added to the Unix time so that no reading is earlier than the one before.
    set_back_by: f64,
}

impl WallClock {
    /// The current time in seconds.
    pub fn read(&mut self) -> f64 {
        self.read_at(unix_time())
    }

    /// The reading of this clock while the Unix clock reads `unix`.
    pub fn read_at(&mut self, unix: f64) -> f64 {
        if unix + self.set_back_by < self.last {
            self.set_back_by = self.last - unix;
        }
        self.last = unix + self.set_back_by;
        self.last
    }
}

/// Seconds since this clock was started. It is used for BGP sessions, leases and announcements, which must not depend
/// on the Unix clock being set forward or back.
pub struct MonotonicClock(Instant);

impl MonotonicClock {
    pub fn start() -> MonotonicClock {
        MonotonicClock(Instant::now())
    }

    pub fn read(&self) -> f64 {
        self.0.elapsed().as_secs_f64()
    }

    /// Converts the time `due` of a monotonic clock to Unix time, where the monotonic clock reads `now` and the Unix
    /// clock reads `unix`. A time in the past becomes `unix`.
    pub fn to_unix(due: f64, now: f64, unix: f64) -> f64 {
        unix + (due - now).max(0.0)
    }
}
