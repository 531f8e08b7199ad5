//! Leader roles: what one router at a time does for the whole cluster, each under a [`crate::lease`] of its own. Decides
//! who requests the lease, and when; that no two routers hold one is up to the lease alone, whatever is decided here.
//!
//! Routers are ranked for each role by rendezvous hashing (Thaler and Ravishankar, 1998), alike on all of them; the first few
//! of those present request the lease, the better ranked sooner. So a role stays where it is while its holder lives, it has
//! one natural successor when the holder does not, and the number of requests does not grow with that of routers.

use crate::lease::{Epoch, Leases, Resource, MAX_TERM};
use crate::view::Permissions;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Roles of one cluster at most; more are left alone.
pub const MAX_ROLES: usize = 64;
/// How many of the routers that are present request the lease: two may fail together with the holder.
const CANDIDATES: usize = 3;
/// The first candidate requests so often while it holds nothing, each one behind it so much more seldom, in seconds.
const REQUEST_INTERVAL: f64 = 0.25;
/// Beyond this rank the interval does not grow.
const MAX_RANK_DELAY: usize = 8;
/// A lease is extended once this part of its term has passed: two attempts may fail before it ends.
const RENEW_AFTER: f64 = 0.4;

/// The resource of a role's lease. It depends on the name alone, so that routers whose files list roles in another order
/// agree.
pub fn role_resource(name: &str) -> Resource {
    // The same in every build; other resources have the lower half of the numbers.
    crc32fast::hash(name.as_bytes()) | 1 << 31
}

#[derive(Clone, Debug)]
struct Role {
    resource: Resource,
    next_request: f64,
}

/// The part of one router in all roles.
#[derive(Clone, Debug, Default)]
pub struct LeaderRoles {
    cluster: u64,
    roles: Vec<Role>,
}

/// Who holds a role, as far as this router knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoleStatus {
    /// This router does.
    Held {
        /// The epoch of its lease.
        epoch: Epoch,
        /// How long the lease may still be used if it is not extended, in seconds.
        remaining: f64,
    },
    /// Another router, by its place in the cluster file, to which this router has granted the lease.
    HeldBy(u16),
    /// Not granted by this router, or expired.
    Unknown,
}

/// What a router needs to know to request the leases of its roles.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// This router.
    pub me: u16,
    /// The routers that are present.
    pub present: &'a [u16],
    /// What the view of this router allows.
    pub permissions: Permissions,
    /// A draw from 0 to 1, which spreads the requests of many routers.
    pub chance: f64,
}

impl LeaderRoles {
    /// The roles of these resources, requested from `now` on.
    pub fn new(cluster: u64, resources: &[Resource], now: f64) -> LeaderRoles {
        let resources = resources.iter().take(MAX_ROLES);
        let roles = resources.map(|&resource| Role { resource, next_request: now });
        LeaderRoles { cluster, roles: roles.collect() }
    }

    /// The resources of all roles.
    pub fn resources(&self) -> impl Iterator<Item = Resource> + '_ {
        self.roles.iter().map(|role| role.resource)
    }

    /// When [`LeaderRoles::turn`] is to be called next, in seconds; infinite without roles.
    pub fn due(&self) -> f64 {
        self.roles.iter().map(|role| role.next_request).fold(f64::INFINITY, f64::min)
    }

    /// Requests the leases that are due.
    pub fn turn(&mut self, candidate: Candidate, leases: &mut Leases, now: f64) {
        let spread = 0.75 + 0.5 * candidate.chance;
        for role in self.roles.iter_mut().filter(|role| now >= role.next_request) {
            let remaining = leases.remaining(role.resource, now);
            let interval = match remaining {
                Some(remaining) => {
                    extend(role.resource, remaining, candidate.permissions, leases, now);
                    REQUEST_INTERVAL
                }
                None => {
                    let rank = rank(self.cluster, role.resource, candidate.me, candidate.present);
                    take_over(role.resource, rank, candidate, leases, now);
                    REQUEST_INTERVAL * (1.0 + rank.min(MAX_RANK_DELAY) as f64)
                }
            };
            role.next_request = now + interval * spread;
        }
    }

    /// Who holds the role of this resource, as far as router `me` knows.
    pub fn status(&self, resource: Resource, me: u16, leases: &Leases, now: f64) -> RoleStatus {
        if let (Some(epoch), Some(remaining)) =
            (leases.held_epoch(resource, now), leases.remaining(resource, now))
        {
            return RoleStatus::Held { epoch, remaining };
        }
        let other = leases.granted_to(resource, now).filter(|holder| *holder != me);
        other.map_or(RoleStatus::Unknown, RoleStatus::HeldBy)
    }
}

/// Requests an extension of a lease that is held. That needs no view, as a majority either grants it or does not.
fn extend(resource: Resource, remaining: f64, permissions: Permissions, leases: &mut Leases, now: f64) {
    let renews = remaining < MAX_TERM * (1.0 - RENEW_AFTER);
    if renews && permissions.requests_leases {
        leases.request(resource, now);
    }
}

/// Requests a lease that, as far as this router knows, no other holds.
fn take_over(resource: Resource, rank: usize, candidate: Candidate, leases: &mut Leases, now: f64) {
    let other = leases.granted_to(resource, now).is_some_and(|holder| holder != candidate.me);
    if rank < CANDIDATES && candidate.permissions.takes_over && !other {
        leases.request(resource, now);
    }
}

/// How many of the routers that are present come before router `me` for a resource.
pub fn rank(cluster: u64, resource: Resource, me: u16, present: &[u16]) -> usize {
    let weight = |router: u16| {
        let mut hasher = DefaultHasher::new();
        (cluster, resource, router).hash(&mut hasher);
        (hasher.finish(), router)
    };
    let own = weight(me);
    present.iter().filter(|router| **router != me && weight(**router) > own).count()
}

#[cfg(test)]
mod tests;
