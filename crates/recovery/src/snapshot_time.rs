//! When a snapshot was taken, on two clocks, so that its age can be told over a restart.

use serde::{Deserialize, Serialize};

/// Clocks of one machine that are read one after the other differ by no more than this, in seconds.
const READING_TOLERANCE: f64 = 0.05;

/// One point in time as two clocks read it, and the boot of the machine that the first of them counts from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SnapshotTime {
    /// A hash of the boot; 0 where it can't be told.
    pub boot: u64,
    /// Seconds since that boot.
    pub since_boot: f64,
    /// Unix time in seconds.
    pub unix: f64,
}

impl SnapshotTime {
    /// Seconds from this time to a later one; `None` where they can't be told, as the later one reads earlier.
    pub fn elapsed_until(&self, later: &SnapshotTime) -> Option<f64> {
        let passed = if self.boot == later.boot && self.boot != 0 {
            later.since_boot - self.since_boot
        } else {
            later.unix - self.unix
        };
        (passed >= -READING_TOLERANCE && passed.is_finite()).then_some(passed.max(0.0))
    }
}
