//! How long a job in line will wait: from how fast work has gone through of late, the work ahead, and what was learned
//! of this estimate's own errors.

use crate::Waiting;

/// An estimate, in seconds from now to the first push.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    pub expected: f64,
    /// Four waits in five are thought to lie between these.
    pub from: f64,
    pub to: f64,
}

/// A mean that forgets.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    sum: f64,
    weight: f64,
}

impl Mean {
    fn add(&mut self, value: f64, keep: f64) {
        self.sum = self.sum * keep + value;
        self.weight = self.weight * keep + 1.0;
    }

    /// With so many of nothing believed beside.
    fn with(&self, belief: f64) -> f64 {
        self.sum / (self.weight + belief)
    }
}

/// What one team's estimates turned out to be worth.
#[derive(Clone, Debug, Default)]
struct Errors {
    /// The logarithm of the true wait over the estimated one, and how far off that mean they are.
    bias: Mean,
    spread: Mean,
}

#[derive(Clone, Debug)]
pub struct Waits {
    teams: Vec<Errors>,
    /// Work that went through, and the time that it took while some waited.
    work: f64,
    time: f64,
    last: Option<f64>,
    /// Estimates that were made, until their jobs go: job, when, how long. Bounded.
    made: std::collections::BTreeMap<usize, (f64, f64)>,
    /// Estimates that were compared, those within a fifth of the truth, and jobs that waited without one.
    pub compared: u64,
    pub within_a_fifth: u64,
    pub unknown: u64,
}

impl Waits {
    /// Half of the rate's memory is gone after so many seconds.
    const HALF_LIFE: f64 = 2.0;
    /// With nothing gone through for so long, nothing can be told.
    const SILENT: f64 = 2.0;
    const MOST_MADE: usize = 100_000;
    /// Shorter waits are a turn of the loop, and no wait.
    const LEAST: f64 = 0.005;

    pub fn new(teams: usize) -> Waits {
        Waits {
            teams: vec![Errors::default(); teams],
            work: 0.0,
            time: 0.0,
            last: None,
            made: Default::default(),
            compared: 0,
            within_a_fifth: 0,
            unknown: 0,
        }
    }

    /// A job has gone: the rate, and what its estimate was worth.
    pub fn went(&mut self, waiting: &Waiting, now: f64) {
        // Time in which nobody waited is nobody's: a gap counts for no more than silence does.
        let passed = self.last.map_or(0.0, |last| (now - last).clamp(0.0, Waits::SILENT));
        let keep = (-passed / Waits::HALF_LIFE).exp2();
        (self.work, self.time) = (self.work * keep + waiting.work, self.time * keep + passed);
        self.last = Some(now);
        let Some((made, estimate)) = self.made.remove(&waiting.job) else { return };
        let truth = now - made;
        if truth < Waits::LEAST {
            return;
        }
        self.compared += 1;
        self.within_a_fifth += u64::from((truth - estimate).abs() <= 0.2 * truth);
        let errors = &mut self.teams[waiting.team];
        let off = (truth / estimate.max(Waits::LEAST)).ln().clamp(-3.0, 3.0);
        errors.spread.add(off.abs(), 0.95);
        // The estimate was corrected by the bias already: what is left of it is learned.
        errors.bias.add(errors.bias.with(2.0) + 0.5 * off, 0.95);
    }

    /// It waits no more, and did not go.
    pub fn left(&mut self, job: usize) {
        self.made.remove(&job);
    }

    /// Remembers an estimate to compare it with the truth.
    pub fn told(&mut self, job: usize, wait: Option<Wait>, now: f64) {
        match wait {
            Some(wait) if self.made.len() < Waits::MOST_MADE => {
                self.made.insert(job, (now, wait.expected));
            }
            _ => self.unknown += 1,
        }
    }

    /// Work a second that goes through, if it can be told.
    fn rate(&self, now: f64) -> Option<f64> {
        let last = self.last?;
        let silent = now - last;
        // A silence that is longer than gaps usually are is part of the rate already.
        (silent < Waits::SILENT && self.time > 0.05).then(|| self.work / (self.time + silent))
    }

    pub(crate) fn estimate(&self, waiting: &Waiting, ahead: f64, share: f64, now: f64) -> Option<Wait> {
        let rate = self.rate(now).filter(|rate| *rate > 0.0)?;
        let errors = self.teams.get(waiting.team)?;
        // It goes once what is ahead has gone; half a job is out on average when it comes.
        let plain = (ahead + 0.5 * waiting.work) / (rate * share.max(1e-6));
        let expected = plain * errors.bias.with(2.0).exp();
        let spread = (errors.spread.sum + 0.5) / (errors.spread.weight + 1.0);
        let factor = (1.6 * spread).exp();
        Some(Wait { expected, from: expected / factor, to: expected * factor })
    }
}
