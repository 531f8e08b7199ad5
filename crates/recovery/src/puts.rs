//! When the host puts what it keeps, and how many further attempts may be made ahead of that.

/// Further attempts that may be made ahead of what is kept of them, in one window.
pub const AHEAD: u32 = 3;
/// A put is made so often though nothing changed, so that the age of the last one tells when a process ended, in seconds.
const PUT_INTERVAL: f64 = 0.25;
/// A put is made so soon after something changed, in seconds.
const PUT_AFTER_CHANGE: f64 = 0.02;
/// A store that has not answered for so long is reported, in seconds.
const SLOW_PUT: f64 = 1.0;
/// A time that was converted from one clock to another may be off by so much, in seconds.
const CONVERSION_TOLERANCE: f64 = 0.001;

/// When the host puts what it keeps, and how many further attempts may be made ahead of that.
#[derive(Clone, Debug, Default)]
pub struct Puts {
    /// When the put under way began.
    under_way: Option<f64>,
    /// When the last put that is on the disk began.
    done: Option<f64>,
    began: f64,
    last_asked: f64,
    changed: bool,
    /// The put under way is slow, which [`Puts::turn`] has told.
    pub slow: bool,
}

impl Puts {
    /// Nothing is put yet.
    pub fn new(now: f64) -> Puts {
        Puts { began: now, last_asked: f64::NEG_INFINITY, ..Puts::default() }
    }

    /// Something that is kept has changed.
    pub fn changed(&mut self) {
        self.changed = true;
    }

    /// Whether to put now; the host then does.
    pub fn wants(&mut self, now: f64) -> bool {
        let wants = self.under_way.is_none() && now >= self.due();
        if wants {
            self.under_way = Some(now);
            self.last_asked = now;
            self.changed = false;
        }
        wants
    }

    /// The put that was asked for is on the disk, or failed.
    pub fn answered(&mut self, succeeded: bool) {
        let began = self.under_way.take();
        self.done = began.filter(|_| succeeded).or(self.done);
    }

    /// How many further attempts may be made now, where `repeats` are the times of those that were made. Those that are not
    /// kept yet count for as long as a window looks back. None before a put of this incarnation is on the disk, as the next incarnation
    /// would not know of two incarnations ahead of it; but no longer than a window, in which what former incarnations made is over.
    pub fn ahead(&self, repeats: impl Iterator<Item = f64>, window: f64, now: f64) -> u32 {
        if self.done.is_none() && now < self.began + window {
            return 0;
        }
        let done = self.done.unwrap_or(self.began);
        // An attempt of the put's own moment is not in it.
        let unkept = repeats.filter(|at| *at >= done - CONVERSION_TOLERANCE && *at >= now - window).count();
        AHEAD.saturating_sub(unkept as u32)
    }

    /// Tells once that the store came to be slow, and once that it ceased to be.
    pub fn turn(&mut self, now: f64) -> Option<bool> {
        let slow = self.under_way.is_some_and(|since| now - since > SLOW_PUT);
        let changed = std::mem::replace(&mut self.slow, slow) != slow;
        changed.then_some(slow)
    }

    /// When a put is due, in seconds; infinite while one is under way.
    pub fn due(&self) -> f64 {
        match self.under_way {
            Some(_) => f64::INFINITY,
            None if self.changed => self.last_asked + PUT_AFTER_CHANGE,
            None => self.last_asked + PUT_INTERVAL,
        }
    }
}
