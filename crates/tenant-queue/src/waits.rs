//! How long a request in line will wait: from how fast work has gone through of late, the work ahead, and what was learned
//! of this estimate's own errors.

use crate::Waiting;

/// An estimate, in seconds from now to the first attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wait {
    pub expected: f64,
    /// Four waits in five are thought to lie between these.
    pub from: f64,
    pub to: f64,
    /// The part of the line that it was made for, which its error is learned by.
    pub part: usize,
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

/// What estimates turned out to be worth.
#[derive(Clone, Copy, Debug, Default)]
struct Errors {
    /// The logarithm of the true wait over the estimated one, and how far off that mean they are.
    bias: Mean,
    spread: Mean,
}

/// How fast work goes through.
#[derive(Clone, Copy, Debug, Default)]
struct Rate {
    work: f64,
    /// Time in which some waited.
    time: f64,
    last: Option<f64>,
}

impl Rate {
    /// So much has gone; time counts from the last one, or from when the line was last empty.
    fn went(&mut self, work: f64, now: f64) {
        // A gap counts for no more than silence does.
        let passed = self.last.map_or(0.0, |last| (now - last).clamp(0.0, Waits::SILENT));
        let keep = (-passed / Waits::HALF_LIFE).exp2();
        (self.work, self.time) = (self.work * keep + work, self.time * keep + passed);
        self.last = Some(now);
    }

    /// Work a second, if it can be told: not after a silence.
    fn now(&self, now: f64) -> Option<f64> {
        let silent = now - self.last?;
        (silent < Waits::SILENT && self.time > 0.05 && self.work > 0.0)
            .then(|| self.work / (self.time + silent))
    }
}

/// Estimates err otherwise at a line's front, where luck decides, than at its end, where later and denser requests go ahead.
const PARTS: usize = 4;

#[derive(Clone, Debug, Default)]
struct Tenant {
    errors: [Errors; PARTS],
    rate: Rate,
}

#[derive(Clone, Debug)]
pub struct Waits {
    tenants: Vec<Tenant>,
    all: Rate,
    /// Estimates that were made, until their requests go: when, how long, and from which part of the line. Bounded.
    made: std::collections::BTreeMap<usize, (f64, f64, usize)>,
    /// Estimates that were compared, those within a fifth of the truth, those within that or 20 ms, and requests that waited
    /// without one.
    pub compared: u64,
    pub within_a_fifth: u64,
    pub near: u64,
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

    pub fn new(tenants: usize) -> Waits {
        Waits {
            tenants: vec![Tenant::default(); tenants],
            all: Rate::default(),
            made: Default::default(),
            compared: 0,
            within_a_fifth: 0,
            near: 0,
            unknown: 0,
        }
    }

    /// A request joins a line in which none, of its tenant and of all, stood before: the time of idleness does not count.
    pub fn joins(&mut self, tenant: usize, first_of_tenant: bool, first_of_all: bool, now: f64) {
        if first_of_tenant {
            self.tenants[tenant].rate.last = self.tenants[tenant].rate.last.map(|_| now);
        }
        if first_of_all {
            self.all.last = self.all.last.map(|_| now);
        }
    }

    /// A request has gone: the rates, and what its estimate was worth.
    pub fn went(&mut self, waiting: &Waiting, now: f64) {
        self.all.went(waiting.work, now);
        self.tenants[waiting.tenant].rate.went(waiting.work, now);
        let Some((made, estimate, part)) = self.made.remove(&waiting.request) else { return };
        let truth = now - made;
        if truth < Waits::LEAST {
            return;
        }
        let off = (truth - estimate).abs();
        self.compared += 1;
        self.within_a_fifth += u64::from(off <= 0.2 * truth);
        self.near += u64::from(off <= (0.2 * truth).max(0.02));
        let errors = &mut self.tenants[waiting.tenant].errors[part];
        let ratio = (truth / estimate.max(Waits::LEAST)).ln().clamp(-3.0, 3.0);
        errors.spread.add(ratio.abs(), 0.95);
        // The estimate was corrected by the bias already: what is left of it is learned.
        errors.bias.add(errors.bias.with(2.0) + 0.5 * ratio, 0.95);
    }

    /// It waits no more, and did not go.
    pub fn left(&mut self, request: usize) {
        self.made.remove(&request);
    }

    /// Remembers an estimate to compare it with the truth.
    pub fn told(&mut self, request: usize, wait: Option<Wait>, now: f64) {
        match wait {
            Some(wait) if self.made.len() < Waits::MOST_MADE => {
                self.made.insert(request, (now, wait.expected, wait.part));
            }
            _ => self.unknown += 1,
        }
    }

    /// `ahead` is the work ahead in its line, `line` all of that line's.
    pub(crate) fn estimate(
        &self,
        waiting: &Waiting,
        ahead: f64,
        line: f64,
        share: f64,
        now: f64,
    ) -> Option<Wait> {
        let all = self.all.now(now)?;
        let tenant = self.tenants.get(waiting.tenant)?;
        // What the tenant had of late while it waited says more than its weight; without that, its share.
        let rate = tenant.rate.now(now).unwrap_or(all * share.max(1e-6));
        let part = ((ahead / line.max(1e-9) * PARTS as f64) as usize).min(PARTS - 1);
        let errors = &tenant.errors[part];
        // It goes once what is ahead has gone, and its own turn has come.
        let plain = (ahead + 0.5 * waiting.work) / rate;
        let expected = plain * errors.bias.with(2.0).exp();
        let spread = (errors.spread.sum + 0.5) / (errors.spread.weight + 1.0);
        let factor = (1.6 * spread).exp();
        Some(Wait { expected, from: expected / factor, to: expected * factor, part })
    }
}
