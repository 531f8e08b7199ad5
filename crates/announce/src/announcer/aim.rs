//! Where an address ought to stand, by the signs of health, the operator, and what others announce.

use super::{Address, Announcer, Standing};
use crate::level::{Level, Why};
use crate::paths::Paths;
use crate::signs::{Effect, Sign};
use crate::terms::Hold;

impl Announcer {
    /// Where the address ought to stand, if nothing stood in the way.
    pub(super) fn aim(&self, index: usize, now: f64, paths: &Paths) -> Standing {
        let address = &self.addresses[index];
        if self.terms.hold == Some(Hold::Withdrawn) {
            return Standing::new(Level::Withdrawn, Why::Held);
        }
        if let Some(sign) = self.first_bad(Effect::Withdraw) {
            return self.aim_of_sick(address, sign, now, paths);
        }
        if self.terms.hold == Some(Hold::Depreferred) {
            return Standing::new(Level::Depreferred, Why::Held);
        }
        if address.level == Level::Withdrawn {
            return self.aim_of_returning(address, now, paths);
        }
        if let Some(sign) = self.first_bad(Effect::Deprefer) {
            return Standing::new(Level::Depreferred, Why::Weak(sign));
        }
        if address.why == Why::Returning && now < address.since + self.terms.stage {
            return Standing::new(Level::Depreferred, Why::Returning);
        }
        Standing::new(Level::Announced, Why::Well)
    }

    /// The first bad sign with this effect.
    pub(super) fn first_bad(&self, effect: Effect) -> Option<Sign> {
        let is_bad = |sign: &Sign| {
            let index = *sign as usize;
            self.terms.signs[index].effect == effect && !self.signs[index].good
        };
        Sign::ALL.into_iter().find(is_bad)
    }

    /// The guard of the last announcer: see the module comment of the crate.
    fn aim_of_sick(&self, address: &Address, sign: Sign, now: f64, paths: &Paths) -> Standing {
        // What only this instance can suffer from is no reason to stay.
        if !sign.may_be_shared() || !self.terms.guard {
            return Standing::new(Level::Withdrawn, Why::Sick(sign));
        }
        if address.level == Level::Withdrawn {
            // Nobody at all is left, and has not been for a while: a sick path beats none.
            let alone = address.alone_since.is_some_and(|since| now >= since + self.terms.settle);
            return match alone && address.started && paths.view {
                true => Standing::new(Level::LastResort, Why::NobodyElse(sign)),
                false => Standing::new(Level::Withdrawn, Why::Sick(sign)),
            };
        }
        let shown = address.level == Level::LastResort && now >= address.since + self.terms.settle;
        // Whoever cannot see cannot know: without a session of ours nothing is gained by going either.
        if shown && paths.view {
            return match paths.sound(&address.net) > 0 {
                true => Standing::new(Level::Withdrawn, Why::Sick(sign)),
                false => Standing::new(Level::LastResort, Why::NobodyElse(sign)),
            };
        }
        match address.why {
            Why::NobodyElse(_) => Standing::new(Level::LastResort, address.why),
            _ => Standing::new(Level::LastResort, Why::Sick(sign)),
        }
    }

    /// A return goes by steps, so that a burst does not meet it cold; but where nobody else is, at once.
    fn aim_of_returning(&self, address: &Address, now: f64, paths: &Paths) -> Standing {
        let wait = if address.started { self.terms.return_after } else { self.terms.start_after };
        let ready = address.well_since.is_some_and(|since| now >= since + wait);
        let needed = address.started && paths.view && paths.seen(&address.net) == 0;
        if ready || needed && address.well_since.is_some() {
            return Standing::new(Level::Depreferred, Why::Returning);
        }
        let why = if address.started { address.why } else { Why::Starting };
        Standing::new(Level::Withdrawn, why)
    }

    /// A damped address stays a last resort: as it can't return soon, to withdraw it would leave its load to the few
    /// that are not damped yet, and to prefer it would bring the next fall.
    pub(super) fn damp(&self, index: usize, aim: Standing) -> Standing {
        let address = &self.addresses[index];
        if !address.penalty.suppressed || !address.started || aim.why == Why::Held {
            return aim;
        }
        let shared = matches!(aim.why, Why::Sick(sign) if sign.may_be_shared());
        match (address.level, aim.level) {
            (Level::LastResort, Level::Withdrawn) if shared && self.terms.guard => {
                Standing::new(Level::LastResort, Why::Damped)
            }
            (Level::Withdrawn | Level::LastResort, Level::Depreferred | Level::Announced) => {
                Standing::new(Level::LastResort, Why::Damped)
            }
            (Level::Depreferred, Level::Announced) => Standing::new(Level::Depreferred, Why::Damped),
            _ => aim,
        }
    }
}
