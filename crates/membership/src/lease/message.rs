//! The messages that routers exchange about leases.

use super::{Epoch, Resource};
use serde::{Deserialize, Serialize};

/// One message of the protocol. The order of the variants and of their fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Phase one: the requester asks each grantor for a promise.
    Prepare {
        /// What the lease is for.
        resource: Resource,
        /// The epoch of the attempt.
        epoch: Epoch,
    },
    /// The grantor will accept nothing older than this epoch.
    Promise {
        /// What the lease is for.
        resource: Resource,
        /// The epoch of the attempt.
        epoch: Epoch,
        /// The holder that this grantor has granted the lease to, where that has not expired.
        held: Option<u16>,
    },
    /// Phase two: a majority has promised, and the requester asks for the grants.
    Propose {
        /// What the lease is for.
        resource: Resource,
        /// The epoch of the attempt.
        epoch: Epoch,
    },
    /// The grantor has granted the lease to the requester.
    Accept {
        /// What the lease is for.
        resource: Resource,
        /// The epoch of the attempt.
        epoch: Epoch,
    },
    /// The grantor has promised a later epoch to another.
    Refuse {
        /// What the lease is for.
        resource: Resource,
        /// The epoch of the attempt that is refused.
        epoch: Epoch,
        /// The epoch that the grantor has promised.
        promised: Epoch,
    },
    /// The sender has stopped, and uses nothing that it requested under this epoch or an older one.
    Release {
        /// What the lease is for.
        resource: Resource,
        /// The latest epoch under which the sender has requested anything.
        epoch: Epoch,
    },
}
