//! Leases: what only one router may do at a time, granted by a majority of those expected, each with an epoch that only
//! grows. After PaxosLease (Trencséni, Gazsó and Reinhardt, 2012) and Gray and Cheriton (1989): no log, no disk.
//!
//! **What it rests on.** Clocks are only ever compared with themselves. For two routers' clocks, one second of one is
//! at most `1 + 2 * DRIFT` seconds of the other (a bound on rates, not on what they show; steps of the Unix clock do not
//! matter, as none is read). A grantor that has lost its memory grants nothing for [`LONGEST`] after its start. A holder
//! looks at [`Leases::holds`] before each use, in the same turn, and a use has taken effect [`MOST_PAUSE`] after that look
//! or never: what a freeze between the two lets through later is stopped by the epoch, where the other side checks that.
//! Epochs go back only if a majority loses its memory at once *and* the Unix clocks that they start from were set back.

mod grantor;
mod message;
mod requester;
#[cfg(test)]
mod tests;

use grantor::Grant;
pub use message::Say;
use requester::Attempt;
use std::collections::BTreeMap;

/// By how much a clock's rate may differ from true time.
pub const DRIFT: f64 = 0.01;
/// No lease lasts longer, in seconds of the grantor's clock.
pub const LONGEST: f64 = 2.0;
/// From the holder's look to the effect of what it does, in seconds.
pub const MOST_PAUSE: f64 = 0.1;
/// Things that leases are kept for; more are refused.
const MOST_THINGS: usize = 1024;
/// An attempt that has no majority by then is over, in seconds.
const PATIENCE: f64 = 0.5;

/// What a lease is for.
pub type Thing = u32;

/// Grows with each attempt: a counter, then the number of the router that made it, so that no two are alike.
pub type Epoch = u64;

fn epoch(counter: u64, router: u16) -> Epoch {
    counter << 16 | u64::from(router)
}

/// One router's part, as holder and as grantor.
#[derive(Clone, Debug)]
pub struct Leases {
    me: u16,
    expected: usize,
    /// Before this nothing is granted: what was granted in a former life has run out by then.
    grants_from: f64,
    counter: u64,
    granted: BTreeMap<Thing, Grant>,
    attempts: BTreeMap<Thing, Attempt>,
    /// Epoch, and until when on our clock we may use it.
    held: BTreeMap<Thing, (Epoch, f64)>,
    out: Vec<(u16, Say)>,
    /// Left out only to see that the model checker finds what it is for.
    pub planted: Planted,
}

/// Faults for the model checker.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Planted {
    #[default]
    None,
    /// A holder counts its lease from when it was granted, not from when it asked.
    CountsFromGrant,
    /// A router that has lost its memory grants at once.
    GrantsAtOnce,
    /// The holder's clock is taken to run as the grantors' do.
    NoDrift,
}

impl Leases {
    /// A router's part after its start. `counter` must be larger than any it had in a former life: the Unix time of the
    /// start in milliseconds is.
    pub fn new(me: u16, expected: usize, counter: u64, now: f64) -> Leases {
        Leases {
            me,
            expected,
            grants_from: now + LONGEST * (1.0 + 2.0 * DRIFT),
            counter,
            granted: BTreeMap::new(),
            attempts: BTreeMap::new(),
            held: BTreeMap::new(),
            out: Vec::new(),
            planted: Planted::None,
        }
    }

    fn majority(&self) -> usize {
        crate::view::majority(self.expected)
    }

    fn say_to_all(&mut self, say: Say, now: f64) {
        for router in (0..self.expected as u16).filter(|router| *router != self.me) {
            self.out.push((router, say));
        }
        // Our own part as a grantor is asked like any other.
        self.heard(self.me, say, now);
    }

    /// Asks for a lease, or for more time on one that we hold. One attempt at a time is under way for a thing.
    pub fn ask(&mut self, thing: Thing, now: f64) {
        if self.attempts.contains_key(&thing) || self.attempts.len() >= MOST_THINGS {
            return;
        }
        self.counter += 1;
        let epoch = epoch(self.counter, self.me);
        self.attempts.insert(thing, Attempt::Preparing { epoch, began: now, promises: Vec::new() });
        self.say_to_all(Say::Prepare { thing, epoch }, now);
    }

    /// The epoch under which we hold a lease that may be used now: look before each use, in the same turn.
    pub fn holds(&self, thing: Thing, now: f64) -> Option<Epoch> {
        self.held.get(&thing).filter(|(_, until)| now < until - MOST_PAUSE).map(|(epoch, _)| *epoch)
    }

    /// For how many seconds more a lease that we hold may be used, if it may be now.
    pub fn left(&self, thing: Thing, now: f64) -> Option<f64> {
        self.held.get(&thing).map(|(_, until)| until - MOST_PAUSE - now).filter(|left| *left > 0.0)
    }

    /// We have stopped: others need not wait for its end. What they granted may be younger than what we hold: an attempt
    /// is under way, or its answers were lost. So all that we have asked for until now is given up.
    pub fn release(&mut self, thing: Thing, now: f64) {
        let (asked, held) = (self.attempts.remove(&thing), self.held.remove(&thing));
        if asked.is_some() || held.is_some() {
            self.say_to_all(Say::Release { thing, epoch: epoch(self.counter, self.me) }, now);
        }
    }

    /// Gives up attempts that found no majority, and forgets what has run out.
    pub fn turn(&mut self, now: f64) {
        self.attempts.retain(|_, attempt| now < attempt.began() + PATIENCE);
        self.held.retain(|_, (_, until)| now < *until);
    }

    pub fn outgoing(&mut self) -> Vec<(u16, Say)> {
        std::mem::take(&mut self.out)
    }

    /// What another router, or we ourselves, said.
    pub fn heard(&mut self, from: u16, say: Say, now: f64) {
        match say {
            Say::Prepare { thing, epoch } => self.prepared(from, thing, epoch, now),
            Say::Propose { thing, epoch } => self.proposed(from, thing, epoch, now),
            Say::Release { thing, epoch } => self.released(from, thing, epoch),
            Say::Promise { thing, epoch, held } => self.promised(from, thing, epoch, held, now),
            Say::Accept { thing, epoch } => self.accepted(from, thing, epoch, now),
            Say::Refuse { thing, epoch, promised } => self.refused(thing, epoch, promised),
        }
    }

    fn answer(&mut self, to: u16, say: Say, now: f64) {
        match to == self.me {
            true => self.heard(to, say, now),
            false => self.out.push((to, say)),
        }
    }

    /// All that what follows depends on, for a model checker.
    pub fn digest(&self) -> String {
        format!("{:?}", (self.grants_from, self.counter, &self.granted, &self.attempts, &self.held))
    }
}
