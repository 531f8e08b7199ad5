//! Routes learned from one peer (Adj-RIB-In, RFC 4271 section 3.2). Only routes within our own service prefixes are
//! kept: they show who else announces these prefixes. The number of routes is bounded, whatever a peer sends.

use crate::family::Family;
use crate::update::PathAttributes;
use ipnet::IpNet;
use prefix_trie::joint::{JointPrefixMap, JointPrefixSet};

/// The number of communities of each kind that are kept of one route. Together with the maximum number of routes, it
/// bounds the memory that one peer can use.
const MAX_COMMUNITIES: usize = 32;

/// The attributes that are kept of one learned route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LearnedRoute {
    /// COMMUNITIES (RFC 1997), the first 32.
    pub communities: Vec<u32>,
    /// LARGE_COMMUNITIES (RFC 8092), the first 32.
    pub large_communities: Vec<[u32; 3]>,
    /// The length of the AS_PATH in hops.
    pub path_length: usize,
    /// MULTI_EXIT_DISC.
    pub med: Option<u32>,
    /// Whether the session on which the route was learned is lost, and the route is kept because the peer announced
    /// Graceful Restart (RFC 4724 section 4.2).
    pub stale: bool,
}

/// The routes learned from one peer.
#[derive(Clone, Debug)]
pub struct AdjRibIn {
    service_prefixes: JointPrefixSet<IpNet>,
    routes: JointPrefixMap<IpNet, LearnedRoute>,
    max_routes: usize,
    /// The time at which stale routes are removed, in seconds; infinite if there are none.
    stale_until: f64,
    /// The number of received routes that were ignored because they are not within a service prefix.
    pub ignored: u64,
    /// The number of received routes that were dropped because the maximum number of routes was reached.
    pub over_limit: u64,
}

impl AdjRibIn {
    /// An empty Adj-RIB-In that accepts routes to `service_prefixes` and to more specific prefixes, at most
    /// `max_routes`.
    pub fn new(service_prefixes: &[IpNet], max_routes: usize) -> AdjRibIn {
        AdjRibIn {
            service_prefixes: service_prefixes.iter().map(IpNet::trunc).collect(),
            routes: JointPrefixMap::new(),
            max_routes,
            stale_until: f64::INFINITY,
            ignored: 0,
            over_limit: 0,
        }
    }

    /// Replaces the service prefixes, and removes routes that are not within one of the new ones. Routes to added
    /// prefixes were ignored until now, so they must be requested from the peer again (route refresh).
    pub fn set_service_prefixes(&mut self, service_prefixes: &[IpNet]) {
        self.service_prefixes = service_prefixes.iter().map(IpNet::trunc).collect();
        let service_prefixes = &self.service_prefixes;
        self.routes.retain(|prefix, _| service_prefixes.get_lpm(&prefix).is_some());
    }

    /// Adds or replaces a route. Routes outside the service prefixes are ignored. A route to a more specific prefix is
    /// kept because it would attract the clients of the service prefix.
    pub fn insert(&mut self, prefix: IpNet, attributes: &PathAttributes) {
        if self.service_prefixes.get_lpm(&prefix).is_none() {
            self.ignored += 1;
            return;
        }
        if self.routes.len() >= self.max_routes && self.routes.get(&prefix).is_none() {
            self.over_limit += 1;
            return;
        }
        let large_communities = attributes.large_communities.iter().take(MAX_COMMUNITIES);
        let route = LearnedRoute {
            communities: attributes.communities.iter().copied().take(MAX_COMMUNITIES).collect(),
            large_communities: large_communities.copied().collect(),
            path_length: attributes.path_length(),
            med: attributes.med,
            stale: false,
        };
        self.routes.insert(prefix, route);
    }

    /// Removes the route of a withdrawn prefix.
    pub fn remove(&mut self, prefix: &IpNet) {
        self.routes.remove(prefix);
    }

    /// Removes all routes.
    pub fn clear(&mut self) {
        self.routes.clear();
        self.stale_until = f64::INFINITY;
    }

    /// Marks routes as stale after the session was lost, if the peer is expected to return. `families`, indexed by
    /// [`Family`], tells which routes are kept, until `until` (seconds) at the latest; those of other families are
    /// removed.
    pub fn mark_stale(&mut self, families: [bool; 2], until: f64) {
        self.routes.retain(|prefix, _| families[Family::of_prefix(&prefix) as usize]);
        for route in self.routes.values_mut() {
            route.stale = true;
        }
        self.stale_until = if self.routes.is_empty() { f64::INFINITY } else { until };
    }

    /// Removes the routes of a family that are still stale, after the peer has sent all its routes of that family.
    pub fn remove_stale(&mut self, family: Family) {
        self.routes.retain(|prefix, route| !route.stale || Family::of_prefix(&prefix) != family);
        if !self.routes.values().any(|route| route.stale) {
            self.stale_until = f64::INFINITY;
        }
    }

    /// The time at which [`AdjRibIn::expire_stale`] must be called; infinite if no route is stale.
    pub fn due(&self) -> f64 {
        self.stale_until
    }

    /// Removes stale routes if the time until which they are kept has passed.
    pub fn expire_stale(&mut self, now: f64) {
        if now >= self.stale_until {
            self.routes.retain(|_, route| !route.stale);
            self.stale_until = f64::INFINITY;
        }
    }

    /// The routes with their prefixes.
    pub fn iter(&self) -> impl Iterator<Item = (IpNet, &LearnedRoute)> {
        self.routes.iter()
    }

    /// The number of routes.
    pub fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether there are no routes.
    pub fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }
}

#[cfg(test)]
mod tests;
