//! Leases on resources that only one router may use at a time. A lease is granted by a majority of the expected
//! routers, under an epoch that only increases. The protocol follows PaxosLease (Trencséni, Gazsó and Reinhardt,
//! 2012) and Gray and Cheriton (1989). It needs no log and no disk.
//!
//! **Assumptions**
//!
//! - Times of different routers' clocks are never compared. Only the rates of the clocks are bounded: one second of
//!   one router's clock is taken to be at most `1 + 2 * DRIFT` seconds of another's. This is the first-order value of
//!   the ratio `(1 + DRIFT) / (1 - DRIFT)` of two clocks at opposite bounds.
//! - Steps of the Unix clock do not matter, as leases do not read it.
//! - A grantor that has lost its memory in a restart grants nothing for [`MAX_TERM`] (and the drift) after its start.
//! - A holder checks [`Leases::held_epoch`] before each use, in the same turn, and a use takes effect within
//!   [`MAX_USE_DELAY`] of that check or never. If the holder is frozen between check and use, a later effect is
//!   stopped by the epoch, provided that the other side checks it.
//! - Epochs decrease only if a majority loses its memory at the same time *and* the Unix clocks from which its
//!   counters start were set back.

mod grantor;
mod message;
mod requester;
#[cfg(test)]
mod tests;

use grantor::Grant;
pub use message::Message;
use requester::Attempt;
use std::collections::BTreeMap;

/// The fraction by which the rate of a clock may differ from true time. See the assumptions above.
pub const DRIFT: f64 = 0.01;
/// The term of a lease on the grantor's clock, in seconds. A resource stays unused for up to this time after its
/// holder has died.
pub const MAX_TERM: f64 = 2.0;
/// The longest time from the holder's check to the effect of the use, in seconds.
pub const MAX_USE_DELAY: f64 = 0.1;
/// The most resources that are tracked, so that a faulty router can't exhaust the memory. Requests for more are
/// ignored.
const MAX_RESOURCES: usize = 1024;
/// A phase of an attempt that has found no majority after this time is abandoned, in seconds: several round trips
/// between distant regions.
const ATTEMPT_TIMEOUT: f64 = 0.5;
/// The number of low bits of an epoch that hold the index of the router.
const ROUTER_BITS: u32 = 16;

/// The number of the resource that a lease is for.
pub type Resource = u32;

/// The number of an attempt to get a lease, which increases with each attempt: a counter in the high bits, then the
/// index of the requesting router, so that no two routers use the same epoch.
pub type Epoch = u64;

fn epoch(counter: u64, router: u16) -> Epoch {
    counter << ROUTER_BITS | u64::from(router)
}

/// A lease that this router holds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Held {
    epoch: Epoch,
    /// When the lease expires on the holder's clock, in seconds.
    expires_at: f64,
}

/// The lease state of one router, both as requester or holder and as grantor.
#[derive(Clone, Debug)]
pub struct Leases {
    me: u16,
    expected: usize,
    /// Nothing is granted before this time, in seconds: by then all grants of earlier runs of this process have
    /// expired.
    grants_from: f64,
    /// The high bits of the latest epoch that this router has used, or has seen promised.
    counter: u64,
    grants: BTreeMap<Resource, Grant>,
    attempts: BTreeMap<Resource, Attempt>,
    held: BTreeMap<Resource, Held>,
    outgoing: Vec<(u16, Message)>,
    /// The fault that the model checker's test injects, to show that the checker finds it.
    pub injected: InjectedFault,
}

/// Faults for the model checker to find.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// No fault.
    #[default]
    None,
    /// A holder counts its term from the grant instead of the request.
    CountsFromGrant,
    /// A router that has lost its memory in a restart grants leases at once.
    GrantsAtOnce,
    /// The holder's term does not allow for drift between its clock and the grantors'.
    NoDrift,
}

impl Leases {
    /// The lease state of router `me`, of `expected` routers, at its start. `counter` must be larger than in any
    /// earlier run, as the Unix time of the start in milliseconds is.
    pub fn new(me: u16, expected: usize, counter: u64, now: f64) -> Leases {
        Leases {
            me,
            expected,
            grants_from: now + MAX_TERM * (1.0 + 2.0 * DRIFT),
            counter,
            grants: BTreeMap::new(),
            attempts: BTreeMap::new(),
            held: BTreeMap::new(),
            outgoing: Vec::new(),
            injected: InjectedFault::None,
        }
    }

    fn majority(&self) -> usize {
        crate::view::majority(self.expected)
    }

    fn broadcast(&mut self, message: Message, now: f64) {
        for router in (0..self.expected as u16).filter(|router| *router != self.me) {
            self.outgoing.push((router, message));
        }
        // This router is one of the grantors itself.
        self.receive(self.me, message, now);
    }

    /// Requests a lease, or an extension of one that is held. Does nothing while an attempt for the resource is under
    /// way, or if too many attempts are.
    pub fn request(&mut self, resource: Resource, now: f64) {
        if self.attempts.contains_key(&resource) || self.attempts.len() >= MAX_RESOURCES {
            return;
        }
        self.counter += 1;
        let epoch = epoch(self.counter, self.me);
        self.attempts.insert(resource, Attempt::Preparing { epoch, began: now, promises: Vec::new() });
        self.broadcast(Message::Prepare { resource, epoch }, now);
    }

    /// The epoch of a lease that this router holds and may use now; `None` otherwise. The caller checks this before
    /// each use, in the same turn.
    pub fn held_epoch(&self, resource: Resource, now: f64) -> Option<Epoch> {
        let held = self.held.get(&resource)?;
        (now < held.expires_at - MAX_USE_DELAY).then_some(held.epoch)
    }

    /// For how many more seconds a held lease may be used; `None` if it may not be used now.
    pub fn remaining(&self, resource: Resource, now: f64) -> Option<f64> {
        let held = self.held.get(&resource)?;
        Some(held.expires_at - MAX_USE_DELAY - now).filter(|remaining| *remaining > 0.0)
    }

    /// Gives up a lease, so that other routers need not wait until it expires. The grantors may have granted a later
    /// epoch than the one held here, if an attempt is under way or its replies were lost. So the release covers all
    /// epochs up to the latest that this router has requested.
    pub fn release(&mut self, resource: Resource, now: f64) {
        let attempt = self.attempts.remove(&resource);
        let held = self.held.remove(&resource);
        if attempt.is_some() || held.is_some() {
            let epoch = epoch(self.counter, self.me);
            self.broadcast(Message::Release { resource, epoch }, now);
        }
    }

    /// Abandons attempts that have timed out, and forgets leases that have expired.
    pub fn turn(&mut self, now: f64) {
        self.attempts.retain(|_, attempt| now < attempt.began() + ATTEMPT_TIMEOUT);
        self.held.retain(|_, held| now < held.expires_at);
    }

    /// Takes the messages to send, each with its receiver.
    pub fn take_outgoing(&mut self) -> Vec<(u16, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Handles a message from router `from`, which may be this router itself.
    pub fn receive(&mut self, from: u16, message: Message, now: f64) {
        match message {
            Message::Prepare { resource, epoch } => self.on_prepare(from, resource, epoch, now),
            Message::Propose { resource, epoch } => self.on_propose(from, resource, epoch, now),
            Message::Release { resource, epoch } => self.on_release(from, resource, epoch),
            Message::Promise { resource, epoch, holder } => {
                self.on_promise(from, resource, epoch, holder, now)
            }
            Message::Accept { resource, epoch } => self.on_accept(from, resource, epoch, now),
            Message::Refuse { resource, epoch, promised } => self.on_refuse(resource, epoch, promised),
        }
    }

    fn reply(&mut self, to: u16, message: Message, now: f64) {
        if to == self.me {
            self.receive(to, message, now);
        } else {
            self.outgoing.push((to, message));
        }
    }

    /// The whole state that later behaviour depends on, as text by which a model checker identifies states.
    pub fn state_text(&self) -> String {
        format!("{:?}", (self.grants_from, self.counter, &self.grants, &self.attempts, &self.held))
    }
}
