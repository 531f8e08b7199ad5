//! Local health (Dadgar, Phillips and Currey, 2018): evidence that this router itself is slow or deaf.

/// Evidence that this router itself is slow or deaf: a score from 0, well, to [`LocalHealth::WORST`].
#[derive(Debug, Default)]
pub(super) struct LocalHealth {
    pub(super) score: u32,
    /// Whether the score stretches timers.
    enabled: bool,
    /// When anything was last heard, from any router.
    pub(super) heard_at: f64,
    /// The router whose answer the probe under way waits for.
    pub(super) awaited: Option<u16>,
    /// The router whose answer the former probe missed, though it is alive.
    missed: Option<u16>,
}

/// How a probe has ended.
pub(super) struct ProbeEnd {
    /// When the timer that ended it was due, and when it was served, in seconds.
    pub(super) due: f64,
    pub(super) now: f64,
    /// The probed router was heard of late.
    pub(super) target_alive: bool,
}

impl LocalHealth {
    pub(super) fn new(enabled: bool) -> LocalHealth {
        LocalHealth { enabled, ..LocalHealth::default() }
    }

    const WORST: u32 = 4;
    /// A timer that is served so much later than it was due tells of a loop that had no turn. Seconds.
    const LATE: f64 = 0.1;
    /// Heartbeats alone come several times as often. Seconds.
    const DEAF: f64 = 1.0;

    pub(super) fn worsen(&mut self) {
        self.score = (self.score + 1).min(Self::WORST);
    }

    /// By which factor the timers of probes are stretched.
    pub(super) fn probe_stretch(&self) -> f64 {
        1.0 + if self.enabled { f64::from(self.score) } else { 0.0 }
    }

    /// By which factor suspicions last longer: half as much, as where most have died, all of their suspicions must still
    /// time out.
    pub(super) fn suspicion_stretch(&self) -> f64 {
        0.5 + 0.5 * self.probe_stretch()
    }

    /// The time of a probe is over. Where nothing was heard for long, or the timer was late, or two routers in a row that are
    /// not the same did not answer though they were heard of late, the fault may be this router's own. Routers that fell
    /// silent altogether may be dead, however many they are.
    pub(super) fn probe_ended(&mut self, end: ProbeEnd) {
        let late = end.now - end.due > Self::LATE;
        let deaf = end.now - self.heard_at > Self::DEAF;
        let unanswered = self.awaited.take();
        let missed = unanswered.filter(|_| end.target_alive);
        let missed_two = missed.is_some() && self.missed.is_some() && self.missed != missed;
        if late || deaf || missed_two {
            self.worsen();
        } else if unanswered.is_none() {
            self.score = self.score.saturating_sub(1);
        }
        self.missed = missed;
    }
}
