//! The drain: all addresses are withdrawn for good, after a lead in which they show that they go.

use super::{Announcer, Standing};
use crate::level::{Level, Reason};
use crate::paths::PathCounts;

/// Seconds: the longest lead, so that withdrawals are out before the drain's second ends.
const MAX_SHUTDOWN_LEAD: f64 = 0.8;

/// The times of a drain, on the host's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    /// When it began.
    pub began: f64,
    /// All is withdrawn from then on.
    pub withdraws_at: f64,
    /// No new work is taken from then on.
    pub new_work_ends: f64,
}

impl Drain {
    /// Another lead: it may end sooner than it would have, never later.
    pub(super) fn shorten(&mut self, lead: f64) {
        self.withdraws_at = self.withdraws_at.min(self.began + lead);
    }
}

impl Announcer {
    /// The drain, once it has begun.
    pub fn draining(&self) -> Option<Drain> {
        self.drain
    }

    /// Begins the drain, once and for good. What is out shows that it goes, and goes after the lead. New work ends in so
    /// many seconds, as the decision module has it.
    pub fn drain(&mut self, now: f64, new_work: f64) -> Drain {
        if let Some(drain) = self.drain {
            return drain;
        }
        let lead = self.config.shutdown_lead.clamp(0.0, MAX_SHUTDOWN_LEAD);
        let drain = Drain { began: now, withdraws_at: now + lead, new_work_ends: now + new_work };
        self.drain = Some(drain);
        let next = match lead > 0.0 {
            true => Standing::new(Level::Depreferred, Reason::Draining),
            false => Standing::new(Level::Withdrawn, Reason::Drained),
        };
        for index in 0..self.addresses.len() {
            let address = &mut self.addresses[index];
            address.pending = None;
            if address.level == Level::Withdrawn {
                address.reason = Reason::Drained;
            } else {
                self.set(index, next, now, PathCounts::default());
            }
        }
        drain
    }

    /// Withdraws all once the lead is over.
    pub(super) fn end_lead(&mut self, now: f64) {
        if !self.drain.is_some_and(|drain| now >= drain.withdraws_at) {
            return;
        }
        for index in 0..self.addresses.len() {
            if self.addresses[index].level > Level::Withdrawn {
                let drained = Standing::new(Level::Withdrawn, Reason::Drained);
                self.set(index, drained, now, PathCounts::default());
            }
        }
    }
}
