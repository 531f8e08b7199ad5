//! The levels that an address stands on, and the reasons for each.

use crate::signs::Sign;
use std::fmt;

/// How an address stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Level {
    Withdrawn,
    LastResort,
    Depreferred,
    Announced,
}

/// Why it stands so.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Why {
    /// Not yet ready since the start.
    Starting,
    Well,
    /// Back, but not for long.
    Returning,
    Sick(Sign),
    Weak(Sign),
    /// Sick, and no sound path of another instance is seen.
    NobodyElse(Sign),
    /// Its penalty has to fade: neither preferred nor withdrawn meanwhile.
    Damped,
    Held,
    Draining,
    Drained,
}

impl fmt::Display for Why {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        match self {
            Why::Starting => write!(to, "starting"),
            Why::Well => write!(to, "well"),
            Why::Returning => write!(to, "returning"),
            Why::Sick(sign) => write!(to, "sick: {sign}"),
            Why::Weak(sign) => write!(to, "weak: {sign}"),
            Why::NobodyElse(sign) => write!(to, "sick: {sign}, but no sound path is seen"),
            Why::Damped => write!(to, "damped"),
            Why::Held => write!(to, "held by the operator"),
            Why::Draining => write!(to, "draining"),
            Why::Drained => write!(to, "drained"),
        }
    }
}

impl fmt::Display for Level {
    fn fmt(&self, to: &mut fmt::Formatter) -> fmt::Result {
        to.write_str(match self {
            Level::Withdrawn => "withdrawn",
            Level::LastResort => "last resort",
            Level::Depreferred => "depreferred",
            Level::Announced => "announced",
        })
    }
}
