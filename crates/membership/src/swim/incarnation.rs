//! The identity under which the failure detector knows a router: its number and its incarnation.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// One incarnation of a router. An incarnation begins when the router starts, or when others hold it failed though it is alive. The order
/// of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// The place of the router in the cluster file.
    pub router: u16,
    /// Grows with each incarnation: the Unix time of the start in milliseconds, or more where others know a later incarnation.
    pub generation: u64,
    /// In this incarnation it leaves by plan: its silence is no failure.
    pub leaving: bool,
}

/// No incarnation is younger than this, so that there is always a next one.
pub const MAX_GENERATION: u64 = 1 << 62;

impl Identity for Incarnation {
    type Addr = u16;

    fn renew(&self) -> Option<Incarnation> {
        (self.generation < MAX_GENERATION).then_some(Incarnation { generation: self.generation + 1, ..*self })
    }

    fn addr(&self) -> u16 {
        self.router
    }

    fn win_addr_conflict(&self, other: &Incarnation) -> bool {
        (self.generation, self.leaving) > (other.generation, other.leaving)
    }
}
