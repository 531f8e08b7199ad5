//! What is received: each datagram is checked, what its envelope tells is noted, and its body goes to its part.

use super::send::HEARTBEAT_INTERVAL;
use super::Membership;
use crate::digest;
use crate::direct_probe::MAX_NAMED;
use crate::lease::Message;
use crate::member::ViewDigest;
use crate::swim::MAX_GENERATION;
use crate::wire::{self, DropReason, Envelope, Kind, LastHeard, HEARD_UNIT};

/// The probes of one router are answered no more often than this, in seconds: several of one round are answered once.
const ANSWER_INTERVAL: f64 = 0.05;
/// A router that has run so much longer than this one knows of former incarnations of it, in seconds. Those that were started
/// together know no more than they tell each other.
const STARTED_BEFORE: f64 = 1.0;
/// So many younger incarnations under this router's name, the last of them within so many seconds: another process goes by it.
pub(super) const NAME_CONFLICT_INCARNATIONS: usize = 4;
pub(super) const NAME_CONFLICT_WITHIN: f64 = 20.0;

impl Membership {
    /// Takes a datagram that came from the address of router `from`.
    ///
    /// # Errors
    /// Why it was dropped, which is also counted.
    pub fn receive_datagram(&mut self, from: usize, bytes: &[u8], now: f64) -> Result<(), DropReason> {
        self.check_pause(now);
        self.counts.received += 1;
        let taken = self.take(from, bytes, now);
        if let Err(reason) = taken {
            *self.counts.dropped.entry(reason).or_default() += 1;
        }
        taken
    }

    fn take(&mut self, from: usize, bytes: &[u8], now: f64) -> Result<(), DropReason> {
        let (envelope, body) = wire::read(bytes)?;
        self.check(from, &envelope)?;
        self.note_contact(from, &envelope, now)?;
        self.note_store_epochs(from, &envelope, now);
        self.note_view(from, &envelope, now);
        self.renew_incarnation(&envelope, now);
        self.notify_absent(from, &envelope, now);
        match envelope.kind {
            Kind::Swim => self.swim.receive(body, now).map_err(|_| DropReason::Body),
            Kind::Heartbeat => self.take_heartbeat(from, body, now),
            Kind::DirectProbe => {
                self.answer_direct_probe(from, now);
                Ok(())
            }
            Kind::IndirectProbe => self.answer_indirect_probe(from, body, now),
            Kind::IndirectAck => self.take_indirect_ack(body),
            Kind::Lease => self.take_lease(from, body, now),
        }
    }

    /// It is of this cluster, from this sender, and meant for this router.
    fn check(&self, from: usize, envelope: &Envelope) -> Result<(), DropReason> {
        if envelope.cluster != self.cluster {
            return Err(DropReason::OtherCluster);
        }
        let known = from < self.members.len() && from != usize::from(self.me);
        if !known || usize::from(envelope.from) != from || envelope.to != self.me {
            return Err(DropReason::WrongSender);
        }
        if envelope.generation > MAX_GENERATION || envelope.receiver_generation > MAX_GENERATION {
            return Err(DropReason::Body);
        }
        Ok(())
    }

    /// Notes that the sender was heard, in which incarnation, and when it last heard this router.
    fn note_contact(&mut self, from: usize, envelope: &Envelope, now: f64) -> Result<(), DropReason> {
        {
            let mut contacts = self.swim.contacts.borrow_mut();
            contacts.now = now;
            if !contacts.record(from, envelope.generation) {
                return Err(DropReason::FormerIncarnation);
            }
        }
        self.swim.heard(now);
        let member = &mut self.members[from];
        if member.generation < envelope.generation {
            self.digests.forget(from as u16);
        }
        member.heard_at = now;
        member.leaving = envelope.leaving;
        if envelope.heard_ago < u16::MAX && envelope.receiver_generation == self.swim.me().generation {
            member.heard_us_at = now - f64::from(envelope.heard_ago) * HEARD_UNIT;
        }
        Ok(())
    }

    /// Notes the epoch of the sender's store, and which epoch of this router's it was shown, where it was there before this
    /// incarnation of it and knows this incarnation.
    fn note_store_epochs(&mut self, from: usize, envelope: &Envelope, now: f64) {
        let member = &mut self.members[from];
        member.store_epoch = member.store_epoch.max(envelope.store_epoch.min(MAX_GENERATION));
        let knows_this_incarnation = envelope.receiver_generation == self.swim.me().generation;
        if knows_this_incarnation && f64::from(envelope.age) > now - self.started + STARTED_BEFORE {
            let shown = envelope.receiver_store_epoch.min(MAX_GENERATION);
            self.store_epoch_seen_by_peers = Some(self.store_epoch_seen_by_peers.unwrap_or(0).max(shown));
        }
    }

    /// Notes which routers the sender holds present, and since when that differs from this router's view.
    fn note_view(&mut self, from: usize, envelope: &Envelope, now: f64) {
        let member = &mut self.members[from];
        member.view = ViewDigest { present: envelope.present, hash: envelope.present_hash };
        member.view_at = now;
        if member.view == self.view {
            member.view_differs_since = None;
        } else if member.view_differs_since.is_none() {
            member.view_differs_since = Some(now);
        }
    }

    /// Begins a new incarnation where others know this router in a younger one, or hold this one failed.
    fn renew_incarnation(&mut self, envelope: &Envelope, now: f64) {
        let leaving = self.leaving_since.is_some();
        // Its name was in a younger incarnation: its clock was set back before its start, or another process goes by its name.
        if envelope.receiver_generation > self.swim.me().generation && self.adopt_later_incarnation {
            self.later_incarnations_seen.retain(|at| now < at + NAME_CONFLICT_WITHIN);
            if self.later_incarnations_seen.len() < NAME_CONFLICT_INCARNATIONS {
                self.later_incarnations_seen.push(now);
                self.swim.begin_incarnation(envelope.receiver_generation.saturating_add(1), leaving, now);
            }
        }
        if envelope.receiver_failed && envelope.receiver_generation == self.swim.me().generation && !leaving {
            self.swim.begin_incarnation(envelope.receiver_generation + 1, false, now);
        }
    }

    /// Answers a sender that does not count as present. In the incarnation that is held failed it can't know that, and is told at
    /// once; in a younger one it is asked for all members, by which it learns of this router as well.
    fn notify_absent(&mut self, from: usize, envelope: &Envelope, now: f64) {
        let member = &mut self.members[from];
        let notified = now < member.notified_at + HEARTBEAT_INTERVAL;
        if member.state.counts_as_present() || envelope.leaving || notified {
            return;
        }
        member.notified_at = now;
        if envelope.generation <= member.generation {
            self.send(from as u16, Kind::Heartbeat, &[], now);
        } else {
            self.swim.announce(from as u16, now);
        }
    }

    fn take_heartbeat(&mut self, from: usize, body: &[u8], now: f64) -> Result<(), DropReason> {
        let observations = digest::read(body).ok_or(DropReason::Body)?;
        self.digests.receive(from as u16, observations, now);
        Ok(())
    }

    fn answer_direct_probe(&mut self, from: usize, now: f64) {
        if now >= self.members[from].probe_answered_at + ANSWER_INTERVAL {
            self.members[from].probe_answered_at = now;
            self.send(from as u16, Kind::Heartbeat, &[], now);
        }
    }

    /// Tells when the routers that are named were last heard here.
    fn answer_indirect_probe(&mut self, from: usize, body: &[u8], now: f64) -> Result<(), DropReason> {
        let named: Vec<u16> = postcard::from_bytes(body).map_err(|_| DropReason::Body)?;
        if named.len() > MAX_NAMED {
            return Err(DropReason::Body);
        }
        if now < self.members[from].indirect_probe_answered_at + ANSWER_INTERVAL {
            return Ok(());
        }
        self.members[from].indirect_probe_answered_at = now;
        let answer: Vec<LastHeard> = named.into_iter().map(|router| self.last_heard(router, now)).collect();
        let bytes = postcard::to_extend(&answer, Vec::new()).unwrap_or_default();
        self.send(from as u16, Kind::IndirectAck, &bytes, now);
        Ok(())
    }

    fn last_heard(&self, router: u16, now: f64) -> LastHeard {
        let heard_at = self.members.get(usize::from(router)).map(|member| member.heard_at);
        let ago = (now - heard_at.unwrap_or(f64::NEG_INFINITY)) / HEARD_UNIT;
        LastHeard { router, ago: ago.min(f64::from(u8::MAX)) as u8 }
    }

    fn take_indirect_ack(&mut self, body: &[u8]) -> Result<(), DropReason> {
        let answer: Vec<LastHeard> = postcard::from_bytes(body).map_err(|_| DropReason::Body)?;
        if answer.len() > MAX_NAMED {
            return Err(DropReason::Body);
        }
        for heard in answer.into_iter().filter(|heard| heard.ago < u8::MAX) {
            self.probes.heard_by_other(heard.router, f64::from(heard.ago) * HEARD_UNIT);
        }
        Ok(())
    }

    fn take_lease(&mut self, from: usize, body: &[u8], now: f64) -> Result<(), DropReason> {
        let (message, rest): (Message, _) = postcard::take_from_bytes(body).map_err(|_| DropReason::Body)?;
        if !rest.is_empty() {
            return Err(DropReason::Body);
        }
        let asks_for_grant = matches!(message, Message::Prepare { .. } | Message::Propose { .. });
        if self.permissions().grants_leases || !asks_for_grant {
            self.leases.receive(from as u16, message, now);
        }
        Ok(())
    }
}
