//! Route flap damping (RFC 2439) applied to our own addresses. Each fall of an address to a worse level because of a
//! failing check adds to a penalty, which decays exponentially. Once the penalty reaches the suppress threshold, the
//! address may not rise to a better level than last resort, nor from depreferred to announced, until the penalty has
//! decayed to the reuse threshold.

/// The parameters of damping. A penalty is in units of one fall; times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Damping {
    /// The time in which a penalty halves.
    pub half_life: f64,
    /// The penalty from which on a return is held back; more than `reuse_threshold`.
    pub suppress_threshold: f64,
    /// The penalty at which a return is allowed again.
    pub reuse_threshold: f64,
    /// The longest time for which a return is held back after the last fall.
    pub max_suppress_time: f64,
}

impl Damping {
    /// The largest penalty, which takes `max_suppress_time` to decay to `reuse_threshold` (RFC 2439 section 4.2).
    fn ceiling(&self) -> f64 {
        self.reuse_threshold * (self.max_suppress_time / self.half_life).exp2()
    }
}

/// The penalty of one address.
#[derive(Clone, Debug, Default)]
pub(crate) struct Penalty {
    value: f64,
    /// The time that `value` refers to.
    updated_at: f64,
    /// Whether a return is held back.
    pub suppressed: bool,
}

impl Penalty {
    /// Decays the penalty to its value at `now`.
    pub fn decay(&mut self, now: f64, damping: &Damping) {
        self.value *= (-(now - self.updated_at).max(0.0) / damping.half_life).exp2();
        self.updated_at = now;
        self.suppressed &= self.value > damping.reuse_threshold;
    }

    /// Adds one fall.
    pub fn add_fall(&mut self, now: f64, damping: &Damping) {
        self.decay(now, damping);
        // One fall always counts in full, even if the ceiling is lower.
        self.value = (self.value + 1.0).min(damping.ceiling().max(1.0));
        self.suppressed |= self.value >= damping.suppress_threshold;
    }
}

#[cfg(test)]
mod tests;
