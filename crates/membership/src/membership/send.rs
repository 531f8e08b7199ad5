//! Sends heartbeats to the other routers in turn, probes of silent routers, and the messages of the failure detector
//! and the leases.

use super::Membership;
use crate::digest;
use crate::direct_probe::Peer;
use crate::member::State;
use crate::wire::{self, Envelope, Kind, HEARD_UNIT};

/// The time between two sends of heartbeats, each to [`HEARTBEAT_FANOUT`] routers, in seconds.
pub(super) const HEARTBEAT_INTERVAL: f64 = 0.25;
/// How many other routers are sent a heartbeat each time.
const HEARTBEAT_FANOUT: usize = 2;
/// How often a router that is not present is contacted to find out whether it is back, in seconds. Unlike the
/// announcements of the library `foca`, these also go to routers that have not been heard of yet.
const ANNOUNCE_TO_ABSENT_INTERVAL: f64 = 0.5;
/// How many other routers are sent an indirect probe that names the silent ones. The library's own indirect probes
/// have a setting of their own.
const INDIRECT_PROBE_FANOUT: usize = 3;
/// A router counts as heard at least until this time has passed since its last datagram, in seconds.
const MIN_SILENCE: f64 = 2.0;

impl Membership {
    /// Sends a heartbeat, with this router's digest of engines, to each of the next [`HEARTBEAT_FANOUT`] other routers.
    pub(super) fn send_heartbeats(&mut self, now: f64) {
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        for _ in 0..HEARTBEAT_FANOUT {
            let Some(to) = self.next_heartbeat_target() else { break };
            let shares = self.permissions().shares_observations;
            let digest = if shares { digest::write(&self.observations) } else { Vec::new() };
            self.send(to, Kind::Heartbeat, &digest, now);
        }
    }

    /// Asks one router that is not present for its member list. By this request it learns that this router is running.
    pub(super) fn announce_to_an_absent_router(&mut self, now: f64) {
        // Randomized, so that many routers that were cut off together do not send at the same time.
        self.announce_at = now + ANNOUNCE_TO_ABSENT_INTERVAL * (0.75 + 0.5 * self.random_fraction());
        let absent: Vec<u16> = (0..self.members.len())
            .filter(|router| !self.members[*router].state.counts_as_present())
            .map(|router| router as u16)
            .collect();
        if !absent.is_empty() && self.leaving_since.is_none() {
            let to = absent[(self.random() % absent.len() as u64) as usize];
            self.swim.announce(to, now);
        }
    }

    /// Sends the messages of the failure detector and of the leases.
    pub(super) fn send_component_messages(&mut self, now: f64) {
        for (to, bytes) in self.swim.take_outgoing() {
            self.send(to, Kind::Swim, &bytes, now);
        }
        for (to, message) in self.leases.take_outgoing() {
            let bytes = postcard::to_extend(&message, Vec::new()).unwrap_or_default();
            self.send(to, Kind::Lease, &bytes, now);
        }
    }

    /// Probes the routers that have fallen silent, directly and through some of the other routers, and suspects those
    /// that did not answer.
    pub(super) fn probe_silent_routers(&mut self, now: f64) {
        let peers = self.peers();
        let actions = self.probes.turn(&peers, self.max_silence(), self.swim.heard_at(), now);
        for router in &actions.probe {
            self.send(*router, Kind::DirectProbe, &[], now);
        }
        for router in actions.suspect {
            self.swim.suspect(router, now);
        }
        if !actions.probe.is_empty() {
            self.probe_indirectly(&actions.probe, now);
        }
    }

    /// The other routers that count as present, for [`crate::direct_probe`].
    fn peers(&self) -> Vec<Peer> {
        let me = usize::from(self.me);
        let present = self.present().filter(|router| *router != me);
        let peer = |router: usize| {
            let member = &self.members[router];
            let suspected = member.state == State::Suspected;
            // Silence counts from the last datagram, or from when the router entered its state if that is later, so
            // that one that was never heard has time to send. For a suspected router only the last datagram counts,
            // as its state began with the suspicion.
            let heard_at = if suspected { member.heard_at } else { member.heard_at.max(member.state_since) };
            Peer { router: router as u16, heard_at, suspected }
        };
        present.map(peer).collect()
    }

    /// Asks some other routers, chosen at random, when they last heard the silent ones.
    fn probe_indirectly(&mut self, silent_routers: &[u16], now: f64) {
        let others: Vec<u16> = self
            .present()
            .map(|router| router as u16)
            .filter(|router| *router != self.me && !silent_routers.contains(router))
            .collect();
        let bytes = postcard::to_extend(silent_routers, Vec::new()).unwrap_or_default();
        for _ in 0..INDIRECT_PROBE_FANOUT.min(others.len()) {
            let other = others[(self.random() % others.len() as u64) as usize];
            self.send(other, Kind::IndirectProbe, &bytes, now);
        }
    }

    /// The longest time for which a live router is usually not heard, in seconds: two full rounds of heartbeats.
    pub(super) fn max_silence(&self) -> f64 {
        let round = self.members.len().div_ceil(HEARTBEAT_FANOUT) as f64 * HEARTBEAT_INTERVAL;
        (2.0 * round).max(MIN_SILENCE)
    }

    /// The next router to be sent a heartbeat: each other router once a round, in an order that is shuffled anew for
    /// each round.
    fn next_heartbeat_target(&mut self) -> Option<u16> {
        if self.heartbeat_round.is_empty() {
            self.heartbeat_round =
                (0..self.members.len() as u16).filter(|router| *router != self.me).collect();
            for index in (1..self.heartbeat_round.len()).rev() {
                let other = (self.random() % (index as u64 + 1)) as usize;
                self.heartbeat_round.swap(index, other);
            }
        }
        self.heartbeat_round.pop()
    }

    pub(super) fn send(&mut self, to: u16, kind: Kind, body: &[u8], now: f64) {
        let Some(envelope) = self.envelope(to, kind, now) else { return };
        if let Some(bytes) = wire::write(&envelope, body) {
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            self.outgoing.push((to, bytes));
        }
    }

    /// The envelope of a datagram to router `to`; `None` if `to` is this router or unknown.
    fn envelope(&self, to: u16, kind: Kind, now: f64) -> Option<Envelope> {
        let member = self.members.get(usize::from(to)).filter(|_| to != self.me)?;
        let heard_ago = (now - member.heard_at) / HEARD_UNIT;
        let heard_generation = self.swim.contacts.borrow().generation(to).unwrap_or(0);
        Some(Envelope {
            cluster: self.cluster,
            from: self.me,
            to,
            generation: self.swim.incarnation().generation,
            // If the receiver's incarnation is older than the latest one known under its name, this informs it of
            // that one.
            receiver_generation: heard_generation.max(member.generation),
            heard_ago: if heard_ago < f64::from(u16::MAX) { heard_ago as u16 } else { u16::MAX },
            present: self.view.present,
            present_hash: self.view.hash,
            age: (now - self.started_at) as u32,
            leaving: self.leaving_since.is_some(),
            // False if a later incarnation was already heard, of which the failure detector has yet to learn.
            receiver_failed: member.state == State::Failed && heard_generation <= member.generation,
            store_epoch: self.store_epoch,
            receiver_store_epoch: member.store_epoch,
            kind,
        })
    }
}
