//! The grantor's part: what this router has promised and granted to others, and to itself.

use super::{Epoch, Leases, Planted, Say, Thing, LONGEST, MOST_THINGS};

/// What a grantor remembers of one thing.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Grant {
    pub(super) promised: Epoch,
    /// Epoch, holder, and until when on our clock.
    pub(super) given: Option<(Epoch, u16, f64)>,
}

impl Leases {
    /// Whom this router itself has granted it to, if that has not run out: the view of one grantor, no more.
    pub fn granted_to(&self, thing: Thing, now: f64) -> Option<u16> {
        let given = self.granted.get(&thing).and_then(|grant| grant.given);
        given.filter(|(.., until)| now < *until).map(|(_, holder, _)| holder)
    }

    /// What we may grant by; none where we must not, or for more things than we keep.
    fn grant(&mut self, thing: Thing, now: f64) -> Option<&mut Grant> {
        if now < self.grants_from && self.planted != Planted::GrantsAtOnce {
            return None;
        }
        if !self.granted.contains_key(&thing) && self.granted.len() >= MOST_THINGS {
            return None;
        }
        let grant = self.granted.entry(thing).or_default();
        grant.given = grant.given.filter(|(.., until)| now < *until);
        Some(grant)
    }

    pub(super) fn prepared(&mut self, from: u16, thing: Thing, epoch: Epoch, now: f64) {
        let Some(grant) = self.grant(thing, now) else { return };
        let say = if epoch <= grant.promised {
            Say::Refuse { thing, epoch, promised: grant.promised }
        } else {
            grant.promised = epoch;
            Say::Promise { thing, epoch, held: grant.given.map(|(_, holder, _)| holder) }
        };
        self.answer(from, say, now);
    }

    pub(super) fn proposed(&mut self, from: u16, thing: Thing, epoch: Epoch, now: f64) {
        let Some(grant) = self.grant(thing, now) else { return };
        let say = if epoch < grant.promised {
            Say::Refuse { thing, epoch, promised: grant.promised }
        } else {
            *grant = Grant { promised: epoch, given: Some((epoch, from, now + LONGEST)) };
            Say::Accept { thing, epoch }
        };
        self.answer(from, say, now);
    }

    /// The sender uses nothing any more that it asked for under this epoch or an older one.
    pub(super) fn released(&mut self, from: u16, thing: Thing, epoch: Epoch) {
        let Some(grant) = self.granted.get_mut(&thing) else { return };
        grant.given = grant.given.filter(|(given, holder, _)| *holder != from || *given > epoch);
    }
}
