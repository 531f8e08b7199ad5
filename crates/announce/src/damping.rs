//! Damping after RFC 2439, turned on ourselves: each fall of an address adds to a penalty that halves with time; above
//! one bound it may not rise again until the penalty is under another one.

/// The parameters of damping. Penalties are in units of one fall. Times are seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// Seconds in which a penalty halves.
    pub half_life: f64,
    /// The penalty from which a return is held back; more than `reuse`.
    pub suppress_threshold: f64,
    /// The penalty under which a return is free again.
    pub reuse_threshold: f64,
    /// Seconds that a return is held back at the longest.
    pub max_suppress_time: f64,
}

impl Damping {
    /// RFC 2439 section 4.2: no penalty takes longer than `longest` to fade to `reuse`.
    fn ceiling(&self) -> f64 {
        self.reuse_threshold * (self.max_suppress_time / self.half_life).exp2()
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
        self.suppressed &= self.value > damping.reuse_threshold;
    }

    pub fn add(&mut self, now: f64, damping: &Damping) {
        self.fade(now, damping);
        self.value = (self.value + 1.0).min(damping.ceiling().max(1.0));
        self.suppressed |= self.value >= damping.suppress_threshold;
    }
}

#[cfg(test)]
mod tests;
