//! Leases on what only one router may do at a time, granted by a majority of the expected routers, each under an epoch
//! that only grows. After PaxosLease (Trencséni, Gazsó and Reinhardt, 2012) and Gray and Cheriton (1989): without a log and
//! without a disk.
//!
//! **Assumptions.** A clock is only ever compared with itself. Of two routers' clocks, one second of one is at most
//! `1 + 2 * DRIFT` seconds of the other: a bound on their rates, not on what they show. Steps of the Unix clock do not matter,
//! as it is not read. A grantor that has lost its memory grants nothing for [`MAX_TERM`] after its start. A holder checks
//! [`Leases::held_epoch`] before each use, in the same turn, and a use takes effect within [`MAX_USE_DELAY`] of that check or
//! never; what a freeze between the two lets through later is stopped by the epoch, where the other side checks it. Epochs
//! go back only if a majority loses its memory at once *and* the Unix clocks that they start from were set back.

mod grantor;
mod message;
mod requester;
#[cfg(test)]
mod tests;

use grantor::Grant;
pub use message::Message;
use requester::Attempt;
use std::collections::BTreeMap;

/// By how much the rate of a clock may differ from true time.
pub const DRIFT: f64 = 0.01;
/// The term of a lease on the grantor's clock, in seconds: how long a resource stays unused after its holder has died.
pub const MAX_TERM: f64 = 2.0;
/// The longest time from the holder's check to the effect of what it does, in seconds.
pub const MAX_USE_DELAY: f64 = 0.1;
/// Resources that are kept at most, so that a faulty router can't fill the memory; more are refused.
const MAX_RESOURCES: usize = 1024;
/// An attempt without a majority after this time is given up, in seconds: several round trips between far regions.
const ATTEMPT_TIMEOUT: f64 = 0.5;
/// The low bits of an epoch that hold the number of the router.
const ROUTER_BITS: u32 = 16;

/// What a lease is for.
pub type Resource = u32;

/// Grows with each attempt: a counter, then the number of the router that made it, so that no two are alike.
pub type Epoch = u64;

fn epoch(counter: u64, router: u16) -> Epoch {
    counter << ROUTER_BITS | u64::from(router)
}

/// A lease that this router holds.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Held {
    epoch: Epoch,
    /// On the holder's clock, in seconds.
    expires_at: f64,
}

/// The part of one router, as holder and as grantor.
#[derive(Clone, Debug)]
pub struct Leases {
    me: u16,
    expected: usize,
    /// Nothing is granted before this time: what was granted in a former incarnation has expired by then.
    grants_from: f64,
    counter: u64,
    grants: BTreeMap<Resource, Grant>,
    attempts: BTreeMap<Resource, Attempt>,
    held: BTreeMap<Resource, Held>,
    outgoing: Vec<(u16, Message)>,
    /// What is left out on purpose, so that a test of the model checker can see that it is found.
    pub injected: InjectedFault,
}

/// Faults for the model checker to find.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InjectedFault {
    /// The code as it is.
    #[default]
    None,
    /// A holder counts its term from the grant in place of the request.
    CountsFromGrant,
    /// A router that has lost its memory grants at once.
    GrantsAtOnce,
    /// The holder's clock is taken to run as the grantors' do.
    NoDrift,
}

impl Leases {
    /// The part of router `me` among `expected` routers after its start. `counter` must be larger than in any former incarnation:
    /// the Unix time of the start in milliseconds is.
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
        // This router's own part as a grantor is asked like any other.
        self.receive(self.me, message, now);
    }

    /// Requests a lease, or an extension of one that is held. One attempt at a time is made for a resource.
    pub fn request(&mut self, resource: Resource, now: f64) {
        if self.attempts.contains_key(&resource) || self.attempts.len() >= MAX_RESOURCES {
            return;
        }
        self.counter += 1;
        let epoch = epoch(self.counter, self.me);
        self.attempts.insert(resource, Attempt::Preparing { epoch, began: now, promises: Vec::new() });
        self.broadcast(Message::Prepare { resource, epoch }, now);
    }

    /// The epoch of a lease that is held and may be used now. To be checked before each use, in the same turn.
    pub fn held_epoch(&self, resource: Resource, now: f64) -> Option<Epoch> {
        let held = self.held.get(&resource)?;
        (now < held.expires_at - MAX_USE_DELAY).then_some(held.epoch)
    }

    /// For how many seconds more a lease that is held may be used, if it may be used now.
    pub fn remaining(&self, resource: Resource, now: f64) -> Option<f64> {
        let held = self.held.get(&resource)?;
        Some(held.expires_at - MAX_USE_DELAY - now).filter(|remaining| *remaining > 0.0)
    }

    /// Gives up a lease, so that others need not wait for its end. What the grantors have granted may be later than what is
    /// held, as an attempt is under way or its replies were lost: all that was requested until now is given up.
    pub fn release(&mut self, resource: Resource, now: f64) {
        let attempt = self.attempts.remove(&resource);
        let held = self.held.remove(&resource);
        if attempt.is_some() || held.is_some() {
            let epoch = epoch(self.counter, self.me);
            self.broadcast(Message::Release { resource, epoch }, now);
        }
    }

    /// Gives up attempts that have timed out, and forgets leases that have expired.
    pub fn turn(&mut self, now: f64) {
        self.attempts.retain(|_, attempt| now < attempt.began() + ATTEMPT_TIMEOUT);
        self.held.retain(|_, held| now < held.expires_at);
    }

    /// The messages to send, each with its receiver.
    pub fn take_outgoing(&mut self) -> Vec<(u16, Message)> {
        std::mem::take(&mut self.outgoing)
    }

    /// Takes a message of another router, or of this one.
    pub fn receive(&mut self, from: u16, message: Message, now: f64) {
        match message {
            Message::Prepare { resource, epoch } => self.on_prepare(from, resource, epoch, now),
            Message::Propose { resource, epoch } => self.on_propose(from, resource, epoch, now),
            Message::Release { resource, epoch } => self.on_release(from, resource, epoch),
            Message::Promise { resource, epoch, held } => self.on_promise(from, resource, epoch, held, now),
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

    /// The whole state that later behaviour depends on, as text for a model checker.
    pub fn digest(&self) -> String {
        format!("{:?}", (self.grants_from, self.counter, &self.grants, &self.attempts, &self.held))
    }
}
