//! When an address may go where it ought to stand: the cap on changes, the jitter, and the penalty of a fall.

use super::{Announcer, PendingMove, Standing, MINUTE};
use crate::level::{Level, Why};
use crate::paths::{PathCounts, Paths};
use crate::signs::Effect;

impl Announcer {
    /// Moves the address to where it ought to stand, unless something stands in the way.
    pub(super) fn consider(&mut self, index: usize, now: f64, paths: &Paths) {
        let others = paths.counts(&self.addresses[index].net);
        self.observe(index, now, others, paths.view);
        let aim = self.damp(index, self.aim(index, now, paths));
        if aim.level == self.addresses[index].level {
            return self.stay(index, aim.why, others);
        }
        self.forget_old_changes(index, now);
        if self.is_capped(index, aim) {
            return self.hold_under_cap(index, others);
        }
        let due = self.move_due(index, aim, now);
        if now < due {
            self.judge_at = self.judge_at.min(due);
            return;
        }
        let down = aim.level < self.addresses[index].level;
        if down && matches!(aim.why, Why::Sick(_) | Why::Weak(_) | Why::NobodyElse(_)) {
            self.addresses[index].penalty.add(now, &self.terms.damping);
        }
        self.damped += u64::from(aim.why == Why::Damped);
        self.set(index, aim, now, others);
    }

    /// Keeps the times that decisions depend on.
    fn observe(&mut self, index: usize, now: f64, others: PathCounts, view: bool) {
        let sick = self.first_bad(Effect::Withdraw).is_some();
        let address = &mut self.addresses[index];
        address.well_since = if sick { None } else { address.well_since.or(Some(now)) };
        let alone = others.seen == 0 && view;
        address.alone_since = if alone { address.alone_since.or(Some(now)) } else { None };
        address.penalty.fade(now, &self.terms.damping);
    }

    /// The level stands; what has held a move back is told where that is new.
    fn stay(&mut self, index: usize, why: Why, others: PathCounts) {
        let address = &mut self.addresses[index];
        address.pending = None;
        if why == address.why {
            return;
        }
        address.why = why;
        match why {
            Why::NobodyElse(_) => {
                self.guarded += 1;
                self.note(index, others, Some("the guard of the last announcer"));
            }
            Why::Damped => {
                self.damped += 1;
                self.note(index, others, Some("damping"));
            }
            _ => {}
        }
    }

    fn forget_old_changes(&mut self, index: usize, now: f64) {
        let changes = &mut self.addresses[index].changes;
        while changes.front().is_some_and(|&changed| changed <= now - MINUTE) {
            changes.pop_front();
        }
    }

    /// Moves up keep to half of the cap, so that there is room to go down; and none withdraws for what others may
    /// suffer from too unless there is room to come back: a fleet that all but a few have left is as good as dark.
    fn is_capped(&self, index: usize, aim: Standing) -> bool {
        let address = &self.addresses[index];
        let down = aim.level < address.level;
        let cap = self.terms.most_changes.max(2) as usize;
        let leaves = aim.level == Level::Withdrawn && self.terms.guard;
        let most = match aim.why {
            Why::Sick(sign) if leaves && sign.may_be_shared() => cap.div_ceil(2) - 1,
            _ if down => cap,
            _ => cap.div_ceil(2),
        };
        address.changes.len() >= most
    }

    fn hold_under_cap(&mut self, index: usize, others: PathCounts) {
        const CAP: &str = "the cap on changes";
        if self.addresses[index].waits != Some(CAP) {
            self.capped += 1;
            self.note(index, others, Some(CAP));
        }
    }

    /// When a move is due: at once for what only this instance suffers from or the operator wants, else after a jitter,
    /// so that instances that see the same do not move as one.
    fn move_due(&mut self, index: usize, aim: Standing, now: f64) -> f64 {
        let address = &self.addresses[index];
        if let Some(pending) = address.pending.filter(|pending| pending.level == aim.level) {
            return pending.due;
        }
        let down = aim.level < address.level;
        let own = matches!(aim.why, Why::Sick(sign) if !sign.may_be_shared()) || aim.why == Why::Held;
        let jitter = match (down, own) {
            (true, true) => 0.0,
            (true, false) => self.terms.jitter_down,
            (false, _) => self.terms.jitter_up,
        };
        let due = now + self.draw(jitter);
        self.addresses[index].pending = Some(PendingMove { level: aim.level, due });
        due
    }
}
