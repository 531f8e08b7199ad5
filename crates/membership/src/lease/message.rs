//! The messages that routers exchange about leases.

use super::{Epoch, Resource};
use serde::{Deserialize, Serialize};

/// One message of the lease protocol. The order of the variants and of their fields is the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Phase one: the requester asks each grantor for a promise.
    Prepare {
        /// The resource that the lease is for.
        resource: Resource,
        /// The epoch of the attempt.
        epoch: Epoch,
    },
    /// The grantor promises to accept no older epoch than this one.
    Promise {
        /// The resource that the lease is for.
        resource: Resource,
        /// The epoch of the attempt.
        epoch: Epoch,
        /// The router to which this grantor has granted the lease; `None` if there is no unexpired grant.
        holder: Option<u16>,
    },
    /// Phase two: a majority has promised, and the requester asks for the grants.
    Propose {
        /// The resource that the lease is for.
        resource: Resource,
        /// The epoch of the attempt.
        epoch: Epoch,
    },
    /// The grantor has granted the lease to the requester.
    Accept {
        /// The resource that the lease is for.
        resource: Resource,
        /// The epoch of the attempt.
        epoch: Epoch,
    },
    /// The grantor refuses: it has already promised a later epoch, or, in phase one, the same epoch.
    Refuse {
        /// The resource that the lease is for.
        resource: Resource,
        /// The epoch of the attempt that is refused.
        epoch: Epoch,
        /// The epoch that the grantor has promised.
        promised: Epoch,
    },
    /// The sender gives up the lease: it no longer uses any grant of this epoch or an older one.
    Release {
        /// The resource that the lease is for.
        resource: Resource,
        /// The latest epoch under which the sender has requested anything.
        epoch: Epoch,
    },
}
