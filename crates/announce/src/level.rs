//! The levels at which an address is announced, the reasons for a level, and what can hold a move back.

use crate::health::HealthCheck;
use std::fmt;

/// How an address is announced, worst level first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    /// The address is not announced.
    Withdrawn,
    /// An unhealthy instance announces the address, marked as unhealthy, as long as no healthy path is seen.
    LastResort,
    /// The address is announced, but paths of other instances are preferred.
    Depreferred,
    /// The address is announced normally.
    Announced,
}

/// Why an address is at its level.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Reason {
    /// The address has not been announced since the start.
    Starting,
    /// No check whose effect is to withdraw or to deprefer fails.
    Healthy,
    /// All checks whose effect is to withdraw have passed for the start delay or the return delay; the address is
    /// depreferred at first.
    Returning,
    /// This check, whose effect is to withdraw, fails; or it failed, and the return delay is not over yet.
    Unhealthy(HealthCheck),
    /// This check, whose effect is to deprefer, fails.
    Degraded(HealthCheck),
    /// This check, whose effect is to withdraw, fails, and no healthy path of another instance is seen.
    NoAlternative(HealthCheck),
    /// The penalty of damping has to decay first; meanwhile the address is neither preferred nor withdrawn.
    Damped,
    /// The operator holds the address at the level.
    Held,
    /// A drain has begun, and withdraws the address after its lead.
    Draining,
    /// A drain has withdrawn the address.
    Drained,
}

// Operators see these texts in log lines and in the rows of SHOW. `well`, `sick` and `weak` stand for healthy,
// unhealthy and degraded, and a `sound` path is a healthy one.
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

/// What holds a move to another level back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuppressedBy {
    /// The guard of the last announcer: no healthy path of another instance is seen.
    Guard,
    /// Route flap damping.
    Damping,
    /// The cap on changes within [`crate::CHANGE_CAP_WINDOW`].
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
