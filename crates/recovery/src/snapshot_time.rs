//! The time of a snapshot on two clocks, from which its age can be determined after a restart.

use serde::{Deserialize, Serialize};

/// Readings of a machine's clocks that are taken one after the other differ by at most this many seconds.
const READING_TOLERANCE: f64 = 0.05;

/// One point in time on two clocks, and the machine's boot from which the first of them counts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct SnapshotTime {
    /// A hash of the boot's identifier; 0 if that is unknown.
    pub boot: u64,
    /// Seconds since that boot.
    pub since_boot: f64,
    /// Unix time in seconds.
    pub unix: f64,
}

impl SnapshotTime {
    /// Seconds from this time to a later one. `None` if the `later` time reads earlier than this one by more than the
    /// tolerance, or if the difference is not finite.
    pub fn elapsed_until(&self, later: &SnapshotTime) -> Option<f64> {
        let passed = if self.boot == later.boot && self.boot != 0 {
            later.since_boot - self.since_boot
        } else {
            later.unix - self.unix
        };
        (passed >= -READING_TOLERANCE && passed.is_finite()).then_some(passed.max(0.0))
    }
}
