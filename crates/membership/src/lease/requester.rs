//! The requester's side of a lease: an attempt, from the first message to all grantors to acceptance by a majority.

use super::{Epoch, Held, InjectedFault, Leases, Message, Resource, DRIFT, MAX_TERM};

/// An attempt of this router to get a lease, in one of its two phases.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Attempt {
    /// Phase one: collects promises.
    Preparing { epoch: Epoch, began: f64, promises: Vec<u16> },
    /// Phase two: collects acceptances.
    Proposing { epoch: Epoch, began: f64, accepts: Vec<u16> },
}

impl Attempt {
    fn epoch(&self) -> Epoch {
        match self {
            Attempt::Preparing { epoch, .. } | Attempt::Proposing { epoch, .. } => *epoch,
        }
    }

    /// When its current phase began on the requester's clock, in seconds.
    pub(super) fn began(&self) -> f64 {
        match self {
            Attempt::Preparing { began, .. } | Attempt::Proposing { began, .. } => *began,
        }
    }
}

/// The term of a lease on the holder's clock, in seconds. It is shorter than on the grantors' clocks, by as much as
/// the two clocks may drift apart.
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
            // The term is counted from when the grants were requested, as each of them was given after that.
            let counted_from = if self.injected == InjectedFault::CountsFromGrant { now } else { *began };
            let expires_at = counted_from + term(self.injected);
            self.attempts.remove(&resource);
            self.held.insert(resource, Held { epoch: accepted, expires_at });
        }
    }

    /// Handles a refusal: raises the counter so that the next attempt has a later epoch than the promised one, and
    /// abandons the refused attempt.
    pub(super) fn on_refuse(&mut self, resource: Resource, epoch: Epoch, promised: Epoch) {
        // The counter is limited, so that a refusal with an absurdly large epoch can't make the next epoch overflow.
        let promised_counter = promised >> super::ROUTER_BITS;
        self.counter = self.counter.max(promised_counter.min(crate::MAX_GENERATION >> super::ROUTER_BITS));
        if self.attempts.get(&resource).is_some_and(|attempt| attempt.epoch() == epoch) {
            self.attempts.remove(&resource);
        }
    }
}
