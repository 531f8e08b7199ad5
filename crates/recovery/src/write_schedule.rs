//! When the host writes a snapshot, and how many retries may be made ahead of that.

/// Retries that may be made ahead of what is persisted of them, in one window.
pub const MAX_UNPERSISTED_RETRIES: u32 = 3;
/// A write is made so often though nothing changed, so that the age of the last one tells when a process ended, in seconds.
const WRITE_INTERVAL: f64 = 0.25;
/// A write is made so soon after something changed, in seconds.
const WRITE_AFTER_CHANGE: f64 = 0.02;
/// A store that has not answered for so long is reported, in seconds.
const SLOW_WRITE: f64 = 1.0;
/// A time that was converted from one clock to another may be off by so much, in seconds.
const CONVERSION_TOLERANCE: f64 = 0.001;

/// When the host writes a snapshot, and how many retries may be made ahead of that.
#[derive(Clone, Debug, Default)]
pub struct WriteSchedule {
    /// When the write under way began.
    under_way: Option<f64>,
    /// When the last write that is on the disk began.
    done: Option<f64>,
    began: f64,
    last_asked: f64,
    changed: bool,
    /// The write under way is slow, as [`WriteSchedule::slow_changed`] has told.
    pub slow: bool,
}

impl WriteSchedule {
    /// Nothing is written yet.
    pub fn new(now: f64) -> WriteSchedule {
        WriteSchedule { began: now, last_asked: f64::NEG_INFINITY, ..WriteSchedule::default() }
    }

    /// Something that is persisted has changed.
    pub fn changed(&mut self) {
        self.changed = true;
    }

    /// Whether to write now; if so the write is under way from now on.
    pub fn begin_if_due(&mut self, now: f64) -> bool {
        let is_due = self.under_way.is_none() && now >= self.due();
        if is_due {
            self.under_way = Some(now);
            self.last_asked = now;
            self.changed = false;
        }
        is_due
    }

    /// The write that was asked for is on the disk, or failed.
    pub fn finished(&mut self, succeeded: bool) {
        let began = self.under_way.take();
        self.done = began.filter(|_| succeeded).or(self.done);
    }

    /// How many retries may be made now, where `retries` are the times of those that were made. Those that are not persisted yet
    /// count for as long as a window looks back.
    ///
    /// None may be made before a write of this incarnation is on the disk, as the next incarnation would not know of two
    /// incarnations before it; but no longer than a window, after which what former incarnations made does not count.
    pub fn retry_allowance(&self, retries: impl Iterator<Item = f64>, window: f64, now: f64) -> u32 {
        if self.done.is_none() && now < self.began + window {
            return 0;
        }
        let done = self.done.unwrap_or(self.began);
        // An attempt at the very time of the write is not in it.
        let unpersisted =
            retries.filter(|at| *at >= done - CONVERSION_TOLERANCE && *at >= now - window).count();
        MAX_UNPERSISTED_RETRIES.saturating_sub(unpersisted as u32)
    }

    /// Tells once that the store has become slow, and once that it no longer is.
    pub fn slow_changed(&mut self, now: f64) -> Option<bool> {
        let slow = self.under_way.is_some_and(|since| now - since > SLOW_WRITE);
        let changed = std::mem::replace(&mut self.slow, slow) != slow;
        changed.then_some(slow)
    }

    /// When a write is due, in seconds; infinite while one is under way.
    pub fn due(&self) -> f64 {
        match self.under_way {
            Some(_) => f64::INFINITY,
            None if self.changed => self.last_asked + WRITE_AFTER_CHANGE,
            None => self.last_asked + WRITE_INTERVAL,
        }
    }
}
