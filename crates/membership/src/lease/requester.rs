//! The requester's part: an attempt to get a lease, from the question to all grantors to a majority that accepts.

use super::{Epoch, Held, InjectedFault, Leases, Message, Resource, DRIFT, MAX_TERM};

/// An attempt of this router, and the phase that it is in.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Attempt {
    Preparing { epoch: Epoch, began: f64, promises: Vec<u16> },
    Proposing { epoch: Epoch, began: f64, accepts: Vec<u16> },
}

impl Attempt {
    fn epoch(&self) -> Epoch {
        match self {
            Attempt::Preparing { epoch, .. } | Attempt::Proposing { epoch, .. } => *epoch,
        }
    }

    /// When its present phase began, on the requester's clock, in seconds.
    pub(super) fn began(&self) -> f64 {
        match self {
            Attempt::Preparing { began, .. } | Attempt::Proposing { began, .. } => *began,
        }
    }
}

/// How long a lease lasts on the holder's clock, in seconds: shorter than on the grantors', by as much as the two clocks
/// may drift apart.
fn term(injected: InjectedFault) -> f64 {
    match injected {
        InjectedFault::NoDrift => MAX_TERM,
        _ => MAX_TERM / (1.0 + 2.0 * DRIFT),
    }
}

impl Leases {
    pub(super) fn on_promise(
        &mut self,
        from: u16,
        resource: Resource,
        promised: Epoch,
        holder: Option<u16>,
        now: f64,
    ) {
        let majority = self.majority();
        let me = self.me;
        let Some(Attempt::Preparing { epoch, promises, .. }) = self.attempts.get_mut(&resource) else {
            return;
        };
        if *epoch != promised {
            return;
        }
        if holder.is_some_and(|holder| holder != me) {
            self.attempts.remove(&resource);
            return;
        }
        if !promises.contains(&from) {
            promises.push(from);
        }
        if promises.len() >= majority {
            let attempt = Attempt::Proposing { epoch: promised, began: now, accepts: Vec::new() };
            self.attempts.insert(resource, attempt);
            self.broadcast(Message::Propose { resource, epoch: promised }, now);
        }
    }

    pub(super) fn on_accept(&mut self, from: u16, resource: Resource, accepted: Epoch, now: f64) {
        let majority = self.majority();
        let Some(Attempt::Proposing { epoch, began, accepts }) = self.attempts.get_mut(&resource) else {
            return;
        };
        if *epoch != accepted {
            return;
        }
        if !accepts.contains(&from) {
            accepts.push(from);
        }
        if accepts.len() >= majority {
            // From when the grants were requested: each of them was given later than that.
            let counted_from = if self.injected == InjectedFault::CountsFromGrant { now } else { *began };
            let expires_at = counted_from + term(self.injected);
            self.attempts.remove(&resource);
            self.held.insert(resource, Held { epoch: accepted, expires_at });
        }
    }

    /// A later epoch was promised: the next attempt has to be later still.
    pub(super) fn on_refuse(&mut self, resource: Resource, epoch: Epoch, promised: Epoch) {
        let latest = promised >> super::ROUTER_BITS;
        self.counter = self.counter.max(latest.min(crate::MAX_GENERATION >> super::ROUTER_BITS));
        if self.attempts.get(&resource).is_some_and(|attempt| attempt.epoch() == epoch) {
            self.attempts.remove(&resource);
        }
    }
}
