//! The decisions of one instance for all its addresses.
//!
//! [`aim`] says where an address ought to stand, [`moves`] when it may go there, [`drain`] is the end of all, and
//! [`routes`] what peers are told.

mod aim;
mod drain;
mod moves;
mod routes;

pub use drain::Drain;

use crate::damping::Penalty;
use crate::level::{Level, Why};
use crate::paths::{PathCounts, Paths};
use crate::signs::{Judged, Readings, Sign};
use crate::terms::Terms;
use ipnet::IpNet;
use std::collections::VecDeque;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Seconds: the window of the cap on changes.
pub const MINUTE: f64 = 60.0;
/// Notes kept until the host takes them: one for each of the 256 addresses that a service file may hold.
const MAX_NOTES: usize = 256;
/// Changes of one address that are remembered: more than any cap a service file may set.
const MAX_CHANGES: usize = 1024;

/// A level with its reason.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Standing {
    level: Level,
    why: Why,
}

impl Standing {
    fn new(level: Level, why: Why) -> Standing {
        Standing { level, why }
    }
}

/// A move that waits for its jitter to pass.
#[derive(Clone, Copy, Debug, PartialEq)]
struct PendingMove {
    level: Level,
    due: f64,
}

/// One service address.
#[derive(Clone, Debug)]
struct Address {
    net: IpNet,
    level: Level,
    why: Why,
    since: f64,
    pending: Option<PendingMove>,
    penalty: Penalty,
    /// When it changed, oldest first.
    changes: VecDeque<f64>,
    /// Since when no other path was seen at all.
    alone_since: Option<f64>,
    /// It was well for so long; counts from the last time that a sign was bad.
    well_since: Option<f64>,
    /// It has been out since the start.
    started: bool,
    /// What stands in the way of a move, told once.
    waits: Option<&'static str>,
}

impl Address {
    fn new(net: IpNet, now: f64) -> Address {
        Address {
            net,
            level: Level::Withdrawn,
            why: Why::Starting,
            since: now,
            pending: None,
            penalty: Penalty::default(),
            changes: VecDeque::new(),
            alone_since: None,
            well_since: None,
            started: false,
            waits: None,
        }
    }
}

/// Something to tell the log and the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct Note {
    pub net: IpNet,
    pub level: Level,
    pub why: Why,
    /// Paths of others that were seen then: sound ones and all.
    pub sound: usize,
    pub seen: usize,
    /// Set where nothing moved: what it waits for.
    pub waits: Option<&'static str>,
}

/// The decisions of one instance for all its addresses.
#[derive(Clone, Debug)]
pub struct Announcer {
    terms: Terms,
    seed: u64,
    random_draws: u64,
    /// By [`Sign`].
    signs: [Judged; Sign::COUNT],
    addresses: Vec<Address>,
    /// When the readings are judged next.
    judge_at: f64,
    drain: Option<Drain>,
    notes: VecDeque<Note>,
    pub changes: u64,
    /// Moves that the guard, the damping or the cap held back, each counted once.
    pub guarded: u64,
    pub damped: u64,
    pub capped: u64,
}

impl Announcer {
    pub fn new(terms: Terms, seed: u64, now: f64) -> Announcer {
        let addresses = terms.addresses.iter().map(|net| Address::new(*net, now)).collect();
        Announcer {
            signs: [Judged::new(now); Sign::COUNT],
            addresses,
            terms,
            seed,
            random_draws: 0,
            judge_at: now,
            drain: None,
            notes: VecDeque::new(),
            changes: 0,
            guarded: 0,
            damped: 0,
            capped: 0,
        }
    }

    pub fn terms(&self) -> &Terms {
        &self.terms
    }

    /// New terms while running: addresses that stay keep their state, new ones start. After a drain began nothing can
    /// bring one back: there is no address left to announce.
    pub fn change(&mut self, terms: Terms, now: f64) {
        let known = std::mem::take(&mut self.addresses);
        for net in &terms.addresses {
            let address = match known.iter().find(|address| address.net == *net) {
                Some(address) => address.clone(),
                None if self.drain.is_some() => Address { why: Why::Drained, ..Address::new(*net, now) },
                None => Address::new(*net, now),
            };
            self.addresses.push(address);
        }
        if let Some(drain) = &mut self.drain {
            drain.shorten(terms.shutdown_lead);
        }
        self.terms = terms;
        self.judge_at = now;
    }

    /// When [`Announcer::turn`] is to be called at the latest.
    pub fn due(&self) -> f64 {
        match self.drain {
            Some(drain) if self.addresses.iter().any(|address| address.level > Level::Withdrawn) => {
                drain.withdraws_at
            }
            Some(_) => f64::INFINITY,
            None => self.judge_at,
        }
    }

    /// Judges the readings if it is time, and moves what may move. Tells whether anything did.
    pub fn turn(&mut self, now: f64, readings: &Readings, paths: &Paths) -> bool {
        let before = self.changes;
        if self.drain.is_some() {
            self.end_lead(now);
        } else if now >= self.judge_at {
            self.judge_at = now + self.terms.every;
            self.judge(now, readings);
            for index in 0..self.addresses.len() {
                self.consider(index, now, paths);
            }
        }
        self.changes > before
    }

    fn judge(&mut self, now: f64, readings: &Readings) {
        for sign in Sign::ALL {
            let terms = &self.terms.signs[sign as usize];
            if let Some(good) = readings.good(sign, terms) {
                self.signs[sign as usize].saw(good, now, terms);
            }
        }
    }

    /// A time from nothing to `most`, from the seed.
    fn draw(&mut self, most: f64) -> f64 {
        self.random_draws += 1;
        let mut hasher = DefaultHasher::new();
        (self.seed, self.random_draws).hash(&mut hasher);
        most * (hasher.finish() as f64 / u64::MAX as f64)
    }

    /// Moves an address.
    fn set(&mut self, index: usize, standing: Standing, now: f64, others: PathCounts) {
        let address = &mut self.addresses[index];
        (address.level, address.why, address.since) = (standing.level, standing.why, now);
        address.started |= standing.level > Level::Withdrawn;
        (address.pending, address.waits) = (None, None);
        address.changes.push_back(now);
        if address.changes.len() > MAX_CHANGES {
            address.changes.pop_front();
        }
        self.changes += 1;
        self.note(index, others, None);
    }

    fn note(&mut self, index: usize, others: PathCounts, waits: Option<&'static str>) {
        let address = &mut self.addresses[index];
        address.waits = waits.or(address.waits);
        if self.notes.len() < MAX_NOTES {
            let Address { net, level, why, .. } = *address;
            let PathCounts { sound, seen } = others;
            self.notes.push_back(Note { net, level, why, sound, seen, waits });
        }
    }

    pub fn noted(&mut self) -> Option<Note> {
        self.notes.pop_front()
    }

    /// How each address stands, why, since when, and what a move waits for.
    pub fn stands(&self) -> impl Iterator<Item = (IpNet, Level, Why, f64, Option<&'static str>)> + '_ {
        let stands =
            |address: &Address| (address.net, address.level, address.why, address.since, address.waits);
        self.addresses.iter().map(stands)
    }

    /// Signs that are bad now.
    pub fn bad(&self) -> impl Iterator<Item = Sign> + '_ {
        Sign::ALL.into_iter().filter(|sign| !self.signs[*sign as usize].good)
    }
}

#[cfg(test)]
mod tests;
