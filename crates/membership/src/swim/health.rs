//! Local health (Dadgar, Phillips and Currey, 2018): a score of the evidence that this router itself is slow, or does
//! not receive its datagrams.

/// The score, from 0 (healthy) to [`LocalHealth::MAX_SCORE`], and what it is derived from.
#[derive(Debug, Default)]
pub(super) struct LocalHealth {
    pub(super) score: u32,
    /// Whether the score stretches timers.
    enabled: bool,
    /// When a datagram was last received from any router, in seconds.
    pub(super) heard_at: f64,
    /// The router whose answer the current probe is waiting for.
    pub(super) awaited: Option<u16>,
    /// The router that did not answer the previous probe although it is alive.
    missed: Option<u16>,
}

/// The outcome of one probe period.
pub(super) struct ProbeEnd {
    /// When the timer that ends the period was due, in seconds.
    pub(super) due: f64,
    /// When that timer was actually run, in seconds.
    pub(super) now: f64,
    /// Whether the probed router was heard recently.
    pub(super) target_alive: bool,
}

impl LocalHealth {
    pub(super) fn new(enabled: bool) -> LocalHealth {
        LocalHealth { enabled, ..LocalHealth::default() }
    }

    const MAX_SCORE: u32 = 4;
    /// A timer that runs later than this after its due time shows that the event loop was delayed. Seconds.
    const MAX_TIMER_DELAY: f64 = 0.1;
    /// If nothing is received for longer than this, the fault is likely this router's own: heartbeats alone arrive
    /// several times as often. Seconds.
    const MAX_RECEIVE_GAP: f64 = 1.0;

    pub(super) fn worsen(&mut self) {
        self.score = (self.score + 1).min(Self::MAX_SCORE);
    }

    /// The factor by which probe timers are stretched.
    pub(super) fn probe_stretch(&self) -> f64 {
        1.0 + if self.enabled { f64::from(self.score) } else { 0.0 }
    }

    /// The factor by which suspicion timeouts are stretched. The extension is half that of probes: when most routers
    /// have died, the suspicions of all of them must still time out.
    pub(super) fn suspicion_stretch(&self) -> f64 {
        0.5 + 0.5 * self.probe_stretch()
    }

    /// Updates the score at the end of a probe period. The score worsens if nothing was received for long, if the
    /// timer ran late, or if two different routers in a row did not answer although they were heard recently: in
    /// these cases the fault may be this router's own. Routers that were not heard recently do not count, however
    /// many they are, as they may be dead. The score improves if the probe was answered.
    pub(super) fn probe_ended(&mut self, end: ProbeEnd) {
        let late = end.now - end.due > Self::MAX_TIMER_DELAY;
        let receives_nothing = end.now - self.heard_at > Self::MAX_RECEIVE_GAP;
        let unanswered = self.awaited.take();
        let missed = unanswered.filter(|_| end.target_alive);
        let missed_two = missed.is_some() && self.missed.is_some() && self.missed != missed;
        if late || receives_nothing || missed_two {
            self.worsen();
        } else if unanswered.is_none() {
            self.score = self.score.saturating_sub(1);
        }
        self.missed = missed;
    }
}
