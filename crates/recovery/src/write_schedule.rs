//! When the host writes a snapshot, and how many retries may be made before they are persisted.

/// Maximum number of retries in one window that are not persisted yet.
pub const MAX_UNPERSISTED_RETRIES: u32 = 3;
/// Seconds between writes if nothing has changed. The time of the last write thus tells when the process ended.
const WRITE_INTERVAL: f64 = 0.25;
/// Minimum number of seconds between the starts of two writes if something has changed.
const WRITE_AFTER_CHANGE: f64 = 0.02;
/// Seconds after which a write that has not finished is reported as slow.
const SLOW_WRITE: f64 = 1.0;
/// Seconds by which a time may be off after conversion from one clock to another.
const CONVERSION_TOLERANCE: f64 = 0.001;

/// Decides when the host writes a snapshot, and how many retries may be made before they are persisted.
#[derive(Clone, Debug, Default)]
pub struct WriteSchedule {
    /// Start of the write in progress; `None` if there is none.
    in_progress: Option<f64>,
    /// Start of the last write that is on the disk; `None` if this incarnation has not completed one.
    last_persisted: Option<f64>,
    created: f64,
    /// Start of the last write, whether it succeeded or not.
    last_started: f64,
    /// Whether persisted state has changed since the last write started.
    changed: bool,
    /// Whether the write in progress is slow, as last reported by [`WriteSchedule::slow_changed`].
    pub slow: bool,
}

impl WriteSchedule {
    /// A schedule without any write so far; the first one is due at once.
    pub fn new(now: f64) -> WriteSchedule {
        WriteSchedule { created: now, last_started: f64::NEG_INFINITY, ..WriteSchedule::default() }
    }

    /// Records that persisted state has changed.
    pub fn changed(&mut self) {
        self.changed = true;
    }

    /// Whether a write is due now; if so, it counts as in progress from now on.
    pub fn begin_if_due(&mut self, now: f64) -> bool {
        let is_due = self.in_progress.is_none() && now >= self.due();
        if is_due {
            self.in_progress = Some(now);
            self.last_started = now;
            self.changed = false;
        }
        is_due
    }

    /// Records that the write in progress has finished: it is on the disk, or it has failed.
    pub fn finished(&mut self, succeeded: bool) {
        let started = self.in_progress.take();
        self.last_persisted = started.filter(|_| succeeded).or(self.last_persisted);
    }

    /// How many further retries may be made now. `retries` are the times of the retries made so far; those within the
    /// `window` that are not persisted yet reduce the allowance.
    ///
    /// No retry may be made before a write of this incarnation is on the disk. Otherwise the next incarnation could
    /// find a snapshot of the incarnation before this one, which allows for the unpersisted retries of only one
    /// incarnation, while both had made some. This holds for one window at most; after that the retries of former
    /// incarnations no longer count.
    pub fn retry_allowance(&self, retries: impl Iterator<Item = f64>, window: f64, now: f64) -> u32 {
        if self.last_persisted.is_none() && now < self.created + window {
            return 0;
        }
        let persisted_to = self.last_persisted.unwrap_or(self.created);
        // A retry made exactly when the write started is not part of that write.
        let unpersisted =
            retries.filter(|at| *at >= persisted_to - CONVERSION_TOLERANCE && *at >= now - window).count();
        MAX_UNPERSISTED_RETRIES.saturating_sub(unpersisted as u32)
    }

    /// Returns `Some(true)` once when the write in progress has become slow, and `Some(false)` once when it no longer
    /// is.
    pub fn slow_changed(&mut self, now: f64) -> Option<bool> {
        let slow = self.in_progress.is_some_and(|since| now - since > SLOW_WRITE);
        let changed = std::mem::replace(&mut self.slow, slow) != slow;
        changed.then_some(slow)
    }

    /// Time at which the next write is due; infinite while one is in progress.
    pub fn due(&self) -> f64 {
        match self.in_progress {
            Some(_) => f64::INFINITY,
            None if self.changed => self.last_started + WRITE_AFTER_CHANGE,
            None => self.last_started + WRITE_INTERVAL,
        }
    }
}
