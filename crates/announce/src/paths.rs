//! Who else announces our addresses, as peers show it.

use cleatgw_bgp::{LearnedRoute, GRACEFUL_SHUTDOWN};
use ipnet::IpNet;
use std::collections::{BTreeMap, BTreeSet};

/// The large community (RFC 8092) that every path of ours carries: our AS, whether it is sound, and which instance.
/// It tells instances that share an AS apart, and the sick from the sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Mark {
    pub asn: u32,
    /// The function numbers of a sound path and of a last resort.
    pub sound: u32,
    pub last_resort: u32,
    /// Our BGP identifier.
    pub instance: u32,
}

impl Mark {
    pub fn write(&self, sound: bool) -> [u32; 3] {
        [self.asn, if sound { self.sound } else { self.last_resort }, self.instance]
    }

    /// The instance that a path is from, and whether it says that it is sound; none for a path without a mark.
    fn read(&self, seen: &LearnedRoute) -> Option<(u32, bool)> {
        let marks = seen.large_communities.iter().filter(|[asn, _, _]| *asn == self.asn);
        let known = marks.filter(|[_, function, _]| *function == self.sound || *function == self.last_resort);
        known.map(|[_, function, instance]| (*instance, *function == self.sound)).next()
    }
}

/// Paths to one address that other instances announce.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct PathCounts {
    /// Those that are not known to be sick.
    pub sound: usize,
    pub seen: usize,
}

/// What is seen of one address.
#[derive(Clone, Debug, Default, PartialEq)]
struct Announcers {
    /// Instances by their marks, those that are sound and all.
    sound: BTreeSet<u32>,
    seen: BTreeSet<u32>,
    /// Paths without a mark.
    unmarked: usize,
}

/// Paths of other instances, by address.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Paths {
    /// A session is up that would show them: without one nothing is known.
    pub view: bool,
    by_net: BTreeMap<IpNet, Announcers>,
}

impl Paths {
    /// Nothing is shown yet; `view` as above.
    pub fn new(view: bool) -> Paths {
        Paths { view, by_net: BTreeMap::new() }
    }

    /// Adds what one peer shows. Our own path, shown back to us, counts for nothing; a stale one neither: its peer may
    /// be gone. One that is about to go (RFC 8326) or a last resort is seen, and not sound.
    pub fn add(&mut self, mark: &Mark, net: IpNet, seen: &LearnedRoute) {
        if seen.stale {
            return;
        }
        let leaving = seen.communities.contains(&GRACEFUL_SHUTDOWN);
        let announcers = self.by_net.entry(net).or_default();
        match mark.read(seen) {
            Some((instance, _)) if instance == mark.instance => {}
            Some((instance, sound)) => {
                announcers.seen.insert(instance);
                if sound && !leaving {
                    announcers.sound.insert(instance);
                }
            }
            // Somebody else's, or a peer that strips communities: a path, and not known to be sick.
            None => announcers.unmarked += usize::from(!leaving),
        }
    }

    pub(crate) fn counts(&self, net: &IpNet) -> PathCounts {
        let Some(announcers) = self.by_net.get(net) else { return PathCounts::default() };
        PathCounts {
            sound: announcers.sound.len() + announcers.unmarked,
            seen: announcers.seen.len() + announcers.unmarked,
        }
    }

    pub fn sound(&self, net: &IpNet) -> usize {
        self.counts(net).sound
    }

    pub fn seen(&self, net: &IpNet) -> usize {
        self.counts(net).seen
    }
}

#[cfg(test)]
mod tests;
