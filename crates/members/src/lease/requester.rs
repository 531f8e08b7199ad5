//! The requester's part: an attempt to win a lease, from the question to all grantors to a majority of accepts.

use super::{Epoch, Leases, Planted, Say, Thing, DRIFT, LONGEST};

/// An attempt of our own.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Attempt {
    Preparing { epoch: Epoch, began: f64, promises: Vec<u16> },
    Proposing { epoch: Epoch, began: f64, accepts: Vec<u16> },
}

impl Attempt {
    /// The epoch that it asks under.
    fn epoch(&self) -> Epoch {
        match self {
            Attempt::Preparing { epoch, .. } | Attempt::Proposing { epoch, .. } => *epoch,
        }
    }

    /// When its present step began, in seconds of our clock.
    pub(super) fn began(&self) -> f64 {
        match self {
            Attempt::Preparing { began, .. } | Attempt::Proposing { began, .. } => *began,
        }
    }
}

impl Leases {
    pub(super) fn promised(&mut self, from: u16, thing: Thing, promised: Epoch, held: Option<u16>, now: f64) {
        let (majority, me) = (self.majority(), self.me);
        let Some(Attempt::Preparing { epoch, promises, .. }) = self.attempts.get_mut(&thing) else { return };
        if *epoch != promised {
            return;
        }
        if held.is_some_and(|holder| holder != me) {
            self.attempts.remove(&thing);
            return;
        }
        if !promises.contains(&from) {
            promises.push(from);
        }
        if promises.len() >= majority {
            let attempt = Attempt::Proposing { epoch: promised, began: now, accepts: Vec::new() };
            self.attempts.insert(thing, attempt);
            self.say_to_all(Say::Propose { thing, epoch: promised }, now);
        }
    }

    pub(super) fn accepted(&mut self, from: u16, thing: Thing, accepted: Epoch, now: f64) {
        let majority = self.majority();
        let Some(Attempt::Proposing { epoch, began, accepts }) = self.attempts.get_mut(&thing) else {
            return;
        };
        if *epoch != accepted {
            return;
        }
        if !accepts.contains(&from) {
            accepts.push(from);
        }
        if accepts.len() >= majority {
            let began = if self.planted == Planted::CountsFromGrant { now } else { *began };
            let lasts =
                if self.planted == Planted::NoDrift { LONGEST } else { LONGEST / (1.0 + 2.0 * DRIFT) };
            self.attempts.remove(&thing);
            self.held.insert(thing, (accepted, began + lasts));
        }
    }

    /// Something younger than what we asked under was promised: the next attempt has to be younger still.
    pub(super) fn refused(&mut self, thing: Thing, epoch: Epoch, promised: Epoch) {
        self.counter = self.counter.max((promised >> 16).min(crate::YOUNGEST >> 16));
        if self.attempts.get(&thing).is_some_and(|attempt| attempt.epoch() == epoch) {
            self.attempts.remove(&thing);
        }
    }
}
