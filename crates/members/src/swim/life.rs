//! The identity under which the failure detector knows a router: its number and its life.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// One life of a router. A life begins when the router starts, or when others hold it failed though it is alive. The order
/// of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Life {
    /// The place of the router in the cluster file.
    pub router: u16,
    /// Grows with each life: the Unix time of the start in milliseconds, or more where others know a later life.
    pub born: u64,
    /// In this life it leaves by plan: its silence is no failure.
    pub leaving: bool,
}

/// No life is younger than this, so that there is always a next one.
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
