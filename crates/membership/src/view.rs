//! The standing of a router among the expected routers, derived from its view, and what that standing allows. All
//! functions are pure. The table of standings is in `docs/design/members.md`; each row has a test here.

/// The inputs from which a standing is derived. Times are in seconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ViewInputs {
    /// The number of routers in the cluster file, this one included.
    pub expected: usize,
    /// The number of routers that count as present, this one included.
    pub present: usize,
    /// Whether this router has seen a majority present since its start.
    pub formed: bool,
    /// The number of present routers that have for a while reported another set of present routers than this router's.
    pub disagreeing: usize,
    /// How long ago this router started.
    pub started_ago: f64,
    /// How long ago the last pause of this process ended; infinite if there was none.
    pub resumed_ago: f64,
    /// Whether this router is leaving as planned.
    pub leaving: bool,
    /// Whether another process uses this router's name.
    pub name_conflict: bool,
}

/// The standing of a router among the expected routers. If several conditions apply, the first in this order holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Standing {
    /// It is leaving as planned.
    Leaving,
    /// Another process uses this router's name, so it can't be known which of the two processes other routers mean.
    NameConflict,
    /// A pause of the process ended less than [`SETTLE_TIME`] ago.
    JustResumed,
    /// It started less than [`SETTLE_TIME`] ago.
    JustStarted,
    /// It started longer ago, and has never seen a majority present.
    NeverFormed,
    /// No other router is present.
    Alone,
    /// Fewer than half of the routers are present.
    Minority,
    /// Exactly half of the routers are present.
    Half,
    /// More than half are present, but some of them have reported a different view for a while.
    Disagreeing,
    /// More than half, but not all, are present.
    Majority,
    /// All routers are present.
    Complete,
}

/// For how long after its start or after a pause a router does not rely on its view, in seconds: by the end of this
/// time it has probed or heard each of the other routers.
pub const SETTLE_TIME: f64 = 3.0;

impl Standing {
    /// All standings, in their order of precedence.
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

    /// The label in logs and in the status output.
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

/// The size of a majority (quorum) of `expected` routers. Any two majorities have at least one router in common.
pub fn majority(expected: usize) -> usize {
    expected / 2 + 1
}

/// The standing that follows from these inputs.
pub fn standing(inputs: &ViewInputs) -> Standing {
    let has_majority = inputs.present >= majority(inputs.expected);
    match () {
        () if inputs.leaving => Standing::Leaving,
        () if inputs.name_conflict => Standing::NameConflict,
        () if inputs.resumed_ago < SETTLE_TIME => Standing::JustResumed,
        () if inputs.started_ago < SETTLE_TIME => Standing::JustStarted,
        () if !inputs.formed && !has_majority => Standing::NeverFormed,
        () if inputs.present <= 1 && inputs.expected > 1 => Standing::Alone,
        () if inputs.present * 2 < inputs.expected => Standing::Minority,
        () if !has_majority => Standing::Half,
        () if inputs.disagreeing > 0 => Standing::Disagreeing,
        () if inputs.present < inputs.expected => Standing::Majority,
        () => Standing::Complete,
    }
}

/// What a standing allows. In every standing, this router serves its own requests by itself, and its decisions stay
/// within its share, the part of a cluster-wide limit that one router may use: a view never makes a share larger, as
/// the view may be wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Permissions {
    /// Whether the router may request leases. One that it already holds may be used until it expires by the router's
    /// own clock.
    pub requests_leases: bool,
    /// Whether the router answers lease requests of others. A router that has just started does not, as it may have
    /// granted leases that it has forgotten.
    pub grants_leases: bool,
    /// Whether the router may take over, with a lease of its own, a resource that another router's lease no longer
    /// covers.
    pub takes_over: bool,
    /// Whether the router may use shares that another router has released to this router in particular.
    pub uses_released_shares: bool,
    /// Whether the router reports its observations of engines to others.
    pub shares_observations: bool,
    /// Whether the router uses what others report about engines.
    pub uses_peer_evidence: bool,
    /// Whether the standing calls for an operator's attention.
    pub warns: bool,
}

/// The permissions that go with a standing.
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
    let restricted =
        Permissions { requests_leases: false, takes_over: false, uses_released_shares: false, ..all };
    match standing {
        Standing::Complete | Standing::Majority => all,
        // Leases are safe whatever the views are, but it is not known reliably from which router a resource may be
        // taken over.
        Standing::Disagreeing => Permissions { takes_over: false, warns: true, ..all },
        // The routers on this side have no majority themselves, but may grant a lease to a router of another side.
        Standing::Half | Standing::Minority | Standing::Alone => Permissions { warns: true, ..restricted },
        Standing::NeverFormed => Permissions { warns: true, ..restricted },
        // What the router has forgotten, or missed during a pause, must expire first. Its observations of engines are
        // outdated.
        Standing::JustStarted => {
            Permissions { grants_leases: false, shares_observations: false, ..restricted }
        }
        Standing::JustResumed => {
            Permissions { shares_observations: false, uses_peer_evidence: false, ..restricted }
        }
        Standing::Leaving => Permissions { shares_observations: false, ..restricted },
        Standing::NameConflict => Permissions {
            grants_leases: false,
            shares_observations: false,
            uses_peer_evidence: false,
            warns: true,
            ..restricted
        },
    }
}

#[cfg(test)]
mod tests;
