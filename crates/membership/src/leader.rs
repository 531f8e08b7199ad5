//! Leader roles: tasks that one router at a time does for the whole cluster, each under a [`crate::lease`] of its
//! own. This module decides which routers request the lease, and when. That no two routers hold a role at once is
//! ensured by the lease alone, whatever is decided here.
//!
//! Routers are ranked for each role by rendezvous hashing (Thaler and Ravishankar, 1998), which gives the same order
//! on every router. The first few of the present routers request the lease, the better ranked ones sooner. So a role
//! stays with its holder while that is alive, has one expected successor when the holder fails, and the number of
//! requests does not grow with the number of routers.

use crate::lease::{Epoch, Leases, Resource, MAX_TERM};
use crate::view::Permissions;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The most roles of one cluster; further ones are ignored.
pub const MAX_ROLES: usize = 64;
/// How many of the present routers request the lease. With three, two candidates may fail together with the holder.
const CANDIDATES: usize = 3;
/// How often the first candidate requests a lease that it does not hold, in seconds. The interval of each next
/// candidate is longer by the same time.
const REQUEST_INTERVAL: f64 = 0.25;
/// The rank beyond which the interval no longer grows. Routers beyond the candidates request nothing, but check at
/// this interval whether they have become candidates.
const MAX_RANK_FOR_INTERVAL: usize = 8;
/// A lease is extended once this fraction of its term has passed, which leaves time for two failed attempts before it
/// expires.
const RENEW_AFTER: f64 = 0.4;

/// The resource of a role's lease. It depends on the name alone, so that routers whose cluster files list the roles in
/// different orders agree.
pub fn role_resource(name: &str) -> Resource {
    // CRC-32 gives the same number in every build, so that all builds contend for the same lease. Roles use the upper
    // half of the numbers, other resources the lower half.
    crc32fast::hash(name.as_bytes()) | 1 << 31
}

/// One role, and when its lease is requested or checked next, in seconds.
#[derive(Clone, Debug)]
struct Role {
    resource: Resource,
    next_request: f64,
}

/// The leader roles of the cluster, as one router requests and extends their leases.
#[derive(Clone, Debug, Default)]
pub struct LeaderRoles {
    cluster: u64,
    roles: Vec<Role>,
}

/// Who holds a role, as far as this router knows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RoleStatus {
    /// This router holds the role.
    Held {
        /// The epoch of its lease.
        epoch: Epoch,
        /// How long the lease may still be used if it is not extended, in seconds.
        remaining: f64,
    },
    /// Another router holds the role: the index of the router to which this router has granted the lease.
    HeldBy(u16),
    /// The holder is not known: this router has not granted the lease, or the grant has expired.
    Unknown,
}

/// What decides whether this router requests the leases of roles.
#[derive(Clone, Copy, Debug)]
pub struct Candidate<'a> {
    /// The index of this router.
    pub me: u16,
    /// The indexes of the present routers.
    pub present: &'a [u16],
    /// What the standing of this router allows.
    pub permissions: Permissions,
    /// A random fraction from 0 to 1, which spreads the requests of many routers over time.
    pub random_fraction: f64,
}

impl LeaderRoles {
    /// The roles with these resources, requested from `now` on.
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

    /// Requests or extends the leases that are due.
    pub fn turn(&mut self, candidate: Candidate, leases: &mut Leases, now: f64) {
        let jitter = 0.75 + 0.5 * candidate.random_fraction;
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
                    REQUEST_INTERVAL * (1.0 + rank.min(MAX_RANK_FOR_INTERVAL) as f64)
                }
            };
            role.next_request = now + interval * jitter;
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

/// Requests an extension of a lease that is held, once it is due. Unlike a takeover, this needs no
/// reliable view of the other routers, as a majority either grants it or does not.
fn extend(resource: Resource, remaining: f64, permissions: Permissions, leases: &mut Leases, now: f64) {
    let is_due = remaining < MAX_TERM * (1.0 - RENEW_AFTER);
    if is_due && permissions.requests_leases {
        leases.request(resource, now);
    }
}

/// Requests a lease if this router is one of the first candidates, may take over roles, and knows of no other holder.
fn take_over(resource: Resource, rank: usize, candidate: Candidate, leases: &mut Leases, now: f64) {
    let other = leases.granted_to(resource, now).is_some_and(|holder| holder != candidate.me);
    if rank < CANDIDATES && candidate.permissions.takes_over && !other {
        leases.request(resource, now);
    }
}

/// How many of the present routers are ranked ahead of router `me` for a resource. If routers ranked differently,
/// more of them would request the lease, but still only one would hold it.
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
