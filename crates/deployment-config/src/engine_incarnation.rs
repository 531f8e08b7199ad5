//! How routers identify engines to each other.

use cleatgw::EngineListing;
use cleatgw_membership::digest::EngineIncarnation;

/// Identifies an engine by the hash of its name and by its incarnation, which is derived from the start time in the
/// engine list.
pub fn engine_incarnation(listing: &EngineListing) -> EngineIncarnation {
    let start_bits = listing.started_at.unwrap_or(0.0).to_bits();
    let incarnation = (start_bits ^ (start_bits >> 32)) as u32;
    EngineIncarnation { name: listing.name_hash, incarnation }
}
