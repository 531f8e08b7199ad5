//! Routes learned from one peer (Adj-RIB-In, RFC 4271 section 3.2), kept only where they lead to our own service
//! addresses: who else announces them. Bounded by count whatever a peer sends.

use crate::open::Family;
use crate::update::PathAttributes;
use ipnet::IpNet;
use prefix_trie::joint::{JointPrefixMap, JointPrefixSet};

/// What is remembered of one path to a service address.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seen {
    pub communities: Vec<u32>,
    pub large_communities: Vec<[u32; 3]>,
    pub path_length: usize,
    pub med: Option<u32>,
    /// Its session is gone, and the peer said that it would be back (RFC 4724 section 4.2).
    pub stale: bool,
}

/// So many communities of a path are remembered, of each kind.
const MOST_COMMUNITIES: usize = 32;

#[derive(Clone, Debug)]
pub struct Learned {
    /// The service addresses; routes to others are passed over.
    services: JointPrefixSet<IpNet>,
    routes: JointPrefixMap<IpNet, Seen>,
    most: usize,
    stale_until: f64,
    /// Routes that led to no service address of ours.
    pub passed_over: u64,
    /// Routes that there was no room for.
    pub left_out: u64,
}

impl Learned {
    pub fn new(services: &[IpNet], most: usize) -> Learned {
        Learned {
            services: services.iter().map(|net| net.trunc()).collect(),
            routes: JointPrefixMap::new(),
            most,
            stale_until: f64::INFINITY,
            passed_over: 0,
            left_out: 0,
        }
    }

    /// Other service addresses from now on: what led to those that are gone is forgotten, what leads to new ones has
    /// been passed over and must be asked for again.
    pub fn serve(&mut self, services: &[IpNet]) {
        self.services = services.iter().map(|net| net.trunc()).collect();
        let services = &self.services;
        self.routes.retain(|net, _| services.get_lpm(&net).is_some());
    }

    /// A route is of use where it is a service address, or a part of one that would draw its clients away.
    pub fn insert(&mut self, net: IpNet, attributes: &PathAttributes) {
        if self.services.get_lpm(&net).is_none() {
            self.passed_over += 1;
            return;
        }
        if self.routes.len() >= self.most && self.routes.get(&net).is_none() {
            self.left_out += 1;
            return;
        }
        let seen = Seen {
            communities: attributes.communities.iter().copied().take(MOST_COMMUNITIES).collect(),
            large_communities: attributes.large_communities.iter().copied().take(MOST_COMMUNITIES).collect(),
            path_length: attributes.path_length(),
            med: attributes.med,
            stale: false,
        };
        self.routes.insert(net, seen);
    }

    pub fn remove(&mut self, net: &IpNet) {
        self.routes.remove(net);
    }

    pub fn clear(&mut self) {
        self.routes.clear();
        self.stale_until = f64::INFINITY;
    }

    /// The session is gone and the peer will be back: its routes stand until then at the latest.
    pub fn grow_stale(&mut self, families: [bool; 2], until: f64) {
        self.routes.retain(|net, _| families[Family::of_prefix(&net) as usize]);
        self.routes.values_mut().for_each(|seen| seen.stale = true);
        self.stale_until = if self.routes.is_empty() { f64::INFINITY } else { until };
    }

    /// All that the peer has of a family is told: what is still stale in it is gone.
    pub fn told_all(&mut self, family: Family) {
        self.routes.retain(|net, seen| !seen.stale || Family::of_prefix(&net) != family);
        if !self.routes.values().any(|seen| seen.stale) {
            self.stale_until = f64::INFINITY;
        }
    }

    pub fn due(&self) -> f64 {
        self.stale_until
    }

    pub fn time_passed(&mut self, now: f64) {
        if now >= self.stale_until {
            self.routes.retain(|_, seen| !seen.stale);
            self.stale_until = f64::INFINITY;
        }
    }

    pub fn iter(&self) -> impl Iterator<Item = (IpNet, &Seen)> {
        self.routes.iter()
    }

    pub fn len(&self) -> usize {
        self.routes.len()
    }

    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

#[cfg(test)]
mod tests;
