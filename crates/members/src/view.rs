//! What a view means: how this router stands among those expected, and what that allows. Pure functions; the table is
//! in `docs/design/members.md`, and its rows are tested here one by one.

/// What is counted at one moment. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Count {
    /// Routers that the cluster file names, this one among them.
    pub expected: usize,
    /// Of them held present, this one among them.
    pub present: usize,
    /// This router has seen a majority present since its start.
    pub formed: bool,
    /// Present ones that have told for a while that they hold others present than we do.
    pub disagreeing: usize,
    /// How long ago this router was started, and had its last pause (infinite: never).
    pub started_ago: f64,
    pub woke_ago: f64,
    pub leaving: bool,
    /// Another process goes under our name.
    pub doubled: bool,
}

/// How a router stands. Where several fit, the first of them holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    Leaving,
    /// Another process goes under our name: which of us others mean can't be known.
    Doubled,
    JustWoken,
    JustStarted,
    /// Started long ago, and a majority was never seen.
    NeverFormed,
    Alone,
    Minority,
    /// Just half of an even number.
    Half,
    /// Enough are present, but some of them have counted others for a while.
    Disagreeing,
    Majority,
    Whole,
}

/// How long what a router believed before a pause, and what it is told at its start, is worth nothing: by then each
/// of the others has been asked or has told. In seconds.
pub const SETTLES: f64 = 3.0;

impl Standing {
    pub const ALL: [Standing; 11] = [
        Standing::Leaving,
        Standing::Doubled,
        Standing::JustWoken,
        Standing::JustStarted,
        Standing::NeverFormed,
        Standing::Alone,
        Standing::Minority,
        Standing::Half,
        Standing::Disagreeing,
        Standing::Majority,
        Standing::Whole,
    ];

    pub fn word(self) -> &'static str {
        match self {
            Standing::Leaving => "leaving",
            Standing::Doubled => "doubled",
            Standing::JustWoken => "just woken",
            Standing::JustStarted => "just started",
            Standing::NeverFormed => "never formed",
            Standing::Alone => "alone",
            Standing::Minority => "minority",
            Standing::Half => "half",
            Standing::Disagreeing => "disagreeing",
            Standing::Majority => "majority",
            Standing::Whole => "whole",
        }
    }
}

/// How many make a majority of so many: two majorities always share one.
pub fn majority(expected: usize) -> usize {
    expected / 2 + 1
}

pub fn standing(count: &Count) -> Standing {
    let enough = count.present >= majority(count.expected);
    match () {
        () if count.leaving => Standing::Leaving,
        () if count.doubled => Standing::Doubled,
        () if count.woke_ago < SETTLES => Standing::JustWoken,
        () if count.started_ago < SETTLES => Standing::JustStarted,
        () if !count.formed && !enough => Standing::NeverFormed,
        () if count.present <= 1 && count.expected > 1 => Standing::Alone,
        () if count.present * 2 < count.expected => Standing::Minority,
        () if !enough => Standing::Half,
        () if count.disagreeing > 0 => Standing::Disagreeing,
        () if count.present < count.expected => Standing::Majority,
        () => Standing::Whole,
    }
}

/// What a standing allows. Whatever it says, this router serves its own jobs, by itself, and `may_push` keeps rules 2
/// to 7 with the share that it holds: a view makes a share no larger, as it may be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowed {
    /// It may ask for a lease, and use one that it holds as long as that lasts by its own clock.
    pub asks_for_leases: bool,
    /// It answers others that ask. One that is just started may have granted what it has forgotten.
    pub grants_leases: bool,
    /// It may take over what another's lease no longer covers, with a lease of its own.
    pub takes_over: bool,
    /// Shares that another gave up in so many words, naming us, may be used.
    pub uses_released_shares: bool,
    /// What it says of engines is passed on to others.
    pub tells_of_engines: bool,
    /// Others' word on engines counts.
    pub hears_of_engines: bool,
    /// An operator should look.
    pub warns: bool,
}

pub fn allows(standing: Standing) -> Allowed {
    let all = Allowed {
        asks_for_leases: true,
        grants_leases: true,
        takes_over: true,
        uses_released_shares: true,
        tells_of_engines: true,
        hears_of_engines: true,
        warns: false,
    };
    let few = Allowed { asks_for_leases: false, takes_over: false, uses_released_shares: false, ..all };
    match standing {
        Standing::Whole | Standing::Majority => all,
        // Leases are safe whatever the views are; but who is gone is not known well enough to take over from.
        Standing::Disagreeing => Allowed { takes_over: false, warns: true, ..all },
        // They can grant to one of the others' side that asks, but have no majority for themselves.
        Standing::Half | Standing::Minority | Standing::Alone => Allowed { warns: true, ..few },
        Standing::NeverFormed => Allowed { warns: true, ..few },
        // What it has forgotten, or slept through, must run out first. What it saw of engines is old.
        Standing::JustStarted => Allowed { grants_leases: false, tells_of_engines: false, ..few },
        Standing::JustWoken => Allowed { tells_of_engines: false, hears_of_engines: false, ..few },
        Standing::Leaving => Allowed { tells_of_engines: false, ..few },
        Standing::Doubled => Allowed {
            grants_leases: false,
            tells_of_engines: false,
            hears_of_engines: false,
            warns: true,
            ..few
        },
    }
}

#[cfg(test)]
mod tests;
