//! The identity under which the failure detector knows a router: its number and its life.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// One life of a router: it begins at its start, or when others held it failed though it lives.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    pub router: u16,
    pub born: u64,
    /// In this life it leaves by plan: its silence is no failure.
    pub leaving: bool,
}

/// No life is younger than this, so that a next one can always be had.
pub const YOUNGEST: u64 = 1 << 62;

impl Identity for Life {
    type Addr = u16;

    fn renew(&self) -> Option<Life> {
        (self.born < YOUNGEST).then_some(Life { born: self.born + 1, ..*self })
    }

    fn addr(&self) -> u16 {
        self.router
    }

    fn win_addr_conflict(&self, other: &Life) -> bool {
        (self.born, self.leaving) > (other.born, other.leaving)
    }
}
