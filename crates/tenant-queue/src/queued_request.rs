//! A request that waits, and its rank within its tenant.

use crate::config::TenantConfig;

/// Where the rank is by age, densities under this count as this.
const MIN_AGED_DENSITY: f64 = 1e-9;
/// Aged times are shifted by so many seconds, so that they stay positive.
const AGED_TIME_SHIFT: f64 = 1e6;

/// A request that waits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QueuedRequest {
    /// Its number at the host.
    pub request: usize,
    /// A leaf of the tree of tenants.
    pub tenant: usize,
    /// Its class.
    pub class: usize,
    /// Credit for its work, more than 0: the denser first.
    pub density: f64,
    /// Its work.
    pub work: f64,
    /// When it came.
    pub received_at: f64,
    /// None of its attempts may have run: it may be displaced.
    pub never_ran: bool,
}

/// The place of a request within its tenant: earlier is less.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestRank {
    rank: u64,
    pub(crate) request: usize,
}

/// Positive values keep their order as bits.
pub(crate) fn ordered_bits(value: f64) -> u64 {
    value.max(0.0).to_bits()
}

impl QueuedRequest {
    /// Its rank by its tenant's configuration.
    pub(crate) fn rank(&self, config: &TenantConfig) -> RequestRank {
        let doublings = config.class_boosts.get(self.class).copied().unwrap_or(0.0);
        let density = if doublings > 0.0 { self.density * doublings.exp2() } else { self.density };
        let rank = match config.ageing {
            None => u64::MAX - ordered_bits(density),
            // A denser one stands as if it had come earlier.
            Some(ageing) => ordered_bits(
                self.received_at - ageing * density.max(MIN_AGED_DENSITY).log2() + AGED_TIME_SHIFT,
            ),
        };
        RequestRank { rank, request: self.request }
    }
}
