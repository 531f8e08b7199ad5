//! Duties: what one router at a time does for all of them, each under a [`crate::lease`] of its own. Decides who asks, and
//! when; that no two hold one is the lease's part alone, whatever is decided here.
//!
//! Routers are ranked for each duty by rendezvous hashing, the same at all of them; the first few of those present ask, the
//! better ranked sooner. So a duty stays where it is while its holder lives, has one natural successor when it does not,
//! and what is asked does not grow with the number of routers.

use crate::lease::{Epoch, Leases, Resource, MAX_TERM};
use crate::view::Allowed;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Duties of one router at most; more are left alone.
pub const MOST_DUTIES: usize = 64;
/// So many of those present ask.
const ASKING: usize = 3;
/// The best ranked asks so often while it holds nothing, each one behind it so much more seldom, in seconds.
const EVERY: f64 = 0.25;
/// A lease is asked for again once so much of it has passed: two attempts may fail before it ends.
const RENEW: f64 = 0.4;

/// What a duty's lease is for: tied to its name, so that routers whose files list duties in another order agree.
pub fn thing(name: &str) -> Resource {
    // The same in every build; other things have the lower half of the numbers.
    crc32fast::hash(name.as_bytes()) | 1 << 31
}

#[derive(Clone, Debug)]
struct Duty {
    thing: Resource,
    ask_at: f64,
}

/// One router's part in all duties.
#[derive(Clone, Debug, Default)]
pub struct Duties {
    cluster: u64,
    all: Vec<Duty>,
}

/// How a duty stands by this router's knowledge.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Stands {
    /// Ours under this epoch, and for how many seconds more if nothing comes of asking again.
    Ours(Epoch, f64),
    /// Granted to another, as far as this router knows.
    Held(u16),
    Unknown,
}

impl Duties {
    pub fn new(cluster: u64, things: &[Resource], now: f64) -> Duties {
        let things = things.iter().take(MOST_DUTIES);
        Duties { cluster, all: things.map(|&thing| Duty { thing, ask_at: now }).collect() }
    }

    pub fn things(&self) -> impl Iterator<Item = Resource> + '_ {
        self.all.iter().map(|duty| duty.thing)
    }

    /// When something may have to be asked.
    pub fn due(&self) -> f64 {
        self.all.iter().map(|duty| duty.ask_at).fold(f64::INFINITY, f64::min)
    }

    /// Asks for what is due; `chance` is from 0 to 1.
    pub fn turn(
        &mut self,
        me: u16,
        present: &[u16],
        allowed: Allowed,
        leases: &mut Leases,
        chance: f64,
        now: f64,
    ) {
        for duty in self.all.iter_mut().filter(|duty| now >= duty.ask_at) {
            let spread = 0.75 + 0.5 * chance;
            if let Some(left) = leases.remaining(duty.thing, now) {
                // Ours: time on it needs no view, as a majority either grants that or does not.
                let renews = left < MAX_TERM * (1.0 - RENEW);
                if renews && allowed.asks_for_leases {
                    leases.request(duty.thing, now);
                }
                duty.ask_at = now + EVERY * spread;
                continue;
            }
            let rank = rank(self.cluster, duty.thing, me, present);
            duty.ask_at = now + EVERY * (1.0 + rank.min(8) as f64) * spread;
            let other = leases.granted_to(duty.thing, now).is_some_and(|holder| holder != me);
            if rank < ASKING && allowed.takes_over && !other {
                leases.request(duty.thing, now);
            }
        }
    }

    pub fn stands(&self, thing: Resource, me: u16, leases: &Leases, now: f64) -> Stands {
        match (leases.holds(thing, now), leases.remaining(thing, now)) {
            (Some(epoch), Some(left)) => Stands::Ours(epoch, left),
            _ => match leases.granted_to(thing, now).filter(|holder| *holder != me) {
                Some(holder) => Stands::Held(holder),
                None => Stands::Unknown,
            },
        }
    }
}

/// How many of those present come before this router for a thing.
pub fn rank(cluster: u64, thing: Resource, me: u16, present: &[u16]) -> usize {
    let weight = |router: u16| {
        let mut hasher = DefaultHasher::new();
        (cluster, thing, router).hash(&mut hasher);
        (hasher.finish(), router)
    };
    let ours = weight(me);
    present.iter().filter(|router| **router != me && weight(**router) > ours).count()
}

#[cfg(test)]
mod tests;
