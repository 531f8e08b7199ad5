//! Engines as routers speak of them to each other.

use cleatgw::EngineListing;
use cleatgw_membership::digest::EngineIncarnation;

/// An engine in the incarnation that the engine list gives it.
pub fn engine_incarnation(listing: &EngineListing) -> EngineIncarnation {
    let started_at = listing.started_at.unwrap_or(0.0).to_bits();
    let incarnation = (started_at ^ (started_at >> 32)) as u32;
    EngineIncarnation { name: listing.name_hash, incarnation }
}
