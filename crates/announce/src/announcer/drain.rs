//! The drain: all addresses are withdrawn for good, after a lead during which they are announced as about to go.

use super::{Announcer, Standing};
use crate::level::{Level, Reason};
use crate::paths::PathCounts;

/// The longest lead in seconds: a drain has to send its withdrawals within its first second.
const MAX_SHUTDOWN_LEAD: f64 = 0.8;

/// The times of a drain, on the host's clock.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    /// When the drain began.
    pub began: f64,
    /// When all addresses are withdrawn.
    pub withdraws_at: f64,
    /// From when on no new work is accepted.
    pub new_work_ends: f64,
}

impl Drain {
    /// Applies a newly configured lead, which may make the current one end sooner but never later.
    pub(super) fn shorten(&mut self, lead: f64) {
        self.withdraws_at = self.withdraws_at.min(self.began + lead);
    }
}

impl Announcer {
    /// The drain, if it has begun.
    pub fn draining(&self) -> Option<Drain> {
        self.drain
    }

    /// Begins the drain, which can't be undone; a later call returns the drain that has begun. Addresses that are
    /// announced are announced with GRACEFUL_SHUTDOWN (RFC 8326) and marked as unhealthy until the lead is over, and
    /// then withdrawn; with a lead of 0 they are withdrawn at once. The decision module accepts new work for `new_work`
    /// more seconds.
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
                self.move_to(index, next, now, PathCounts::default());
            }
        }
        drain
    }

    /// Withdraws all addresses once the lead is over.
    pub(super) fn end_lead(&mut self, now: f64) {
        if !self.drain.is_some_and(|drain| now >= drain.withdraws_at) {
            return;
        }
        for index in 0..self.addresses.len() {
            if self.addresses[index].level > Level::Withdrawn {
                let drained = Standing::new(Level::Withdrawn, Reason::Drained);
                self.move_to(index, drained, now, PathCounts::default());
            }
        }
    }
}
