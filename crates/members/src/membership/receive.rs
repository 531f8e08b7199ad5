//! What is received: each datagram is checked, what its envelope tells is noted, and its body goes to its part.

use super::send::HELLO;
use super::Members;
use crate::digest;
use crate::lease::Message;
use crate::quiet::MOST_NAMED;
use crate::swim::YOUNGEST;
use crate::wire::{self, Dropped, Envelope, Kind, HEARD_UNIT};

/// One router's questions are answered no more often than this, in seconds.
const QUIET_REPLY: f64 = 0.05;
/// So many younger lives under our name within so many seconds: another process goes by it.
pub(super) const DOUBLED: usize = 4;
pub(super) const DOUBLED_WITHIN: f64 = 20.0;

impl Members {
    /// A datagram from the address of this router.
    ///
    /// # Errors
    /// Why it was dropped, which is also counted.
    pub fn datagram(&mut self, from: usize, bytes: &[u8], now: f64) -> Result<(), Dropped> {
        self.wakes(now);
        self.counts.received += 1;
        let taken = self.take(from, bytes, now);
        if let Err(why) = taken {
            *self.counts.dropped.entry(why).or_default() += 1;
        }
        taken
    }

    fn take(&mut self, from: usize, bytes: &[u8], now: f64) -> Result<(), Dropped> {
        let (envelope, body) = wire::read(bytes)?;
        self.check(from, &envelope)?;
        self.hear(from, &envelope, now)?;
        self.note_view(from, &envelope, now);
        self.renew_life(&envelope, now);
        self.answer_one_that_does_not_count(from, &envelope, now);
        match envelope.kind {
            Kind::Swim => self.swim.receive(body, now).map_err(|_| Dropped::Body),
            Kind::Hello => self.take_hello(from, body, now),
            Kind::Ask => {
                self.answer_ask(from, now);
                Ok(())
            }
            Kind::Seek => self.answer_seek(from, body, now),
            Kind::Seen => self.take_seen(body),
            Kind::Lease => self.take_lease(from, body, now),
        }
    }

    /// It is of this cluster, from this sender, and meant for us.
    fn check(&self, from: usize, envelope: &Envelope) -> Result<(), Dropped> {
        if envelope.cluster != self.cluster {
            return Err(Dropped::OtherCluster);
        }
        let known = from < self.members.len() && from != usize::from(self.me);
        if !known || usize::from(envelope.from) != from || envelope.to != self.me {
            return Err(Dropped::WrongSender);
        }
        if envelope.born > YOUNGEST || envelope.yours > YOUNGEST {
            return Err(Dropped::Body);
        }
        Ok(())
    }

    /// Notes that it was heard, in which life, and what it tells of the two stores.
    fn hear(&mut self, from: usize, envelope: &Envelope, now: f64) -> Result<(), Dropped> {
        {
            let mut contacts = self.swim.contacts.borrow_mut();
            contacts.now = now;
            if !contacts.record(from, envelope.born) {
                return Err(Dropped::FormerLife);
            }
        }
        self.swim.heard(now);
        let member = &mut self.members[from];
        if member.born < envelope.born {
            self.heard.forget(from as u16);
        }
        member.heard_at = now;
        member.kept = member.kept.max(envelope.kept.min(YOUNGEST));
        // It has heard this life of ours, and tells what it was shown before: one that was there before us. Those that were
        // started with us know no more than we tell them.
        let hears_this_life = envelope.yours == self.swim.me().born;
        if hears_this_life && f64::from(envelope.age) > now - self.started + 1.0 {
            self.shown = Some(self.shown.unwrap_or(0).max(envelope.yours_kept.min(YOUNGEST)));
        }
        member.leaving = envelope.leaving;
        if envelope.heard < u16::MAX && hears_this_life {
            member.hears_us_at = now - f64::from(envelope.heard) * HEARD_UNIT;
        }
        Ok(())
    }

    /// Notes whom it holds present, and since when that differs from ours.
    fn note_view(&mut self, from: usize, envelope: &Envelope, now: f64) {
        let member = &mut self.members[from];
        member.told = (envelope.present, envelope.view);
        member.told_at = now;
        if member.told == self.view {
            member.differs_since = None;
        } else if member.differs_since.is_none() {
            member.differs_since = Some(now);
        }
    }

    /// Begins a new life where others know our name in a younger one, or hold this one failed.
    fn renew_life(&mut self, envelope: &Envelope, now: f64) {
        let leaving = self.leaving_since.is_some();
        // Our name was in a younger life: our clock was set back before our start, or another goes by our name.
        if envelope.yours > self.swim.me().born && self.adopt_younger_life {
            self.younger.retain(|at| now < at + DOUBLED_WITHIN);
            if self.younger.len() < DOUBLED {
                self.younger.push(now);
                self.swim.begin_life(envelope.yours.saturating_add(1), leaving, now);
            }
        }
        if envelope.failed && envelope.yours == self.swim.me().born && !leaving {
            self.swim.begin_life(envelope.yours + 1, false, now);
        }
    }

    /// We hear it, and do not count it. In the life that we hold failed it can't know, and is told at once; in a younger
    /// one it is asked for who is there, by which it learns of us as well.
    fn answer_one_that_does_not_count(&mut self, from: usize, envelope: &Envelope, now: f64) {
        let member = &mut self.members[from];
        if member.state.counts() || envelope.leaving || now < member.answered_at + HELLO {
            return;
        }
        member.answered_at = now;
        if envelope.born <= member.born {
            self.put(from as u16, Kind::Hello, &[], now);
        } else {
            self.swim.announce(from as u16, now);
        }
    }

    fn take_hello(&mut self, from: usize, body: &[u8], now: f64) -> Result<(), Dropped> {
        let words = digest::read(body).ok_or(Dropped::Body)?;
        self.heard.hear(from as u16, words, now);
        Ok(())
    }

    /// A round of questions is answered once.
    fn answer_ask(&mut self, from: usize, now: f64) {
        if now >= self.members[from].replied_at + QUIET_REPLY {
            self.members[from].replied_at = now;
            self.put(from as u16, Kind::Hello, &[], now);
        }
    }

    /// Tells when we last heard those that are named.
    fn answer_seek(&mut self, from: usize, body: &[u8], now: f64) -> Result<(), Dropped> {
        let named: Vec<u16> = postcard::from_bytes(body).map_err(|_| Dropped::Body)?;
        if named.len() > MOST_NAMED {
            return Err(Dropped::Body);
        }
        if now < self.members[from].sought_at + QUIET_REPLY {
            return Ok(());
        }
        self.members[from].sought_at = now;
        let ago = |router: u16| {
            let heard_at = self.members.get(usize::from(router)).map(|member| member.heard_at);
            let units = (now - heard_at.unwrap_or(f64::NEG_INFINITY)) / HEARD_UNIT;
            (router, units.min(f64::from(u8::MAX)) as u8)
        };
        let seen: Vec<(u16, u8)> = named.into_iter().map(ago).collect();
        let bytes = postcard::to_extend(&seen, Vec::new()).unwrap_or_default();
        self.put(from as u16, Kind::Seen, &bytes, now);
        Ok(())
    }

    fn take_seen(&mut self, body: &[u8]) -> Result<(), Dropped> {
        let seen: Vec<(u16, u8)> = postcard::from_bytes(body).map_err(|_| Dropped::Body)?;
        if seen.len() > MOST_NAMED {
            return Err(Dropped::Body);
        }
        for (router, units) in seen.into_iter().filter(|(_, units)| *units < u8::MAX) {
            self.quiet.seen(router, f64::from(units) * HEARD_UNIT);
        }
        Ok(())
    }

    fn take_lease(&mut self, from: usize, body: &[u8], now: f64) -> Result<(), Dropped> {
        let (message, rest): (Message, _) = postcard::take_from_bytes(body).map_err(|_| Dropped::Body)?;
        if !rest.is_empty() {
            return Err(Dropped::Body);
        }
        let grants = self.allowed().grants_leases;
        if grants || !matches!(message, Message::Prepare { .. } | Message::Propose { .. }) {
            self.leases.receive(from as u16, message, now);
        }
        Ok(())
    }
}
