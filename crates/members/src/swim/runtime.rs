//! What the library asks of its host: datagrams to send, timers to keep, changes of identity.

use super::{Health, Life};
use foca::{Header, Message, Notification, Runtime, Timer};
use std::collections::BTreeMap;
use std::time::Duration;

/// Where the library puts what it wants done.
#[derive(Default)]
pub(super) struct Desk {
    pub(super) now: f64,
    pub(super) out: Vec<(u16, Vec<u8>)>,
    pub(super) timers: BTreeMap<(u64, u64), Timer<Life>>,
    pub(super) numbered: u64,
    pub(super) health: Health,
    /// How often others' words about us had to be refuted, and in which life we are.
    pub(super) renewed: u64,
    pub(super) accused: u64,
    pub(super) incarnation: u64,
}

impl Desk {
    pub(super) fn later(&mut self, after: f64, timer: Timer<Life>) {
        self.numbered += 1;
        self.timers.insert(((self.now + after).max(0.0).to_bits(), self.numbered), timer);
    }
}

impl Runtime<Life> for &mut Desk {
    fn notify(&mut self, notification: Notification<'_, Life>) {
        if let Notification::Rejoin(_) = notification {
            self.renewed += 1;
            self.health.worse();
        }
    }

    fn send_to(&mut self, to: Life, data: &[u8]) {
        let header: Result<(Header<Life>, _), _> = postcard::take_from_bytes(data);
        if let Ok((header, _)) = header {
            if matches!(header.message, Message::Ping(_)) {
                self.health.awaited = Some(to.router);
            }
            if u64::from(header.src_incarnation) > self.incarnation {
                // We refuted a suspicion: what reaches us late, we may answer late.
                self.incarnation = u64::from(header.src_incarnation);
                self.accused += 1;
                self.health.worse();
            }
        }
        self.out.push((to.router, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<Life>, after: Duration) {
        let stretch = match &event {
            Timer::ProbeRandomMember(_) | Timer::SendIndirectProbe { .. } => self.health.stretch(),
            // By half of it: where most have died, all of their suspicions must still ripen.
            Timer::ChangeSuspectToDown { .. } => 0.5 + 0.5 * self.health.stretch(),
            _ => 1.0,
        };
        self.later(after.as_secs_f64() * stretch, event);
    }
}
