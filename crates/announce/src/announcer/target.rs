//! The target level of an address, which follows from the health checks, the operator's configuration, and the paths
//! that other instances announce.

use super::{Address, Announcer, Standing};
use crate::config::Hold;
use crate::health::{Effect, HealthCheck};
use crate::level::{Level, Reason};
use crate::paths::Paths;

impl Announcer {
    /// The target level of the address, before damping, the cap on changes and the jitter.
    pub(super) fn target(&self, index: usize, now: f64, paths: &Paths) -> Standing {
        let address = &self.addresses[index];
        if self.config.hold == Some(Hold::Withdrawn) {
            return Standing::new(Level::Withdrawn, Reason::Held);
        }
        if let Some(check) = self.first_failing(Effect::Withdraw) {
            return self.target_when_unhealthy(address, check, now, paths);
        }
        if self.config.hold == Some(Hold::Depreferred) {
            return Standing::new(Level::Depreferred, Reason::Held);
        }
        if address.level == Level::Withdrawn {
            return self.target_when_returning(address, now, paths);
        }
        if let Some(check) = self.first_failing(Effect::Deprefer) {
            return Standing::new(Level::Depreferred, Reason::Degraded(check));
        }
        if address.reason == Reason::Returning && now < address.since + self.config.depreferred_time {
            return Standing::new(Level::Depreferred, Reason::Returning);
        }
        Standing::new(Level::Announced, Reason::Healthy)
    }

    /// The first failing check with the effect.
    pub(super) fn first_failing(&self, effect: Effect) -> Option<HealthCheck> {
        let is_failing = |check: &HealthCheck| {
            let index = *check as usize;
            self.config.checks[index].effect == effect && !self.checks[index].passing
        };
        HealthCheck::ALL.into_iter().find(is_failing)
    }

    /// The target level while a check that withdraws fails; applies the guard of the last announcer (see the
    /// documentation of the crate).
    fn target_when_unhealthy(
        &self,
        address: &Address,
        check: HealthCheck,
        now: f64,
        paths: &Paths,
    ) -> Standing {
        // A failure that only this instance can have does not affect the others, so the address is withdrawn. Without
        // the guard, it is withdrawn for any failure.
        if !check.may_be_shared() || !self.config.guard {
            return Standing::new(Level::Withdrawn, Reason::Unhealthy(check));
        }
        if address.level == Level::Withdrawn {
            // If no other path has been seen for the settling time, an unhealthy path is better than none.
            let alone = address.alone_since.is_some_and(|since| now >= since + self.config.settle_time);
            return match alone && address.started && paths.has_view {
                true => Standing::new(Level::LastResort, Reason::NoAlternative(check)),
                false => Standing::new(Level::Withdrawn, Reason::Unhealthy(check)),
            };
        }
        let has_settled =
            address.level == Level::LastResort && now >= address.since + self.config.settle_time;
        // Without a session to a peer, whether another instance is healthy is unknown, and a withdrawal would have no
        // effect.
        if has_settled && paths.has_view {
            return match paths.healthy(&address.prefix) > 0 {
                true => Standing::new(Level::Withdrawn, Reason::Unhealthy(check)),
                false => Standing::new(Level::LastResort, Reason::NoAlternative(check)),
            };
        }
        // The reason NoAlternative is kept, so that the guard is not counted and reported again.
        match address.reason {
            Reason::NoAlternative(_) => Standing::new(Level::LastResort, address.reason),
            _ => Standing::new(Level::LastResort, Reason::Unhealthy(check)),
        }
    }

    /// The target level of a withdrawn address whose checks that withdraw pass. A return passes through the depreferred
    /// level, so that a burst of traffic does not meet a cold instance. If no other instance announces the address, it
    /// returns without waiting for the return delay.
    fn target_when_returning(&self, address: &Address, now: f64, paths: &Paths) -> Standing {
        let delay = if address.started { self.config.return_delay } else { self.config.start_delay };
        let ready = address.healthy_since.is_some_and(|since| now >= since + delay);
        let no_other_path = address.started && paths.has_view && paths.total(&address.prefix) == 0;
        if ready || no_other_path && address.healthy_since.is_some() {
            return Standing::new(Level::Depreferred, Reason::Returning);
        }
        // Until the return delay is over, the reason is still that of the withdrawal.
        let reason = if address.started { address.reason } else { Reason::Starting };
        Standing::new(Level::Withdrawn, reason)
    }

    /// The target level after damping. A damped address returns only as a last resort, and a depreferred one is not
    /// announced normally, because preferring it would cause the next fall. A damped last resort is not withdrawn for a
    /// failure that other instances may share: it could not return soon, and would leave its load to the few instances
    /// that are not damped yet.
    pub(super) fn damp(&self, index: usize, target: Standing) -> Standing {
        let address = &self.addresses[index];
        if !address.penalty.suppressed || !address.started || target.reason == Reason::Held {
            return target;
        }
        let may_be_shared = matches!(target.reason, Reason::Unhealthy(check) if check.may_be_shared());
        match (address.level, target.level) {
            (Level::LastResort, Level::Withdrawn) if may_be_shared && self.config.guard => {
                Standing::new(Level::LastResort, Reason::Damped)
            }
            (Level::Withdrawn | Level::LastResort, Level::Depreferred | Level::Announced) => {
                Standing::new(Level::LastResort, Reason::Damped)
            }
            (Level::Depreferred, Level::Announced) => Standing::new(Level::Depreferred, Reason::Damped),
            _ => target,
        }
    }
}
