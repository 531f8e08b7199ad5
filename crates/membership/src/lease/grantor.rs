//! The grantor's side of a lease: what this router has promised and granted, to others and to itself.

use super::{Epoch, InjectedFault, Leases, Message, Resource, MAX_RESOURCES, MAX_TERM};

/// A lease that this grantor has granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Granted {
    epoch: Epoch,
    holder: u16,
    /// When the grant expires on the grantor's clock, in seconds.
    expires_at: f64,
}

/// What a grantor remembers of one resource.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Grant {
    /// Proposals of an older epoch than this are refused.
    promised: Epoch,
    /// The latest grant; `None` if there is none, or it was released or found expired.
    granted: Option<Granted>,
}

impl Grant {
    fn holder(&self, now: f64) -> Option<u16> {
        self.granted.filter(|granted| now < granted.expires_at).map(|granted| granted.holder)
    }
}

impl Leases {
    /// The router to which this router has granted the lease, if the grant has not expired. This is the knowledge of
    /// one grantor only: a majority may have granted the lease to another router.
    pub fn granted_to(&self, resource: Resource, now: f64) -> Option<u16> {
        self.grants.get(&resource).and_then(|grant| grant.holder(now))
    }

    /// The grant record of a resource. `None` while this router must not grant yet, or if it tracks too many resources.
    fn grant_mut(&mut self, resource: Resource, now: f64) -> Option<&mut Grant> {
        if now < self.grants_from && self.injected != InjectedFault::GrantsAtOnce {
            return None;
        }
        if !self.grants.contains_key(&resource) && self.grants.len() >= MAX_RESOURCES {
            return None;
        }
        let grant = self.grants.entry(resource).or_default();
        grant.granted = grant.granted.filter(|granted| now < granted.expires_at);
        Some(grant)
    }

    /// Answers phase one of an attempt: promises the epoch unless the same or a later one was promised before.
    pub(super) fn on_prepare(&mut self, from: u16, resource: Resource, epoch: Epoch, now: f64) {
        let Some(grant) = self.grant_mut(resource, now) else { return };
        let reply = if epoch <= grant.promised {
            Message::Refuse { resource, epoch, promised: grant.promised }
        } else {
            grant.promised = epoch;
            Message::Promise { resource, epoch, holder: grant.holder(now) }
        };
        self.reply(from, reply, now);
    }

    /// Answers phase two of an attempt: grants the lease unless a later epoch was promised.
    pub(super) fn on_propose(&mut self, from: u16, resource: Resource, epoch: Epoch, now: f64) {
        let Some(grant) = self.grant_mut(resource, now) else { return };
        let reply = if epoch < grant.promised {
            Message::Refuse { resource, epoch, promised: grant.promised }
        } else {
            let granted = Granted { epoch, holder: from, expires_at: now + MAX_TERM };
            *grant = Grant { promised: epoch, granted: Some(granted) };
            Message::Accept { resource, epoch }
        };
        self.reply(from, reply, now);
    }

    /// Clears the sender's grant if it is of this epoch or an older one, as the sender no longer uses it.
    pub(super) fn on_release(&mut self, from: u16, resource: Resource, epoch: Epoch) {
        let Some(grant) = self.grants.get_mut(&resource) else { return };
        grant.granted = grant.granted.filter(|granted| granted.holder != from || granted.epoch > epoch);
    }
}
