//! A queued request, and its rank within its tenant's queue.

use crate::config::TenantConfig;

/// With ageing, lower densities count as this one.
const MIN_AGED_DENSITY: f64 = 1e-9;
/// Seconds that are added to aged times so that they stay positive.
const AGED_TIME_SHIFT: f64 = 1e6;

/// A queued request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// The host's number for the request.
    pub request: usize,
    /// Index of the request's tenant, a leaf of the tenant tree.
    pub tenant: usize,
    /// Index of the request class.
    pub class: usize,
    /// Value of the request per unit of work, greater than 0. Requests of higher density go first.
    pub density: f64,
    /// Estimated work, in seconds.
    pub work: f64,
    /// Time at which the request was received.
    pub received_at: f64,
    /// Whether none of its attempts can have run. Only such a request may be displaced.
    pub never_ran: bool,
}

/// The rank of a request within its tenant's queue; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestRank {
    rank: u64,
    pub(crate) request: usize,
}

/// The bits of a value, which compare like the value itself. Negative values count as 0.
pub(crate) fn ordered_bits(value: f64) -> u64 {
    value.max(0.0).to_bits()
}

impl QueuedRequest {
    /// Its rank under its tenant's configuration.
    pub(crate) fn rank(&self, config: &TenantConfig) -> RequestRank {
        let doublings = config.class_boosts.get(self.class).copied().unwrap_or(0.0);
        let density = if doublings > 0.0 { self.density * doublings.exp2() } else { self.density };
        let rank = match config.ageing {
            None => u64::MAX - ordered_bits(density),
            // A request of higher density is ranked as if it had been received earlier.
            Some(ageing) => ordered_bits(
                self.received_at - ageing * density.max(MIN_AGED_DENSITY).log2() + AGED_TIME_SHIFT,
            ),
        };
        RequestRank { rank, request: self.request }
    }
}
