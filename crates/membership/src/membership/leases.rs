//! Leases that the host requests, and leader roles, whose leases are requested and renewed here.

use super::Membership;
use crate::leader::{Candidate, LeaderRoles, RoleStatus};
use crate::lease::{Epoch, Resource};
use crate::view::Standing;

impl Membership {
    /// Requests a lease, if the standing of this router allows that. [`Membership::held_epoch`] tells whether it was
    /// granted.
    pub fn request_lease(&mut self, resource: Resource, now: f64) {
        if self.permissions().requests_leases {
            self.leases.request(resource, now);
        }
    }

    /// The epoch of a lease that this router holds and may use now; `None` otherwise. The caller checks this before
    /// each use, in the same turn.
    pub fn held_epoch(&self, resource: Resource, now: f64) -> Option<Epoch> {
        self.leases.held_epoch(resource, now)
    }

    /// Gives up a lease, if this router holds or has requested it.
    pub fn release(&mut self, resource: Resource, now: f64) {
        self.leases.release(resource, now);
    }

    /// Sets the leader roles of the cluster, by their resources ([`crate::leader::role_resource`]). Leases of roles
    /// that are no longer among them are released.
    pub fn set_roles(&mut self, resources: &[Resource], now: f64) {
        let dropped: Vec<Resource> =
            self.roles.resources().filter(|resource| !resources.contains(resource)).collect();
        for resource in dropped {
            self.leases.release(resource, now);
        }
        self.roles = LeaderRoles::new(self.cluster, resources, now);
    }

    /// Who holds a leader role, as far as this router knows. A holder checks this before each use, in the same turn.
    pub fn role_status(&self, resource: Resource, now: f64) -> RoleStatus {
        match self.standing {
            // Two processes use this router's name, and it can't be known for which of them a grant was meant.
            Standing::NameConflict => RoleStatus::Unknown,
            _ => self.roles.status(resource, self.me, &self.leases, now),
        }
    }

    /// Requests or renews the leases of the roles that are due.
    pub(super) fn request_roles(&mut self, now: f64) {
        let present: Vec<u16> = self.present().map(|router| router as u16).collect();
        let random_fraction = self.random_fraction();
        let candidate =
            Candidate { me: self.me, present: &present, permissions: self.permissions(), random_fraction };
        self.roles.turn(candidate, &mut self.leases, now);
    }

    /// Releases the leases of all roles, so that other routers need not wait until they expire.
    pub(super) fn release_roles(&mut self, now: f64) {
        let resources: Vec<Resource> = self.roles.resources().collect();
        for resource in resources {
            self.leases.release(resource, now);
        }
    }
}
