//! What the operator has settled for the service addresses.

use crate::damping::Damping;
use crate::paths::Mark;
use crate::signs::{Sign, SignTerms};
use ipnet::IpNet;

/// What makes a path dearer than a usual one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Dear {
    pub med: Option<u32>,
    pub prepend: u8,
    pub local_pref: Option<u32>,
    pub communities: Vec<u32>,
}

/// What the operator holds an instance at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hold {
    Depreferred,
    Withdrawn,
}

/// What the operator has settled. Times are seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    pub addresses: Vec<IpNet>,
    /// Marks our paths, so that instances know each other's.
    pub mark: Mark,
    /// By [`Sign`].
    pub signs: [SignTerms; Sign::COUNT],
    pub announced: Dear,
    pub depreferred: Dear,
    pub last_resort: Dear,
    /// Readings are judged this often.
    pub every: f64,
    /// How long all must be well before the first announcement, and before a return.
    pub start_after: f64,
    pub return_after: f64,
    /// How long a return is depreferred first.
    pub stage: f64,
    /// A move waits up to so long more, by lot: down and up.
    pub jitter_down: f64,
    pub jitter_up: f64,
    pub guard: bool,
    /// How long a sick instance shows itself so before it may go: longer than a change takes to be seen by all.
    pub settle: f64,
    pub damping: Damping,
    /// Changes of one address a minute, 2 or more.
    pub most_changes: u32,
    /// How long a drain shows GRACEFUL_SHUTDOWN before it withdraws: 0 to 0.8.
    pub shutdown_lead: f64,
    pub hold: Option<Hold>,
}
