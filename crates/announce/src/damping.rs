//! Damping after RFC 2439, turned on ourselves: each fall of an address adds to a penalty that halves with time; above
//! one bound it may not rise again until the penalty is under another one.

/// Penalties are in units of one fall. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    pub half_life: f64,
    /// More than `reuse`.
    pub suppress: f64,
    pub reuse: f64,
    /// The longest that a return is held back.
    pub longest: f64,
}

impl Damping {
    /// RFC 2439 section 4.2: no penalty takes longer than `longest` to fade to `reuse`.
    fn ceiling(&self) -> f64 {
        self.reuse * (self.longest / self.half_life).exp2()
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct Penalty {
    value: f64,
    at: f64,
    pub suppressed: bool,
}

impl Penalty {
    pub fn fade(&mut self, now: f64, damping: &Damping) {
        self.value *= (-(now - self.at).max(0.0) / damping.half_life).exp2();
        self.at = now;
        self.suppressed &= self.value > damping.reuse;
    }

    pub fn add(&mut self, now: f64, damping: &Damping) {
        self.fade(now, damping);
        self.value = (self.value + 1.0).min(damping.ceiling().max(1.0));
        self.suppressed |= self.value >= damping.suppress;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DAMPING: Damping = Damping { half_life: 60.0, suppress: 3.0, reuse: 1.0, longest: 120.0 };

    #[test]
    fn falls_add_up_time_halves_them_and_no_penalty_lasts_for_ever() {
        let mut penalty = Penalty::default();
        for at in 0..3 {
            assert!(!penalty.suppressed);
            penalty.add(f64::from(at), &DAMPING);
            penalty.fade(f64::from(at), &DAMPING);
        }
        // 2.98: the third fall came just short of the bound, the fourth is past it.
        assert!(!penalty.suppressed);
        penalty.add(3.0, &DAMPING);
        assert!(penalty.suppressed);
        // Far more falls hold it back for the longest time and no longer.
        (0..100).for_each(|_| penalty.add(4.0, &DAMPING));
        penalty.fade(4.0 + 119.0, &DAMPING);
        assert!(penalty.suppressed);
        penalty.fade(4.0 + 121.0, &DAMPING);
        assert!(!penalty.suppressed);
    }

    #[test]
    fn slow_falls_never_add_up() {
        let mut penalty = Penalty::default();
        for at in 0..1000 {
            penalty.add(60.0 * f64::from(at), &DAMPING);
            assert!(!penalty.suppressed);
        }
    }
}
