//! What the library asks of its host: datagrams to send, timers to keep, changes of identity.

use super::health::LocalHealth;
use super::Incarnation;
use foca::{Header, Message, Notification, Runtime, Timer};
use std::collections::BTreeMap;
use std::time::Duration;

/// The host of the library, as far as this crate is it.
#[derive(Default)]
pub(super) struct HostRuntime {
    pub(super) now: f64,
    pub(super) outgoing: Vec<(u16, Vec<u8>)>,
    /// By the bits of the time at which they are due, which sort as the times do, then in the order they were asked for.
    timers: BTreeMap<(u64, u64), Timer<Incarnation>>,
    next_timer: u64,
    pub(super) health: LocalHealth,
    /// How often the word of others on this router had to be refuted.
    pub(super) refutations: u64,
    /// How often a new incarnation had to be begun.
    pub(super) new_incarnations: u64,
    /// The incarnation number of this router, which grows with each refutation.
    swim_incarnation: u64,
}

impl HostRuntime {
    pub(super) fn new(health: LocalHealth, now: f64) -> HostRuntime {
        HostRuntime { now, health, ..HostRuntime::default() }
    }

    pub(super) fn schedule(&mut self, after: f64, timer: Timer<Incarnation>) {
        self.next_timer += 1;
        let due = (self.now + after).max(0.0);
        self.timers.insert((due.to_bits(), self.next_timer), timer);
    }

    /// The first timer that is due now, and when it was.
    pub(super) fn take_due(&mut self) -> Option<(f64, Timer<Incarnation>)> {
        let entry = self.timers.first_entry()?;
        let due = f64::from_bits(entry.key().0);
        (due <= self.now).then(|| (due, entry.remove()))
    }

    /// When the first timer is due; infinite for none.
    pub(super) fn due(&self) -> f64 {
        self.timers.first_key_value().map_or(f64::INFINITY, |((due, _), _)| f64::from_bits(*due))
    }

    /// Moves all timers by so many seconds.
    pub(super) fn postpone(&mut self, seconds: f64) {
        let timers = std::mem::take(&mut self.timers);
        let moved = |((due, number), timer)| (((f64::from_bits(due) + seconds).to_bits(), number), timer);
        self.timers = timers.into_iter().map(moved).collect();
    }

    /// Notes what is about to be sent: which router a probe waits for, and whether a suspicion is refuted.
    fn note(&mut self, to: Incarnation, header: &Header<Incarnation>) {
        if matches!(header.message, Message::Ping(_)) {
            self.health.awaited = Some(to.router);
        }
        let swim_incarnation = u64::from(header.src_incarnation);
        if swim_incarnation > self.swim_incarnation {
            // A suspicion is refuted: what reaches this router late, it may answer late.
            self.swim_incarnation = swim_incarnation;
            self.refutations += 1;
            self.health.worsen();
        }
    }
}

impl Runtime<Incarnation> for &mut HostRuntime {
    fn notify(&mut self, notification: Notification<'_, Incarnation>) {
        if let Notification::Rejoin(_) = notification {
            self.new_incarnations += 1;
            self.health.worsen();
        }
    }

    fn send_to(&mut self, to: Incarnation, data: &[u8]) {
        let header: Result<(Header<Incarnation>, _), _> = postcard::take_from_bytes(data);
        if let Ok((header, _)) = header {
            self.note(to, &header);
        }
        self.outgoing.push((to.router, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Incarnation>, after: Duration) {
        let stretch = match &event {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => self.health.probe_stretch(),
            Timer::ChangeSuspectToDown { .. } => self.health.suspicion_stretch(),
            _ => 1.0,
        };
        self.schedule(after.as_secs_f64() * stretch, event);
    }
}
