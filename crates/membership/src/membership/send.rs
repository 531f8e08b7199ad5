//! What is sent: heartbeats to the others in turn, probes of silent routers, and the messages of the parts.

use super::Membership;
use crate::digest;
use crate::direct_probe::Peer;
use crate::member::State;
use crate::wire::{self, Envelope, Kind, HEARD_UNIT};

/// Between two heartbeats, in seconds.
pub(super) const HEARTBEAT_INTERVAL: f64 = 0.25;
/// How many others each heartbeat goes to.
const HEARTBEAT_FANOUT: usize = 2;
/// How often a router that is not present is asked whether it is back, in seconds.
const ANNOUNCE_INTERVAL: f64 = 0.5;
/// How many others are asked whether they hear the silent ones.
const INDIRECT_PROBES: usize = 3;
/// The least time without a datagram after which a router counts as not heard, in seconds.
const MIN_SILENCE: f64 = 2.0;

impl Membership {
    /// Sends a heartbeat to the next of the others, with what was seen of engines.
    pub(super) fn send_heartbeats(&mut self, now: f64) {
        self.heartbeat_at = now + HEARTBEAT_INTERVAL;
        for _ in 0..HEARTBEAT_FANOUT {
            let Some(to) = self.next_of_round() else { break };
            let shares = self.permissions().shares_observations;
            let digest = if shares { digest::write(&self.observations) } else { Vec::new() };
            self.send(to, Kind::Heartbeat, &digest, now);
        }
    }

    /// Asks a router that is not present for all members that it knows, by which it learns that this one is there.
    pub(super) fn announce_to_an_absent_router(&mut self, now: f64) {
        // Spread by chance, so that many that were cut off together do not ask at the same time.
        self.announce_at = now + ANNOUNCE_INTERVAL * (0.75 + 0.5 * self.draw_fraction());
        let absent: Vec<u16> = (0..self.members.len())
            .filter(|router| !self.members[*router].state.counts_as_present())
            .map(|router| router as u16)
            .collect();
        if !absent.is_empty() && self.leaving_since.is_none() {
            let to = absent[(self.draw() % absent.len() as u64) as usize];
            self.swim.announce(to, now);
        }
    }

    /// Sends the messages of the failure detector and of the leases.
    pub(super) fn send_messages_of_parts(&mut self, now: f64) {
        for (to, bytes) in self.swim.take_outgoing() {
            self.send(to, Kind::Swim, &bytes, now);
        }
        for (to, message) in self.leases.take_outgoing() {
            let bytes = postcard::to_extend(&message, Vec::new()).unwrap_or_default();
            self.send(to, Kind::Lease, &bytes, now);
        }
    }

    /// Probes the routers that have fallen silent, directly and through some of the others.
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

    /// The others that count as present.
    fn peers(&self) -> Vec<Peer> {
        let me = usize::from(self.me);
        let present = self.present().filter(|router| *router != me);
        let peer = |router: usize| {
            let member = &self.members[router];
            let suspected = member.state == State::Suspected;
            // One that was never heard is silent since it came to be counted.
            let heard_at = if suspected { member.heard_at } else { member.heard_at.max(member.state_since) };
            Peer { router: router as u16, heard_at, suspected }
        };
        present.map(peer).collect()
    }

    /// Asks some of the others, drawn by chance, when they last heard these.
    fn probe_indirectly(&mut self, silent: &[u16], now: f64) {
        let others: Vec<u16> = self
            .present()
            .map(|router| router as u16)
            .filter(|router| *router != self.me && !silent.contains(router))
            .collect();
        let bytes = postcard::to_extend(silent, Vec::new()).unwrap_or_default();
        for _ in 0..INDIRECT_PROBES.min(others.len()) {
            let other = others[(self.draw() % others.len() as u64) as usize];
            self.send(other, Kind::IndirectProbe, &bytes, now);
        }
    }

    /// How long a router that is alive is usually not heard at most, in seconds: two rounds of heartbeats.
    pub(super) fn max_silence(&self) -> f64 {
        let round = self.members.len().div_ceil(HEARTBEAT_FANOUT) as f64 * HEARTBEAT_INTERVAL;
        (2.0 * round).max(MIN_SILENCE)
    }

    /// The next of the others, each once a round, in an order drawn anew for each round.
    fn next_of_round(&mut self) -> Option<u16> {
        if self.heartbeat_round.is_empty() {
            self.heartbeat_round =
                (0..self.members.len() as u16).filter(|router| *router != self.me).collect();
            for at in (1..self.heartbeat_round.len()).rev() {
                let other = (self.draw() % (at as u64 + 1)) as usize;
                self.heartbeat_round.swap(at, other);
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

    /// The envelope of a datagram to another router; `None` for no other.
    fn envelope(&self, to: u16, kind: Kind, now: f64) -> Option<Envelope> {
        let member = self.members.get(usize::from(to)).filter(|_| to != self.me)?;
        let heard_ago = (now - member.heard_at) / HEARD_UNIT;
        let heard_generation = self.swim.contacts.borrow().generation(to).unwrap_or(0);
        Some(Envelope {
            cluster: self.cluster,
            from: self.me,
            to,
            generation: self.swim.me().generation,
            // A router whose incarnation is older than the one known under its name is told of that one.
            receiver_generation: heard_generation.max(member.generation),
            heard_ago: if heard_ago < f64::from(u16::MAX) { heard_ago as u16 } else { u16::MAX },
            present: self.view.present,
            present_hash: self.view.hash,
            age: (now - self.started) as u32,
            leaving: self.leaving_since.is_some(),
            // Not of a younger incarnation that was heard, which the detector is only about to learn of.
            receiver_failed: member.state == State::Failed && heard_generation <= member.generation,
            store_epoch: self.store_epoch,
            receiver_store_epoch: member.store_epoch,
            kind,
        })
    }
}
