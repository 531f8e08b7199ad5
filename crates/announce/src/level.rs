//! The levels at which an address is announced, and the reasons for each.

use crate::health::HealthCheck;
use std::fmt;

/// How an address is announced, worst first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// Not at all.
    Withdrawn,
    /// By an unhealthy instance that says so, as no healthy path is seen.
    LastResort,
    /// Others are to be preferred.
    Depreferred,
    /// As usual.
    Announced,
}

/// Why an address is at its level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// Not ready since the start.
    Starting,
    /// All checks pass.
    Healthy,
    /// All checks pass again, but not for long.
    Returning,
    /// This check fails, and withdraws.
    Unhealthy(HealthCheck),
    /// This check fails, and makes it depreferred.
    Degraded(HealthCheck),
    /// This check fails, and no healthy path of another instance is seen.
    NoAlternative(HealthCheck),
    /// The penalty of damping has to decay first: neither preferred nor withdrawn meanwhile.
    Damped,
    /// The operator holds it there.
    Held,
    /// A drain is in its lead.
    Draining,
    /// A drain has withdrawn it.
    Drained,
}

impl fmt::Display for Reason {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Reason::Starting => write!(formatter, "starting"),
            Reason::Healthy => write!(formatter, "well"),
            Reason::Returning => write!(formatter, "returning"),
            Reason::Unhealthy(check) => write!(formatter, "sick: {check}"),
            Reason::Degraded(check) => write!(formatter, "weak: {check}"),
            Reason::NoAlternative(check) => write!(formatter, "sick: {check}, but no sound path is seen"),
            Reason::Damped => write!(formatter, "damped"),
            Reason::Held => write!(formatter, "held by the operator"),
            Reason::Draining => write!(formatter, "draining"),
            Reason::Drained => write!(formatter, "drained"),
        }
    }
}

impl fmt::Display for Level {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            Level::Withdrawn => "withdrawn",
            Level::LastResort => "last resort",
            Level::Depreferred => "depreferred",
            Level::Announced => "announced",
        })
    }
}

/// What holds a move back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuppressedBy {
    /// The guard of the last announcer: no healthy path of another instance is seen.
    Guard,
    /// Route flap damping.
    Damping,
    /// The cap on changes in a minute.
    ChangeCap,
}

impl fmt::Display for SuppressedBy {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(match self {
            SuppressedBy::Guard => "the guard of the last announcer",
            SuppressedBy::Damping => "damping",
            SuppressedBy::ChangeCap => "the cap on changes",
        })
    }
}
