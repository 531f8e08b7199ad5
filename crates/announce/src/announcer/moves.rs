//! When an address may go where it ought to stand: the cap on changes, the jitter, and the penalty of a fall.

use super::{Announcer, PendingMove, Standing, CHANGE_CAP_WINDOW};
use crate::health::Effect;
use crate::level::{Level, Reason, SuppressedBy};
use crate::paths::{PathCounts, Paths};

impl Announcer {
    /// Moves the address to the level that it ought to have, unless something holds it back.
    pub(super) fn consider(&mut self, index: usize, now: f64, paths: &Paths) {
        let others = paths.counts(&self.addresses[index].prefix);
        self.observe(index, now, others, paths.has_view);
        let target = self.damp(index, self.target(index, now, paths));
        if target.level == self.addresses[index].level {
            return self.stay(index, target.reason, others);
        }
        self.forget_old_changes(index, now);
        if self.is_capped(index, target) {
            return self.hold_under_cap(index, others);
        }
        let due = self.move_due(index, target, now);
        if now < due {
            self.next_check = self.next_check.min(due);
            return;
        }
        let down = target.level < self.addresses[index].level;
        if down
            && matches!(target.reason, Reason::Unhealthy(_) | Reason::Degraded(_) | Reason::NoAlternative(_))
        {
            self.addresses[index].penalty.add(now, &self.config.damping);
        }
        self.damped += u64::from(target.reason == Reason::Damped);
        self.set(index, target, now, others);
    }

    /// Keeps the times that decisions depend on.
    fn observe(&mut self, index: usize, now: f64, others: PathCounts, has_view: bool) {
        let unhealthy = self.first_failing(Effect::Withdraw).is_some();
        let address = &mut self.addresses[index];
        address.healthy_since = if unhealthy { None } else { address.healthy_since.or(Some(now)) };
        let alone = others.total == 0 && has_view;
        address.alone_since = if alone { address.alone_since.or(Some(now)) } else { None };
        address.penalty.fade(now, &self.config.damping);
    }

    /// The level stays; what has held a move back is reported where that is new.
    fn stay(&mut self, index: usize, reason: Reason, others: PathCounts) {
        let address = &mut self.addresses[index];
        address.pending = None;
        if reason == address.reason {
            return;
        }
        address.reason = reason;
        match reason {
            Reason::NoAlternative(_) => {
                self.guarded += 1;
                self.report(index, others, Some(SuppressedBy::Guard));
            }
            Reason::Damped => {
                self.damped += 1;
                self.report(index, others, Some(SuppressedBy::Damping));
            }
            _ => {}
        }
    }

    fn forget_old_changes(&mut self, index: usize, now: f64) {
        let changes = &mut self.addresses[index].changes;
        while changes.front().is_some_and(|&changed| changed <= now - CHANGE_CAP_WINDOW) {
            changes.pop_front();
        }
    }

    /// Moves up keep to half of the cap, so that there is room to go down; and none withdraws for what others may
    /// suffer from too unless there is room to come back: a fleet that all but a few have left is as good as dark.
    fn is_capped(&self, index: usize, target: Standing) -> bool {
        let address = &self.addresses[index];
        let down = target.level < address.level;
        let cap = self.config.max_changes.max(2) as usize;
        let leaves = target.level == Level::Withdrawn && self.config.guard;
        let most = match target.reason {
            Reason::Unhealthy(check) if leaves && check.may_be_shared() => cap.div_ceil(2) - 1,
            _ if down => cap,
            _ => cap.div_ceil(2),
        };
        address.changes.len() >= most
    }

    fn hold_under_cap(&mut self, index: usize, others: PathCounts) {
        let cap = Some(SuppressedBy::ChangeCap);
        if self.addresses[index].suppressed_by != cap {
            self.capped += 1;
            self.report(index, others, cap);
        }
    }

    /// When a move is due: at once for what only this instance suffers from or the operator wants, else after a jitter,
    /// so that instances that see the same do not move as one.
    fn move_due(&mut self, index: usize, target: Standing, now: f64) -> f64 {
        let address = &self.addresses[index];
        if let Some(pending) = address.pending.filter(|pending| pending.level == target.level) {
            return pending.due;
        }
        let down = target.level < address.level;
        let own = matches!(target.reason, Reason::Unhealthy(check) if !check.may_be_shared())
            || target.reason == Reason::Held;
        let jitter = match (down, own) {
            (true, true) => 0.0,
            (true, false) => self.config.jitter_down,
            (false, _) => self.config.jitter_up,
        };
        let due = now + self.draw(jitter);
        self.addresses[index].pending = Some(PendingMove { level: target.level, due });
        due
    }
}
