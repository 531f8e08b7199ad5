//! When an address may move to its target level: the cap on changes, the jitter, and the penalty for a fall.

use super::{Announcer, PendingMove, Standing, CHANGE_CAP_WINDOW};
use crate::health::Effect;
use crate::level::{Level, Reason, SuppressedBy};
use crate::paths::{PathCounts, Paths};

impl Announcer {
    /// Moves the address to its target level, unless damping, the cap on changes or the jitter holds the move back.
    pub(super) fn update_address(&mut self, index: usize, now: f64, paths: &Paths) {
        let others = paths.counts(&self.addresses[index].prefix);
        self.update_observations(index, now, others, paths.has_view);
        let target = self.damp(index, self.target(index, now, paths));
        if target.level == self.addresses[index].level {
            return self.keep_level(index, target.reason, others);
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
            self.addresses[index].penalty.add_fall(now, &self.config.damping);
        }
        self.damped += u64::from(target.reason == Reason::Damped);
        self.move_to(index, target, now, others);
    }

    /// Updates what the decisions about the address depend on: since when it has been healthy and alone, and its
    /// penalty.
    fn update_observations(&mut self, index: usize, now: f64, others: PathCounts, has_view: bool) {
        let unhealthy = self.first_failing(Effect::Withdraw).is_some();
        let address = &mut self.addresses[index];
        address.healthy_since = if unhealthy { None } else { address.healthy_since.or(Some(now)) };
        let alone = others.total == 0 && has_view;
        address.alone_since = if alone { address.alone_since.or(Some(now)) } else { None };
        address.penalty.decay(now, &self.config.damping);
    }

    /// Keeps the level. If the reason has changed to one that holds a move back, this is counted and reported.
    fn keep_level(&mut self, index: usize, reason: Reason, others: PathCounts) {
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

    /// Removes changes that are older than the window of the cap.
    fn forget_old_changes(&mut self, index: usize, now: f64) {
        let changes = &mut self.addresses[index].changes;
        while changes.front().is_some_and(|&changed_at| changed_at <= now - CHANGE_CAP_WINDOW) {
            changes.pop_front();
        }
    }

    /// Whether the cap on changes holds the move back. Moves up may use only half of the cap, so that moves down remain
    /// possible. With the guard on, an address is withdrawn for a failure that other instances may share only if it
    /// could still return within the cap: if most instances withdrew and could not return, the few that are left could
    /// not carry the load of the fleet.
    fn is_capped(&self, index: usize, target: Standing) -> bool {
        let address = &self.addresses[index];
        let down = target.level < address.level;
        let cap = self.config.max_changes.max(2) as usize;
        let withdraws_guarded = target.level == Level::Withdrawn && self.config.guard;
        let max_changes = match target.reason {
            Reason::Unhealthy(check) if withdraws_guarded && check.may_be_shared() => cap.div_ceil(2) - 1,
            _ if down => cap,
            _ => cap.div_ceil(2),
        };
        address.changes.len() >= max_changes
    }

    /// Counts and reports a move that the cap holds back, once for each move.
    fn hold_under_cap(&mut self, index: usize, others: PathCounts) {
        let cap = Some(SuppressedBy::ChangeCap);
        if self.addresses[index].suppressed_by != cap {
            self.capped += 1;
            self.report(index, others, cap);
        }
    }

    /// When a move is due. A move down is due at once if its cause affects only this instance or if the operator asked
    /// for it. Any other move waits for a random jitter, so that instances that see the same failure do not move
    /// together.
    fn move_due(&mut self, index: usize, target: Standing, now: f64) -> f64 {
        let address = &self.addresses[index];
        if let Some(pending) = address.pending.filter(|pending| pending.level == target.level) {
            return pending.due;
        }
        let down = target.level < address.level;
        let is_own_cause = matches!(target.reason, Reason::Unhealthy(check) if !check.may_be_shared())
            || target.reason == Reason::Held;
        let jitter = match (down, is_own_cause) {
            (true, true) => 0.0,
            (true, false) => self.config.jitter_down,
            (false, _) => self.config.jitter_up,
        };
        let due = now + self.draw(jitter);
        self.addresses[index].pending = Some(PendingMove { level: target.level, due });
        due
    }
}
