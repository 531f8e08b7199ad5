//! Health checks: what is measured, when it passes, and how many readings and how long it takes to believe it.

use std::fmt;

/// What is checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HealthCheck {
    /// Clients can connect.
    Listening,
    /// The decision module runs, and has not failed of late.
    Decisions,
    /// The discovery service is heard.
    Discovery,
    /// Enough engines are ready and not suspected.
    Engines,
    /// Enough requests are answered in time.
    InTime,
}

impl HealthCheck {
    /// How many checks there are.
    pub const COUNT: usize = 5;
    /// All checks, in the order in which arrays by check hold them.
    pub const ALL: [HealthCheck; HealthCheck::COUNT] = [
        HealthCheck::Listening,
        HealthCheck::Decisions,
        HealthCheck::Discovery,
        HealthCheck::Engines,
        HealthCheck::InTime,
    ];

    /// Other instances may fail the same check for the same cause: the discovery service, the engines, and what they
    /// are asked, are shared by all.
    pub fn may_be_shared(self) -> bool {
        !matches!(self, HealthCheck::Listening | HealthCheck::Decisions)
    }
}

impl fmt::Display for HealthCheck {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            HealthCheck::Listening => "not listening",
            HealthCheck::Decisions => "the decisions fail",
            HealthCheck::Discovery => "the board is silent",
            HealthCheck::Engines => "too few engines",
            HealthCheck::InTime => "too few answers in time",
        })
    }
}

/// What a failing check does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Nothing.
    Ignore,
    /// Addresses are announced with a worse preference.
    Deprefer,
    /// Addresses are withdrawn, unless the guard of the last announcer keeps them.
    Withdraw,
}

/// When a check passes, and how fast that is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckConfig {
    /// What it does while it fails.
    pub effect: Effect,
    /// The bound that it must keep: seconds since a failure at the least (decisions), seconds of silence at the most
    /// (discovery), a number of engines at the least (engines), a share at the least (in time); listening has none.
    pub threshold: f64,
    /// Readings in a row that make a failing check pass.
    pub rise: u32,
    /// Readings in a row that make a passing check fail.
    pub fall: u32,
    /// Once it passes, it does so for this many seconds at least.
    pub min_good_time: f64,
    /// Once it fails, it does so for this many seconds at least.
    pub min_bad_time: f64,
}

/// What was measured at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Readings {
    /// Clients can connect.
    pub listening: bool,
    /// Seconds since the decision module last failed; `None` where it never did.
    pub since_failure: Option<f64>,
    /// Seconds since the discovery service was heard; `None` where there is none.
    pub discovery_silence: Option<f64>,
    /// Engines that are ready and not suspected.
    pub usable_engines: usize,
    /// The share of requests answered in time of late; `None` where there were too few to tell.
    pub in_time_share: Option<f64>,
}

impl Readings {
    /// Whether the check passes in this reading; `None` where it can't be told.
    pub fn passes(&self, check: HealthCheck, config: &HealthCheckConfig) -> Option<bool> {
        let threshold = config.threshold;
        match check {
            HealthCheck::Listening => Some(self.listening),
            HealthCheck::Decisions => Some(self.since_failure.is_none_or(|since| since >= threshold)),
            HealthCheck::Discovery => self.discovery_silence.map(|silence| silence <= threshold),
            HealthCheck::Engines => Some(self.usable_engines as f64 >= threshold),
            HealthCheck::InTime => self.in_time_share.map(|share| share >= threshold),
        }
    }
}

/// What is believed of a check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CheckState {
    pub passing: bool,
    /// Readings in a row that said otherwise.
    contrary: u32,
    since: f64,
}

impl CheckState {
    /// Passing until something else is seen: a start has its own delay.
    pub fn new(now: f64) -> CheckState {
        CheckState { passing: true, contrary: 0, since: now }
    }

    /// Takes one reading into account.
    pub fn update(&mut self, passes: bool, now: f64, config: &HealthCheckConfig) {
        if passes == self.passing {
            self.contrary = 0;
            return;
        }
        self.contrary = self.contrary.saturating_add(1);
        let (needed, min_time) = match passes {
            true => (config.rise, config.min_bad_time),
            false => (config.fall, config.min_good_time),
        };
        if self.contrary >= needed.max(1) && now >= self.since + min_time {
            *self = CheckState { passing: passes, contrary: 0, since: now };
        }
    }
}

/// Counts of requests since the start; they only grow.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RequestCounts {
    in_time: u64,
    answered: u64,
}

/// The share of requests answered in time of late: both counts decay exponentially.
#[derive(Clone, Debug, Default)]
pub struct InTimeShare {
    in_time: f64,
    answered: f64,
    last: RequestCounts,
    updated_at: f64,
}

impl InTimeShare {
    /// Seconds after which a request counts for half.
    const HALF_LIFE: f64 = 5.0;
    /// With fewer requests than this the share says nothing.
    const MIN_REQUESTS: f64 = 10.0;

    /// Takes the counts of requests answered in time, and of all answered, as they stand; the share, or `None` where
    /// there were too few requests of late.
    pub fn update(&mut self, now: f64, in_time: u64, answered: u64) -> Option<f64> {
        let decay = (-(now - self.updated_at).max(0.0) / InTimeShare::HALF_LIFE).exp2();
        let new = |count: u64, before: u64| count.saturating_sub(before) as f64;
        self.in_time = self.in_time * decay + new(in_time, self.last.in_time);
        self.answered = self.answered * decay + new(answered, self.last.answered);
        self.last = RequestCounts { in_time, answered };
        self.updated_at = now;
        (self.answered >= InTimeShare::MIN_REQUESTS).then(|| self.in_time / self.answered)
    }
}

#[cfg(test)]
mod tests;
