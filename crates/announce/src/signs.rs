//! Signs of health: what is read, when it counts as good, and how many readings and how long it takes to believe it.

use std::fmt;

/// What is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Sign {
    /// Clients can connect.
    Listening,
    /// The decisions run, and have not failed of late.
    Deciding,
    /// The notice board is heard.
    Board,
    /// Enough engines are ready and not in doubt.
    Engines,
    /// Enough jobs are answered in time.
    InTime,
}

impl Sign {
    pub const COUNT: usize = 5;
    pub const ALL: [Sign; Sign::COUNT] =
        [Sign::Listening, Sign::Deciding, Sign::Board, Sign::Engines, Sign::InTime];

    /// Others may suffer from the same: the board, the engines, and what they are asked, are everybody's.
    pub fn may_be_shared(self) -> bool {
        !matches!(self, Sign::Listening | Sign::Deciding)
    }
}

impl fmt::Display for Sign {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            Sign::Listening => "not listening",
            Sign::Deciding => "the decisions fail",
            Sign::Board => "the board is silent",
            Sign::Engines => "too few engines",
            Sign::InTime => "too few answers in time",
        })
    }
}

/// What a bad sign does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    Ignore,
    Deprefer,
    Withdraw,
}

/// When a sign is good, and how fast that is believed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SignTerms {
    pub effect: Effect,
    /// The bound: seconds since a failure (deciding), of silence (board), engines (engines), a share (in time);
    /// listening has none.
    pub bound: f64,
    /// Readings in a row that make it good, and bad.
    pub rise: u32,
    pub fall: u32,
    /// It stays good, and bad, for so many seconds at least.
    pub least_good: f64,
    pub least_bad: f64,
}

/// One look at the router.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Readings {
    pub listening: bool,
    /// Seconds since the decisions last failed; none where they never did.
    pub failed_ago: Option<f64>,
    /// Seconds since the board was heard; none where there is no board.
    pub board_silent: Option<f64>,
    /// Engines that are ready and not doubted.
    pub engines: usize,
    /// The share of jobs answered in time of late; none where there were too few to tell.
    pub in_time: Option<f64>,
}

impl Readings {
    /// Whether the sign is good in this reading; none where it tells nothing.
    pub fn good(&self, sign: Sign, terms: &SignTerms) -> Option<bool> {
        match sign {
            Sign::Listening => Some(self.listening),
            Sign::Deciding => Some(self.failed_ago.is_none_or(|ago| ago >= terms.bound)),
            Sign::Board => self.board_silent.map(|silent| silent <= terms.bound),
            Sign::Engines => Some(self.engines as f64 >= terms.bound),
            Sign::InTime => self.in_time.map(|share| share >= terms.bound),
        }
    }
}

/// What is believed of a sign.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Judged {
    pub good: bool,
    /// Readings in a row that said otherwise.
    contrary: u32,
    since: f64,
}

impl Judged {
    /// Good until something else is seen: a start has its own wait.
    pub fn new(now: f64) -> Judged {
        Judged { good: true, contrary: 0, since: now }
    }

    pub fn saw(&mut self, good: bool, now: f64, terms: &SignTerms) {
        if good == self.good {
            self.contrary = 0;
            return;
        }
        self.contrary = self.contrary.saturating_add(1);
        let (needed, least) =
            if good { (terms.rise, terms.least_bad) } else { (terms.fall, terms.least_good) };
        if self.contrary >= needed.max(1) && now >= self.since + least {
            *self = Judged { good, contrary: 0, since: now };
        }
    }
}

/// The share of jobs answered in time of late, from counts that only grow.
#[derive(Clone, Debug, Default)]
pub struct Recent {
    good: f64,
    all: f64,
    counted: (u64, u64),
    at: f64,
}

impl Recent {
    /// Half of what was seen is forgotten after so many seconds.
    const HALF_LIFE: f64 = 5.0;
    /// With fewer jobs than this nothing can be told.
    const LEAST: f64 = 10.0;

    /// Takes the counts of jobs answered in time, and of all answered, as they stand; tells the share.
    pub fn counted(&mut self, now: f64, in_time: u64, answered: u64) -> Option<f64> {
        let keep = (-(now - self.at).max(0.0) / Recent::HALF_LIFE).exp2();
        let new = |count: u64, before: u64| count.saturating_sub(before) as f64;
        self.good = self.good * keep + new(in_time, self.counted.0);
        self.all = self.all * keep + new(answered, self.counted.1);
        (self.counted, self.at) = ((in_time, answered), now);
        (self.all >= Recent::LEAST).then(|| self.good / self.all)
    }
}

#[cfg(test)]
mod tests;
