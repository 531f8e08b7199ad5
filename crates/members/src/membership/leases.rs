//! What only one router does at a time: leases that the host asks for, and duties that are asked for here.

use super::Members;
use crate::duty::{Duties, Stands};
use crate::lease::{Epoch, Resource};
use crate::view::Standing;

impl Members {
    /// Asks for a lease where the view allows that; whether it came is seen by [`Members::holds`].
    pub fn ask(&mut self, thing: Resource, now: f64) {
        if self.allowed().asks_for_leases {
            self.leases.request(thing, now);
        }
    }

    /// The epoch under which we hold it: to be looked at before each use, in the same turn.
    pub fn holds(&self, thing: Resource, now: f64) -> Option<Epoch> {
        self.leases.holds(thing, now)
    }

    pub fn release(&mut self, thing: Resource, now: f64) {
        self.leases.release(thing, now);
    }

    /// These are for one router at a time from now on ([`duty::thing`]); what was held of others is released.
    pub fn take_on(&mut self, things: &[Resource], now: f64) {
        let left: Vec<Resource> = self.duties.things().filter(|thing| !things.contains(thing)).collect();
        left.into_iter().for_each(|thing| self.leases.release(thing, now));
        self.duties = Duties::new(self.cluster, things, now);
    }

    /// How a duty stands; the holder looks before each use, in the same turn.
    pub fn duty(&self, thing: Resource, now: f64) -> Stands {
        match self.standing {
            // Which of two processes a grant was meant for can't be known.
            Standing::Doubled => Stands::Unknown,
            _ => self.duties.stands(thing, self.me, &self.leases, now),
        }
    }

    /// Asks for the duties whose turn it is.
    pub(super) fn ask_for_duties(&mut self, now: f64) {
        let present: Vec<u16> = self.present().map(|router| router as u16).collect();
        let (chance, allowed) = (self.chance_from_0_to_1(), self.allowed());
        self.duties.turn(self.me, &present, allowed, &mut self.leases, chance, now);
    }

    /// Releases all duties: others need not wait for their ends.
    pub(super) fn release_duties(&mut self, now: f64) {
        let things: Vec<Resource> = self.duties.things().collect();
        things.into_iter().for_each(|thing| self.leases.release(thing, now));
    }
}
