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
mod tests {
    use super::*;

    fn count(expected: usize, present: usize) -> Count {
        Count {
            expected,
            present,
            formed: true,
            disagreeing: 0,
            started_ago: 100.0,
            woke_ago: f64::INFINITY,
            leaving: false,
            doubled: false,
        }
    }

    #[test]
    fn every_row_of_the_table_is_reached_by_what_it_is_named_for() {
        let rows = [
            (count(9, 9), Standing::Whole),
            (count(1, 1), Standing::Whole),
            (count(9, 5), Standing::Majority),
            (count(10, 6), Standing::Majority),
            (count(10, 5), Standing::Half),
            (count(2, 1), Standing::Alone),
            (count(10, 4), Standing::Minority),
            (count(9, 4), Standing::Minority),
            (count(9, 1), Standing::Alone),
            (Count { formed: false, ..count(9, 4) }, Standing::NeverFormed),
            (Count { formed: false, ..count(9, 1) }, Standing::NeverFormed),
            (Count { disagreeing: 1, ..count(9, 9) }, Standing::Disagreeing),
            (Count { disagreeing: 3, ..count(9, 4) }, Standing::Minority),
            (Count { woke_ago: 0.1, ..count(9, 9) }, Standing::JustWoken),
            (Count { started_ago: 0.1, ..count(9, 9) }, Standing::JustStarted),
            (Count { started_ago: 0.1, woke_ago: 0.0, ..count(9, 9) }, Standing::JustWoken),
            (Count { doubled: true, ..count(9, 9) }, Standing::Doubled),
            (Count { leaving: true, doubled: true, ..count(9, 9) }, Standing::Leaving),
        ];
        for (count, wanted) in rows {
            assert_eq!(standing(&count), wanted, "{count:?}");
        }
        let reached: std::collections::BTreeSet<_> = rows.iter().map(|(_, wanted)| *wanted).collect();
        assert_eq!(reached.len(), Standing::ALL.len(), "a row that nothing reaches");
    }

    /// Whatever the two sides of a cut think, they never both may take over.
    #[test]
    fn no_two_parts_of_a_cluster_may_both_take_over() {
        for expected in 1..=40 {
            for first in 0..=expected {
                let may =
                    |present: usize| present > 0 && allows(standing(&count(expected, present))).takes_over;
                assert!(!(may(first) && may(expected - first)), "{first} of {expected}");
            }
        }
    }

    #[test]
    fn what_takes_over_or_uses_anothers_share_may_hold_a_lease_for_it() {
        for standing in Standing::ALL {
            let allowed = allows(standing);
            assert!(allowed.asks_for_leases || !allowed.takes_over, "{standing:?}");
            assert!(allowed.asks_for_leases || !allowed.uses_released_shares, "{standing:?}");
        }
    }

    #[test]
    fn who_may_have_forgotten_grants_nothing_and_who_may_have_slept_tells_nothing() {
        let row = |standing| allows(standing);
        assert!(!row(Standing::JustStarted).grants_leases);
        assert!(!row(Standing::Doubled).grants_leases);
        for old in [Standing::JustStarted, Standing::JustWoken, Standing::Leaving, Standing::Doubled] {
            assert!(!row(old).tells_of_engines, "{old:?}");
        }
        for quiet in [Standing::Whole, Standing::Majority, Standing::Leaving, Standing::JustStarted] {
            assert!(!row(quiet).warns, "{quiet:?}");
        }
        for loud in [Standing::Half, Standing::Minority, Standing::Alone, Standing::NeverFormed] {
            assert!(row(loud).warns && row(loud).hears_of_engines, "{loud:?}");
        }
    }
}
