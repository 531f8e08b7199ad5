//! What only one router does at a time: leases that the host requests, and leader roles that are requested here.

use super::Membership;
use crate::leader::{Candidate, LeaderRoles, RoleStatus};
use crate::lease::{Epoch, Resource};
use crate::view::Standing;

impl Membership {
    /// Requests a lease where the view allows that; whether it was granted is seen by [`Membership::held_epoch`].
    pub fn request_lease(&mut self, resource: Resource, now: f64) {
        if self.permissions().requests_leases {
            self.leases.request(resource, now);
        }
    }

    /// The epoch of a lease that is held and may be used now. To be checked before each use, in the same turn.
    pub fn held_epoch(&self, resource: Resource, now: f64) -> Option<Epoch> {
        self.leases.held_epoch(resource, now)
    }

    /// Gives up a lease.
    pub fn release(&mut self, resource: Resource, now: f64) {
        self.leases.release(resource, now);
    }

    /// Sets the leader roles of the cluster, by their resources ([`crate::leader::role_resource`]). What is held of others
    /// is released.
    pub fn set_roles(&mut self, resources: &[Resource], now: f64) {
        let dropped: Vec<Resource> =
            self.roles.resources().filter(|resource| !resources.contains(resource)).collect();
        for resource in dropped {
            self.leases.release(resource, now);
        }
        self.roles = LeaderRoles::new(self.cluster, resources, now);
    }

    /// Who holds a leader role, as far as this router knows. The holder checks before each use, in the same turn.
    pub fn role_status(&self, resource: Resource, now: f64) -> RoleStatus {
        match self.standing {
            // Which of two processes a grant was meant for can't be known.
            Standing::NameConflict => RoleStatus::Unknown,
            _ => self.roles.status(resource, self.me, &self.leases, now),
        }
    }

    /// Requests the leases of the roles that are due.
    pub(super) fn request_roles(&mut self, now: f64) {
        let present: Vec<u16> = self.present().map(|router| router as u16).collect();
        let chance = self.draw_fraction();
        let candidate = Candidate { me: self.me, present: &present, permissions: self.permissions(), chance };
        self.roles.turn(candidate, &mut self.leases, now);
    }

    /// Releases all roles, so that others need not wait for the ends of their leases.
    pub(super) fn release_roles(&mut self, now: f64) {
        let held: Vec<Resource> = self.roles.resources().collect();
        for resource in held {
            self.leases.release(resource, now);
        }
    }
}
