//! What routers say to each other about leases.

use super::{Epoch, Thing};
use serde::{Deserialize, Serialize};

#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Say {
    Prepare {
        thing: Thing,
        epoch: Epoch,
    },
    /// Promised; who holds it by what this grantor knows, if that is still so.
    Promise {
        thing: Thing,
        epoch: Epoch,
        held: Option<u16>,
    },
    Propose {
        thing: Thing,
        epoch: Epoch,
    },
    Accept {
        thing: Thing,
        epoch: Epoch,
    },
    /// Something younger was promised.
    Refuse {
        thing: Thing,
        epoch: Epoch,
        promised: Epoch,
    },
    /// Its sender has stopped, and uses nothing that it asked for under this epoch or an older one.
    Release {
        thing: Thing,
        epoch: Epoch,
    },
}
