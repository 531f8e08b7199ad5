//! What a view means: how this router stands among those expected, and what that allows. Pure functions; the table is
//! in `docs/design/members.md`, and its rows are tested here one by one.

/// What is counted at one moment. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ViewInputs {
    /// Routers that the cluster file names, this one among them.
    pub expected: usize,
    /// Of them held present, this one among them.
    pub present: usize,
    /// This router has seen a majority present since its start.
    pub formed: bool,
    /// Present ones that have told for a while that they hold others present than this router does.
    pub disagreeing: usize,
    /// How long ago this router was started.
    pub started_ago: f64,
    /// How long ago its last pause ended; infinite for never.
    pub resumed_ago: f64,
    /// It leaves by plan.
    pub leaving: bool,
    /// Another process goes by this router's name.
    pub name_conflict: bool,
}

/// How a router stands. Where several fit, the first of them holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It leaves by plan.
    Leaving,
    /// Another process goes by this router's name: which of the two others mean can't be known.
    NameConflict,
    /// A pause has ended within [`SETTLE_TIME`].
    JustResumed,
    /// Started within [`SETTLE_TIME`].
    JustStarted,
    /// Started long ago, and a majority was never seen.
    NeverFormed,
    /// No other is present.
    Alone,
    /// Fewer than half are present.
    Minority,
    /// Just half of an even number.
    Half,
    /// Enough are present, but some of them have counted others for a while.
    Disagreeing,
    /// More than half are present.
    Majority,
    /// All are present.
    Complete,
}

/// How long what a router knew before a pause, and what it is told at its start, is worth nothing, in seconds: by then each
/// of the others has been probed or has told.
pub const SETTLE_TIME: f64 = 3.0;

impl Standing {
    /// All of them, in the order in which they hold.
    pub const ALL: [Standing; 11] = [
        Standing::Leaving,
        Standing::NameConflict,
        Standing::JustResumed,
        Standing::JustStarted,
        Standing::NeverFormed,
        Standing::Alone,
        Standing::Minority,
        Standing::Half,
        Standing::Disagreeing,
        Standing::Majority,
        Standing::Complete,
    ];

    /// The words for logs and status.
    pub fn as_str(self) -> &'static str {
        match self {
            Standing::Leaving => "leaving",
            Standing::NameConflict => "doubled",
            Standing::JustResumed => "just woken",
            Standing::JustStarted => "just started",
            Standing::NeverFormed => "never formed",
            Standing::Alone => "alone",
            Standing::Minority => "minority",
            Standing::Half => "half",
            Standing::Disagreeing => "disagreeing",
            Standing::Majority => "majority",
            Standing::Complete => "whole",
        }
    }
}

/// How many make a majority (quorum) of so many: two majorities always share one.
pub fn majority(expected: usize) -> usize {
    expected / 2 + 1
}

/// The standing that follows from what is counted.
pub fn standing(count: &ViewInputs) -> Standing {
    let enough = count.present >= majority(count.expected);
    match () {
        () if count.leaving => Standing::Leaving,
        () if count.name_conflict => Standing::NameConflict,
        () if count.resumed_ago < SETTLE_TIME => Standing::JustResumed,
        () if count.started_ago < SETTLE_TIME => Standing::JustStarted,
        () if !count.formed && !enough => Standing::NeverFormed,
        () if count.present <= 1 && count.expected > 1 => Standing::Alone,
        () if count.present * 2 < count.expected => Standing::Minority,
        () if !enough => Standing::Half,
        () if count.disagreeing > 0 => Standing::Disagreeing,
        () if count.present < count.expected => Standing::Majority,
        () => Standing::Complete,
    }
}

/// What a standing allows. Whatever it says, this router serves its own requests, by itself, and its decisions keep their
/// rules with the share that it holds: a view makes a share no larger, as it may be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// It may request a lease, and use one that it holds as long as that lasts by its own clock.
    pub requests_leases: bool,
    /// It answers others that ask. One that is just started may have granted what it has forgotten.
    pub grants_leases: bool,
    /// It may take over what another's lease no longer covers, with a lease of its own.
    pub takes_over: bool,
    /// Shares that another released to this router by name may be used.
    pub uses_released_shares: bool,
    /// What it has observed of engines is reported to others.
    pub shares_observations: bool,
    /// What others report of engines counts.
    pub uses_peer_evidence: bool,
    /// An operator should look.
    pub warns: bool,
}

/// What a standing allows.
pub fn permissions(standing: Standing) -> Permissions {
    let all = Permissions {
        requests_leases: true,
        grants_leases: true,
        takes_over: true,
        uses_released_shares: true,
        shares_observations: true,
        uses_peer_evidence: true,
        warns: false,
    };
    let few = Permissions { requests_leases: false, takes_over: false, uses_released_shares: false, ..all };
    match standing {
        Standing::Complete | Standing::Majority => all,
        // Leases are safe whatever the views are; but who is gone is not known well enough to take over from.
        Standing::Disagreeing => Permissions { takes_over: false, warns: true, ..all },
        // They can grant to one of the others' side that asks, but have no majority for themselves.
        Standing::Half | Standing::Minority | Standing::Alone => Permissions { warns: true, ..few },
        Standing::NeverFormed => Permissions { warns: true, ..few },
        // What it has forgotten, or missed while paused, must expire first. What it saw of engines is old.
        Standing::JustStarted => Permissions { grants_leases: false, shares_observations: false, ..few },
        Standing::JustResumed => Permissions { shares_observations: false, uses_peer_evidence: false, ..few },
        Standing::Leaving => Permissions { shares_observations: false, ..few },
        Standing::NameConflict => Permissions {
            grants_leases: false,
            shares_observations: false,
            uses_peer_evidence: false,
            warns: true,
            ..few
        },
    }
}

#[cfg(test)]
mod tests;
