//! What is sent: hellos to others in turn, questions to those that have fallen silent, and what the parts have to say.

use super::Members;
use crate::digest;
use crate::member::State;
use crate::wire::{self, Envelope, Kind, HEARD_UNIT};

/// How often each router says something to two others, in turn, in seconds.
pub(super) const HELLO: f64 = 0.25;
const HELLOS: usize = 2;
/// How often one that is not present is asked whether it is there, in seconds.
const SEEK: f64 = 0.5;
/// Others that are asked after those that are silent.
const SOUGHT_OF: usize = 3;

impl Members {
    /// Says something to the next of the others, with what was seen of engines.
    pub(super) fn send_hellos(&mut self, now: f64) {
        self.hello_at = now + HELLO;
        for _ in 0..HELLOS {
            let Some(to) = self.next_of_round() else { break };
            let tells = self.allowed().tells_of_engines;
            let telling = if tells { digest::write(&self.telling) } else { Vec::new() };
            self.put(to, Kind::Hello, &telling, now);
        }
    }

    /// Asks one that is not present whether it is there.
    pub(super) fn seek_one_that_is_gone(&mut self, now: f64) {
        // Spread by chance, so that many that were cut off together do not ask as one.
        self.seek_at = now + SEEK * (0.75 + 0.5 * self.chance_from_0_to_1());
        let gone: Vec<u16> = (0..self.members.len())
            .filter(|at| !self.members[*at].state.counts())
            .map(|at| at as u16)
            .collect();
        if !gone.is_empty() && self.leaving_since.is_none() {
            let to = gone[(self.chance() % gone.len() as u64) as usize];
            self.swim.announce(to, now);
        }
    }

    /// Sends what the failure detector and the leases have to say.
    pub(super) fn send_what_the_parts_say(&mut self, now: f64) {
        for (to, bytes) in self.swim.outgoing() {
            self.put(to, Kind::Swim, &bytes, now);
        }
        for (to, message) in self.leases.outgoing() {
            let bytes = postcard::to_extend(&message, Vec::new()).unwrap_or_default();
            self.put(to, Kind::Lease, &bytes, now);
        }
    }

    /// Asks those that have fallen silent, and some of the others after them.
    pub(super) fn ask_the_quiet(&mut self, now: f64) {
        let todo =
            self.quiet.turn(self.last_heard().into_iter(), self.deaf_after(), self.swim.heard_at(), now);
        for router in &todo.ask {
            self.put(*router, Kind::Ask, &[], now);
        }
        todo.suspect.into_iter().for_each(|router| self.swim.suspect(router, now));
        if !todo.ask.is_empty() {
            self.ask_others_after(&todo.ask, now);
        }
    }

    /// Each of the others that count: when it was last heard, and whether it is suspected.
    fn last_heard(&self) -> Vec<(u16, f64, bool)> {
        let me = usize::from(self.me);
        let counted =
            self.members.iter().enumerate().filter(|(at, member)| *at != me && member.state.counts());
        // One that was never heard is silent since it came to be counted.
        let heard = counted.map(|(at, member)| {
            let suspected = member.state == State::Suspected;
            let heard_at = if suspected { member.heard_at } else { member.heard_at.max(member.since) };
            (at as u16, heard_at, suspected)
        });
        heard.collect()
    }

    /// Asks some of the others, drawn by chance, when they last heard these.
    fn ask_others_after(&mut self, silent: &[u16], now: f64) {
        let others: Vec<u16> =
            self.present().map(|at| at as u16).filter(|at| *at != self.me && !silent.contains(at)).collect();
        let bytes = postcard::to_extend(silent, Vec::new()).unwrap_or_default();
        for _ in 0..SOUGHT_OF.min(others.len()) {
            let other = others[(self.chance() % others.len() as u64) as usize];
            self.put(other, Kind::Seek, &bytes, now);
        }
    }

    /// How long one that lives is not heard at most, usually: two rounds of hellos. Seconds.
    pub(super) fn deaf_after(&self) -> f64 {
        (2.0 * self.members.len().div_ceil(HELLOS) as f64 * HELLO).max(2.0)
    }

    /// The others, each once, in an order drawn anew each time.
    pub(super) fn next_of_round(&mut self) -> Option<u16> {
        if self.round.is_empty() {
            self.round = (0..self.members.len() as u16).filter(|at| *at != self.me).collect();
            for at in (1..self.round.len()).rev() {
                let other = (self.chance() % (at as u64 + 1)) as usize;
                self.round.swap(at, other);
            }
        }
        self.round.pop()
    }

    pub(super) fn put(&mut self, to: u16, kind: Kind, body: &[u8], now: f64) {
        let Some(member) = self.members.get(usize::from(to)).filter(|_| to != self.me) else { return };
        let ago = (now - member.heard_at) / HEARD_UNIT;
        let yours = self.swim.contacts.borrow().born(to).unwrap_or(0);
        let envelope = Envelope {
            cluster: self.cluster,
            from: self.me,
            to,
            born: self.swim.me().born,
            // One that fell behind the life that its name had is told of that.
            yours: yours.max(member.born),
            heard: if ago < f64::from(u16::MAX) { ago as u16 } else { u16::MAX },
            present: self.view.0,
            view: self.view.1,
            age: (now - self.started) as u32,
            leaving: self.leaving_since.is_some(),
            // Not of a younger life that we have heard, which the detector is only about to learn of.
            failed: member.state == State::Failed && yours <= member.born,
            kept: self.kept,
            yours_kept: member.kept,
            kind,
        };
        if let Some(bytes) = wire::write(&envelope, body) {
            self.counts.sent += 1;
            self.counts.sent_bytes += bytes.len() as u64;
            self.out.push((to, bytes));
        }
    }
}
