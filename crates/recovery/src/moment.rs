//! A moment on two clocks, so that an age can be told over a restart.

use serde::{Deserialize, Serialize};

/// Clocks of one machine that are read one after the other differ by no more than this, in seconds.
const READING_TOLERANCE: f64 = 0.05;

/// Two readings of one moment, and the boot of the machine that the first of them counts from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Moment {
    /// A hash of the boot; 0 where it can't be told.
    pub boot: u64,
    /// Seconds since that boot.
    pub steady: f64,
    /// Unix time in seconds.
    pub unix: f64,
}

impl Moment {
    /// Seconds from this moment to a later one; `None` where they can't be told, as the later one reads earlier.
    pub fn until(&self, later: &Moment) -> Option<f64> {
        let passed = if self.boot == later.boot && self.boot != 0 {
            later.steady - self.steady
        } else {
            later.unix - self.unix
        };
        (passed >= -READING_TOLERANCE && passed.is_finite()).then_some(passed.max(0.0))
    }
}
