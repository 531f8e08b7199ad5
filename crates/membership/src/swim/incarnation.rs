//! The identity by which the failure detector knows a router: its index and its incarnation.

use foca::Identity;
use serde::{Deserialize, Serialize};

/// One incarnation of a router. A new incarnation begins when the router starts, when it begins a planned leave, when
/// others consider it failed although it is alive, and when others know a later incarnation than its own. The order
/// of the fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Incarnation {
    /// The index of the router in the cluster file.
    pub router: u16,
    /// The number of the incarnation: the Unix time of the start in milliseconds, and larger with each further
    /// incarnation.
    pub generation: u64,
    /// Whether the router leaves as planned in this incarnation, so that its silence is not a failure.
    pub leaving: bool,
}

/// No generation is larger than this, so that a next one can always be represented.
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
