//! Handles received datagrams: checks each one, records what its envelope reports, and dispatches its body.

use super::send::HEARTBEAT_INTERVAL;
use super::Membership;
use crate::digest;
use crate::direct_probe::MAX_NAMED;
use crate::lease::Message;
use crate::member::ViewDigest;
use crate::swim::MAX_GENERATION;
use crate::wire::{self, DropReason, Envelope, Kind, LastHeard, HEARD_UNIT};

/// Probes from one router are answered no more often than this, in seconds, so that several of one round get one
/// answer.
const ANSWER_INTERVAL: f64 = 0.05;
/// A router that has run at least this much longer than this process knows of this router's earlier runs, in seconds.
/// Routers that were started together know only what they report to each other.
const MIN_HEAD_START: f64 = 1.0;
/// If this many later incarnations of this router were reported, the last of them within the window (in seconds),
/// another process uses this router's name.
pub(super) const NAME_CONFLICT_INCARNATIONS: usize = 4;
pub(super) const NAME_CONFLICT_WINDOW: f64 = 20.0;

impl Membership {
    /// Handles a datagram that was received from the address of router `from`.
    ///
    /// # Errors
    /// The datagram was dropped, for the reason that is returned and counted: it is malformed, of another cluster or
    /// version, not addressed to this router by that sender, or of an earlier incarnation of the sender.
    pub fn receive_datagram(&mut self, from: usize, bytes: &[u8], now: f64) -> Result<(), DropReason> {
        self.check_pause(now);
        self.counts.received += 1;
        let result = self.handle_datagram(from, bytes, now);
        if let Err(reason) = result {
            *self.counts.dropped.entry(reason).or_default() += 1;
        }
        result
    }

    fn handle_datagram(&mut self, from: usize, bytes: &[u8], now: f64) -> Result<(), DropReason> {
        let (envelope, body) = wire::read(bytes)?;
        self.check_envelope(from, &envelope)?;
        self.note_contact(from, &envelope, now)?;
        self.note_store_epochs(from, &envelope, now);
        self.note_view(from, &envelope, now);
        self.renew_incarnation(&envelope, now);
        self.notify_absent_sender(from, &envelope, now);
        match envelope.kind {
            Kind::Swim => self.swim.receive(body, now).map_err(|_| DropReason::Body),
            Kind::Heartbeat => self.handle_heartbeat(from, body, now),
            Kind::DirectProbe => {
                self.answer_direct_probe(from, now);
                Ok(())
            }
            Kind::IndirectProbe => self.answer_indirect_probe(from, body, now),
            Kind::IndirectAck => self.handle_indirect_ack(body),
            Kind::Lease => self.handle_lease_message(from, body, now),
        }
    }

    /// Checks that the datagram belongs to this cluster, comes from this sender, and is addressed to this router, and
    /// that its generations are within the limit.
    fn check_envelope(&self, from: usize, envelope: &Envelope) -> Result<(), DropReason> {
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

    /// Records that the sender was heard, in which incarnation, and when it last heard this router.
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
        if envelope.heard_ago < u16::MAX && envelope.receiver_generation == self.swim.incarnation().generation
        {
            member.heard_us_at = now - f64::from(envelope.heard_ago) * HEARD_UNIT;
        }
        Ok(())
    }

    /// Records the sender's store epoch. Also records which epoch of this router's store the sender has seen, but
    /// only if the sender was running before this process started, and knows its current incarnation.
    fn note_store_epochs(&mut self, from: usize, envelope: &Envelope, now: f64) {
        let member = &mut self.members[from];
        // Reported epochs are limited in the same way as generations.
        member.store_epoch = member.store_epoch.max(envelope.store_epoch.min(MAX_GENERATION));
        let knows_this_incarnation = envelope.receiver_generation == self.swim.incarnation().generation;
        if knows_this_incarnation && f64::from(envelope.age) > now - self.started_at + MIN_HEAD_START {
            let seen_epoch = envelope.receiver_store_epoch.min(MAX_GENERATION);
            self.store_epoch_seen_by_peers =
                Some(self.store_epoch_seen_by_peers.unwrap_or(0).max(seen_epoch));
        }
    }

    /// Records which routers the sender considers present, and since when that has differed from this router's view.
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

    /// Begins a new incarnation if the sender knows a later one of this router, or considers the current one failed.
    fn renew_incarnation(&mut self, envelope: &Envelope, now: f64) {
        let leaving = self.leaving_since.is_some();
        // The sender knows a later incarnation: this router's Unix clock was set back before its start, or another
        // process uses its name.
        if envelope.receiver_generation > self.swim.incarnation().generation && self.adopt_later_incarnation {
            self.later_incarnations_seen.retain(|at| now < at + NAME_CONFLICT_WINDOW);
            // From this number on the standing is `NameConflict`, and no further incarnation is begun: two processes
            // with the same name would otherwise outbid each other without end.
            if self.later_incarnations_seen.len() < NAME_CONFLICT_INCARNATIONS {
                self.later_incarnations_seen.push(now);
                self.swim.begin_incarnation(envelope.receiver_generation.saturating_add(1), leaving, now);
            }
        }
        if envelope.receiver_failed
            && envelope.receiver_generation == self.swim.incarnation().generation
            && !leaving
        {
            self.swim.begin_incarnation(envelope.receiver_generation + 1, false, now);
        }
    }

    /// Answers a sender that does not count as present. A sender in the incarnation that is considered failed does
    /// not know that and is notified at once. A sender in a later incarnation is asked for its member list, by which
    /// it also learns of this router.
    fn notify_absent_sender(&mut self, from: usize, envelope: &Envelope, now: f64) {
        let member = &mut self.members[from];
        let notified_recently = now < member.notified_at + HEARTBEAT_INTERVAL;
        if member.state.counts_as_present() || envelope.leaving || notified_recently {
            return;
        }
        member.notified_at = now;
        if envelope.generation <= member.generation {
            self.send(from as u16, Kind::Heartbeat, &[], now);
        } else {
            self.swim.announce(from as u16, now);
        }
    }

    fn handle_heartbeat(&mut self, from: usize, body: &[u8], now: f64) -> Result<(), DropReason> {
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

    /// Answers an indirect probe: reports when this router last heard each of the routers that the probe names.
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

    fn handle_indirect_ack(&mut self, body: &[u8]) -> Result<(), DropReason> {
        let answer: Vec<LastHeard> = postcard::from_bytes(body).map_err(|_| DropReason::Body)?;
        if answer.len() > MAX_NAMED {
            return Err(DropReason::Body);
        }
        for heard in answer.into_iter().filter(|heard| heard.ago < u8::MAX) {
            self.probes.heard_by_other(heard.router, f64::from(heard.ago) * HEARD_UNIT);
        }
        Ok(())
    }

    fn handle_lease_message(&mut self, from: usize, body: &[u8], now: f64) -> Result<(), DropReason> {
        let (message, rest): (Message, _) = postcard::take_from_bytes(body).map_err(|_| DropReason::Body)?;
        if !rest.is_empty() {
            return Err(DropReason::Body);
        }
        let requests_grant = matches!(message, Message::Prepare { .. } | Message::Propose { .. });
        if self.permissions().grants_leases || !requests_grant {
            self.leases.receive(from as u16, message, now);
        }
        Ok(())
    }
}
