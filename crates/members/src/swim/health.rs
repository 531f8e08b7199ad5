//! Local health (Dadgar, Phillips and Currey, 2018): evidence that this router itself is slow or deaf.

/// Evidence that it is we who are slow or deaf: from 0, well, to 4.
#[derive(Debug, Default)]
pub struct Health {
    pub score: u32,
    pub(super) on: bool,
    /// When anything was last heard, from anybody.
    pub(super) heard_at: f64,
    /// Whose answer the probe under way waits for, and whose did not come before.
    pub(super) awaited: Option<u16>,
    pub(super) missed: Option<u16>,
}

impl Health {
    const WORST: u32 = 4;
    /// A timer that is served so much later than it was due tells of a loop that had no turn. Seconds.
    pub(super) const LATE: f64 = 0.1;
    /// Hellos alone come several times as often. Seconds.
    pub(super) const DEAF: f64 = 1.0;

    pub(super) fn worse(&mut self) {
        self.score = (self.score + 1).min(Self::WORST);
    }

    pub(super) fn stretch(&self) -> f64 {
        1.0 + if self.on { f64::from(self.score) } else { 0.0 }
    }
}
