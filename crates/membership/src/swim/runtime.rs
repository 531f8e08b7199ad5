//! The runtime that the library `foca` requires of its caller: collects the messages to send, keeps its timers, and
//! counts changes of identity.

use super::health::LocalHealth;
use super::Incarnation;
use foca::{Header, Message, Notification, Runtime, Timer};
use std::collections::BTreeMap;
use std::time::Duration;

/// Outgoing messages, timers, counters, and local health.
#[derive(Default)]
pub(super) struct DetectorRuntime {
    /// The current time, in seconds.
    pub(super) now: f64,
    pub(super) outgoing: Vec<(u16, Vec<u8>)>,
    /// Timers by due time, then by number, the order in which they were scheduled. The due time is kept as the bits
    /// of its `f64`, which sort as the times do, as none is negative.
    timers: BTreeMap<(u64, u64), Timer<Incarnation>>,
    next_timer: u64,
    pub(super) health: LocalHealth,
    /// How often this router has refuted a suspicion of itself.
    pub(super) refutations: u64,
    /// How often the library began a new incarnation, as others had declared this router down.
    pub(super) new_incarnations: u64,
    /// The library's incarnation number of this router, which increases with each refutation.
    swim_incarnation: u64,
}

impl DetectorRuntime {
    pub(super) fn new(health: LocalHealth, now: f64) -> DetectorRuntime {
        DetectorRuntime { now, health, ..DetectorRuntime::default() }
    }

    /// Schedules a timer to run `after` seconds from now.
    pub(super) fn schedule(&mut self, after: f64, timer: Timer<Incarnation>) {
        self.next_timer += 1;
        let due = (self.now + after).max(0.0);
        self.timers.insert((due.to_bits(), self.next_timer), timer);
    }

    /// Removes the first timer that is due by now, and returns it with its due time.
    pub(super) fn take_due(&mut self) -> Option<(f64, Timer<Incarnation>)> {
        let entry = self.timers.first_entry()?;
        let due = f64::from_bits(entry.key().0);
        (due <= self.now).then(|| (due, entry.remove()))
    }

    /// When the first timer is due, in seconds; infinite if there is none.
    pub(super) fn due(&self) -> f64 {
        self.timers.first_key_value().map_or(f64::INFINITY, |((due, _), _)| f64::from_bits(*due))
    }

    /// Postpones all timers by `seconds`.
    pub(super) fn postpone(&mut self, seconds: f64) {
        let timers = std::mem::take(&mut self.timers);
        let moved = |((due, number), timer)| (((f64::from_bits(due) + seconds).to_bits(), number), timer);
        self.timers = timers.into_iter().map(moved).collect();
    }

    /// Inspects a message that is about to be sent: records which router a probe waits for, and whether the message
    /// refutes a suspicion.
    fn inspect_outgoing(&mut self, to: Incarnation, header: &Header<Incarnation>) {
        if matches!(header.message, Message::Ping(_)) {
            self.health.awaited = Some(to.router);
        }
        let swim_incarnation = u64::from(header.src_incarnation);
        if swim_incarnation > self.swim_incarnation {
            // This message refutes a suspicion. Its cause may be that this router receives probes late and so answers
            // late.
            self.swim_incarnation = swim_incarnation;
            self.refutations += 1;
            self.health.worsen();
        }
    }
}

impl Runtime<Incarnation> for &mut DetectorRuntime {
    fn notify(&mut self, notification: Notification<'_, Incarnation>) {
        if let Notification::Rejoin(_) = notification {
            self.new_incarnations += 1;
            self.health.worsen();
        }
    }

    fn send_to(&mut self, to: Incarnation, data: &[u8]) {
        let header: Result<(Header<Incarnation>, _), _> = postcard::take_from_bytes(data);
        if let Ok((header, _)) = header {
            self.inspect_outgoing(to, &header);
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
