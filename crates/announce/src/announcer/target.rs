//! The level that an address ought to have, by the health checks, the operator, and what others announce.

use super::{Address, Announcer, Standing};
use crate::config::Hold;
use crate::health::{Effect, HealthCheck};
use crate::level::{Level, Reason};
use crate::paths::Paths;

impl Announcer {
    /// The level that the address ought to have, if nothing held it back.
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

    /// The first failing check with this effect.
    pub(super) fn first_failing(&self, effect: Effect) -> Option<HealthCheck> {
        let is_failing = |check: &HealthCheck| {
            let index = *check as usize;
            self.config.checks[index].effect == effect && !self.checks[index].passing
        };
        HealthCheck::ALL.into_iter().find(is_failing)
    }

    /// The guard of the last announcer: see the module comment of the crate.
    fn target_when_unhealthy(
        &self,
        address: &Address,
        check: HealthCheck,
        now: f64,
        paths: &Paths,
    ) -> Standing {
        // What only this instance can suffer from is no reason to stay.
        if !check.may_be_shared() || !self.config.guard {
            return Standing::new(Level::Withdrawn, Reason::Unhealthy(check));
        }
        if address.level == Level::Withdrawn {
            // No other path is left, and has not been for a while: an unhealthy path beats none.
            let alone = address.alone_since.is_some_and(|since| now >= since + self.config.settle_time);
            return match alone && address.started && paths.has_view {
                true => Standing::new(Level::LastResort, Reason::NoAlternative(check)),
                false => Standing::new(Level::Withdrawn, Reason::Unhealthy(check)),
            };
        }
        let shown = address.level == Level::LastResort && now >= address.since + self.config.settle_time;
        // Whoever cannot see cannot know: without a session of ours nothing is gained by going either.
        if shown && paths.has_view {
            return match paths.healthy(&address.prefix) > 0 {
                true => Standing::new(Level::Withdrawn, Reason::Unhealthy(check)),
                false => Standing::new(Level::LastResort, Reason::NoAlternative(check)),
            };
        }
        match address.reason {
            Reason::NoAlternative(_) => Standing::new(Level::LastResort, address.reason),
            _ => Standing::new(Level::LastResort, Reason::Unhealthy(check)),
        }
    }

    /// A return goes by steps, so that a burst does not meet it cold; but where nobody else is, at once.
    fn target_when_returning(&self, address: &Address, now: f64, paths: &Paths) -> Standing {
        let wait = if address.started { self.config.return_delay } else { self.config.start_delay };
        let ready = address.healthy_since.is_some_and(|since| now >= since + wait);
        let needed = address.started && paths.has_view && paths.total(&address.prefix) == 0;
        if ready || needed && address.healthy_since.is_some() {
            return Standing::new(Level::Depreferred, Reason::Returning);
        }
        let reason = if address.started { address.reason } else { Reason::Starting };
        Standing::new(Level::Withdrawn, reason)
    }

    /// A damped address stays a last resort: as it can't return soon, to withdraw it would leave its load to the few
    /// that are not damped yet, and to prefer it would bring the next fall.
    pub(super) fn damp(&self, index: usize, target: Standing) -> Standing {
        let address = &self.addresses[index];
        if !address.penalty.suppressed || !address.started || target.reason == Reason::Held {
            return target;
        }
        let shared = matches!(target.reason, Reason::Unhealthy(check) if check.may_be_shared());
        match (address.level, target.level) {
            (Level::LastResort, Level::Withdrawn) if shared && self.config.guard => {
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
