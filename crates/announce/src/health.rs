//! Health checks: what is measured, when a reading passes a check, and after how many readings and how long the state
//! of a check changes.

use std::fmt;

/// The health checks of a router.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum HealthCheck {
    /// Clients can connect.
    Listening,
    /// The decision module runs, and has not failed recently.
    Decisions,
    /// The discovery service is heard from.
    Discovery,
    /// Enough engines are ready and not suspected of having failed.
    Engines,
    /// Enough requests are answered in time.
    InTime,
}

impl HealthCheck {
    /// The number of checks.
    pub const COUNT: usize = 5;
    /// All checks, in the order of the arrays that are indexed by check.
    pub const ALL: [HealthCheck; HealthCheck::COUNT] = [
        HealthCheck::Listening,
        HealthCheck::Decisions,
        HealthCheck::Discovery,
        HealthCheck::Engines,
        HealthCheck::InTime,
    ];

    /// Whether other instances may fail the same check for the same cause: all instances share the discovery service,
    /// the engines, and the requests.
    pub fn may_be_shared(self) -> bool {
        !matches!(self, HealthCheck::Listening | HealthCheck::Decisions)
    }
}

// The text describes the failure, as operators see it in log lines and in the rows of SHOW. The board
// is the discovery service.
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

/// The effect of a failing check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The check has no effect.
    Ignore,
    /// Addresses are announced with a worse preference.
    Deprefer,
    /// Addresses are withdrawn, unless the guard of the last announcer keeps them.
    Withdraw,
}

/// When a reading passes a check, and how fast the state of the check follows the readings.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HealthCheckConfig {
    /// The effect while the check fails.
    pub effect: Effect,
    /// The threshold of the check: the least number of seconds since a failure (decisions), the largest number of
    /// seconds of silence (discovery), the least number of engines (engines), or the least share of requests (in time).
    /// Listening has no threshold.
    pub threshold: f64,
    /// The number of consecutive passing readings after which a failing check passes.
    pub rise: u32,
    /// The number of consecutive failing readings after which a passing check fails.
    pub fall: u32,
    /// The least time in seconds for which a check stays passing.
    pub min_good_time: f64,
    /// The least time in seconds for which a check stays failing.
    pub min_bad_time: f64,
}

/// The measurements at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Readings {
    /// Clients can connect.
    pub listening: bool,
    /// Seconds since the decision module last failed; `None` if it never did.
    pub since_failure: Option<f64>,
    /// Seconds since the discovery service was last heard from; `None` if there is none.
    pub discovery_silence: Option<f64>,
    /// The number of engines that are ready and not suspected of having failed.
    pub usable_engines: usize,
    /// The share of recent requests answered in time, 0 to 1; `None` if there were too few to tell.
    pub in_time_share: Option<f64>,
}

impl Readings {
    /// Whether the readings pass the check; `None` if they do not tell.
    pub fn passes(&self, check: HealthCheck, config: &HealthCheckConfig) -> Option<bool> {
        let threshold = config.threshold;
        match check {
            HealthCheck::Listening => Some(self.listening),
            HealthCheck::Decisions => Some(self.since_failure.is_none_or(|seconds| seconds >= threshold)),
            HealthCheck::Discovery => self.discovery_silence.map(|silence| silence <= threshold),
            HealthCheck::Engines => Some(self.usable_engines as f64 >= threshold),
            HealthCheck::InTime => self.in_time_share.map(|share| share >= threshold),
        }
    }
}

/// The state of one check.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct CheckState {
    pub passing: bool,
    /// The number of consecutive readings that contradict `passing`.
    contradicting: u32,
    /// When `passing` last changed.
    since: f64,
}

impl CheckState {
    /// A check passes until readings show otherwise: the start delay prevents an announcement before that.
    pub fn new(now: f64) -> CheckState {
        CheckState { passing: true, contradicting: 0, since: now }
    }

    /// Updates the state by one reading.
    pub fn update(&mut self, passes: bool, now: f64, config: &HealthCheckConfig) {
        if passes == self.passing {
            self.contradicting = 0;
            return;
        }
        self.contradicting = self.contradicting.saturating_add(1);
        let (needed_readings, min_time) = match passes {
            true => (config.rise, config.min_bad_time),
            false => (config.fall, config.min_good_time),
        };
        if self.contradicting >= needed_readings.max(1) && now >= self.since + min_time {
            *self = CheckState { passing: passes, contradicting: 0, since: now };
        }
    }
}

/// Counts of requests since the start, which never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RequestCounts {
    in_time: u64,
    answered: u64,
}

/// The share of recent requests answered in time. Both counts decay exponentially.
#[derive(Clone, Debug, Default)]
pub struct InTimeShare {
    in_time: f64,
    answered: f64,
    last: RequestCounts,
    updated_at: f64,
}

impl InTimeShare {
    /// The half-life in seconds of the weight of a request.
    const HALF_LIFE: f64 = 5.0;
    /// The smallest decayed count of answered requests for which a share is given.
    const MIN_REQUESTS: f64 = 10.0;

    /// Takes the counts of requests answered in time and of all requests answered, both since the start. Returns the
    /// share, or `None` if there were too few requests recently.
    pub fn update(&mut self, now: f64, in_time: u64, answered: u64) -> Option<f64> {
        let decay = (-(now - self.updated_at).max(0.0) / InTimeShare::HALF_LIFE).exp2();
        let increase = |count: u64, before: u64| count.saturating_sub(before) as f64;
        self.in_time = self.in_time * decay + increase(in_time, self.last.in_time);
        self.answered = self.answered * decay + increase(answered, self.last.answered);
        self.last = RequestCounts { in_time, answered };
        self.updated_at = now;
        (self.answered >= InTimeShare::MIN_REQUESTS).then(|| self.in_time / self.answered)
    }
}

#[cfg(test)]
mod tests;
