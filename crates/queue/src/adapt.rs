//! A limit on what may be out that is found, not set: it grows while all goes well and it is used up, and shrinks when
//! answers take longer than they did at their best. After the congestion avoidance of TCP Vegas (Brakmo and Peterson,
//! 1995), on the pace of jobs, so that heavy ones do not pass for slow.

/// Paces are times for each second of work; the limit counts jobs.
#[derive(Clone, Debug)]
pub struct Adaptive {
    limit: f64,
    least: f64,
    most: f64,
    /// The best paces of this window and the one before: an old best does not hold for ever.
    best: [f64; 2],
    window_ends: f64,
    /// The pace of late.
    pace: Option<f64>,
    last_cut: f64,
}

impl Adaptive {
    /// Jobs in line at the engines that are wanted, and too many.
    const FEW: f64 = 2.0;
    const MANY: f64 = 6.0;
    /// Seconds between cuts: what a cut does must be seen before the next.
    const REST: f64 = 0.5;
    /// Seconds of a window. Each begins with a smaller limit, so that the best pace shows again.
    const WINDOW: f64 = 10.0;
    const PROBE: f64 = 0.8;

    pub fn new(start: f64, least: f64, most: f64) -> Adaptive {
        Adaptive {
            limit: start.clamp(least, most),
            least,
            most,
            best: [f64::INFINITY; 2],
            window_ends: f64::NEG_INFINITY,
            pace: None,
            last_cut: f64::NEG_INFINITY,
        }
    }

    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// One was answered at this pace, or was not (none), with so many out.
    pub fn answered(&mut self, pace: Option<f64>, out: usize, now: f64) {
        let Some(pace) = pace.filter(|pace| pace.is_finite() && *pace > 0.0) else {
            // Lost or late: a cut, whatever the pace of others.
            if now >= self.last_cut + Adaptive::REST {
                (self.limit, self.last_cut) = ((self.limit * 0.875).max(self.least), now);
            }
            return;
        };
        // An unused limit says nothing of what engines take.
        let used = out as f64 + 1.0 >= 0.8 * self.limit;
        if now >= self.window_ends {
            if self.window_ends.is_finite() && used {
                self.limit = (self.limit * Adaptive::PROBE).max(self.least);
            }
            (self.best, self.window_ends) = ([self.best[1], f64::INFINITY], now + Adaptive::WINDOW);
        }
        self.best[1] = self.best[1].min(pace);
        let best = self.best[0].min(self.best[1]);
        let mean = self.pace.map_or(pace, |mean| 0.9 * mean + 0.1 * pace);
        self.pace = Some(mean);
        let waits = self.limit * (1.0 - best / mean);
        if waits < Adaptive::FEW && used {
            self.limit = (self.limit + 1.0 / self.limit.max(1.0)).min(self.most);
        } else if waits > Adaptive::MANY && now >= self.last_cut + Adaptive::REST {
            (self.limit, self.last_cut) = ((self.limit * 0.9).max(self.least), now);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// A server that does `room` jobs at its best pace, and slows in proportion beyond.
    fn driven(room: f64, start: f64, rounds: usize) -> Adaptive {
        let mut limit = Adaptive::new(start, 1.0, 1000.0);
        for round in 0..rounds {
            let out = limit.limit();
            let pace = (out as f64 / room).max(1.0);
            limit.answered(Some(pace), out, round as f64 * 0.05);
        }
        limit
    }

    #[test]
    fn it_finds_what_a_server_takes_from_below_and_from_above() {
        for (start, rounds) in [(2.0, 4000), (200.0, 4000)] {
            let found = driven(20.0, start, rounds).limit();
            assert!((16..=40).contains(&found), "from {start}: {found}");
        }
    }

    #[test]
    fn it_does_not_grow_unused_and_losses_shrink_it_but_not_below_its_least() {
        let mut limit = Adaptive::new(10.0, 2.0, 100.0);
        (0..1000).for_each(|at| limit.answered(Some(1.0), 1, f64::from(at)));
        assert_eq!(limit.limit(), 10);
        (0..100).for_each(|at| limit.answered(None, 10, 1000.0 + f64::from(at)));
        assert_eq!(limit.limit(), 2);
        // Many losses in one moment are one.
        let mut limit = Adaptive::new(10.0, 2.0, 100.0);
        (0..100).for_each(|_| limit.answered(None, 10, 5.0));
        assert_eq!(limit.limit(), 8);
    }
}
